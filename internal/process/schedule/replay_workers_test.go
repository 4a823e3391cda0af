package schedule

import (
	"time"

	"github.com/stretchr/testify/require"
)

func (r *replay) finishRuns(id string) {
	w := r.workers[id]
	for key, run := range w.running {
		if run.ends.IsZero() || r.now.Before(run.ends) {
			continue
		}
		ending := EndedDone
		switch {
		case run.stopped:
			ending = EndedStopped
		case run.fails:
			ending = EndedFailed
		}
		delete(w.running, key)
		w.number++
		w.ended = append(w.ended, EndedTask{
			Number: w.number,
			Key:    key,
			Run:    run.run,
			Ending: ending,
		})
		if run.longRunning {
			r.endedAt[key] = r.now
		}
	}
}

func (r *replay) report(id string) {
	w := r.workers[id]
	inventory := Inventory{
		Born:     w.born,
		Ended:    w.ended,
		Sent:     r.now,
		Received: r.now,
	}
	for key, run := range w.running {
		inventory.Running = append(inventory.Running, RunningTask{
			Key:     key,
			Run:     run.run,
			Percent: run.percent(r.now),
		})
	}
	r.board.LeaseExtended(id, r.now)
	r.board.ApplyReport(id, inventory, r.now)
	r.board.Confirmed(r.now)
	seen, _ := r.board.LastSeen(id)
	for len(w.ended) > 0 && w.ended[0].Number <= seen {
		w.ended = w.ended[1:]
	}
}

func (run *fleetRun) percent(now time.Time) int {
	if !run.longRunning {
		return int(100 * now.Sub(run.started) / (quickRunTime + time.Millisecond))
	}
	return min(100, int(100*now.Sub(run.started)/replayWarmUp))
}

func (r *replay) start(start Start) {
	j := r.board.jobs[start.Key.Job]
	spec := j.work.Steps[start.Key.Step]
	if verdict := r.faults.refusal(spec.LongRunning); verdict != Accepted {
		r.board.LeaseExtended(start.Worker, r.now)
		r.board.StartReplied(start, verdict, r.now)
		return
	}
	used := spec.Size.MilliCores
	for _, run := range r.workers[start.Worker].running {
		used += run.milliCores
	}
	require.LessOrEqual(r.t, used, int64(replayCores), "worker %s is overcommitted", start.Worker)
	run := &fleetRun{
		run:         start.Run,
		started:     r.now,
		milliCores:  spec.Size.MilliCores,
		longRunning: spec.LongRunning,
	}
	if !spec.LongRunning {
		run.ends = r.now.Add(quickRunTime)
		r.started[start.Key] = r.now
	}
	r.faults.apply(run, r.now)
	r.workers[start.Worker].running[start.Key] = run
	r.board.LeaseExtended(start.Worker, r.now)
	r.board.StartReplied(start, Accepted, r.now)
}

func (r *replay) stop(stop Stop) {
	r.stops[stop.Reason]++
	run := r.workers[stop.Worker].running[stop.Key]
	spec := r.board.jobs[stop.Key.Job].work.Steps[stop.Key.Step]
	if run != nil && run.longRunning && r.unavailableBeside(stop.Key)+1 > spec.MaxUnavailable {
		r.overMissed++
	}
	if run != nil && run.run <= stop.Run && !run.stopped {
		run.stopped, run.ends = true, r.now.Add(replayStop)
	}
	if r.unanswered {
		r.board.StopReplied(stop, Unknown, r.now)
		return
	}
	r.board.StopReplied(stop, Accepted, r.now)
}
