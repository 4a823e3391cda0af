// Package reserve decides how quick tasks of the highest priority get capacity
// beside long-running tasks of the same priority. It does no I/O and reads no
// clock.
//
// Load pattern: long-running tasks claim 95 % or more of all cores. What remains
// on each worker is smaller than most quick tasks, and neither kind has the lower
// priority. Quick tasks that fit nowhere then wait until the load is over.
package reserve

import "time"

// FullProgress is the progress at which a long-running task serves its users.
const FullProgress = 100

// Member is the state of one task of a long-running step.
type Member struct {
	// Running is set if its worker is reachable, has confirmed the run, and no
	// stop is pending.
	Running bool
	// Progress is the newest reported percentage, ChangedAt when it last changed.
	Progress  int
	ChangedAt time.Time
	// Preempted is when a stop was last ordered for a quick task. An unanswered
	// stop may have taken effect although the run is still reported.
	Preempted time.Time
}

// Available reports whether the member is running and was not down, for any
// cause, within the notice period.
func (m Member) Available(now time.Time, notice time.Duration) bool {
	return m.Running && m.Progress >= FullProgress && now.Sub(m.ChangedAt) > notice && now.Sub(m.Preempted) > notice
}

// Preemptible returns how many more members of a step may be made unavailable.
// Without a known notice period there is none.
func Preemptible(members []Member, maxUnavailable int, notice time.Duration, now time.Time) int {
	if notice <= 0 {
		return 0
	}
	left := maxUnavailable
	for _, member := range members {
		if left <= 0 {
			return 0
		}
		if !member.Available(now, notice) {
			left--
		}
	}
	return max(0, left)
}
