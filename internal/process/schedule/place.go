package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// place goes through the waiting tasks in order and starts what fits.
func (b *Board) place(now time.Time) {
	waiting := make([]candidate, 0, len(b.open))
	for _, j := range b.open {
		if j.left > j.claims && b.mayStart(j, now) {
			waiting = append(waiting, candidate{
				job:  j,
				rank: b.rankOf(j, now),
			})
		}
	}
	slices.SortFunc(waiting, compareRanks)
	full := map[string]*shortage{}
	pools := map[poolKey][]*workerState{}
	for _, one := range waiting {
		if b.startsLeft <= 0 {
			return
		}
		key := poolKey{
			service: b.serviceOf(one.job),
			lasting: one.rank.lasting,
		}
		if _, ok := pools[key]; !ok {
			pools[key] = b.pool(key, now)
		}
		if full[key.service] == nil {
			full[key.service] = newShortage()
		}
		if len(pools[key]) > 0 {
			b.placeJob(one.job, pools[key], full[key.service], now)
		}
	}
}

// mayStart tells whether the job's tasks can be known not to be running.
func (b *Board) mayStart(j *job, now time.Time) bool {
	if j.inherited == 0 {
		return true
	}
	if !b.settled(b.serviceOf(j), now) {
		return false
	}
	if j.inherited == b.token {
		j.inherited = 0
	}
	return true
}

// poolKey names the workers of a service for a kind of job.
type poolKey struct {
	service string
	lasting bool
}

// pool is the workers that may be given tasks now. Lasting tasks may also try
// sick ones, as their last choice: their failures are not counted.
func (b *Board) pool(key poolKey, now time.Time) []*workerState {
	var out []*workerState
	for _, w := range b.workers {
		if w.Service == key.service && b.usable(w, now) && (key.lasting || w.health.trusted(now)) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, c *workerState) int { return cmp.Compare(a.ID, c.ID) })
	return out
}

func (b *Board) usable(w *workerState, now time.Time) bool {
	return w.listed && !w.Draining && w.reachable && w.heardUnder == b.token &&
		!b.evacuated[w.Zone] && now.After(w.blockedUntil)
}

// placeJob starts what it can.
func (b *Board) placeJob(j *job, pool []*workerState, full *shortage, now time.Time) {
	for _, one := range j.occurrences {
		if one.left == 0 {
			continue
		}
		for _, step := range one.steps {
			if step.waiting == 0 || !one.turn(step, now) {
				continue
			}
			workers, shared := pool, full
			if queue := b.catalog.Queues[j.work.Queue]; queue.Advised {
				// What finds no room among these few may find it among all.
				workers = b.admitted(queue, step, pool, now)
				shared = newShortage()
			}
			if step.spec.Gang {
				b.placeGang(j, step, workers, now)
			} else {
				b.placeStep(j, step, workers, shared, now)
			}
		}
	}
}

func (b *Board) placeStep(j *job, step *stepState, pool []*workerState, full *shortage, now time.Time) {
	urgent := b.urgent(j) && !step.spec.Filler
	if !urgent && full.hopeless(step.spec) && !b.starving(j.work.ID) {
		return
	}
	for _, t := range step.tasks {
		if b.startsLeft <= 0 {
			return
		}
		if t.phase != waiting || now.Before(t.notBefore) {
			continue
		}
		w := b.choose(step, t, pool)
		switch {
		case w != nil:
			b.start(w, j, step, t, b.nextRun(), now)
		case urgent:
			b.reserve(j, step, t, pool, now)
		default:
			full.note(step.spec, t)
			return
		}
	}
}

// urgent jobs are quick ones of the highest priority: others make way for them.
func (b *Board) urgent(j *job) bool {
	queue, ok := b.catalog.Queues[j.work.Queue]
	return ok && queue.Priority == 0 && !j.work.Lasting()
}

// roomOf is the room that a task of the step is booked with.
func roomOf(spec *work.Step) worker.Size {
	size := spec.Size
	if spec.Filler {
		size.MilliCores = 0
	}
	return size
}

func (b *Board) start(w *workerState, j *job, step *stepState, t *task, run int64, now time.Time) {
	b.startsLeft--
	b.claim(w, j, step, t, run, now)
	b.effects.Starts = append(b.effects.Starts, Start{
		Worker:     w.ID,
		Key:        t.key,
		Run:        run,
		Spec:       j.work.Spec,
		Checkpoint: t.checkpoint,
		Ticket:     step.ticketFor(w.ID),
	})
}
