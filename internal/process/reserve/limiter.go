package reserve

import "time"

const (
	// preemptionShare is the share of the long-running tasks that may be
	// preempted per second. With 5.5 s from the stop to full progress, about 17 %
	// of them are down because of it at most; the limits of their steps mostly
	// allow less.
	preemptionShare = 0.03
	// burst is how many seconds' worth of preemptions may be ordered at once.
	burst = 2.0
	// scarcityPrice is by how many times its loss the gain of the last possible
	// preemption must exceed it. Without it, large quick jobs find the rate used
	// up by small ones: 10 to 25 % more tasks start too late.
	scarcityPrice = 4.0
	// MinInterval is the least time between two preemptions of one task, so that
	// a task serves for about three quarters of the time or more.
	MinInterval = 21 * time.Second
)

// Limiter limits the rate of preemptions, as each costs the leader a stop, a
// start and a write.
type Limiter struct {
	tokens, most float64
	updated      time.Time
}

// Refill adds what the time has allowed, for the given number of long-running
// runs.
func (l *Limiter) Refill(total int, now time.Time) {
	rate := preemptionShare * float64(total)
	l.most = max(1, burst*rate)
	if l.updated.IsZero() {
		l.tokens = l.most
	} else {
		l.tokens = min(l.most, l.tokens+rate*max(0, now.Sub(l.updated).Seconds()))
	}
	l.updated = now
}

// Allow reports whether the number of runs may be preempted now. More than a small
// fleet's burst is allowed too: the balance then stays negative for a time.
func (l *Limiter) Allow(count int) bool {
	return l.tokens >= min(l.most, float64(count))
}

// Price is by how much the gain of a preemption must exceed its loss: the fewer
// are left, the more.
func (l *Limiter) Price() float64 {
	return 1 + scarcityPrice*min(1, max(0, (l.most-l.tokens)/l.most))
}

// Take counts preemptions that Allow has permitted.
func (l *Limiter) Take(count int) {
	l.tokens -= float64(count)
}
