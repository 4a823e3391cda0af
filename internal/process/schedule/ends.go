package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// applyEnd applies the end of one run. It returns the job and version of the
// record that must be in the store before the worker may forget the end: one with
// all that follows from the end, also if an earlier end has caused it. Version zero
// means that nothing follows from it that a later leader would not find by itself.
func (b *Board) applyEnd(w *workerState, end EndedTask, now time.Time) (id string, version int64) {
	held := w.claims[end.Key]
	if held != nil && held.run == end.Run {
		b.recordHealth(w, end, held, now)
		b.noteBegun(end.Key, held, now)
		b.release(w, end.Key, now)
	}
	j := b.jobs[end.Key.Job]
	if j == nil {
		return "", 0
	}
	occ, step, t := j.find(end.Key)
	if j.progress.State.Final() || t != nil && t.phase == done {
		return j.work.ID, j.version
	}
	if t == nil {
		return "", 0
	}
	before := j.version
	b.acquit(j, t, end.Run)
	switch end.Ending {
	case EndedDone:
		if !step.spec.LongRunning {
			b.taskDone(j, occ, step, t, now)
			b.passOn(w, j, held, step, now)
		}
	case EndedFailed:
		b.taskFailed(j, w, step, t, end.Run, now)
	case EndedStopped, EndedLapsed, EndedBroken, EndedAlone:
		if end.Checkpoint != "" && t.phase == waiting {
			t.checkpoint = end.Checkpoint
			b.markChanged(j)
		}
	}
	counts := !step.spec.LongRunning && (end.Ending == EndedDone || end.Ending == EndedFailed)
	if j.version == before && !counts {
		return "", 0
	}
	return j.work.ID, j.version
}

func (b *Board) taskDone(j *job, occ *occurrence, step *stepState, t *task, now time.Time) {
	if t.phase == claimed {
		// An earlier run is done while a later one is running: stop the later
		// one.
		if w := b.workers[t.worker]; w != nil && w.claims[t.key] != nil {
			w.claims[t.key].orphaned = true
		}
		b.stop(t.worker, t.key, t.run, "done_elsewhere")
		j.claims--
		t.phase = waiting
		step.waiting++
	}
	j.finish(occ, step, t)
	if step.spec.Gang {
		b.gangDone(j, occ, step)
	}
	if j.left == 0 {
		b.end(j, work.Completed, now)
		return
	}
	b.markChanged(j)
}

func (b *Board) taskFailed(j *job, w *workerState, step *stepState, t *task, run int64, now time.Time) {
	t.avoid = w.ID
	if step.spec.LongRunning || slices.Contains(t.failures, run) {
		return
	}
	t.failures = append(t.failures, run)
	if bound := b.attemptsOf(j); bound > 0 && len(t.failures) >= bound {
		b.end(j, work.Failed, now)
		return
	}
	b.markChanged(j)
}

// gangDone counts the other members as done too: one end completes the gang.
func (b *Board) gangDone(j *job, occ *occurrence, step *stepState) {
	for _, t := range step.tasks {
		if t.phase == done {
			continue
		}
		if t.phase == claimed {
			if w := b.workers[t.worker]; w != nil {
				if held := w.claims[t.key]; held != nil && held.account == nil {
					w.removeClaim(t.key, held)
				} else if held != nil {
					held.orphaned = true // counts until its end is listed
				}
			}
			j.claims--
			t.phase = waiting
			step.waiting++
		}
		j.finish(occ, step, t)
	}
}
