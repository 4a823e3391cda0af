package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/reserve"
)

// stillPreemptible returns the runs of a place that still exist and whose steps
// still allow a preemption, at most as many of a step as it allows. They are valid
// until the next call.
func (b *Board) stillPreemptible(place preemptiblePlace) []reserve.Run {
	runs := b.urgentCapacity.scratch[:0]
	for _, run := range place.runs {
		held, step := place.worker.claims[run.Key], stepOf(run.Key)
		taken := 0
		for _, earlier := range runs {
			if stepOf(earlier.Key) == step {
				taken++
			}
		}
		if held != nil && held.stopping.IsZero() && taken < b.urgentCapacity.allowed[step] {
			runs = append(runs, run)
		}
	}
	b.urgentCapacity.scratch = runs
	return runs
}

// scanLongRunning finds the long-running runs that may be preempted for a
// priority. It goes through all runs, at most once per scanInterval.
func (b *Board) scanLongRunning(priority int, now time.Time) {
	state := b.urgentCapacity
	state.scannedAt, state.longRunning = now, 0
	state.places = state.places[:0]
	clear(state.failed)
	clear(state.allowed)
	clear(state.worthless)
	down := b.config.StopGrace + returnAfter + state.restart
	for _, w := range b.workers {
		var runs []reserve.Run
		for key, held := range w.claims {
			if !held.longRunning {
				continue
			}
			state.longRunning++
			j := b.open[key.Job]
			if j == nil || j.priority < priority || held.filler || !held.stopping.IsZero() {
				continue
			}
			_, step, t := j.find(key)
			if step.spec.Gang || now.Sub(t.preemptedAt) < reserve.MinInterval || b.allowedOf(step, now) == 0 {
				continue
			}
			runs = append(runs, reserve.Run{
				Key:  key,
				Size: held.size,
				Loss: reserve.Loss(len(step.tasks), down),
			})
		}
		if len(runs) == 0 {
			continue
		}
		slices.SortFunc(runs, func(a, c reserve.Run) int { return compareKeys(a.Key, c.Key) })
		reserve.SortRuns(runs)
		state.places = append(state.places, preemptiblePlace{
			worker: w,
			runs:   runs,
		})
	}
	slices.SortFunc(state.places, func(a, c preemptiblePlace) int { return cmp.Compare(a.worker.ID, c.worker.ID) })
}

// allowedOf returns how many more members of a step may be preempted.
func (b *Board) allowedOf(step *stepState, now time.Time) int {
	key := stepOf(step.tasks[0].key)
	if allowed, ok := b.urgentCapacity.allowed[key]; ok {
		return allowed
	}
	members := make([]reserve.Member, 0, len(step.tasks))
	for _, t := range step.tasks {
		members = append(members, b.member(t, now))
	}
	allowed := reserve.Preemptible(members, step.spec.MaxUnavailable, b.config.Notice, now)
	b.urgentCapacity.allowed[key] = allowed
	return allowed
}

// member returns the state of a long-running task. A run that an earlier leader
// started counts as new, so that what that leader stopped is accounted for.
func (b *Board) member(t *task, now time.Time) reserve.Member {
	out := reserve.Member{
		Preempted: t.preemptedAt,
	}
	w := b.workers[t.worker]
	if t.phase != claimed || w == nil || !w.reachable || w.reportedToken != b.token || now.Sub(w.lastReport) > maxReportAge {
		return out
	}
	if held := w.claims[t.key]; held != nil && held.confirmed && held.stopping.IsZero() {
		out.Running, out.Progress, out.ChangedAt = true, held.progress, held.lastProgress
	}
	return out
}
