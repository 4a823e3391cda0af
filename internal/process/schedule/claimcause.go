package schedule

import "mustardreach.example/mustardreach/internal/request/work"

// claimCause returns the state of a task's claim, or that the task runs as far as
// is known.
func (e *explainer) claimCause(j *job, t *task) (why cause, runs bool) {
	w := e.board.workers[t.worker]
	if w == nil {
		return cause{
			reason: ClaimInconsistent,
		}, false
	}
	held := w.claims[t.key]
	if held != nil && held.run == t.run && held.runs(w) {
		return cause{}, true
	}
	out := cause{
		reason: e.claimReason(w, j, t, held),
		worker: w.ID,
	}
	if out.reason == WorkerUnreachable {
		out.until = w.leaseEnd
	}
	return out, false
}

// runs reports whether the run goes on as far as is known.
func (c *claim) runs(w *workerState) bool {
	return w.reachable && c.confirmed && c.stopping.IsZero() && c.barred.IsZero() && c.unlistedSince.IsZero()
}

// claimReason names the next event of a claim that is not known to run.
func (e *explainer) claimReason(w *workerState, j *job, t *task, held *claim) Reason {
	switch {
	case held == nil || held.run != t.run:
		return ClaimInconsistent
	case held.startDue:
		return e.startReason(j, held, t.key)
	case !w.reachable:
		return WorkerUnreachable
	case !held.barred.IsZero():
		return StopAccepted
	case !held.stopping.IsZero():
		return StopUnanswered
	case held.confirmed && !held.unlistedSince.IsZero():
		return RunUnlisted
	}
	return StopDue
}

// startReason names the next event of a start that is due or in flight.
func (e *explainer) startReason(j *job, held *claim, key work.TaskKey) Reason {
	orders := e.dueOrders()
	switch {
	case orders.retries[key] == held.run:
		return StartRetry
	case orders.unrecorded[key].start.Run != held.run:
		if held.unanswered > 0 {
			return StartUnanswered
		}
		return ClaimInconsistent
	case j.durable < orders.unrecorded[key].version:
		return PlacementUnsaved
	}
	if reason := e.termReason(); reason != NoReason {
		return reason
	}
	return StartsLimited
}

// dueOrders indexes the starts that wait to be sent by task.
type dueOrders struct {
	retries    map[work.TaskKey]int64
	unrecorded map[work.TaskKey]unrecordedStart
}

// dueOrders returns the starts that wait to be sent.
func (e *explainer) dueOrders() *dueOrders {
	if e.orders != nil {
		return e.orders
	}
	e.orders = &dueOrders{
		retries:    map[work.TaskKey]int64{},
		unrecorded: map[work.TaskKey]unrecordedStart{},
	}
	for _, start := range e.board.pendingRetries {
		e.orders.retries[start.Key] = start.Run
	}
	for _, next := range e.board.unrecordedStarts {
		e.orders.unrecorded[next.start.Key] = next
	}
	return e.orders
}
