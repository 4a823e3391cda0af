package schedule

import "time"

// Load pattern: on some workers tasks make no progress although the worker
// answers, and serving tasks there keep their users waiting indefinitely.
const (
	// minProgressTimeout is the least time for which a task may show no progress.
	// A longer task may for the time that 1/progressFraction of it takes.
	minProgressTimeout = 3 * time.Second
	progressFraction   = 10
	// freeStalls is the number of stalled runs of a task before that time doubles:
	// several workers may hang. maxDoublings bounds it.
	freeStalls   = 2
	maxDoublings = 6
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
			_, step, t := j.find(key)
			if step.spec.Gang || !held.isStalled(now, b.progressTimeout(j, step, t)) {
				continue
			}
			if !held.stalled {
				held.stalled = true
				t.stalls++
			}
			w.health.record(EndedFailed, now)
			b.stop(w.ID, key, held.run, "stands_still")
		}
	}
}

// progressTimeout is how long a task may show no progress. It doubles with each
// stalled run after freeStalls, as the run time may be underestimated.
func (b *Board) progressTimeout(j *job, step *stepState, t *task) time.Duration {
	timeout := max(minProgressTimeout, b.estimates.runTime(j.work.Queue, step.spec)/progressFraction)
	return timeout << min(max(0, t.stalls-freeStalls), maxDoublings)
}

// isStalled reports whether a run makes no progress for longer than the timeout,
// for a reason other than throttling.
func (c *claim) isStalled(now time.Time, timeout time.Duration) bool {
	switch {
	case c.serving:
		return c.target > 0 && c.latency > hungLatencyFactor*c.target && !c.overTargetSince.IsZero() && now.Sub(c.overTargetSince) > hungTimeout
	case c.longRunning || c.throttle == 0:
		return false
	}
	return c.stalled || now.Sub(c.lastProgress) > timeout
}
