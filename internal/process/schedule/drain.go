package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// drain moves work off workers that are about to leave. Load pattern: a worker
// says that it drains and lives a few seconds more; whatever still runs when it
// leaves is lost, and may be started elsewhere only once that is certain.
// Lasting tasks move at once, others if they cannot be done in the time left.
func (b *Board) drain(now time.Time) {
	for _, w := range b.workers {
		if !w.Draining || !w.reachable || len(w.claims) == 0 {
			continue
		}
		if w.drainSeen.IsZero() {
			w.drainSeen = now
		}
		left := w.drainSeen.Add(w.Remaining).Sub(now)
		for key, held := range w.claims {
			if held.sure && held.stopping.IsZero() && b.mustMove(key, held, left, now) {
				b.stop(w.ID, key, held.run, "worker_drains")
			}
		}
	}
}

// stopMargin is kept for a stop to be carried out before a worker leaves.
const stopMargin = 500 * time.Millisecond

func (b *Board) mustMove(key work.TaskKey, held *claim, left time.Duration, now time.Time) bool {
	j := b.open[key.Job]
	if j == nil {
		return true
	}
	spec := &j.work.Steps[key.Step]
	if spec.Lasting {
		return true
	}
	todo := b.estimates.of(j.work.Queue, spec) - now.Sub(held.started)
	return spec.Checkpoints && todo > left-stopMargin && left < 2*stopMargin+b.config.StopGrace
}

// left tells that a draining worker has closed its connections and is off the
// list: it has shut down, and what it ran has ended with it.
func (b *Board) left(w *workerState) bool {
	return w.Draining && !w.listed && w.closed
}

// Closed tells that a worker has closed the connection of a look, which one
// that is only cut off or slow does not do.
func (b *Board) Closed(id string) {
	if w := b.workers[id]; w != nil {
		w.closed = true
	}
}
