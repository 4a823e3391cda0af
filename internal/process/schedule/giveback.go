package schedule

import (
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
)

// returnAfter is how long after its end a preempted task gets its capacity back.
// Quick tasks that run there then take less than the 6 s after which a task must
// not wait beside free capacity. With half of it, each preemption serves fewer
// quick tasks, while about as many members are unavailable.
const returnAfter = 2 * rank.OverdueAfter

// returnCapacity keeps capacity for preempted tasks that have been down for
// long enough. Load pattern: quick tasks keep arriving and take each part of the
// capacity that comes free, so that a larger task never finds all of it free at
// once.
func (b *Board) returnCapacity(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(b.urgentCapacity.preempted), compareKeys) {
		id := b.urgentCapacity.preempted[key]
		j, w := b.open[key.Job], b.workers[id]
		if j == nil || w == nil {
			delete(b.urgentCapacity.preempted, key)
			continue
		}
		_, step, t := j.find(key)
		switch {
		case t.phase == claimed && t.endedAt.Before(t.preemptedAt):
			// A stop without an answer may still take effect.
			if held := w.claims[key]; now.Sub(t.preemptedAt) > reservationTerm && t.worker == id && held != nil && held.stopping.IsZero() && held.barred.IsZero() {
				delete(b.urgentCapacity.preempted, key)
			}
		case t.phase != waiting:
			delete(b.urgentCapacity.preempted, key)
		case t.departing:
		case !reservedSize(step.spec).FitsIn(w.Capacity.Sub(w.longRunningSize())):
			// Other long-running tasks have taken its place, so that what is kept
			// here would only be missing elsewhere.
			delete(b.urgentCapacity.preempted, key)
			b.unreserve(key)
		case now.Sub(t.endedAt) >= returnAfter && b.mayReturn(j, step, t, w, now):
			if _, ok := b.reservations[key]; !ok {
				b.keep(key, w, reservedSize(step.spec), now)
			}
		}
	}
}

// mayReturn reports whether a preempted task may start again on the worker that it
// was on once there is room. Its queue may have moved to another service, and its
// organisation may be at a limit that was lowered.
func (b *Board) mayReturn(j *job, step *stepState, t *task, w *workerState, now time.Time) bool {
	return w.Service == b.serviceOf(j) && b.usable(w, now) && b.eligible(w, step, t) && j.account.Admits(step.spec.Size)
}

// longRunningSize is the capacity that long-running runs claim.
func (w *workerState) longRunningSize() worker.Size {
	var size worker.Size
	for _, held := range w.claims {
		if held.longRunning {
			size = size.Add(held.size)
		}
	}
	return size
}

// takesReservedAfter is how long a long-running task may be down before it takes
// reserved capacity: a third of the 6 s after its last run from which on it must not
// wait beside free capacity, so that it runs in time although quick tasks that hold the
// capacity have to end first.
const takesReservedAfter = rank.OverdueAfter

// entitledSince is since when a long-running task that waits is down: the end of its last
// run or, if that was preempted, when its capacity is due to be returned. It is zero for
// a task that was never started.
func (t *task) entitledSince() time.Time {
	if t.wasPreempted() {
		return t.endedAt.Add(returnAfter)
	}
	return t.absentSince()
}

// absentSince is when the task's last run ended. A start that was refused since does not
// count. It is zero if this leader knows of no run.
func (t *task) absentSince() time.Time {
	if t.downSince.IsZero() {
		return t.endedAt
	}
	return t.downSince
}

// longDown reports whether a long-running task has waited so long that capacity
// must not be kept from it.
func (b *Board) longDown(step *stepState, t *task, now time.Time) bool {
	return step.spec.LongRunning && !t.endedAt.IsZero() && now.Sub(t.entitledSince()) >= takesReservedAfter
}

// placeReturning starts the tasks of a long-running step whose capacity is being
// returned and free, on workers that the step may be given.
func (b *Board) placeReturning(j *job, step *stepState, pool []*workerState, now time.Time) {
	if !step.spec.LongRunning || step.spec.Gang || len(b.urgentCapacity.preempted) == 0 {
		return
	}
	for _, t := range step.tasks {
		if b.startsLeft <= 0 {
			return
		}
		held, ok := b.reservations[t.key]
		if !ok || !b.startable(j, t, now) {
			continue
		}
		w := b.workers[held.worker]
		if w != nil && slices.Contains(pool, w) && j.account.Admits(step.spec.Size) && held.size.FitsIn(w.Capacity.Sub(w.used)) && b.eligible(w, step, t) {
			b.start(w, j, step, t, now)
		}
	}
}

// crowding returns, by zone, by how much the zone's share of the preempted tasks
// exceeds its share of the workers.
func (b *Board) crowding() map[string]float64 {
	out := map[string]float64{}
	for _, id := range b.urgentCapacity.preempted {
		if w := b.workers[id]; w != nil {
			out[w.Zone] += 1 / float64(len(b.urgentCapacity.preempted))
		}
	}
	zones := map[string]int{}
	for _, w := range b.workers {
		zones[w.Zone]++
	}
	for zone, share := range out {
		out[zone] = max(0, share-float64(zones[zone])/float64(len(b.workers)))
	}
	return out
}

// learnRestart learns how long long-running tasks take to full progress. A run
// that was taken over has no known start.
func (b *Board) learnRestart(held *claim, now time.Time) {
	took := now.Sub(held.started)
	if took <= 0 {
		return
	}
	state := b.urgentCapacity
	if state.restart == 0 {
		state.restart = took
	}
	state.restart += time.Duration(learnRate * float64(took-state.restart))
}

// passOn keeps the capacity of a task that is done for another one of its step, if
// it had been reserved for that task. Load pattern: smaller tasks take a part of
// the capacity, and the next large one needs another preemption.
func (b *Board) passOn(w *workerState, j *job, done *claim, step *stepState, now time.Time) {
	if done == nil || !done.piece || step.waiting == 0 || !b.urgent(j) || b.config.Notice <= 0 || w.keptForRestarts != (worker.Size{}) {
		return
	}
	for _, t := range step.tasks {
		if _, ok := b.reservations[t.key]; !ok && t.phase == waiting {
			b.keep(t.key, w, done.size, now)
			return
		}
	}
}
