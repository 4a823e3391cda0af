package leader

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// renew renews the lead key's lease in the store. The answer confirms the
// leadership; it is asked for earlier if starts wait for it.
func (t *term) renew(ctx context.Context, now time.Time) {
	interval := renewInterval
	if t.leader.board.NeedsConfirmation() && !t.renewalFailed {
		interval = confirmGap
	}
	if t.renewing || t.unoccupied || now.Sub(t.renewedAt) < interval {
		return
	}
	due := t.renewedAt.Add(interval)
	if due.Before(t.renewalAnsweredAt) {
		due = t.renewalAnsweredAt // the store was late, and not this host
	}
	t.leader.lag.renewalLate(now.Sub(due))
	t.renewing = true
	renewal := &renewalCall{
		term:  t,
		lease: t.lease,
		token: t.token,
		sent:  now,
	}
	t.leader.spawn(func() { renewal.run(ctx) })
}

// renewalCall is one renewal in flight.
type renewalCall struct {
	term         *term
	lease, token int64
	sent         time.Time
}

func (c *renewalCall) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.term.leader.config.Store.Renew(limited, c.lease)
	c.term.post(func(now time.Time) { c.term.handleRenewal(c, err, now) })
}

func (t *term) handleRenewal(c *renewalCall, err error, now time.Time) {
	t.renewing, t.renewedAt, t.renewalAnsweredAt, t.renewalFailed = false, c.sent, now, err != nil
	if c.token != t.token {
		return
	}
	switch {
	case err == nil:
		t.actUntil = c.sent.Add(ActTerm)
		t.leader.board.Confirmed(c.sent)
	case errors.Is(err, store.ErrNoLease):
		klog.InfoS("leadership lease lapsed", "shard", t.leader.config.Shard, "token", t.token, "lease", t.lease)
		t.lapse(now)
	default:
		klog.InfoS("leadership not renewed", "shard", t.leader.config.Shard, "token", t.token, "act_left", t.actUntil.Sub(now), "err", err)
	}
}
