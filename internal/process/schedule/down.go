package schedule

import (
	"cmp"
	"slices"
	"time"
)

// restart is a long-running task that waits after a run.
type restart struct {
	job  *job
	step *stepState
	*task
}

// restarts reports whether a task of the step waits after a run that has failed, was
// lost or was stopped, but for a preemption: its capacity is returned later. One whose
// runs end at once goes by its rank: hundreds of them, as of a faulty image, would take
// all starts from quick tasks.
func (s *stepState) restarts(t *task) bool {
	return s.spec.LongRunning && !s.spec.Gang && t.phase == waiting && !t.endedAt.IsZero() && !t.wasPreempted() && !t.endedAtOnce()
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
	for _, next := range b.restarting(now) {
		if b.startsLeft <= 0 {
			return
		}
		j, step, t := next.job, next.step, next.task
		if !j.admits(step) {
			continue
		}
		workers, shortages := b.poolFor(j, known, now)
		if queue := b.catalog.Queues[j.work.Queue]; queue.RequiresTicket && len(workers) > 0 {
			workers, shortages = b.admitted(queue, step, workers, now), newShortage()
		}
		if shortages.rulesOut(step.spec) || b.preference(j, step, workers, now).groupWaits() {
			continue
		}
		if w := b.chooseWorker(step, t, workers); w != nil {
			b.start(w, j, step, t, now)
			continue
		}
		shortages.lacking = true
		shortages.record(step.spec)
	}
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
					if step.restarts(t) && b.startable(j, t, now) {
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
		return cmp.Or(a.absentSince().Compare(c.absentSince()), compareKeys(a.key, c.key))
	})
	return out
}
