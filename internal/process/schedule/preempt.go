package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// reservation keeps capacity on a worker for a task while runs there end: those that are
// preempted for it, or quick ones that a long-running task waits for.
type reservation struct {
	worker string
	size   worker.Size
	until  time.Time
	// restart is set if the task is a long-running one that is down.
	restart bool
}

const (
	// reservationTerm is how long capacity is kept: a stop and two polls.
	reservationTerm = time.Second
	// reservationsPerDecision limits the searches of one decision, each of
	// which goes through all runs.
	reservationsPerDecision = 2
	// lostWorkCost weighs a second of lost work against a resume from a
	// checkpoint.
	lostWorkCost = 10.0
)

// reserve preempts lower-priority work for a task that fits nowhere. Load
// pattern: batch work has filled every worker with small tasks, and a larger
// task of a quick job can't be placed.
func (b *Board) reserve(j *job, step *stepState, t *task, pool []*workerState, now time.Time) {
	if _, ok := b.reservations[t.key]; ok {
		return
	}
	if b.urgentCapacity.noneLower(b.serviceOf(j), step.spec, now) {
		b.preemptLongRunning(j, step, t, now)
		return
	}
	if b.reservationsLeft == 0 {
		return
	}
	b.reservationsLeft--
	var best *workerState
	var victims []work.TaskKey
	bestCost := 0.0
	for _, w := range pool {
		if !b.eligible(w, step, t) {
			continue
		}
		chosen, cost, ok := b.victims(w, j.priority, reservedSize(step.spec), now)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = w, chosen, cost
		}
	}
	if best == nil {
		recordFailure(b.urgentCapacity.lower, b.serviceOf(j), step.spec)
		b.preemptLongRunning(j, step, t, now)
		return
	}
	b.keep(t.key, best, reservedSize(step.spec), now)
	for _, key := range victims {
		b.stop(best.ID, key, best.claims[key].run, "gives_way")
	}
}

// keep reserves capacity of a worker for a task.
func (b *Board) keep(key work.TaskKey, w *workerState, size worker.Size, now time.Time) {
	b.reservations[key] = reservation{
		worker: w.ID,
		size:   size,
		until:  now.Add(reservationTerm),
	}
	w.reserved = w.reserved.Add(size)
}

// victims picks the cheapest runs of a lower priority that free enough
// capacity. Long-running runs are left to preemptLongRunning, which respects the
// limits of their steps.
func (b *Board) victims(w *workerState, priority int, need worker.Size, now time.Time) ([]work.TaskKey, float64, bool) {
	type victim struct {
		key  work.TaskKey
		size worker.Size
		cost float64
	}
	free := w.free()
	var all []victim
	for key, held := range w.claims {
		j := b.open[key.Job]
		switch {
		case !held.stopping.IsZero() || j == nil:
			free = free.Add(held.size) // already ending
		case held.filler || held.longRunning || !held.confirmed || j.priority <= priority:
		default:
			all = append(all, victim{
				key:  key,
				size: held.size,
				cost: b.stopCost(j, key, held, now),
			})
		}
	}
	slices.SortFunc(all, func(a, c victim) int { return cmp.Or(cmp.Compare(a.cost, c.cost), compareKeys(a.key, c.key)) })
	var chosen []work.TaskKey
	cost := 0.0
	for _, v := range all {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(v.size)
		cost += v.cost
		chosen = append(chosen, v.key)
	}
	return chosen, cost, need.FitsIn(free)
}

// stopCost estimates what a stop costs, in core-seconds of lost work weighted
// by lostWorkCost.
func (b *Board) stopCost(j *job, key work.TaskKey, held *claim, now time.Time) float64 {
	const milli = 1000
	cores := float64(held.size.MilliCores) / milli
	if j.work.Steps[key.Step].Checkpoints {
		return cores
	}
	return cores * (1 + lostWorkCost*now.Sub(held.started).Seconds())
}

// dropReservations removes the reservations that have expired or whose task no
// longer waits.
func (b *Board) dropReservations(now time.Time) {
	b.reservationsLeft, b.urgentCapacity.searchesLeft = reservationsPerDecision, searchesPerDecision
	for key, held := range b.reservations {
		j := b.open[key.Job]
		waits := false
		if j != nil {
			_, _, t := j.find(key)
			waits = t.phase == waiting
		}
		if waits && now.Before(held.until) && (!held.restart || b.keepsRestart(key, held, now)) {
			continue
		}
		b.unreserve(key)
	}
	b.returnCapacity(now)
}

func (b *Board) unreserve(key work.TaskKey) {
	held, ok := b.reservations[key]
	if !ok {
		return
	}
	delete(b.reservations, key)
	b.shortages = nil
	if w := b.workers[held.worker]; w != nil {
		w.reserved = w.reserved.Sub(held.size)
		if held.restart {
			w.keptForRestarts = w.keptForRestarts.Sub(held.size)
		}
	}
}

// free is the capacity that is neither claimed nor reserved.
func (w *workerState) free() worker.Size {
	return w.Capacity.Sub(w.used).Sub(w.reserved)
}
