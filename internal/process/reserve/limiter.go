package reserve

import "time"

const (
	// preemptionShare is the share of the long-running tasks that may be
	// preempted per second. With 3.5 s from the stop to full progress, about 7 %
	// of them are down because of it at most.
	preemptionShare = 0.02
	// burst is how many seconds' worth of preemptions may be ordered at once.
	burst = 2.0
	// MinInterval is the least time between two preemptions of one task, so that
	// a task serves for at least five sixths of the time.
	MinInterval = 21 * time.Second
)

// Limiter limits the rate of preemptions, as each costs the leader a stop, a
// start and a write.
type Limiter struct {
	tokens  float64
	updated time.Time
}

// Allow reports whether the number of runs may be preempted now, out of the
// given number of long-running runs.
func (l *Limiter) Allow(count, total int, now time.Time) bool {
	rate := preemptionShare * float64(total)
	most := max(1, burst*rate)
	if l.updated.IsZero() {
		l.tokens = most
	} else {
		l.tokens = min(most, l.tokens+rate*max(0, now.Sub(l.updated).Seconds()))
	}
	l.updated = now
	// The cost may exceed a small fleet's burst: the balance then stays
	// negative for a time.
	return l.tokens >= min(most, float64(count))
}

// Take counts preemptions that Allow has permitted.
func (l *Limiter) Take(count int) {
	l.tokens -= float64(count)
}
