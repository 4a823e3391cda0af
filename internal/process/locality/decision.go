// Package locality decides whether a task waits for a place on its preferred
// rack or starts elsewhere, and for how long a wait is worth it.
//
// Load pattern: many jobs want the rack that holds their data at once. If each
// takes any worker while the rack is full, its tasks run several times as long
// and occupy that much more capacity; if all wait, the rack's queue grows longer
// than the run elsewhere would have taken.
package locality

import (
	"math"
	"time"
)

// Never is the time until a place that cannot come free.
const Never = time.Duration(math.MaxInt64)

// margin is how long before the last moment a wait ends: the longest time
// between two decisions, each of which follows a poll of the workers.
const margin = 200 * time.Millisecond

// Wait describes a task, or a group that starts as a unit, for which a place
// elsewhere is free and none on the preferred rack. Times count from now.
type Wait struct {
	// Near is the time until a place on the preferred rack is expected to be
	// free, corrected by the error of earlier waits, or Never.
	Near time.Duration
	// Rest is the rest of the run time on the preferred rack, and Factor the
	// ratio of run times elsewhere to those there.
	Rest   time.Duration
	Factor float64
	// Float is when the rest of the job, without this task, lets the steps after
	// this one start. An earlier end of this task does not help the job.
	Float time.Duration
	// Slack is the latest end of this task with which the job meets its
	// objective; it is negative if the job cannot meet it.
	Slack time.Duration
	// Waited is for how long a place elsewhere has been declined.
	Waited time.Duration
}

// Worthwhile returns for how long the task should wait from now on for the
// preferred rack, given that nothing else changes. Zero means that it should
// start elsewhere.
func (w Wait) Worthwhile() time.Duration {
	if w.Near > Never-w.Rest || w.Factor <= 1 || w.Rest <= 0 {
		return 0
	}
	elsewhere := time.Duration(w.Factor * float64(w.Rest))
	near := w.Near + w.Rest
	if near > w.Float && near >= elsewhere {
		return 0
	}
	// After a wait as long as the loss elsewhere, the task is at most that loss
	// later than with the better choice, however wrong the expectation is. While
	// other tasks of the job run longer, a wait costs the job nothing.
	limit := max(elsewhere-w.Rest-w.Waited, w.Float-elsewhere)
	if elsewhere <= w.Slack {
		if near > w.Slack {
			return 0
		}
		limit = min(limit, w.Slack-elsewhere-margin)
	}
	return max(0, limit)
}
