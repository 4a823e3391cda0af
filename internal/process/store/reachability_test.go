package store

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// outcome is a call that ends some time after the one before.
type outcome struct {
	after time.Duration
	err   error
}

// Guards against hosts that go on taking jobs which they cannot store, and
// against hosts that stop because of a single lost answer.
func TestReachability(t *testing.T) {
	tests := map[string]struct {
		outcomes []outcome
		want     bool
	}{
		"nothing observed": {
			want: true,
		},
		"one failure, however long ago": {
			outcomes: []outcome{
				{
					err: ErrUnknown,
				},
			},
			want: true,
		},
		"failures within a moment": {
			outcomes: []outcome{
				{
					err: ErrUnavailable,
				},
				{
					after: lostAfter - time.Millisecond,
					err:   ErrUnavailable,
				},
			},
			want: true,
		},
		"failures for long enough": {
			outcomes: []outcome{
				{
					err: ErrUnknown,
				},
				{
					after: lostAfter,
					err:   ErrUnavailable,
				},
			},
		},
		"a success in between": {
			outcomes: []outcome{
				{
					err: ErrUnknown,
				},
				{
					after: lostAfter / 2,
				},
				{
					after: lostAfter / 2,
					err:   ErrUnknown,
				},
			},
			want: true,
		},
		"back after a success": {
			outcomes: []outcome{
				{
					err: ErrUnknown,
				},
				{
					after: lostAfter,
					err:   ErrUnknown,
				},
				{
					after: time.Second,
					err:   ErrAbsent,
				},
			},
			want: true,
		},
		"an answer of the store is a success": {
			outcomes: []outcome{
				{
					err: ErrUnknown,
				},
				{
					after: lostAfter,
					err:   &ConflictError{},
				},
			},
			want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			reachability := NewReachability(func() time.Time { return now })
			for _, each := range test.outcomes {
				now = now.Add(each.after)
				reachability.Observe(t.Context(), now, each.err)
			}
			assert.Equal(t, test.want, reachability.Reachable())
		})
	}
}

// Guards against a host that counts calls which their callers gave up as
// failures of the store.
func TestReachabilityIgnoresCancelledCalls(t *testing.T) {
	now := time.Unix(0, 0)
	reachability := NewReachability(func() time.Time { return now })
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 3 {
		reachability.Observe(cancelled, now, ErrUnknown)
		now = now.Add(time.Second)
	}
	assert.True(t, reachability.Reachable())
}

// Guards against a host that takes a caller's nearly spent deadline for a failure
// of the store.
func TestReachabilityIgnoresShortDeadlines(t *testing.T) {
	now := time.Unix(0, 0)
	reachability := NewReachability(func() time.Time { return now })
	expired, cancel := context.WithDeadline(t.Context(), now)
	defer cancel()
	for range 3 {
		sent := now
		now = now.Add(probeTimeout - time.Millisecond)
		reachability.Observe(expired, sent, ErrUnknown)
	}
	assert.True(t, reachability.Reachable())
}

// Guards against a host that stays out of service after the store is back: with
// no calls of callers, only the probe notices.
func TestProberNoticesTheReturn(t *testing.T) {
	reachability := NewReachability(time.Now)
	client := reachability.Track(Client{
		Get: func(context.Context, string) (Item, error) { return Item{}, ErrAbsent },
	})
	prober := &Prober{
		Reachability: reachability,
		Client:       client,
		Key:          "any",
	}
	go prober.Run(t.Context())
	reachability.Observe(t.Context(), time.Now(), ErrUnknown)
	time.Sleep(lostAfter)
	reachability.Observe(t.Context(), time.Now(), ErrUnknown)
	assert.Eventually(t, reachability.Reachable, 2*probeInterval, time.Millisecond)
}
