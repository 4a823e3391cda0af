package schedule

import (
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// drain moves work off workers that are about to shut down. Load pattern: a
// worker announces that it drains and stays up a few seconds more. What still
// runs when it shuts down is lost, and may be started elsewhere only once that
// is certain. Long-running tasks move at once, tasks with checkpoints shortly
// before the shutdown if they can't finish in the time left.
func (b *Board) drain(now time.Time) {
	for _, w := range b.workers {
		if !w.Draining || !w.reachable || len(w.claims) == 0 {
			continue
		}
		if w.drainingSince.IsZero() {
			w.drainingSince = now
		}
		left := w.drainingSince.Add(w.Remaining).Sub(now)
		for key, held := range w.claims {
			if held.confirmed && held.stopping.IsZero() && b.mustMove(key, held, left, now) {
				b.stop(w.ID, key, held.run, "worker_drains")
			}
		}
	}
}

// stopMargin is the time that a stop needs before a worker shuts down.
const stopMargin = 500 * time.Millisecond

func (b *Board) mustMove(key work.TaskKey, held *claim, left time.Duration, now time.Time) bool {
	j := b.open[key.Job]
	if j == nil {
		return true
	}
	spec := &j.work.Steps[key.Step]
	if spec.LongRunning {
		return true
	}
	remaining := b.estimates.runTime(j.work.Queue, spec) - now.Sub(held.started)
	return spec.Checkpoints && remaining > left-stopMargin && left < 2*stopMargin+b.config.StopGrace
}

// hasLeft reports whether a draining worker has closed its connections and is
// off the discovery list: it has shut down, and its runs have ended with it. A list
// that is not reliable may lack a worker that is alive.
func (b *Board) hasLeft(w *workerState) bool {
	return w.Draining && w.leftList && w.closed
}

// Closed records that a worker closed the connection of a poll. A worker that
// is only unreachable or slow does not do that.
func (b *Board) Closed(id string) {
	if w := b.workers[id]; w != nil {
		w.closed = true
	}
}

// isReplaced reports whether a younger worker has answered at the address of one that
// does not answer: its process has ended, and its runs with it. An order that is on its
// way names the worker, and the younger one refuses it. An entry with that address
// proves nothing, as anybody may have written it.
func (b *Board) isReplaced(w *workerState) bool {
	if w.reachable || w.Born.IsZero() {
		return false
	}
	for _, other := range b.workers {
		if other.tookOver(w.ID, w.usedAddress(), latestOf(w.Born, w.incarnation)) && other.lastReport.After(w.lastReport) {
			return true
		}
	}
	return false
}

// tookOver reports whether this worker has answered at the address of another one and
// began later than that.
func (w *workerState) tookOver(id string, address netip.AddrPort, incarnation time.Time) bool {
	return w.ID != id && w.answeredAt == address && w.incarnation.After(incarnation)
}

// usedAddress is where the worker last answered, or where an earlier leader has used it.
func (w *workerState) usedAddress() netip.AddrPort {
	if w.answeredAt.IsValid() {
		return w.answeredAt
	}
	return w.Address
}

// removeReplaced removes the workers that are no longer listed and have been replaced.
func (b *Board) removeReplaced(now time.Time) {
	var gone []*workerState
	for _, w := range b.workers {
		if !w.listed && b.isReplaced(w) {
			gone = append(gone, w)
		}
	}
	b.remove(gone, now)
	b.resolveLost(now)
}
