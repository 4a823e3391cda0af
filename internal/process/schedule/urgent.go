package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/process/reserve"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Preemption is a long-running run that is stopped for a quick task.
type Preemption struct {
	Worker string
	Key    work.TaskKey
	Run    int64
	// For is the quick task that fits nowhere.
	For work.TaskKey
	// Gain and Loss are the values that the decision was based on.
	Gain, Loss float64
}

// urgentCapacity is the state of preemptions of long-running tasks for quick
// ones. It is lost with the leadership: the stops that were ordered still take
// effect, and the tasks wait like others.
type urgentCapacity struct {
	limiter reserve.Limiter
	// places are the workers with runs that may be preempted, as of scannedAt.
	// allowed is how many more members of each step may be preempted.
	places    []preemptiblePlace
	scannedAt time.Time
	// scratch is reused by stillPreemptible.
	scratch []reserve.Run
	allowed map[stepKey]int
	// longRunning is the number of long-running runs at the last scan.
	longRunning int
	// failed holds the sizes for which no long-running run could be preempted since
	// the last scan, lower those for which no run of a lower priority could since
	// lowerSince, both by service. searchesLeft is how many searches are left to
	// this decision.
	failed, lower map[string]*shortage
	lowerSince    time.Time
	searchesLeft  int
	// worthless holds the steps whose gain was too low since the last scan.
	worthless map[stepKey]bool
	// preempted holds the preempted tasks that have not started again, by the
	// worker that they were on.
	preempted map[work.TaskKey]string
	// restart is the learned time from the start of a long-running task to full
	// progress.
	restart time.Duration
	counts  UrgentCounts
	// packing is by service.
	packing map[string]*packing
}

// UrgentCounts counts the decisions about capacity for quick tasks in this term.
type UrgentCounts struct {
	// Preempted counts runs. Worthless, Limited and NoVictim count searches
	// without a preemption: the loss exceeds the gain, the rate is at its limit,
	// or no run that may be preempted frees enough.
	Preempted, Worthless, Limited, NoVictim int64
}

// preemptiblePlace is a worker with its preemptible runs, by key.
type preemptiblePlace struct {
	worker *workerState
	runs   []reserve.Run
}

func newUrgentCapacity() *urgentCapacity {
	return &urgentCapacity{
		allowed:   map[stepKey]int{},
		failed:    map[string]*shortage{},
		lower:     map[string]*shortage{},
		preempted: map[work.TaskKey]string{},
		worthless: map[stepKey]bool{},
		packing:   map[string]*packing{},
	}
}

// searchesPerDecision limits the searches of one decision, each of which goes
// through the preemptible long-running runs.
const searchesPerDecision = 6

// noneLower reports whether a recent search has shown that no run of a lower
// priority can be preempted for a task of the step.
func (u *urgentCapacity) noneLower(service string, spec *work.Step, now time.Time) bool {
	if now.Sub(u.lowerSince) >= scanInterval {
		clear(u.lower)
		u.lowerSince = now
	}
	found := u.lower[service]
	return found != nil && found.rulesOut(spec)
}

// recordFailure adds a task for which nothing can be preempted.
func recordFailure(failures map[string]*shortage, service string, spec *work.Step) {
	if failures[service] == nil {
		failures[service] = newShortage()
	}
	failures[service].record(spec)
}

// preemptLongRunning stops the cheapest long-running runs for a quick task that
// fits nowhere, if its gain exceeds their loss.
func (b *Board) preemptLongRunning(j *job, step *stepState, t *task, now time.Time) {
	state := b.urgentCapacity
	if b.config.Notice <= 0 || state.searchesLeft == 0 {
		return
	}
	if now.Sub(state.scannedAt) >= scanInterval {
		b.scanLongRunning(j.priority, now)
	}
	failed := state.failed[b.serviceOf(j)]
	if failed != nil && failed.rulesOut(step.spec) || state.worthless[stepOf(t.key)] {
		return
	}
	pieces, each := b.quickStep(j, step, now).Gain()
	if pieces == 0 {
		return
	}
	state.searchesLeft--
	if w := b.endingPlace(j, step, t, now); w != nil {
		b.keep(t.key, w, reservedSize(step.spec), now)
		return
	}
	state.limiter.Refill(state.longRunning, now)
	best, choice, found := b.cheapestPlace(j, step, t, pieces, each, now)
	switch {
	case best == nil && found:
		state.counts.Worthless++
		state.worthless[stepOf(t.key)] = true
		return
	case best == nil:
		state.counts.NoVictim++
		recordFailure(state.failed, b.serviceOf(j), step.spec)
		return
	case !state.limiter.Allow(len(choice.Runs)):
		state.counts.Limited++
		return
	}
	state.limiter.Take(len(choice.Runs))
	b.keep(t.key, best, reservedSize(step.spec), now)
	for _, run := range choice.Runs {
		b.preemptRun(best, run.Key, t.key, choice, now)
	}
}

// cheapestPlace returns the worker with the best ratio of gain to loss, and the
// runs to preempt there. found reports whether enough could be freed anywhere.
func (b *Board) cheapestPlace(j *job, step *stepState, t *task, pieces int, each float64, now time.Time) (best *workerState, choice reserve.Choice, found bool) {
	need := reservedSize(step.spec)
	crowding, service := b.crowding(), b.serviceOf(j)
	for _, place := range b.urgentCapacity.places {
		w := place.worker
		if w.Service != service || !b.usable(w, now) || !w.health.trusted(now) || !b.eligible(w, step, t) {
			continue
		}
		runs := b.stillPreemptible(place)
		if len(runs) == 0 {
			continue
		}
		next, gains := reserve.Place{
			Free:     w.free(),
			Crowding: crowding[w.Zone],
			Runs:     runs,
		}.Choose(need, pieces, each/b.urgentCapacity.limiter.Price())
		found = found || len(next.Runs) > 0
		if gains && (best == nil || next.Better(choice)) {
			best, choice = w, next
			choice.Runs = slices.Clone(next.Runs)
		}
	}
	return best, choice, found
}

// endingPlace returns a worker on which the long-running runs that are already
// being stopped free enough.
func (b *Board) endingPlace(j *job, step *stepState, t *task, now time.Time) *workerState {
	ending := map[string]worker.Size{}
	for key, id := range b.urgentCapacity.preempted {
		if w := b.workers[id]; w != nil {
			if held := w.claims[key]; held != nil && !held.stopping.IsZero() {
				ending[id] = ending[id].Add(held.size)
			}
		}
	}
	var best *workerState
	for id, size := range ending {
		w := b.workers[id]
		if w.Service == b.serviceOf(j) && b.usable(w, now) && w.health.trusted(now) && reservedSize(step.spec).FitsIn(w.free().Add(size)) &&
			b.eligible(w, step, t) && (best == nil || w.ID < best.ID) {
			best = w
		}
	}
	return best
}

// quickStep describes a step of a quick job for the estimate of its gain.
func (b *Board) quickStep(j *job, step *stepState, now time.Time) reserve.Quick {
	total := b.totalWork(j)
	pieces := step.left - step.waiting
	for key := range b.reservations {
		if key.Job == j.work.ID && stepOf(key) == stepOf(step.tasks[0].key) {
			pieces++
		}
	}
	return reserve.Quick{
		Value:     rank.Value(total, b.estimates.meanWork(j.work.Queue, total)),
		Age:       now.Sub(j.arrived),
		Objective: j.objective.Sub(j.arrived),
		Remaining: j.remaining,
		RunTime:   b.estimates.runTime(j.work.Queue, step.spec),
		Hold:      returnAfter,
		Left:      step.left,
		Pieces:    pieces,
	}
}

// preemptRun stops a long-running run and remembers to return its capacity.
func (b *Board) preemptRun(w *workerState, key, quick work.TaskKey, choice reserve.Choice, now time.Time) {
	held := w.claims[key]
	_, _, t := b.open[key.Job].find(key)
	t.preemptedAt = now
	b.urgentCapacity.allowed[stepOf(key)]--
	b.urgentCapacity.preempted[key] = w.ID
	b.urgentCapacity.counts.Preempted++
	b.stop(w.ID, key, held.run, "preempted_for_quick")
	b.effects.Preemptions = append(b.effects.Preemptions, Preemption{
		Worker: w.ID,
		Key:    key,
		Run:    held.run,
		For:    quick,
		Gain:   choice.Gain,
		Loss:   choice.Loss,
	})
}
