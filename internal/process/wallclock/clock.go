// Package wallclock gives the time of day on hosts whose wall clock may jump
// and jump back. It advances the first reading of the wall clock by the
// monotonic clock, follows small drift, and adopts a jump only after the wall
// clock has disagreed for a while.
package wallclock

import (
	"sync"
	"time"
)

const (
	// maxDrift is the difference between the wall clock and Clock from which
	// the wall clock is taken to have jumped.
	maxDrift = 500 * time.Millisecond
	// minDisagreement is how long the wall clock must disagree before its time
	// is adopted: longer than a temporary jump lasts.
	minDisagreement = 20 * time.Second
)

// Clock is a time of day that ignores temporary jumps of the wall clock. It is
// safe for concurrent use.
type Clock struct {
	// monotonic and wall are the time sources.
	monotonic, wall func() time.Time

	mu sync.Mutex
	// offset is added to the monotonic time to get the time of day.
	offset time.Duration
	// disagreesSince is the monotonic time at which the wall clock was first
	// read as jumped; zero while it agrees.
	disagreesSince time.Time
}

// New returns a clock that starts at the current time of the wall clock.
func New(monotonic, wall func() time.Time) *Clock {
	return &Clock{
		monotonic: monotonic,
		wall:      wall,
		offset:    wall().Sub(monotonic()),
	}
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic, wallTime := c.monotonic(), c.wall().Round(0)
	offset := wallTime.Sub(monotonic)
	switch {
	case (offset - c.offset).Abs() < maxDrift:
		c.offset, c.disagreesSince = offset, time.Time{}
	case c.disagreesSince.IsZero():
		c.disagreesSince = monotonic
	case monotonic.Sub(c.disagreesSince) > minDisagreement:
		c.offset, c.disagreesSince = offset, time.Time{}
	}
	return monotonic.Add(c.offset)
}
