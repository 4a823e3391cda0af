package daytime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClock(t *testing.T) {
	steady := time.Unix(100, 0)
	base := time.Unix(1_700_000_000, 0)
	wrong := time.Duration(0)
	wall := func() time.Time { return base.Add(steady.Sub(time.Unix(100, 0))).Add(wrong) }
	clock := New(func() time.Time { return steady }, wall)
	right := func() time.Time { return base.Add(steady.Sub(time.Unix(100, 0))) }

	assert.Equal(t, right(), clock.Now())
	wrong = 5 * time.Second
	for range 50 {
		steady = steady.Add(100 * time.Millisecond)
		assert.Equal(t, right(), clock.Now(), "a jump is not believed")
	}
	wrong = 0
	steady = steady.Add(time.Second)
	assert.Equal(t, right(), clock.Now())

	wrong = time.Minute
	clock.Now()
	steady = steady.Add(belief + time.Second)
	assert.Equal(t, wall(), clock.Now(), "a clock that was set is believed in the end")

	wrong += 10 * time.Millisecond
	assert.Equal(t, wall(), clock.Now(), "drift is followed")
}
