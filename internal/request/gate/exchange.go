package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustardreach.example/mustardreach/internal/request/runner"
)

const abandoned = runner.Abandoned

// exchange obtains an answer to a call with as many sends as are allowed. It
// returns the answer with the attempt that produced it, or a problem.
func (h *Handler) exchange(c *call) (sendResult, *attempt, *Problem) {
	slot := h.acquire(c, nil, false)
	if slot.Refused != "" {
		return sendResult{}, nil, h.overloaded(c, slot)
	}
	group := &sendGroup{
		handler:  h,
		call:     c,
		results:  make(chan sendResult, maxSends),
		attempts: map[uint64]*attempt{},
	}
	defer group.cancelRemaining()
	group.start(slot)
	if c.repeatable {
		return group.sendRepeatable()
	}
	return group.sendOnce()
}

// overloaded is the problem of a call that got no slot.
func (h *Handler) overloaded(c *call, slot Slot) *Problem {
	problem := &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     "no slot at any runner: " + slot.Refused,
		Outcome:    NotRun,
		RetryAfter: time.Second,
	}
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		problem.Status = http.StatusGatewayTimeout
	}
	return problem
}

// maxSends bounds the sends of one call, first send included.
const maxSends = 4

// sendGroup holds the sends of one call.
type sendGroup struct {
	handler *Handler
	call    *call
	results chan sendResult
	// attempts holds those without a result yet, by attempt number.
	attempts map[uint64]*attempt
	// avoid lists the runners that have been sent the request.
	avoid []string
	sends int
	// maybeRan means that a runner may have received the request.
	maybeRan bool
}

func (g *sendGroup) start(slot Slot) {
	g.sends++
	g.avoid = append(g.avoid, slot.Runner)
	ctx, cancel := context.WithDeadline(g.call.ctx, g.call.deadline)
	added := &attempt{
		handler: g.handler,
		call:    g.call,
		slot:    slot,
		results: g.results,
		ctx:     ctx,
		cancel:  cancel,
	}
	g.attempts[slot.Attempt] = added
	go added.run()
}

// cancelRemaining cancels the sends whose answers are no longer needed. Their
// slots are given back when the runners have finished.
func (g *sendGroup) cancelRemaining() {
	for _, remaining := range g.attempts {
		remaining.cancel()
	}
}

// sendOnce sends a request that must not run twice. It tries another runner
// only if nothing was written to the one before.
func (g *sendGroup) sendOnce() (sendResult, *attempt, *Problem) {
	for {
		result := <-g.results
		from := g.attempts[result.slot.Attempt]
		delete(g.attempts, result.slot.Attempt)
		if result.err == nil {
			g.recordLatency(result)
			return result, from, nil
		}
		if result.written {
			return sendResult{}, nil, g.answerLost(result)
		}
		if g.sends >= maxSends || g.call.ctx.Err() != nil {
			return sendResult{}, nil, g.noRunnerReached()
		}
		slot := g.handler.acquire(g.call, g.avoid, false)
		if slot.Refused != "" {
			return sendResult{}, nil, g.handler.overloaded(g.call, slot)
		}
		g.start(slot)
	}
}

// answerLost is the problem of a request that may have run without an answer.
func (g *sendGroup) answerLost(result sendResult) *Problem {
	problem := &Problem{
		Status:  http.StatusBadGateway,
		Detail:  "the runner's answer was lost; the work may have run",
		Outcome: Unknown,
	}
	if errors.Is(result.err, context.DeadlineExceeded) {
		problem.Status = http.StatusGatewayTimeout
		problem.Detail = "no answer before the deadline; the work may have run"
	}
	return problem
}

// noRunnerReached is the problem of a request that was not sent to any runner.
func (g *sendGroup) noRunnerReached() *Problem {
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     "no runner could be reached; nothing was sent",
		Outcome:    NotRun,
		RetryAfter: time.Second,
	}
}

// sendRepeatable sends a repeatable request and hedges or retries it within the
// retry budget. If all sends fail, it returns the last complete error answer.
func (g *sendGroup) sendRepeatable() (sendResult, *attempt, *Problem) {
	var fallback *sendResult
	var fallbackFrom *attempt
	hedge := g.hedgeTimer()
	defer hedge.Stop()
	for len(g.attempts) > 0 {
		select {
		case <-hedge.C:
			g.sendExtra()
		case result := <-g.results:
			from := g.attempts[result.slot.Attempt]
			delete(g.attempts, result.slot.Attempt)
			g.maybeRan = g.maybeRan || result.written
			if !result.failed() {
				g.recordLatency(result)
				return result, from, nil
			}
			switch {
			case result.err == nil && result.whole:
				fallback, fallbackFrom = &result, from
			case result.err == nil:
				_ = result.response.Body.Close()
				from.cancel()
			}
			g.sendExtra()
		}
	}
	if fallback != nil {
		return *fallback, fallbackFrom, nil
	}
	if g.maybeRan {
		return sendResult{}, nil, g.answerLost(sendResult{
			err: g.call.ctx.Err(),
		})
	}
	return sendResult{}, nil, g.noRunnerReached()
}

// sendExtra sends the request once more if the retry budget, maxSends and the
// deadline permit.
func (g *sendGroup) sendExtra() {
	if g.sends >= maxSends || g.call.ctx.Err() != nil {
		return
	}
	slot := g.handler.acquire(g.call, g.avoid, true)
	if slot.Refused == "" {
		g.handler.config.Counts.Add("extra_sends", 1)
		g.start(slot)
	}
}

// hedgeTimer fires when a hedge is due: after the hedge delay of the service,
// or at half of the remaining time while too few latencies are known.
func (g *sendGroup) hedgeTimer() *time.Timer {
	after := time.Until(g.call.deadline)
	known := false
	g.handler.admitter.Do(func() {
		if wait, ok := g.handler.admitter.serviceState(g.call.service).budget.HedgeDelay(); ok {
			after, known = wait, true
		}
	})
	if !known {
		after /= 2
	}
	return time.NewTimer(after)
}

func (g *sendGroup) recordLatency(result sendResult) {
	g.handler.admitter.Do(func() { g.handler.admitter.recordAnswer(g.call.service, result.took) })
}
