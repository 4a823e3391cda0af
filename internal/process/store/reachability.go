package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// lostAfter is how long calls must fail, without one that succeeds, before
	// the store counts as unreachable: shorter than a caller's retry pause, and
	// longer than a few lost packets.
	lostAfter = 400 * time.Millisecond
	// minFailures is how many calls must have failed by then.
	minFailures = 2
	// probeInterval is the time between two probes of an unreachable store,
	// probeTimeout bounds one: many times its usual response time.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// Reachability tracks whether this host reaches the store, from the outcomes of
// its calls. Load pattern: single hosts lose the path to the store while others
// keep it. Each caller of such a host would wait for its own write to time out,
// and get an answer that says nothing, although another host could serve it.
// It is safe for concurrent use.
type Reachability struct {
	clock func() time.Time

	mu sync.Mutex
	// failures counts the failed calls since the last one that succeeded,
	// failingSince is when the first of them failed.
	failures     int
	failingSince time.Time
	lost         bool
	// lostNow is signalled when the store becomes unreachable.
	lostNow chan struct{}
}

// NewReachability returns a Reachability that considers the store reachable.
func NewReachability(clock func() time.Time) *Reachability {
	return &Reachability{
		clock:   clock,
		lostNow: make(chan struct{}, 1),
	}
}

// Reachable reports whether calls are expected to succeed.
func (r *Reachability) Reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}

// Observe records the outcome of a call that was sent at a time. An error by
// which the store answered counts as success. A call that its caller gave up, or
// for which there was little time, says nothing.
func (r *Reachability) Observe(ctx context.Context, sent time.Time, err error) {
	now := r.clock()
	if errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && now.Sub(sent) < probeTimeout {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
		if r.lost {
			klog.InfoS("store reachable", "failures", r.failures, "failed_for", now.Sub(r.failingSince))
		}
		r.failures, r.lost = 0, false
		return
	}
	if r.failures == 0 {
		r.failingSince = now
	}
	r.failures++
	if r.lost || r.failures < minFailures || now.Sub(r.failingSince) < lostAfter {
		return
	}
	r.lost = true
	klog.InfoS("store unreachable", "failures", r.failures, "failed_for", now.Sub(r.failingSince), "err", err)
	select {
	case r.lostNow <- struct{}{}:
	default:
	}
}

// Track returns a client whose calls are observed.
func (r *Reachability) Track(client Client) Client {
	tracked := client
	tracked.Get = func(ctx context.Context, key string) (Item, error) {
		sent := r.clock()
		item, err := client.Get(ctx, key)
		r.Observe(ctx, sent, err)
		return item, err
	}
	tracked.Page = func(ctx context.Context, prefix, after string) (Page, error) {
		sent := r.clock()
		page, err := client.Page(ctx, prefix, after)
		r.Observe(ctx, sent, err)
		return page, err
	}
	tracked.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
		sent := r.clock()
		changes, err := client.Watch(ctx, prefix, after, wait)
		r.Observe(ctx, sent, err)
		return changes, err
	}
	tracked.Commit = func(ctx context.Context, commit Commit) (int64, error) {
		sent := r.clock()
		revision, err := client.Commit(ctx, commit)
		r.Observe(ctx, sent, err)
		return revision, err
	}
	tracked.Grant = func(ctx context.Context, term time.Duration) (int64, error) {
		sent := r.clock()
		lease, err := client.Grant(ctx, term)
		r.Observe(ctx, sent, err)
		return lease, err
	}
	tracked.Renew = func(ctx context.Context, lease int64) error {
		sent := r.clock()
		err := client.Renew(ctx, lease)
		r.Observe(ctx, sent, err)
		return err
	}
	return tracked
}

// Prober reads a key while the store is unreachable, so that its return is
// noticed soon. It makes no calls otherwise.
type Prober struct {
	Reachability *Reachability
	// Client is a tracked client; Key is any key.
	Client Client
	Key    string
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reachability.lostNow:
		}
		for !p.Reachability.Reachable() {
			limited, cancel := context.WithTimeout(ctx, probeTimeout)
			_, _ = p.Client.Get(limited, p.Key) // the outcome is observed
			cancel()
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
	}
}
