package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// searchesPerDecision limits the searches for a place, each of which goes through
// all workers.
const searchesPerDecision = 4

// keepPlace keeps a place for a job with a step of which no task fits anywhere,
// if it deserves one: the free capacity of a worker is withheld from all jobs
// that follow in this decision.
func (b *Board) keepPlace(j *job, step *stepState, pool []*workerState, found *shortage, now time.Time) {
	var w *workerState
	if j.rank.Placed {
		if w = b.workers[j.place.Worker]; w != nil && w.withheldFor == j {
			return // for another of its steps
		}
	}
	spec := step.spec
	j.rank.Placed = found.places > 0 && !spec.Filler && !spec.Gang && j.inherited == 0 &&
		b.order.Deserves(&j.rank, spec.Size.MilliCores, now)
	if !j.rank.Placed {
		return
	}
	if w == nil || !j.place.Valid(now) || !b.mayKeep(w, step, now) {
		if w = b.findPlace(j, step, pool, found, now); w == nil {
			j.rank.Placed = false
			return
		}
	}
	found.places--
	w.withheldFor = j
	free, size := w.free(), reservedSize(spec)
	w.withheld = worker.Size{
		MilliCores:   max(0, min(free.MilliCores, size.MilliCores)),
		MemoryBytes:  max(0, min(free.MemoryBytes, size.MemoryBytes)),
		Accelerators: max(0, min(free.Accelerators, size.Accelerators)),
	}
	b.withheldOn = append(b.withheldOn, w)
}

// mayKeep reports whether the step's tasks would fit on the worker once the runs
// there have ended that are not long-running.
func (b *Board) mayKeep(w *workerState, step *stepState, now time.Time) bool {
	return w.withheldFor == nil && b.usable(w, now) && b.eligible(w, step, step.tasks[0]) &&
		reservedSize(step.spec).FitsIn(w.Capacity.Sub(w.lasting).Sub(w.reserved))
}

// findPlace moves the job's place to the worker with the most free cores and
// returns it, or nil. A job that finds none looks again after the term of a
// place.
func (b *Board) findPlace(j *job, step *stepState, pool []*workerState, found *shortage, now time.Time) *workerState {
	if found.searches == 0 || j.place.Worker == "" && j.place.Valid(now) {
		return nil
	}
	found.searches--
	id := ""
	var best *workerState
	for _, w := range pool {
		if b.mayKeep(w, step, now) && (best == nil || w.free().MilliCores > best.free().MilliCores) {
			best, id = w, w.ID
		}
	}
	j.place = b.order.KeepPlace(id, &j.rank, now)
	return best
}

// endPlaces gives what was withheld back at the end of a decision.
func (b *Board) endPlaces() {
	for _, w := range b.withheldOn {
		w.withheldFor, w.withheld = nil, worker.Size{}
	}
	b.withheldOn = b.withheldOn[:0]
}
