package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

const (
	// minAdvicePatience multiplies the time that a request for tickets should take:
	// one that was given up, by a leader that was here before, may be ahead of it.
	// The factor doubles with each request that times out, up to maxAdvicePatience, so
	// that a service that is slower than it says is waited for.
	minAdvicePatience = 2
	maxAdvicePatience = 64
	// adviceWaitAge is how long a leader keeps its place in line without asking for
	// it again, several times its longest pause.
	adviceWaitAge = time.Second
)

// adviceTurns lets the leaders on a host request tickets one at a time, in turn: the
// service handles one call at a time for each calling machine. It is safe for
// concurrent use.
type adviceTurns struct {
	mu sync.Mutex
	// holder may send a request or has one in flight; nil if nobody does.
	holder *Leader
	// waiting holds the leaders that wait for their turn, in order.
	waiting []adviceWait
	// patience is the current factor.
	patience int
}

type adviceWait struct {
	leader *Leader
	// askedAt is when the leader last asked.
	askedAt time.Time
}

func newAdviceTurns() *adviceTurns {
	return &adviceTurns{
		patience: minAdvicePatience,
	}
}

// take reports whether it is the leader's turn. If so, it must call release; otherwise
// its place in line is kept.
func (a *adviceTurns) take(l *Leader, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(wait adviceWait) bool {
		return wait.leader != l && now.Sub(wait.askedAt) > adviceWaitAge
	})
	if a.holder == nil && (len(a.waiting) == 0 || a.waiting[0].leader == l) {
		a.holder = l
		a.waiting = a.waiting[min(1, len(a.waiting)):]
		return true
	}
	index := slices.IndexFunc(a.waiting, func(wait adviceWait) bool { return wait.leader == l })
	if index < 0 {
		index = len(a.waiting)
		a.waiting = append(a.waiting, adviceWait{
			leader: l,
		})
	}
	a.waiting[index].askedAt = now
	return false
}

// release ends a turn and wakes the next leader in line.
func (a *adviceTurns) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder = nil
	if len(a.waiting) > 0 {
		a.waiting[0].leader.wake()
	}
}

// timeout returns how long a request may take that should take a time.
func (a *adviceTurns) timeout(usual time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.patience)*usual + callTimeout
}

// answered adapts the patience to the outcome of a request.
func (a *adviceTurns) answered(timedOut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if timedOut {
		a.patience = min(maxAdvicePatience, 2*a.patience)
	} else {
		a.patience = max(minAdvicePatience, a.patience/2)
	}
}

// wake makes the loop take a step soon. It does not wait for a full queue of events.
func (l *Leader) wake() {
	select {
	case l.events <- queuedEvent{
		handle: func(time.Time) {},
		at:     l.config.Clock(),
	}:
	default:
	}
}

// decide makes a decision and sends its orders. It may request tickets if it is this
// leader's turn.
func (t *term) decide(now time.Time, allowed bool) {
	board, turns := t.leader.board, t.leader.config.advice
	limit := 0
	if board.WaitingTicketRequests() > 0 && !t.requestingTickets && turns.take(t.leader, now) {
		limit = 1
	}
	board.LimitTicketRequests(limit)
	effects := board.Decide(now, allowed)
	if limit > 0 && len(effects.TicketRequests) == 0 {
		turns.release()
	}
	if limit == 0 && !t.requestingTickets && board.WaitingTicketRequests() > 0 {
		t.wakeIn(decideGap)
	}
	t.execute(effects, now)
}

// adviseCall is one request for tickets.
type adviseCall struct {
	term    *term
	request schedule.TicketRequest
}

// requestTickets sends the request for tickets of a decision, if it made one.
func (t *term) requestTickets(requests []schedule.TicketRequest) {
	for _, request := range requests {
		t.requestingTickets = true
		sent := &adviseCall{
			term:    t,
			request: request,
		}
		go sent.run(t.ctx)
	}
}

func (c *adviseCall) run(ctx context.Context) {
	config := &c.term.leader.config
	timeout := config.advice.timeout(c.request.Timeout)
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := config.Clock()
	granted, validFor, err := config.Calls.Advise(limited, c.request)
	took := config.Clock().Sub(sent)
	config.RecordDuration("advise", took)
	config.advice.answered(errors.Is(limited.Err(), context.DeadlineExceeded))
	config.advice.release()
	if err != nil {
		config.Counts.Add("advise_failed", 1)
	}
	c.term.post(func(now time.Time) {
		c.term.requestingTickets = false
		klog.InfoS("tickets requested", "job", c.request.Step.Job, "step", c.request.Step, "workers", len(c.request.Workers),
			"granted", len(granted), "term", validFor, "took", took, "timeout", timeout, "err", err)
		c.term.leader.board.TicketsReplied(c.request, granted, validFor, err == nil, now)
	})
}
