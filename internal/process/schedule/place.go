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
	candidates := b.ranked(func(j *job) bool {
		return j.left > j.claims && !j.departing && !b.held(j) && (j.inherited == 0 || j.hasLocated)
	}, now)
	shortages := map[poolKey]*shortage{}
	pools := map[poolKey][]*workerState{}
	for _, j := range candidates {
		if b.startsLeft <= 0 {
			break
		}
		key := b.poolOf(j, now)
		j.pool = key
		if _, ok := pools[key]; !ok {
			pools[key] = b.pool(key, now)
		}
		if shortages[key] == nil {
			shortages[key] = newShortage()
		}
		if len(pools[key]) > 0 {
			b.placeJob(j, pools[key], shortages[key], now)
		}
	}
	for key, found := range shortages {
		if found.lacking {
			b.shortAt[key.service] = now
		}
	}
}

// poolKey selects the workers of a service for a kind of job.
type poolKey struct {
	service     string
	longRunning bool
	// excluded is set if workers that are excluded after failures are used too.
	excluded bool
}

// poolOf returns the key of the workers for a job.
func (b *Board) poolOf(j *job, now time.Time) poolKey {
	service := b.serviceOf(j)
	return poolKey{
		service:     service,
		longRunning: j.work.LongRunning(),
		excluded:    j.work.LongRunning() || b.needsExcluded(j, service, now),
	}
}

// pool returns the workers that may be given tasks now, by id. Long-running
// tasks may also use workers that are excluded after failures, as their last
// choice: failures of a long-running task do not end its job.
func (b *Board) pool(key poolKey, now time.Time) []*workerState {
	var out []*workerState
	for _, w := range b.workers {
		if w.Service == key.service && b.usable(w, now) && (key.excluded || w.health.trusted(now)) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, c *workerState) int { return cmp.Compare(a.ID, c.ID) })
	return out
}

// usable reports whether a worker may be given tasks. Of one that has started again,
// the kind and the capacity are known only once its new entry has been read.
func (b *Board) usable(w *workerState, now time.Time) bool {
	current := w.Born.IsZero() || sameTime(w.Born, w.incarnation)
	return current && w.listed && !w.Draining && b.mayOrder(w) && w.reportedToken == b.token &&
		!b.evacuated[w.Zone] && now.After(w.blockedUntil)
}

// placeJob starts the tasks of a job that are ready and fit.
func (b *Board) placeJob(j *job, pool []*workerState, shortages *shortage, now time.Time) {
	for _, occ := range j.occurrences {
		if occ.left == 0 {
			continue
		}
		for _, step := range occ.steps {
			if step.waiting == 0 || !occ.ready(step, now) {
				continue
			}
			workers, stepShortages := pool, shortages
			if queue := b.catalog.Queues[j.work.Queue]; queue.RequiresTicket {
				// A task that fits on none of these few workers may still fit
				// on another.
				workers = b.admitted(queue, step, pool, now)
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
	if !j.account.Admits(step.spec.Size) {
		return
	}
	urgent := b.urgent(j) && !step.spec.Filler
	b.placeReturning(j, step, pool, now)
	ruledOut := !urgent && shortages.rulesOut(step.spec) && !b.starving(j.work.ID)
	if ruledOut && !step.spec.LongRunning {
		return
	}
	preferred := b.preference(j, step, pool, now)
	if preferred.groupWaits() {
		return
	}
	for _, t := range step.tasks {
		if b.startsLeft <= 0 || !j.account.Admits(step.spec.Size) {
			return
		}
		if ruledOut && !b.longDown(step, t, now) || !b.startable(j, t, now) {
			continue
		}
		w := preferred.declinedBefore(t)
		if w == nil {
			w = b.chooseWorker(step, t, pool)
		}
		switch {
		case w != nil && preferred.waits(t, w):
		case w != nil:
			b.order.Started(&j.rank, b.taskWork(j, step.spec), now)
			b.start(w, j, step, t, b.nextRun(), now)
		case urgent:
			shortages.lacking = true
			b.reserve(j, step, t, pool, now)
		default:
			shortages.lacking = true
			shortages.record(step.spec, t)
			return
		}
	}
}

// startable reports whether a task waits and nothing but capacity may keep it from
// a start.
func (b *Board) startable(j *job, t *task, now time.Time) bool {
	return t.phase == waiting && !now.Before(t.notBefore) && b.mayStartTask(j, t)
}

// urgent reports whether the job is a quick one of the highest priority:
// lower-priority work is preempted for it.
func (b *Board) urgent(j *job) bool {
	queue, ok := b.catalog.Queues[j.work.Queue]
	return ok && queue.Priority == 0 && !j.work.LongRunning()
}

// reservedSize is the capacity that a task of the step claims.
func reservedSize(spec *work.Step) worker.Size {
	size := spec.Size
	if spec.Filler {
		size.MilliCores = 0
	}
	return size
}

func (b *Board) start(w *workerState, j *job, step *stepState, t *task, run int64, now time.Time) {
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
