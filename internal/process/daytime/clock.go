// Package daytime tells the time of day on hosts whose clock may jump and jump
// back. It goes on from what the clock said at first by the steady clock, and
// believes a different clock only once it has said so for a while.
package daytime

import (
	"sync"
	"time"
)

const (
	// jump is a difference that drift does not explain.
	jump = 500 * time.Millisecond
	// belief is how long a clock must go on saying something else: longer than
	// a clock that jumps stays wrong.
	belief = 20 * time.Second
)

// Clock is safe for concurrent use.
type Clock struct {
	// Steady and Wall are the sources.
	steady, wall func() time.Time

	mu     sync.Mutex
	offset time.Duration
	// since is when the wall clock was first seen elsewhere, zero if it agrees.
	since time.Time
}

// New reads the wall clock once.
func New(steady, wall func() time.Time) *Clock {
	return &Clock{
		steady: steady,
		wall:   wall,
		offset: wall().Sub(steady()),
	}
}

// Now is the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady, seen := c.steady(), c.wall().Round(0)
	offset := seen.Sub(steady)
	switch {
	case (offset - c.offset).Abs() < jump:
		c.offset, c.since = offset, time.Time{}
	case c.since.IsZero():
		c.since = steady
	case steady.Sub(c.since) > belief:
		c.offset, c.since = offset, time.Time{}
	}
	return steady.Add(c.offset)
}
