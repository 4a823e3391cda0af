package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// call is one order to a worker. Exactly one of start, stop and throttle is
// set.
type call struct {
	term   *term
	target Target
	lease  Lease
	// validUntil is when the leadership expires unless the store confirms it
	// again; a start is not sent after it.
	validUntil time.Time
	start      *schedule.Start
	stop       *schedule.Stop
	throttle   *schedule.Throttle
	// queuedAt is when the order was decided on.
	queuedAt time.Time
}

// execute sends the orders and ticket requests that the board decided on.
func (t *term) execute(effects schedule.Effects, now time.Time) {
	t.requestTickets(effects.TicketRequests)
	t.logCrashes(effects.Crashes)
	t.logPreemptions(effects.Preemptions)
	t.logPackingChanges(effects.PackingChanges)
	for i := range effects.Stops {
		t.order(&call{
			stop: &effects.Stops[i],
		}, effects.Stops[i].Worker, now)
	}
	for i := range effects.Starts {
		t.order(&call{
			start: &effects.Starts[i],
		}, effects.Starts[i].Worker, now)
	}
	for i := range effects.Throttles {
		t.order(&call{
			throttle: &effects.Throttles[i],
		}, effects.Throttles[i].Worker, now)
	}
	t.dispatch(now) // calls of an earlier term may have freed slots
}

func (t *term) order(c *call, worker string, now time.Time) {
	workerLink := t.links[worker]
	if workerLink == nil {
		t.handleReply(c, schedule.NotSent, 0, now) // the board awaits an answer to every order
		return
	}
	c.term, c.target, c.validUntil, c.queuedAt = t, workerLink.target, t.actUntil, now
	c.lease = Lease{
		Token: t.tokenOf(worker),
	}
	if c.start != nil {
		c.lease = t.leaseFor(workerLink, now) // no other order requests a lease
		t.fences.sent(worker, c.lease.Token)
	}
	t.waiting = append(t.waiting, c)
	t.dispatch(now)
}

// dispatch starts waiting calls while there are free call slots.
func (t *term) dispatch(now time.Time) {
	for len(t.waiting) > 0 {
		select {
		case t.leader.callSlots <- struct{}{}:
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.leader.lag.orderWaited(now.Sub(next.queuedAt), now)
			go next.run(t.ctx)
		default:
			return
		}
	}
}

func (c *call) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.term.leader.config.Clock()
	verdict, clock := c.send(limited)
	c.term.leader.config.RecordDuration(c.kind(), c.term.leader.config.Clock().Sub(sent))
	<-c.term.leader.callSlots
	c.term.post(func(now time.Time) { c.term.handleReply(c, verdict, clock, now) })
}

// kind returns the call's name in metrics.
func (c *call) kind() string {
	switch {
	case c.stop != nil:
		return "stop"
	case c.throttle != nil:
		return "pace"
	}
	return "start"
}

func (c *call) send(ctx context.Context) (schedule.Verdict, time.Duration) {
	calls := &c.term.leader.config.Calls
	switch {
	case c.stop != nil:
		return calls.Stop(ctx, c.target, c.lease, *c.stop)
	case c.throttle != nil:
		return calls.Throttle(ctx, c.target, c.lease, *c.throttle)
	case c.term.leader.config.Clock().After(c.validUntil):
		return schedule.NotSent, 0
	}
	return calls.Start(ctx, c.target, c.lease, *c.start)
}

func (t *term) handleReply(c *call, verdict schedule.Verdict, _ time.Duration, now time.Time) {
	switch verdict {
	case schedule.Unknown:
		t.leader.lag.unansweredAt = now
	case schedule.NotSent:
	default:
		t.leader.lag.orderCarried()
	}
	t.dispatch(now)
	if verdict == schedule.Fenced && c.lease.Token < t.tokenOf(c.target.ID) {
		verdict = schedule.TooLate // the order carried an earlier token of this leader
	}
	board := t.leader.board
	t.leader.config.Counts.Add(c.kind()+"_"+verdict.String(), 1)
	switch {
	case c.start != nil:
		klog.InfoS("start", "job", c.start.Key.Job, "task", c.start.Key, "run", c.start.Run,
			"worker", c.start.Worker, "token", c.lease.Token, "resumes", c.start.Checkpoint != "", "outcome", verdict)
		board.StartReplied(*c.start, verdict, now)
	case c.stop != nil:
		klog.InfoS("stop", "job", c.stop.Key.Job, "task", c.stop.Key, "run", c.stop.Run,
			"worker", c.stop.Worker, "reason", c.stop.Reason, "outcome", verdict)
		board.StopReplied(*c.stop, verdict, now)
	case c.throttle != nil:
		klog.InfoS("pace", "job", c.throttle.Key.Job, "task", c.throttle.Key, "run", c.throttle.Run,
			"worker", c.throttle.Worker, "percent", c.throttle.Percent, "outcome", verdict)
		board.ThrottleReplied(*c.throttle, verdict)
	}
}

func (t *term) logCrashes(crashes []schedule.Crash) {
	for _, crash := range crashes {
		if crash.Worker != "" {
			t.leader.config.Counts.Add("worker_crashes", 1)
			suspects := make([]string, 0, len(crash.Suspects))
			for _, task := range crash.Suspects {
				suspects = append(suspects, task.String())
			}
			klog.InfoS("worker crashed", "worker", crash.Worker, "suspects", suspects,
				"most", crash.Most, "equals", crash.Equals)
		}
		for _, task := range crash.GivenUp {
			klog.InfoS("task given up", "job", task.Job, "task", task, "reason", "crashes_workers")
		}
	}
}
