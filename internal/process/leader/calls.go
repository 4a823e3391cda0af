package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// call is one order on its way to a worker; one of the three is set.
type call struct {
	reign  *reign
	target Target
	lease  Lease
	// until is when the leadership can no longer be relied on.
	until time.Time
	start *schedule.Start
	stop  *schedule.Stop
	pace  *schedule.Pace
}

// carryOut sends what the board decided.
func (r *reign) carryOut(effects schedule.Effects, now time.Time) {
	r.ask(effects.Asks)
	for i := range effects.Stops {
		r.order(&call{
			stop: &effects.Stops[i],
		}, effects.Stops[i].Worker, now)
	}
	for i := range effects.Starts {
		r.order(&call{
			start: &effects.Starts[i],
		}, effects.Starts[i].Worker, now)
	}
	for i := range effects.Paces {
		r.order(&call{
			pace: &effects.Paces[i],
		}, effects.Paces[i].Worker, now)
	}
}

func (r *reign) order(one *call, worker string, now time.Time) {
	to := r.links[worker]
	if to == nil {
		return
	}
	one.reign, one.target, one.until = r, to.target, r.actUntil
	one.lease = r.leaseFor(to, now)
	r.waiting = append(r.waiting, one)
	r.dispatch()
}

// dispatch starts waiting calls while there is room for more.
func (r *reign) dispatch() {
	for len(r.waiting) > 0 {
		select {
		case r.leader.calls <- struct{}{}:
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			go next.run(r.ctx)
		default:
			return
		}
	}
}

func (c *call) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := c.reign.leader.config.Clock()
	verdict, clock := c.send(limited)
	c.reign.leader.config.Took(c.kind(), c.reign.leader.config.Clock().Sub(begun))
	<-c.reign.leader.calls
	c.reign.post(func(now time.Time) { c.reign.replied(c, verdict, clock, now) })
}

// kind names the call in metrics.
func (c *call) kind() string {
	switch {
	case c.stop != nil:
		return "stop"
	case c.pace != nil:
		return "pace"
	}
	return "start"
}

func (c *call) send(ctx context.Context) (schedule.Verdict, time.Duration) {
	calls := &c.reign.leader.config.Calls
	switch {
	case c.stop != nil:
		return calls.Stop(ctx, c.target, c.lease, *c.stop)
	case c.pace != nil:
		return calls.Pace(ctx, c.target, c.lease, *c.pace)
	case c.reign.leader.config.Clock().After(c.until):
		return schedule.NotSent, 0
	}
	return calls.Start(ctx, c.target, c.lease, *c.start)
}

func (r *reign) replied(c *call, verdict schedule.Verdict, _ time.Duration, now time.Time) {
	r.dispatch()
	if verdict == schedule.Fenced && c.lease.Token != r.token {
		verdict = schedule.TooLate // the order bore this reign's former token
	}
	board := r.leader.board
	r.leader.config.Counts.Add(c.kind()+"_"+verdict.String(), 1)
	switch {
	case c.start != nil:
		klog.InfoS("start", "job", c.start.Key.Job, "task", c.start.Key, "run", c.start.Run,
			"worker", c.start.Worker, "token", c.lease.Token, "resumes", c.start.Checkpoint != "", "outcome", verdict)
		board.Replied(*c.start, verdict, now)
	case c.stop != nil:
		klog.InfoS("stop", "job", c.stop.Key.Job, "task", c.stop.Key, "run", c.stop.Run,
			"worker", c.stop.Worker, "reason", c.stop.Reason, "outcome", verdict)
		board.Stopped(*c.stop, verdict, now)
	case c.pace != nil:
		klog.InfoS("pace", "job", c.pace.Key.Job, "task", c.pace.Key, "run", c.pace.Run,
			"worker", c.pace.Worker, "percent", c.pace.Percent, "outcome", verdict)
		board.Paced(*c.pace, verdict)
	}
}
