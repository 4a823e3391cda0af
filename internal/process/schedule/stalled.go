package schedule

import "time"

// Load pattern: on some workers tasks make no progress although the worker
// answers, and serving tasks there keep their users waiting indefinitely.
const (
	// progressTimeout is how long a task may show no progress. One percent of
	// the longest tasks takes a tenth of it, also on a worker six times too
	// slow.
	progressTimeout = 3 * time.Second
	// maxReportAge is how old a report may be for a task to be considered
	// stalled.
	maxReportAge = 2 * time.Second
	// hungLatencyFactor times the target is a tail latency that no filler
	// causes.
	hungLatencyFactor = 20
	// hungTimeout is how long such a latency must last. Reports lag by less.
	hungTimeout = 2 * time.Second
)

// stopStalled stops stalled tasks, to start them elsewhere.
func (b *Board) stopStalled(now time.Time) {
	for _, w := range b.workers {
		if !w.reachable || w.reportedToken != b.token {
			continue
		}
		for key, held := range w.claims {
			j := b.open[key.Job]
			if j == nil || !held.confirmed || !held.stopping.IsZero() || now.Sub(held.confirmedAt) > maxReportAge {
				continue
			}
			if j.work.Steps[key.Step].Gang || !held.isStalled(now) {
				continue
			}
			w.health.record(EndedFailed, now)
			b.stop(w.ID, key, held.run, "stands_still")
		}
	}
}

// isStalled reports whether a run makes no progress for a reason other than
// throttling.
func (c *claim) isStalled(now time.Time) bool {
	switch {
	case c.serving:
		return c.target > 0 && c.latency > hungLatencyFactor*c.target && !c.overTargetSince.IsZero() && now.Sub(c.overTargetSince) > hungTimeout
	case c.longRunning || c.throttle == 0:
		return false
	}
	return now.Sub(c.lastProgress) > progressTimeout
}
