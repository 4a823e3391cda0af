package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/locality"
)

// preference decides for one step whether its tasks wait for a preferred rack.
// The nil preference is that of a step that asks for none: nothing waits.
type preference struct {
	board  *Board
	job    *job
	occ    *occurrence
	step   *stepState
	pool   poolKey
	racks  map[string][]*workerState
	factor float64
	now    time.Time
	// float and slack are those of locality.Wait, valid once measured is set.
	float, slack time.Duration
	measured     bool
	// holdsBack is set if the step is placed as a unit and waits.
	holdsBack bool
	// declined is the worker that the task before this one was offered, if it
	// waits.
	declined *workerState
}

// preference returns the preference of a step, nil if it has none. Steps that
// need a ticket have none: the ticket names the workers, and expires.
func (b *Board) preference(j *job, step *stepState, pool []*workerState, now time.Time) *preference {
	if step.spec.Rack == "" && !step.spec.OneRack {
		return nil
	}
	if terms, _ := b.termsOf(j); terms.RequiresTicket {
		return nil
	}
	p := &preference{
		board: b,
		job:   j,
		occ:   j.occurrences[step.tasks[0].key.Occurrence],
		step:  step,
		pool:  j.pool,
		now:   now,
	}
	p.racks = b.placement.racksOf(p.pool, pool)
	if !j.rank.LongRunning {
		// A long-running task must not wait while capacity for it is free.
		p.factor = b.remoteFactor(j.work.Queue)
	}
	if step.spec.OneRack || step.spec.Gang {
		p.placeGroup(pool)
	}
	return p
}

// declinedBefore returns the worker that the choice would find for a task, if
// the task before it has declined it: nothing has changed since, and the tasks of
// a step are alike but for those that failed or may have crashed a worker.
func (p *preference) declinedBefore(t *task) *workerState {
	if p == nil || p.declined == nil || t.avoid != "" || len(t.crashes) > 0 {
		return nil
	}
	if _, ok := p.board.reservations[t.key]; ok {
		return nil
	}
	return p.declined
}

// waits reports whether a task, for which a worker is free, waits for its
// preferred rack instead.
func (p *preference) waits(t *task, w *workerState) bool {
	if p == nil || p.factor <= 1 || p.step.spec.Gang {
		return false
	}
	p.declined = nil
	rack := p.step.preferredRack()
	if rack == "" || w.onRack(rack) {
		return false
	}
	b := p.board
	if _, ok := b.reservations[t.key]; ok {
		return false
	}
	size, forecast := reservedSize(p.step.spec), p.forecast(rack)
	if p.step.spec.Filler {
		size = p.step.spec.Size
	}
	name, near := forecast.Earliest(size, func(id string) bool { return b.mayPlace(b.workers[id], p.step, t) })
	if near <= 0 {
		return false // free, but kept for others
	}
	lasted := b.lasted(t.wait, p, t)
	if !p.worthwhile(near, lasted, t.saved) {
		if t.wait == nil && near < locality.Never {
			b.placement.learned(p.job.work.Queue).Declined()
		}
		return false
	}
	t.wait = b.continueWait(t.wait, rack, lasted, near, p.now)
	forecast.Take(name, size, near, p.rest(t.saved))
	if t.avoid == "" && len(t.crashes) == 0 {
		p.declined = w
	}
	return true
}

func (p *preference) forecast(rack string) *locality.Forecast {
	return p.board.rackForecast(forecastKey{
		pool:   p.pool,
		rack:   rack,
		filler: p.step.spec.Filler,
	}, p.racks[rack], p.now)
}

// rest is the run time on the preferred rack from a checkpoint on.
func (p *preference) rest(saved int) time.Duration {
	const percent = 100
	return p.board.estimates.runTime(p.job.work.Queue, p.step.spec) * time.Duration(max(0, percent-saved)) / percent
}

// worthwhile reports whether a wait should begin, or go on that has lasted for a
// while.
func (p *preference) worthwhile(near, waited time.Duration, saved int) bool {
	p.measure()
	return p.board.placement.worthwhile(locality.Wait{
		Near:   p.board.placement.experience[p.job.work.Queue].Correct(near),
		Rest:   p.rest(saved),
		Factor: p.factor,
		Float:  p.float,
		Slack:  p.slack,
		Waited: waited,
	}) > 0
}

// mayPlace reports whether the task would be placed on the worker once it has
// the capacity: the choice of workers passes over a worker for the same reasons.
func (b *Board) mayPlace(w *workerState, step *stepState, t *task) bool {
	spec := step.spec
	switch {
	case w == nil || w.health.suspect() || w.suspicion > 0 || t.avoid == w.ID:
		return false
	case spec.Label != "" && !slices.Contains(w.Labels, spec.Label):
		return false
	case spec.Spread > 0 && w.steps[stepOf(t.key)] >= spec.Spread:
		return false
	case spec.Filler:
		return b.interferenceCost(w, spec.Image, spec.Size.MilliCores) <= maxInterferenceCost
	}
	return true
}

// measure computes the float and the slack of the step: what the rest of the job
// still takes in parallel to it, and what follows it.
func (p *preference) measure() {
	if p.measured {
		return
	}
	p.measured = true
	b, j, steps := p.board, p.job, p.occ.steps
	// following is the longest chain of steps that wait for a step with tasks left: none
	// of their tasks is done.
	following := func(step int) time.Duration { return b.estimates.corrected(j.work.Queue, j.following[step]) }
	own := following(p.step.tasks[0].key.Step)
	for i, step := range steps {
		if step.left == 0 || !p.occ.ready(step, p.now) {
			continue
		}
		rest := b.stepRest(j, step, step != p.step, p.now)
		p.float = max(p.float, rest+following(i)-own)
	}
	// The objective of a timed job counts from each occurrence.
	objective := p.occ.due.Add(j.objective.Sub(j.arrived))
	p.slack = objective.Sub(p.now) - own
}

// stepRest is the expected time until the running tasks of a step have ended,
// and with waits set, at least the run time of those that wait.
func (b *Board) stepRest(j *job, step *stepState, waits bool, now time.Time) time.Duration {
	rest := time.Duration(0)
	if waits && step.waiting > 0 {
		rest = b.estimates.runTime(j.work.Queue, step.spec)
	}
	for _, t := range step.tasks {
		if t.phase != claimed {
			continue
		}
		w := b.workers[t.worker]
		if w == nil || w.claims[t.key] == nil {
			continue
		}
		if left := b.remaining(w, t.key, w.claims[t.key], now); left < locality.Never {
			rest = max(rest, left)
		}
	}
	return rest
}
