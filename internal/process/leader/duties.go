package leader

import (
	"sync/atomic"
	"time"
)

// dutyDelay is how much later a host tries to acquire a free leadership for
// each shard that it leads already. It is longer than the difference that
// processor time makes, so that leaderships spread over hosts.
const dutyDelay = 300 * time.Millisecond

// Duties counts the shards that a host leads or is about to lead. It is safe for
// concurrent use.
type Duties struct {
	count atomic.Int64
}

// otherDuties returns how many other shards the host leads.
func (l *Leader) otherDuties() int64 {
	count := l.config.Duties.count.Load()
	if l.onDuty {
		count--
	}
	return count
}

// acquireDue is when the host tries to acquire the leadership if it is free.
func (l *Leader) acquireDue() time.Time {
	due := l.acquireAt.Add(time.Duration(l.otherDuties()) * dutyDelay)
	if due.Before(l.yieldUntil) {
		return l.yieldUntil
	}
	return due
}

// reserveDuty counts this shard. It returns false if the number of other duties
// is not the given one any more.
func (l *Leader) reserveDuty(others int64) bool {
	if l.onDuty {
		return l.otherDuties() == others
	}
	l.onDuty = l.config.Duties.count.CompareAndSwap(others, others+1)
	return l.onDuty
}

func (l *Leader) takeDuty() {
	if !l.onDuty {
		l.onDuty = true
		l.config.Duties.count.Add(1)
	}
}

func (l *Leader) dropDuty() {
	if l.onDuty {
		l.onDuty = false
		l.config.Duties.count.Add(-1)
	}
}
