package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Decide starts what may and can be started and returns all orders due.
// Allowed is false while the leadership is in doubt: then nothing is started.
func (b *Board) Decide(now time.Time, allowed bool) Effects {
	b.now = now
	b.Expire(now)
	b.sendAgain()
	b.roomLeft = b.bookedShare() < roomy
	b.drain(now)
	if now.Sub(b.scanned) >= scanGap {
		b.scanned = now
		b.restop()
		b.unstick(now)
	}
	b.dropReservations(now)
	if allowed && !b.fenced {
		b.place(now)
	}
	b.control(now)
	out := b.effects
	b.effects = Effects{}
	// Runs are kept in maps: the same inputs give the same orders all the same.
	slices.SortFunc(out.Stops, func(a, c Stop) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key), cmp.Compare(a.Run, c.Run))
	})
	slices.SortFunc(out.Paces, func(a, c Pace) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key))
	})
	return out
}

// scanGap is the least time between two rounds through all runs: well below the
// stop grace and the patience with tasks that stand still.
const scanGap = 100 * time.Millisecond

func compareKeys(a, c work.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, c.Job), cmp.Compare(a.Occurrence, c.Occurrence),
		cmp.Compare(a.Step, c.Step), cmp.Compare(a.Index, c.Index))
}

// bookedShare is the part of the reachable workers' cores that is booked.
func (b *Board) bookedShare() float64 {
	booked, whole := int64(0), int64(0)
	for _, w := range b.workers {
		if w.reachable && w.listed && !w.Draining {
			booked += w.used.MilliCores
			whole += w.Capacity.MilliCores
		}
	}
	return ratio(booked, whole)
}

// sendAgain repeats starts that got no answer. A claim may have ended since, by
// a worker that started anew: then the task may be elsewhere already.
func (b *Board) sendAgain() {
	var later []Start
	for _, start := range b.again {
		w := b.workers[start.Worker]
		if w == nil {
			continue
		}
		held := w.claims[start.Key]
		if held == nil || held.run != start.Run || !held.stopping.IsZero() {
			continue
		}
		if w.Draining || b.evacuated[w.Zone] {
			b.stop(w.ID, start.Key, start.Run, "no_answer")
			continue
		}
		if !w.reachable {
			// It would extend the leases of what runs there.
			later = append(later, start)
			continue
		}
		b.effects.Starts = append(b.effects.Starts, start)
	}
	b.again = later
}

// restop repeats stops that went unanswered.
func (b *Board) restop() {
	for _, w := range b.workers {
		if !w.reachable {
			continue
		}
		for key, held := range w.claims {
			j := b.jobs[key.Job]
			over := j != nil && j.progress.State.Final()
			if !over && !held.foreign && held.retries <= mostRetries {
				continue
			}
			b.stop(w.ID, key, held.run, "over")
		}
	}
}

// candidate is a job with the order in which it is served.
type candidate struct {
	job  *job
	rank rank
}

// rank orders jobs: lower goes first, field by field.
type rank struct {
	// overdue jobs have a lasting task that has been away for long: its users
	// are not served meanwhile, and it needs little of a decision.
	overdue bool
	// priority is the queue's.
	priority int
	// lasting jobs hold their room for long and earn little with it: quick ones
	// of the same priority go first.
	lasting bool
	// late jobs have missed their objective and earn little.
	late bool
	// density is what the job is worth for each core-second that it still
	// needs: with more work than room, small jobs and those nearly done first.
	density float64
}

func compareRanks(a, c candidate) int {
	switch {
	case a.rank.overdue != c.rank.overdue:
		if a.rank.overdue {
			return -1
		}
		return 1
	case a.rank.priority != c.rank.priority:
		return cmp.Compare(a.rank.priority, c.rank.priority)
	case a.rank.lasting != c.rank.lasting:
		if a.rank.lasting {
			return 1
		}
		return -1
	case a.rank.late != c.rank.late:
		if a.rank.late {
			return 1
		}
		return -1
	case a.rank.density != c.rank.density:
		return cmp.Compare(c.rank.density, a.rank.density)
	}
	return cmp.Compare(a.job.work.ID, c.job.work.ID)
}

func (b *Board) rankOf(j *job, now time.Time) rank {
	if j.stale {
		j.todo, j.density, j.stale = b.remaining(j), b.density(j), false
	}
	slack := j.objective.Sub(now) - j.todo
	lasting := j.work.Lasting()
	return rank{
		overdue:  lasting && j.overdue(now),
		priority: j.priority,
		lasting:  lasting,
		late:     slack < 0 && !lasting,
		density:  j.density,
	}
}

// overdueAfter is how long a lasting task may be away before it goes before all
// else: a third of the time after which its users count it as lost.
const overdueAfter = 2 * time.Second

// overdue tells whether a lasting task of the job has been away for long.
func (j *job) overdue(now time.Time) bool {
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			for _, t := range step.tasks {
				away := t.over
				if away.Before(j.arrived) {
					away = j.arrived
				}
				if t.phase == waiting && now.Sub(away) > overdueAfter {
					return true
				}
			}
		}
	}
	return false
}

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

// shortage is what has found no room in this decision, so that the same is not
// looked for again: there are many more tasks waiting than kinds of them.
type shortage struct {
	sizes []worker.Size
	// fillers is the least of the cores, in thousandths, that a filler of an
	// image did not find.
	fillers map[string]int64
}

func newShortage() *shortage {
	return &shortage{
		fillers: map[string]int64{},
	}
}

// hopeless tells whether a smaller task of the kind has found no room already.
func (s *shortage) hopeless(spec *work.Step) bool {
	if spec.Label != "" || spec.Spread != 0 {
		return false
	}
	if spec.Filler {
		least, ok := s.fillers[spec.Image]
		return ok && spec.Size.MilliCores >= least
	}
	for _, size := range s.sizes {
		if size.Within(spec.Size) {
			return true
		}
	}
	return false
}

// note takes in that a task of the step has found no room.
func (s *shortage) note(spec *work.Step, t *task) {
	switch {
	case spec.Label != "" || spec.Spread != 0 || t.avoid != "":
	case spec.Filler:
		s.fillers[spec.Image] = spec.Size.MilliCores
	default:
		s.sizes = append(s.sizes, spec.Size)
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
