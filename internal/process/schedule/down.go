package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/locality"
	"mustardreach.example/mustardreach/internal/request/work"
)

// restart is a long-running task that waits after a run.
type restart struct {
	job  *job
	step *stepState
	*task
}

// isDown reports whether a task of the step is down: it waits after a run that has
// failed, was lost or was stopped. A preempted one isn't while its capacity is used by
// quick tasks, or is kept to be returned to it. One whose last run ended at once goes by
// its rank for a while: hundreds of them, as of a faulty image, would take all starts
// from quick tasks.
func (b *Board) isDown(step *stepState, t *task, now time.Time) bool {
	if !step.spec.LongRunning || step.spec.Gang || t.phase != waiting || t.endedAt.IsZero() {
		return false
	}
	if t.endedAtOnce() && now.Sub(t.downSince) < startupTime {
		return false
	}
	_, returns := b.urgentCapacity.preempted[t.key]
	return !t.wasPreempted() || !returns && !now.Before(t.entitledSince())
}

// endedAtOnce reports whether the task's last run did not outlive its start. A start that
// was refused since does not count.
func (t *task) endedAtOnce() bool {
	return t.downSince.After(t.startedAt) && t.downSince.Sub(t.startedAt) < startupTime
}

// wasPreempted reports whether the task's last run was stopped for a quick task.
func (t *task) wasPreempted() bool {
	return !t.preemptedAt.IsZero() && !t.startedAt.After(t.preemptedAt)
}

// placeDown starts the long-running tasks that are down, before anything else is
// placed. Load pattern: a run fails in a full service, and quick tasks and long-running
// ones that were never started take each piece that comes free, also the one that the
// run has left.
func (b *Board) placeDown(known *pools, now time.Time) {
	if now.Sub(b.keeps.since) >= scanInterval {
		b.keeps = newRestartKeeps(now)
	}
	for _, next := range b.restarting(now) {
		if b.startsLeft <= 0 {
			return
		}
		j, step, t := next.job, next.step, next.task
		if !j.admits(step) {
			continue
		}
		workers, shortages := b.poolFor(j, known, now)
		if terms, _ := b.termsOf(j); terms.RequiresTicket && len(workers) > 0 {
			workers, shortages = b.admitted(&terms, step, workers, now), newShortage()
		}
		if b.preference(j, step, workers, now).groupWaits() {
			continue
		}
		if w := b.restartWorker(step, t, workers, shortages); w != nil {
			b.start(w, j, step, t, now)
			continue
		}
		shortages.lacking = true
		if now.Sub(t.entitledSince()) >= keptAfter {
			b.keepForRestart(next, workers, now)
		}
	}
}

// restartWorker returns the worker that a task which is down would run on now, nil if
// there is none: first that on which capacity is kept for it.
func (b *Board) restartWorker(step *stepState, t *task, pool []*workerState, shortages *shortage) *workerState {
	if held, ok := b.reservations[t.key]; ok {
		if w := b.reservedWorker(held, step, t, pool); w != nil {
			return w
		}
	}
	if shortages.rulesOut(step.spec) && !b.starving(t.key.Job, step.spec) {
		return nil
	}
	w := b.chooseWorker(step, t, pool)
	if w == nil {
		shortages.record(step.spec)
		b.noteTrial(b.open[t.key.Job], step.spec)
	}
	return w
}

const (
	// keptAfter is how long a task is down before capacity is kept for it. Most tasks
	// find a piece within it that has come free by itself.
	keptAfter = time.Second
	// keptShare is the part of the workers of a pool on which capacity may be kept for
	// tasks that are down, one worker at least: after the loss of a zone, quick tasks go
	// on starting on the others.
	keptShare = 4
	// keepSearches limits the searches for a worker to keep capacity on, each of which
	// goes through all runs, within a scanInterval.
	keepSearches = 6
)

// restartKeeps limits the searches for workers on which to keep capacity for tasks that
// are down.
type restartKeeps struct {
	// since is when the counts below began.
	since time.Time
	left  int
	// failed holds, by service, the sizes for which there is no such worker.
	failed map[string]*shortage
}

func newRestartKeeps(now time.Time) restartKeeps {
	return restartKeeps{
		since:  now,
		left:   keepSearches,
		failed: map[string]*shortage{},
	}
}

// keepForRestart keeps capacity for a task that is down and fits nowhere, on the worker
// where it is expected to be free first. Load pattern: smaller quick tasks take each
// part of it that comes free, so that the whole is never free at once.
func (b *Board) keepForRestart(down restart, pool []*workerState, now time.Time) {
	_, kept := b.reservations[down.key]
	if kept || b.keeps.left == 0 || workersKept(pool) >= max(1, len(pool)/keptShare) {
		return
	}
	service := b.serviceOf(down.job)
	if failed := b.keeps.failed[service]; failed != nil && failed.rulesOut(down.step.spec) {
		return
	}
	b.keeps.left--
	size := reservedSize(down.step.spec)
	var best *workerState
	bestWait := locality.Never
	for _, w := range pool {
		if !b.eligible(w, down.step, down.task) || !size.FitsIn(w.Capacity.Sub(w.longRunningSize()).Sub(w.reserved)) {
			continue
		}
		wait := b.freeAfter(w, size, now)
		if best != nil && best.ID != down.avoid && (w.ID == down.avoid || wait >= bestWait) {
			continue
		}
		if wait < locality.Never {
			best, bestWait = w, wait
		}
	}
	if best == nil {
		recordFailure(b.keeps.failed, service, down.step.spec)
		return
	}
	b.keep(down.key, best, size, now)
	held := b.reservations[down.key]
	held.restart, held.until = true, now.Add(bestWait+reservationTerm)
	b.reservations[down.key] = held
	best.keptForRestarts = best.keptForRestarts.Add(size)
}

// workersKept is the number of workers on which capacity is kept for tasks that are down.
func workersKept(pool []*workerState) int {
	count := 0
	for _, w := range pool {
		if w.keptForRestarts != (worker.Size{}) {
			count++
		}
	}
	return count
}

// freeAfter is the expected time until a size is free on a worker, if nothing is
// started there.
func (b *Board) freeAfter(w *workerState, size worker.Size, now time.Time) time.Duration {
	type ending struct {
		after time.Duration
		size  worker.Size
	}
	var runs []ending
	for key, held := range w.claims {
		if !held.longRunning {
			runs = append(runs, ending{
				after: b.remaining(w, key, held, now),
				size:  held.size,
			})
		}
	}
	slices.SortFunc(runs, func(a, c ending) int { return cmp.Compare(a.after, c.after) })
	free, after := w.free(), time.Duration(0)
	for _, run := range runs {
		if size.FitsIn(free) {
			break
		}
		free, after = free.Add(run.size), run.after
	}
	if !size.FitsIn(free) {
		return locality.Never
	}
	return after
}

// keepsRestart reports whether capacity that is kept for a task which is down may still
// be used by it.
func (b *Board) keepsRestart(key work.TaskKey, held reservation, now time.Time) bool {
	j, w := b.open[key.Job], b.workers[held.worker]
	if j == nil || w == nil || j.departing {
		return false
	}
	_, step, t := j.find(key)
	return b.mayReturn(j, step, t, w, now) && held.size.FitsIn(w.Capacity.Sub(w.longRunningSize()))
}

// restarting returns the tasks that are down and may start, the one that has been down
// for longest first: it may use the most capacity, so that none of the others fits
// where it does not.
func (b *Board) restarting(now time.Time) []restart {
	var out []restart
	for _, j := range b.open {
		if !j.rank.LongRunning || j.left == j.claims || b.jobReason(j) != NoReason {
			continue
		}
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if step.waiting == 0 || !occ.ready(step, now) {
					continue
				}
				for _, t := range step.tasks {
					if b.isDown(step, t, now) && b.startable(j, t, now) {
						out = append(out, restart{
							job:  j,
							step: step,
							task: t,
						})
					}
				}
			}
		}
	}
	slices.SortFunc(out, func(a, c restart) int {
		return cmp.Or(a.entitledSince().Compare(c.entitledSince()), compareKeys(a.key, c.key))
	})
	return out
}
