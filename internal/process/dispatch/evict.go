package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// victim is a running batch attempt that can be evicted.
type victim struct {
	view *jobView
	// loss estimates the work that an eviction loses: the run time of the task
	// times its cores, in milliseconds times millicores.
	loss float64
}

// preemptFor evicts the batch attempts of one worker whose loss is lowest, so
// that an urgent job fits there, and reserves the worker for that job. It
// returns false if no worker can be cleared.
func (p *Planner) preemptFor(next candidate, size worker.Size, now time.Time) bool {
	if w := p.workers[next.view.reserved]; w != nil && p.eligible(w, next, now) {
		return true
	}
	p.releaseReservation(next.view) // it is leaving, withdrawn, silent or in quarantine
	best, bestLoss := "", 0.0
	var bestVictims []victim
	for id, w := range p.workers {
		if !p.eligible(w, next, now) {
			continue
		}
		victims, loss, ok := p.victims(w, size)
		if ok && (best == "" || loss < bestLoss || loss == bestLoss && id < best) {
			best, bestLoss, bestVictims = id, loss, victims
		}
	}
	if best == "" {
		return false
	}
	p.workers[best].reserved = next.view
	next.view.reserved = best
	for _, preempted := range bestVictims {
		preempted.view.stopping, preempted.view.stoppingAt = stopEvicted, now
		p.evictions++
		p.stepStopping(preempted.view, now)
	}
	return true
}

// releaseReservation ends the reservation of a worker for a job, if there is one.
func (p *Planner) releaseReservation(view *jobView) {
	if w := p.workers[view.reserved]; w != nil && w.reserved == view {
		w.reserved = nil
	}
	view.reserved = ""
}

// victims picks attempts of a worker by ascending loss until the size fits. It
// returns the attempts, the sum of their losses and whether the size fits.
// Attempts that are already stopping count as free.
func (p *Planner) victims(w *workerView, size worker.Size) ([]victim, float64, bool) {
	free := w.free()
	var all []victim
	for _, view := range w.open {
		switch {
		case view.pendingWrite != nil || !view.acked || p.rank(view) != rankBatch:
			continue
		case view.stopping != notStopping:
			free = add(free, view.record.Open().Size)
			continue
		}
		all = append(all, victim{
			view: view,
			loss: float64(view.task.RanMS) * float64(view.record.Open().Size.MilliCores),
		})
	}
	slices.SortFunc(all, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.loss, y.loss), cmp.Compare(x.view.record.ID, y.view.record.ID))
	})
	total := 0.0
	for i, attempt := range all {
		if fits(size, free) {
			return all[:i], total, true
		}
		free = add(free, attempt.view.record.Open().Size)
		total += attempt.loss
	}
	return all, total, fits(size, free)
}
