package leader

import (
	"context"
	"sync"
	"time"
)

const (
	// meterInterval is the time between two timers of a LagMeter: 20 wake-ups a
	// second take about a thousandth of a small host's processor time.
	meterInterval = 50 * time.Millisecond
	// meterWindow is how long a late timer is remembered at least.
	meterWindow = steadyTime
)

// LagMeter measures how late the timers of this host are. It is safe for
// concurrent use.
type LagMeter struct {
	clock func() time.Time

	mu sync.Mutex
	// due is when the next timer expires, zero until Run is called.
	due time.Time
	// worst is the greatest lateness of the current window and of the one before
	// it; the current one began at windowAt.
	worst, worstBefore time.Duration
	windowAt           time.Time
}

// NewLagMeter returns a LagMeter; Run starts it.
func NewLagMeter(clock func() time.Time) *LagMeter {
	return &LagMeter{
		clock: clock,
	}
}

// Run measures until the context ends.
func (m *LagMeter) Run(ctx context.Context) {
	m.schedule(m.clock())
	timer := time.NewTimer(meterInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := m.clock()
		m.expired(now)
		m.schedule(now)
		timer.Reset(meterInterval)
	}
}

func (m *LagMeter) schedule(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = now.Add(meterInterval)
}

// expired records a timer that has expired.
func (m *LagMeter) expired(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.windowAt) >= meterWindow {
		m.worstBefore, m.worst, m.windowAt = m.worst, 0, now
	}
	m.worst = max(m.worst, now.Sub(m.due))
}

// Lag returns the greatest lateness of the last second or two. A timer that is
// overdue counts.
func (m *LagMeter) Lag() time.Duration {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	lag := max(m.worst, m.worstBefore)
	if !m.due.IsZero() {
		lag = max(lag, now.Sub(m.due))
	}
	return lag
}
