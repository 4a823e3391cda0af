package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustardreach.example/mustardreach/internal/request/runner"
)

const abandoned = runner.Abandoned

// exchange gets one answer to a call, by as many sends as are allowed. It
// returns the answer with the attempt that it came from, or a problem.
func (h *Handler) exchange(one *call) (sent, *attempt, *Problem) {
	slot := h.acquire(one, nil, false)
	if slot.Refused != "" {
		return sent{}, nil, h.overloaded(one, slot)
	}
	flight := &flight{
		handler:  h,
		call:     one,
		results:  make(chan sent, mostSends),
		attempts: map[uint64]*attempt{},
	}
	defer flight.cancelRest()
	flight.launch(slot)
	if one.repeatable {
		return flight.race()
	}
	return flight.single()
}

func (h *Handler) overloaded(one *call, slot Slot) *Problem {
	problem := &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     "no slot at any runner: " + slot.Refused,
		Outcome:    NotRun,
		RetryAfter: time.Second,
	}
	if errors.Is(one.ctx.Err(), context.DeadlineExceeded) {
		problem.Status = http.StatusGatewayTimeout
	}
	return problem
}

// mostSends bounds the sends of one call.
const mostSends = 4

// flight is the sends of one call.
type flight struct {
	handler *Handler
	call    *call
	results chan sent
	// attempts are those whose results have not come, by number.
	attempts map[uint64]*attempt
	avoid    []string
	sends    int
	// maybeRan means that some runner may have got the request.
	maybeRan bool
}

func (f *flight) launch(slot Slot) {
	f.sends++
	f.avoid = append(f.avoid, slot.Runner)
	ctx, cancel := context.WithDeadline(f.call.ctx, f.call.deadline)
	added := &attempt{
		handler: f.handler,
		call:    f.call,
		slot:    slot,
		results: f.results,
		ctx:     ctx,
		cancel:  cancel,
	}
	f.attempts[slot.Attempt] = added
	go added.run()
}

// cancelRest gives up on sends that nobody waits for any more; their slots
// come back when the runners are done.
func (f *flight) cancelRest() {
	for _, rest := range f.attempts {
		rest.cancel()
	}
}

// single sends a request once. If nothing left, another runner may be tried.
func (f *flight) single() (sent, *attempt, *Problem) {
	for {
		result := <-f.results
		from := f.attempts[result.slot.Attempt]
		delete(f.attempts, result.slot.Attempt)
		if result.err == nil {
			f.learn(result)
			return result, from, nil
		}
		if result.began {
			return sent{}, nil, f.lost(result)
		}
		if f.sends >= mostSends || f.call.ctx.Err() != nil {
			return sent{}, nil, f.unreached()
		}
		slot := f.handler.acquire(f.call, f.avoid, false)
		if slot.Refused != "" {
			return sent{}, nil, f.handler.overloaded(f.call, slot)
		}
		f.launch(slot)
	}
}

func (f *flight) lost(result sent) *Problem {
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

func (f *flight) unreached() *Problem {
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     "no runner could be reached; nothing was sent",
		Outcome:    NotRun,
		RetryAfter: time.Second,
	}
}

// race sends a repeatable request and hedges or retries within the budget.
func (f *flight) race() (sent, *attempt, *Problem) {
	var kept *sent
	var keptFrom *attempt
	hedge := f.hedgeTimer()
	defer hedge.Stop()
	for len(f.attempts) > 0 {
		select {
		case <-hedge.C:
			f.more()
		case result := <-f.results:
			from := f.attempts[result.slot.Attempt]
			delete(f.attempts, result.slot.Attempt)
			f.maybeRan = f.maybeRan || result.began
			if !result.failed() {
				f.learn(result)
				return result, from, nil
			}
			switch {
			case result.err == nil && result.whole:
				kept, keptFrom = &result, from
			case result.err == nil:
				_ = result.response.Body.Close()
				from.cancel()
			}
			f.more()
		}
	}
	if kept != nil {
		return *kept, keptFrom, nil
	}
	if f.maybeRan {
		return sent{}, nil, f.lost(sent{
			err: f.call.ctx.Err(),
		})
	}
	return sent{}, nil, f.unreached()
}

// more sends once more if the budget and the deadline allow.
func (f *flight) more() {
	if f.sends >= mostSends || f.call.ctx.Err() != nil {
		return
	}
	slot := f.handler.acquire(f.call, f.avoid, true)
	if slot.Refused == "" {
		f.handler.config.Counts.Add("extra_sends", 1)
		f.launch(slot)
	}
}

func (f *flight) hedgeTimer() *time.Timer {
	after := time.Until(f.call.deadline)
	known := false
	f.handler.desk.Ask(func() {
		if wait, ok := f.handler.desk.lane(f.call.service).budget.HedgeDelay(); ok {
			after, known = wait, true
		}
	})
	if !known {
		after /= 2
	}
	return time.NewTimer(after)
}

func (f *flight) learn(result sent) {
	f.handler.desk.Ask(func() { f.handler.desk.answered(f.call.service, result.took) })
}
