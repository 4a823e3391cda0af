package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// place goes through the waiting jobs by rank and starts the tasks that fit.
func (b *Board) place(now time.Time) {
	b.placement.begin(now)
	pools := newPools()
	b.placeDown(pools, now)
	candidates := b.ranked(func(j *job) bool {
		return j.left > j.claims && b.jobReason(j) == NoReason
	}, now)
	for _, j := range candidates {
		if b.startsLeft <= 0 {
			break
		}
		if pool, found := b.poolFor(j, pools, now); len(pool) > 0 {
			b.placeJob(j, pool, found, now)
		}
	}
	for key, found := range pools.shortages {
		if found.lacking {
			b.shortAt[key.service] = now
		}
	}
	b.shortages = pools.shortages
}

// pools holds the workers of each pool in one decision, and what did not fit there.
type pools struct {
	workers   map[poolKey][]*workerState
	shortages map[poolKey]*shortage
	// last is the pool that was last asked for: most jobs have the same one as the
	// job before.
	last        poolKey
	lastWorkers []*workerState
	lastFound   *shortage
}

func newPools() *pools {
	return &pools{
		workers:   map[poolKey][]*workerState{},
		shortages: map[poolKey]*shortage{},
	}
}

// poolFor returns the workers for a job, and what did not fit there.
func (b *Board) poolFor(j *job, known *pools, now time.Time) ([]*workerState, *shortage) {
	j.pool = b.poolOf(j, b.serviceOf(j), now)
	if known.lastFound == nil || j.pool != known.last {
		known.last = j.pool
		if known.shortages[j.pool] == nil {
			known.workers[j.pool], known.shortages[j.pool] = b.pool(j.pool, now), newShortage()
		}
		known.lastWorkers, known.lastFound = known.workers[j.pool], known.shortages[j.pool]
	}
	return known.lastWorkers, known.lastFound
}

// poolKey selects the workers of a service for a kind of job.
type poolKey struct {
	service     string
	longRunning bool
	// excluded is set if workers that are excluded after failures are used too.
	excluded bool
}

// poolOf returns the key of the workers for a job that its service runs.
func (b *Board) poolOf(j *job, service string, now time.Time) poolKey {
	return poolKey{
		service:     service,
		longRunning: j.rank.LongRunning,
		excluded:    j.rank.LongRunning || b.needsExcluded(j, service, now),
	}
}

// pool returns the workers that may be given tasks now, by id. Long-running
// tasks may also use workers that are excluded after failures, as their last
// choice: failures of a long-running task do not end its job.
func (b *Board) pool(key poolKey, now time.Time) []*workerState {
	var out []*workerState
	for _, w := range b.workers {
		if w.Service == key.service && b.poolExclusion(key, w, now) == NotExcluded {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, c *workerState) int { return cmp.Compare(a.ID, c.ID) })
	return out
}

// poolExclusion returns why a worker of the service is not in the pool.
func (b *Board) poolExclusion(key poolKey, w *workerState, now time.Time) Exclusion {
	if cause := b.exclusion(w, now); cause != NotExcluded {
		return cause
	}
	if !key.excluded && !w.health.trusted(now) {
		return Failing
	}
	return NotExcluded
}

// usable reports whether a worker may be given tasks.
func (b *Board) usable(w *workerState, now time.Time) bool {
	return b.exclusion(w, now) == NotExcluded
}

// exclusion returns why a worker may not be given tasks. Of one that has started
// again, the kind and the capacity are known only once its new entry has been read.
func (b *Board) exclusion(w *workerState, now time.Time) Exclusion {
	switch {
	case !w.listed:
		return Unlisted
	case !w.Born.IsZero() && !w.incarnation.IsZero() && !sameTime(w.Born, w.incarnation):
		return OldEntry
	case w.Draining:
		return DrainingWorker
	}
	if cause := b.orderExclusion(w); cause != NotExcluded {
		return cause
	}
	switch {
	case w.reportedToken != b.token:
		return NotReported
	case b.evacuated[w.Zone]:
		return EvacuatedZone
	case !now.After(w.blockedUntil):
		return Refusing
	}
	return NotExcluded
}

// placeJob starts the tasks of a job that are ready and fit.
func (b *Board) placeJob(j *job, pool []*workerState, shortages *shortage, now time.Time) {
	terms, _ := b.termsOf(j)
	for _, occ := range j.occurrences {
		if occ.left == 0 {
			continue
		}
		for _, step := range occ.steps {
			if step.waiting == 0 || !occ.ready(step, now) {
				continue
			}
			workers, stepShortages := pool, shortages
			if terms.RequiresTicket {
				// A task that fits on none of these few workers may still fit
				// on another.
				workers = b.admitted(&terms, step, pool, now)
				stepShortages = newShortage()
			}
			if step.spec.Gang {
				b.placeGang(j, step, workers, now)
			} else {
				b.placeStep(j, step, workers, stepShortages, now)
			}
		}
	}
}

func (b *Board) placeStep(j *job, step *stepState, pool []*workerState, shortages *shortage, now time.Time) {
	if !b.admits(j, step) {
		return
	}
	urgent := b.urgent(j) && !step.spec.Filler
	b.placeReturning(j, step, pool, now)
	ruledOut := !urgent && shortages.rulesOut(step.spec) && !b.starving(j.work.ID, step.spec)
	if ruledOut && !step.spec.LongRunning {
		return
	}
	preferred := b.preference(j, step, pool, now)
	if preferred.groupWaits() {
		return
	}
	for _, t := range step.tasks {
		if !b.admits(j, step) {
			return
		}
		if b.isDown(step, t, now) || ruledOut && !b.longDown(step, t, now) || !b.startable(j, t, now) {
			continue // placeDown has looked for a worker for those that restart
		}
		w := b.candidate(preferred, step, t, pool)
		switch {
		case w != nil && preferred.waits(t, w):
		case w != nil:
			b.order.Started(&j.rank, b.taskWork(j, step.spec), now)
			b.start(w, j, step, t, now)
		case urgent:
			shortages.lacking = true
			b.reserve(j, step, t, pool, now)
		default:
			shortages.lacking = true
			shortages.record(step.spec)
			b.noteTrial(j, step.spec)
			if !step.spec.LongRunning || !t.endedAt.IsZero() {
				return
			}
			ruledOut = true // a task that was never started is never down for long
		}
	}
}

// candidate returns the worker that the task would run on now, nil if there is none.
func (b *Board) candidate(preferred *preference, step *stepState, t *task, pool []*workerState) *workerState {
	if w := preferred.declinedBefore(t); w != nil {
		return w
	}
	return b.chooseWorker(step, t, pool)
}

// admits reports whether the limit of the job's organisation admits what the step
// starts at once: one task, or a whole gang.
func (j *job) admits(step *stepState) bool {
	if step.spec.Gang {
		return j.account.MayStart(step.spec.Size) >= len(step.tasks)
	}
	return j.account.Admits(step.spec.Size)
}

// admits reports whether neither the limit of the organisation nor that of the starts
// keeps the step from a start.
func (b *Board) admits(j *job, step *stepState) bool {
	return b.startsLeft > 0 && j.admits(step)
}

// startable reports whether a task waits and nothing but capacity may keep it from
// a start.
func (b *Board) startable(j *job, t *task, now time.Time) bool {
	return t.phase == waiting && b.taskReason(j, t, now) == NoReason
}

// jobReason returns why no task of the job is placed, whatever it asks for.
func (b *Board) jobReason(j *job) Reason {
	switch {
	case j.departing:
		return Departing
	case b.held(j):
		return Balancing
	case j.inherited != 0 && !j.hasLocated:
		return Takeover
	}
	return NoReason
}

// taskReason returns why a waiting task is not placed, apart from capacity.
func (b *Board) taskReason(j *job, t *task, now time.Time) Reason {
	switch {
	case t.departing || t.mustReturn(j):
		return Departing
	case now.Before(t.notBefore):
		return RetryPause
	}
	return b.doubt(j, t)
}

// urgent reports whether the job is a quick one of the highest priority:
// lower-priority work is preempted for it.
func (b *Board) urgent(j *job) bool {
	if j.rank.LongRunning {
		return false
	}
	terms, ok := b.termsOf(j)
	return ok && terms.Priority == 0
}

// reservedSize is the capacity that a task of the step claims.
func reservedSize(spec *work.Step) worker.Size {
	size := spec.Size
	if spec.Filler {
		size.MilliCores = 0
	}
	return size
}

func (b *Board) start(w *workerState, j *job, step *stepState, t *task, now time.Time) {
	run := b.nextRunOf(t)
	b.startsLeft--
	b.claim(w, j, step, t, run, now)
	b.placed(j, step, t, w, now)
	j.account.Started(now)
	b.sendStart(j, step, Start{
		Worker:     w.ID,
		Key:        t.key,
		Run:        run,
		Spec:       j.work.Spec,
		Checkpoint: t.checkpoint,
		Ticket:     step.ticketFor(w.ID),
	})
}
