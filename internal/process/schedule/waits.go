package schedule

import "time"

// wait is a wait for a preferred rack, while places elsewhere are free.
type wait struct {
	rack string
	// lasted is for how long places elsewhere were declined, up to the decision at
	// declinedAt. Time without such a place does not count: the task would not have
	// started then. expected is how long the wait was first expected to last.
	lasted     time.Duration
	declinedAt time.Time
	expected   time.Duration
	// near is set if a group, which waits as a unit, has got a rack.
	near bool
}

// WaitCounts counts the waits for preferred racks. All but Waiting only rise
// during a term; a group that is placed as a unit counts once.
type WaitCounts struct {
	// Waiting is the number of waits in the newest decision.
	Waiting int
	// Started counts waits that began, Near those that ended with a start on the
	// preferred rack and GivenUp those that ended elsewhere.
	Started, Near, GivenUp int64
	// Expected and Actual sum the durations of ended waits.
	Expected, Actual time.Duration
}

// EndedWait is a wait that ended with a start.
type EndedWait struct {
	Job, Queue, Rack, Worker string
	Near                     bool
	Expected, Actual         time.Duration
}

// maxEndedWaits limits the ended waits that are kept for one log summary.
const maxEndedWaits = 4

// EndedWaits returns up to maxEndedWaits waits that ended since the last call.
func (b *Board) EndedWaits() []EndedWait {
	out := b.placement.ended
	b.placement.ended = nil
	return out
}

// placed records the start of a task: it ends its wait, and the forecast of the
// worker's rack changes.
func (b *Board) placed(j *job, step *stepState, t *task, w *workerState, now time.Time) {
	if len(b.placement.forecasts) > 0 {
		b.placement.took(w, step.spec, b.expectedRun(j, step, t, w))
	}
	ended := &t.wait
	if *ended == nil {
		ended = &step.wait
	}
	if *ended == nil {
		return
	}
	entry := EndedWait{
		Job:      j.work.ID,
		Queue:    j.work.Queue,
		Rack:     (*ended).rack,
		Worker:   w.ID,
		Near:     (*ended).near || ended == &t.wait && w.onRack((*ended).rack),
		Expected: (*ended).expected,
		Actual:   b.placement.upTo(*ended, now),
	}
	*ended = nil
	counts := &b.placement.counts
	if entry.Near {
		counts.Near++
	} else {
		counts.GivenUp++
	}
	counts.Expected += entry.Expected
	counts.Actual += entry.Actual
	b.placement.learned(j.work.Queue).Waited(entry.Expected, entry.Actual)
	if len(b.placement.ended) < maxEndedWaits {
		b.placement.ended = append(b.placement.ended, entry)
	}
}

// upTo is how long a wait has lasted at now.
func (p *placement) upTo(w *wait, now time.Time) time.Duration {
	if w.declinedAt.Before(p.previous) {
		return w.lasted
	}
	return w.lasted + now.Sub(w.declinedAt)
}

// lasted is how long the task or group has waited. An earlier leader may have
// begun a wait: then it counts from when the task may first have waited, so that
// a takeover does not restart it.
func (b *Board) lasted(current *wait, p *preference, t *task) time.Duration {
	switch {
	case current != nil:
		return b.placement.upTo(current, p.now)
	case p.job.fromEarlierTerm:
		return p.now.Sub(p.occ.readySince(p.step, t))
	}
	return 0
}

// continueWait begins a wait or continues the one that there is.
func (b *Board) continueWait(current *wait, rack string, lasted, expected time.Duration, now time.Time) *wait {
	b.placement.await(rack)
	if current == nil {
		b.placement.counts.Started++
		current = &wait{
			expected: lasted + expected,
		}
	}
	current.rack, current.lasted, current.declinedAt = rack, lasted, now
	return current
}

// readySince is when a task of a ready step may first have been started, as far as
// this leader knows: after the acceptance of its job, the newest end of an
// earlier step, and its own last end.
func (occ *occurrence) readySince(step *stepState, t *task) time.Time {
	return latestOf(latestOf(occ.due, step.readyAt), t.endedAt)
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
