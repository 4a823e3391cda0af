package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// drain moves work off workers that are about to shut down. Load pattern: a
// worker announces that it drains and stays up a few seconds more. What still
// runs when it shuts down is lost, and may be started elsewhere only once its lease is
// over. So each run either ends before the earliest shutdown or is stopped before it.
func (b *Board) drain(now time.Time) {
	for _, w := range b.workers {
		if !w.Draining || !w.reachable || len(w.claims) == 0 {
			continue
		}
		for key, held := range w.claims {
			if held.confirmed && held.stopping.IsZero() && b.mustMove(w, key, held, now) {
				b.stop(w.ID, key, held.run, "worker_drains")
			}
		}
	}
}

// stopMargin is the time that a stop needs before a worker shuts down.
const stopMargin = 500 * time.Millisecond

// mustMove reports whether a run on a draining worker has to be stopped now: it does not
// end in time. Long-running tasks move at once. So do those without checkpoints, which
// lose their work whenever they are stopped. Those with checkpoints, and those that should
// have ended, work on as long as a stop can still be answered.
func (b *Board) mustMove(w *workerState, key work.TaskKey, held *claim, now time.Time) bool {
	j := b.open[key.Job]
	if j == nil {
		return true
	}
	_, step, t := j.find(key)
	if t == nil || step.spec.LongRunning {
		return true
	}
	left := w.shutdownAt.Sub(now)
	rest := b.untilExpectedEnd(w, j, step, held, now)
	if rest > 0 && rest <= left {
		return false
	}
	return rest > 0 && !step.spec.Checkpoints || left < 2*stopMargin+b.config.StopGrace
}
