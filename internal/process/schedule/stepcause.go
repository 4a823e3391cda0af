package schedule

// stepCause finds why the waiting tasks of a ready step are not placed. The
// conditions are those of place, in its order.
type stepCause struct {
	*explainer
	job  *job
	step *stepState
	pool poolKey
	view *poolView
	// common holds for all tasks, unless its reason is NoReason.
	common cause
	// plain is the outcome of the search for a task without a state of its own, valid
	// if searched is set.
	plain    cause
	searched bool
}

func newStepCause(e *explainer, j *job, step *stepState) stepCause {
	out := stepCause{
		explainer: e,
		job:       j,
		step:      step,
	}
	if step.waiting == 0 {
		return out
	}
	out.pool = e.board.poolOf(j, e.board.serviceOf(j), e.now)
	out.view = e.poolView(out.pool)
	out.common = out.commonCause()
	return out
}

func (s *stepCause) commonCause() cause {
	b := s.board
	if reason := s.termReason(); reason != NoReason {
		return cause{
			reason: reason,
		}
	}
	switch reason := b.jobReason(s.job); {
	case reason != NoReason:
		return s.describe(reason, nil)
	case s.job.admits(s.step):
	case s.job.account.Known():
		return cause{
			reason: Quota,
		}
	default:
		return cause{
			reason: QuotaUnknown,
		}
	}
	if s.step.spec.Gang {
		return s.gangCause()
	}
	return cause{}
}

// termReason returns why nothing at all is started.
func (e *explainer) termReason() Reason {
	switch {
	case e.board.fenced:
		return Superseded
	case !e.board.startsAllowed:
		return LeadershipInDoubt
	}
	return NoReason
}

// gangCause returns why no member of a gang may start, apart from capacity.
func (s *stepCause) gangCause() cause {
	for _, t := range s.step.tasks {
		if t.phase != waiting {
			continue
		}
		if reason := s.board.doubt(s.job, t); reason != NoReason {
			return s.describe(reason, t)
		}
	}
	if s.step.waiting == len(s.step.tasks) {
		first := s.step.tasks[0]
		return s.describe(s.board.taskReason(s.job, first, s.now), first)
	}
	// The members that have claims are being stopped.
	for _, t := range s.step.tasks {
		if t.phase != claimed {
			continue
		}
		if why, runs := s.claimCause(s.job, t); !runs {
			return why
		}
	}
	return cause{
		reason: StopDue,
	}
}

// of returns why a waiting task is not placed.
func (s *stepCause) of(t *task) cause {
	if s.common.reason != NoReason {
		return s.common
	}
	if reason := s.board.taskReason(s.job, t, s.now); reason != NoReason && !s.step.spec.Gang {
		return s.describe(reason, t)
	}
	why := s.workerCause(t)
	if why.reason == NoReason && s.board.startsLeft <= 0 {
		why.reason = StartsLimited
	}
	return why
}

// describe adds what is known of the end of a reason. Without a task, or without
// one that is located, a takeover waits for all workers.
func (e *explainer) describe(reason Reason, t *task) cause {
	out := cause{
		reason: reason,
	}
	switch {
	case reason == RetryPause:
		out.until = t.notBefore
	case reason != Takeover:
	case t != nil && t.located:
		for _, id := range e.board.unsettledWorkers(t) {
			out.worker, out.until = id, e.board.workers[id].leaseEnd
		}
	default:
		for _, w := range e.unsettled() {
			out.until = latestOf(out.until, e.now.Add(w.Remaining))
		}
	}
	return out
}

// workerCause returns why no worker is found for a task.
func (s *stepCause) workerCause(t *task) cause {
	b := s.board
	held, reserved := b.reservations[t.key]
	if !reserved && t.wait == nil && !b.longDown(s.step, t, s.now) {
		if !s.searched {
			s.plain, s.searched = s.search(t), true
		}
		return s.plain
	}
	switch {
	case reserved && b.reservedWorker(held, s.step, t, s.view.workers) != nil:
		return cause{}
	case reserved && !s.step.spec.LongRunning:
		return cause{
			reason: Reserved,
			worker: held.worker,
			until:  held.until,
		}
	}
	return s.search(t)
}

// search looks for a worker as place does.
func (s *stepCause) search(t *task) cause {
	b := s.board
	if len(s.view.workers) == 0 {
		return cause{
			reason:   NoWorker,
			until:    s.view.until,
			excluded: &s.view.excluded,
		}
	}
	if terms, _ := b.termsOf(s.job); terms.RequiresTicket {
		return s.ticketCause(t)
	}
	if s.waitsForRack(t.wait) || s.waitsForRack(s.step.wait) {
		return cause{
			reason:   RackWait,
			excluded: &s.view.excluded,
		}
	}
	return s.capacityCause(t)
}

// waitsForRack reports whether the last decision has declined a worker for a
// preferred rack.
func (e *explainer) waitsForRack(current *wait) bool {
	return current != nil && current.declinedAt.Equal(e.board.placement.newest)
}

// endsSearch reports whether placeStep tries no further task of the step once it has
// found no worker for this one, which was preempted.
func (s *stepCause) endsSearch(t *task, why cause) bool {
	return !s.step.spec.Gang && s.step.spec.LongRunning && !t.endedAt.IsZero() && !s.board.isDown(s.step, t, s.now) && why.excluded != nil && why.reason != RackWait
}

// afterSearch returns the cause of a task which the search for the step did not get to
// if it ended at an earlier one. That one may use no less once it has been down for long
// itself.
func (s *stepCause) afterSearch(ended *task, why cause) cause {
	if ended == nil || why.reason != NoReason || !s.board.placement.newest.Equal(s.now) {
		return why
	}
	return cause{
		reason: PassedOver,
		until:  ended.entitledSince().Add(takesReservedAfter),
	}
}

// ticketCause returns why a task that needs a ticket finds no worker.
func (s *stepCause) ticketCause(t *task) cause {
	advice, excluded := s.step.advice, s.view.excluded
	if advice == nil {
		return cause{} // the next decision requests tickets
	}
	admitted, unknown := s.board.divide(s.step, s.view.workers, s.now)
	excluded[NotExcluded] = 0
	for _, w := range admitted {
		excluded[s.misfit(w, s.step, t)]++
	}
	if excluded[NotExcluded] > 0 {
		return cause{}
	}
	for _, w := range s.view.workers {
		switch {
		case advice.denied[w.ID]:
			excluded[TicketDenied]++
		default:
			excluded[s.misfit(w, s.step, t)]++
		}
	}
	out := cause{
		excluded: &excluded,
	}
	switch {
	case advice.requesting:
		out.reason = TicketRequested
	case len(unknown) == 0:
		excluded[NotExcluded] = 0
		out.reason = nearest(&excluded)
	case s.now.Before(advice.retryAfter):
		out.reason, out.until = TicketRetry, advice.retryAfter
	case !advice.turn.IsZero():
		out.reason, out.until = TicketTurn, advice.turn
	default:
		return cause{} // the next decision requests tickets
	}
	return out
}
