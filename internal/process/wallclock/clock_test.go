package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestClock moves the wall clock: a jump of seconds that is undone must not
// show, a lasting change must, and drift must be followed at once.
func TestClock(t *testing.T) {
	monotonic := time.Unix(100, 0)
	base := time.Unix(1_700_000_000, 0)
	wallError := time.Duration(0)
	wall := func() time.Time { return base.Add(monotonic.Sub(time.Unix(100, 0))).Add(wallError) }
	clock := New(func() time.Time { return monotonic }, wall)
	trueTime := func() time.Time { return base.Add(monotonic.Sub(time.Unix(100, 0))) }

	assert.Equal(t, trueTime(), clock.Now())
	wallError = 5 * time.Second
	for range 50 {
		monotonic = monotonic.Add(100 * time.Millisecond)
		assert.Equal(t, trueTime(), clock.Now(), "a temporary jump is ignored")
	}
	wallError = 0
	monotonic = monotonic.Add(time.Second)
	assert.Equal(t, trueTime(), clock.Now())

	wallError = time.Minute
	clock.Now()
	monotonic = monotonic.Add(minDisagreement + time.Second)
	assert.Equal(t, wall(), clock.Now(), "a lasting change of the wall clock is adopted")

	wallError += 10 * time.Millisecond
	assert.Equal(t, wall(), clock.Now(), "drift is followed")
}
