package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A host whose timers are late must report it while they are, for at least a
// second after, and not forever: else a slow host is taken for a good one, or a
// good one is never chosen again.
func TestLagMeterRemembersLateTimers(t *testing.T) {
	now := lagStart
	meter := NewLagMeter(func() time.Time { return now })
	assert.Zero(t, meter.Lag(), "nothing is measured yet")
	timer := func(late time.Duration) {
		meter.schedule(now)
		now = now.Add(meterInterval + late)
	}
	timer(0)
	meter.expired(now)
	assert.Zero(t, meter.Lag())
	timer(300 * time.Millisecond)
	assert.Equal(t, 300*time.Millisecond, meter.Lag(), "an overdue timer counts before it expires")
	meter.expired(now)
	lateAt := now
	for now.Sub(lateAt) < 2*meterWindow+2*meterInterval {
		timer(0)
		meter.expired(now)
		if now.Sub(lateAt) < meterWindow {
			require.Equal(t, 300*time.Millisecond, meter.Lag())
		}
	}
	assert.Zero(t, meter.Lag())
}

// The goroutine must set the timer again each time; a meter that stopped would
// report a lag that grows for ever.
func TestLagMeterRuns(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	meter := NewLagMeter(time.Now)
	go meter.Run(ctx)
	require.Eventually(t, func() bool {
		meter.mu.Lock()
		defer meter.mu.Unlock()
		return !meter.windowAt.IsZero()
	}, waitTimeout, time.Millisecond)
	first := func() time.Time {
		meter.mu.Lock()
		defer meter.mu.Unlock()
		return meter.due
	}
	due := first()
	require.Eventually(t, func() bool { return first().After(due.Add(2 * meterInterval)) }, waitTimeout, time.Millisecond)
}
