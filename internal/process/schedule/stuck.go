package schedule

import "time"

// Load pattern: on some workers tasks stand still although the worker answers,
// and what serves there keeps its users waiting without end.
const (
	// stuckAfter is how long a task may show no progress. One percent of the
	// longest tasks takes a tenth of it, also on a worker six times too slow.
	stuckAfter = 3 * time.Second
	// freshLook is how old the figures may be for a verdict.
	freshLook = 2 * time.Second
	// hungTail times its target is a tail that no filler causes.
	hungTail = 20
	// hungAfter is how long it has to last, longer than figures lag.
	hungAfter = 2 * time.Second
)

// unstick stops tasks that stand still, to start them elsewhere.
func (b *Board) unstick(now time.Time) {
	for _, w := range b.workers {
		if !w.reachable || w.heardUnder != b.token {
			continue
		}
		for key, held := range w.claims {
			j := b.open[key.Job]
			if j == nil || !held.sure || !held.stopping.IsZero() || now.Sub(held.confirmed) > freshLook {
				continue
			}
			if j.work.Steps[key.Step].Gang || !held.stands(now) {
				continue
			}
			w.health.note(EndedFailed, now)
			b.stop(w.ID, key, held.run, "stands_still")
		}
	}
}

// stands tells whether a run makes no progress by no order of ours.
func (c *claim) stands(now time.Time) bool {
	switch {
	case c.serving:
		return c.target > 0 && c.latency > hungTail*c.target && !c.over.IsZero() && now.Sub(c.over) > hungAfter
	case c.lasting || c.percent == 0:
		return false
	}
	return now.Sub(c.moved) > stuckAfter
}
