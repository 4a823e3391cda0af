package schedule

import "time"

// capacityCause returns why the task fits on no worker of the pool.
func (s *stepCause) capacityCause(t *task) cause {
	key := s.requestOf(s.job, s.step, t)
	why, known := s.searches[key]
	if !known || s.step.spec.Spread != 0 {
		why = s.searchPool(s.step, t, s.view)
	}
	if s.step.spec.Spread == 0 {
		s.searches[key] = why
	}
	switch {
	case why.reason != NoReason:
	case s.step.spec.Gang:
		return s.gangCapacityCause()
	case s.ruledOut(t):
		why.reason = SizeRuledOut
	}
	return why
}

// searchPool looks for a worker on which the task fits, as chooseWorker does.
// Without one it tells of each worker why.
func (e *explainer) searchPool(step *stepState, t *task, view *poolView) cause {
	excluded := view.excluded
	excluded[NotExcluded] = 0
	for _, w := range view.workers {
		excluded[e.misfit(w, step, t)]++
	}
	out := cause{
		excluded: &excluded,
	}
	if excluded[NotExcluded] == 0 {
		out.reason = nearest(&excluded)
	}
	return out
}

// nearest returns the reason that is nearest to its end: that of the workers which
// are suitable but for what runs there goes first.
func nearest(excluded *Exclusions) Reason {
	for _, next := range []Exclusion{ReservedCapacity, InsufficientCapacity, Interfering, SpreadReached, TicketDenied, LabelMissing} {
		if excluded[next] > 0 {
			return reasonOf(next)
		}
	}
	return NoWorker
}

// misfit is that of the board. Of a worker without the free capacity it tells
// whether the task could run there at all, and whether others keep it from there.
func (e *explainer) misfit(w *workerState, step *stepState, t *task) Exclusion {
	found := e.board.misfit(w, step, t)
	if found != InsufficientCapacity {
		return found
	}
	switch other := e.board.ineligible(w, step, t); {
	case other != NotExcluded:
		return other
	case reservedSize(step.spec).FitsIn(w.Capacity.Sub(w.used)):
		return ReservedCapacity
	}
	return found
}

// gangCapacityCause returns why a gang does not fit of which single tasks do.
func (s *stepCause) gangCapacityCause() cause {
	out := cause{
		excluded: &s.view.excluded,
	}
	switch {
	case s.board.room(s.step, s.view.workers) < len(s.step.tasks):
		out.reason = NoCapacity
	case s.step.spec.Filler:
		out.reason = Interference // it grows with each member
	}
	return out
}

// ruledOut reports whether the last decision has passed over the task because one of
// no larger size did not fit. It says nothing about the next one.
func (s *stepCause) ruledOut(t *task) bool {
	b := s.board
	if !b.placement.newest.Equal(s.now) || b.urgent(s.job) && !s.step.spec.Filler {
		return false
	}
	found := b.shortages[s.pool]
	return found != nil && found.rulesOut(s.step.spec) && !b.starving(s.job.work.ID, s.step.spec) && !b.longDown(s.step, t, s.now)
}

// endsAt notes when a worker may be used that is excluded for a time.
func (v *poolView) endsAt(at time.Time) {
	if v.until.IsZero() || at.Before(v.until) {
		v.until = at
	}
}
