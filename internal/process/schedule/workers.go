package schedule

import (
	"net/netip"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Listing is what the list of workers says of one.
type Listing struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Zone    string         `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
	// Capacity is what its tasks may ask for together.
	Capacity worker.Size `cbor:"5,keyasint"`
	// Labels are its kind and its rack.
	Labels []string `cbor:"6,keyasint,omitempty"`
	// Born is when this life of the worker began; zero if it does not say.
	Born time.Time `cbor:"7,keyasint,omitempty"`
	// Draining workers get nothing new and leave.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration `cbor:"9,keyasint,omitempty"`
}

// stopRepeats is after how many times the stop grace a run that is still there
// is told to stop again.
const stopRepeats = 2

// claim is the room that a run holds on a worker until it is known to be over.
type claim struct {
	run  int64
	size worker.Size
	// sure means that the worker has said that it runs.
	sure    bool
	started time.Time
	// confirmed is when a call was sent whose answer showed the run.
	confirmed time.Time
	// stopping is when the last stop was asked for, zero without one.
	stopping time.Time
	// barred is when a stop was answered: a run that is not listed in an
	// answer to a later call has not begun and never will.
	barred time.Time
	// foreign runs belong to no task any more and are being stopped.
	foreign bool
	// retries counts repeated starts that got no answer.
	retries int
	filler  bool
	serving bool
	lasting bool
	// target is the bound of a serving task's tail latency, tail the newest
	// figure, and over since when it has been above it.
	target, tail time.Duration
	over         time.Time
	image        string
	// percent is the pace asked for, from 0 to 100.
	percent int
	// still is since when a filler has been made to stand still, or nearly.
	still time.Time
	// wants are the thousandths of cores that a filler asked for, inUse those
	// that it had lately.
	wants, inUse int64
	// progress is the newest percent, moved when it last changed.
	progress int
	moved    time.Time
}

// workerState is one worker, known by its id.
type workerState struct {
	Listing
	// listed tells whether the list has it; unlisted is since when it has not.
	listed   bool
	unlisted time.Time
	// life is the born of the last answer.
	life time.Time
	// heardUnder is the token under which it answered last.
	heardUnder int64
	heard      time.Time
	reachable  bool
	// leaseEnd bounds when everything there is over if nothing more is sent.
	leaseEnd time.Time
	claims   map[work.TaskKey]*claim
	used     worker.Size
	// idle are the thousandths of cores that nothing is reckoned to use.
	idle int64
	// serving counts serving runs by image, steps runs by step.
	serving map[string]int
	steps   map[stepKey]int
	// fillers sums the thousandths of cores that fillers want, by image.
	fillers map[string]int64
	// seen is the highest end that was processed; ends wait until durable.
	seen int64
	ends []pendingEnd
	// lastSeen is the highest end whose effect is in the store.
	lastSeen int64
	health   health
	// blockedUntil keeps new tasks away after a refusal.
	blockedUntil time.Time
	// reserved is room kept for tasks that others make way for.
	reserved worker.Size
	// drainSeen is when it was first known to drain; closed that it has ended
	// the connection since it was heard.
	drainSeen time.Time
	closed    bool
	// paced is when the pace of a filler was last changed.
	paced time.Time
}

// stepKey names a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepOf(key work.TaskKey) stepKey {
	return stepKey{
		job:        key.Job,
		occurrence: key.Occurrence,
		step:       key.Step,
	}
}

// pendingEnd is an end whose effect may not be in the store yet.
type pendingEnd struct {
	number  int64
	job     string
	version int64
}

// SetWorkers takes the list in, whole. Steady says that the list is current:
// a worker that is missing from it although it lives would be back by now.
func (b *Board) SetWorkers(listings map[string]Listing, steady bool, now time.Time) {
	for id, listing := range listings {
		w := b.workers[id]
		if w == nil {
			w = b.addWorker(listing, now)
		}
		if !listing.Born.IsZero() && !w.life.IsZero() && listing.Born.After(w.life) {
			b.reborn(w, listing.Born, now)
		}
		w.idle += listing.Capacity.MilliCores - w.Capacity.MilliCores
		w.Listing = listing
		w.listed = true
	}
	for id, w := range b.workers {
		if _, ok := listings[id]; ok {
			continue
		}
		if w.listed || !steady {
			w.listed, w.unlisted = false, now
		}
		if b.left(w) {
			b.lost(w, now)
			delete(b.workers, id)
			continue
		}
		if now.After(w.leaseEnd) && now.Sub(w.unlisted) > b.config.ListGrace && !w.reachable {
			b.lost(w, now)
			delete(b.workers, id)
		}
	}
}

func (b *Board) addWorker(listing Listing, now time.Time) *workerState {
	w := &workerState{
		Listing:  listing,
		unlisted: now,
		claims:   map[work.TaskKey]*claim{},
		idle:     listing.Capacity.MilliCores,
		serving:  map[string]int{},
		steps:    map[stepKey]int{},
		fillers:  map[string]int64{},
		leaseEnd: b.doubtEnd(),
	}
	b.workers[listing.ID] = w
	return w
}

// Remember adds workers that an earlier leadership has used: they may run its
// tasks although the list no longer has them.
func (b *Board) Remember(roster []Listing, now time.Time) {
	for _, listing := range roster {
		if b.workers[listing.ID] == nil {
			b.addWorker(listing, now)
		}
	}
}

// Roster lists the workers that may run something, by id.
func (b *Board) Roster() []Listing {
	out := make([]Listing, 0, len(b.workers))
	for _, w := range b.workers {
		out = append(out, w.Listing)
	}
	slices.SortFunc(out, func(a, c Listing) int {
		if a.ID < c.ID {
			return -1
		}
		return 1
	})
	return out
}

// clockDrift is how much slower than ours a worker's steady clock may run,
// with as much again for reckoning.
const clockDrift = 0.04

// doubtEnd bounds when everything that an earlier holder may have started or
// extended is over on a worker that this one does not hear.
func (b *Board) doubtEnd() time.Time {
	return b.begun.Add(b.config.ActTerm).Add(b.longestLease())
}

func (b *Board) longestLease() time.Duration {
	return b.config.LeaseTerm + time.Duration(float64(b.config.LeaseTerm)*clockDrift) + b.config.StopGrace
}

// Extended tells that a call which extends the worker's leases is being sent.
func (b *Board) Extended(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		end := now.Add(b.longestLease())
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
}

// LastSeen is the highest end that the worker may forget, and the life that
// it was counted in.
func (b *Board) LastSeen(id string) (int64, time.Time) {
	w := b.workers[id]
	if w == nil {
		return 0, time.Time{}
	}
	for len(w.ends) > 0 {
		first := w.ends[0]
		if j := b.jobs[first.job]; j != nil && j.durable < first.version {
			break
		}
		w.lastSeen = first.number
		w.ends = w.ends[1:]
	}
	return w.lastSeen, w.life
}

// Undurable tells whether ends of the worker wait for the store.
func (b *Board) Undurable(id string) bool {
	_, _ = b.LastSeen(id)
	w := b.workers[id]
	return w != nil && len(w.ends) > 0
}

// reborn takes note that a worker started again: it runs nothing of before.
func (b *Board) reborn(w *workerState, born time.Time, now time.Time) {
	b.lost(w, now)
	w.life = born
	w.seen, w.lastSeen, w.ends = 0, 0, nil
	w.health = health{}
	w.blockedUntil = time.Time{}
	w.reachable = false
}

// lost releases every claim of a worker that certainly runs nothing any more.
func (b *Board) lost(w *workerState, now time.Time) {
	for key := range w.claims {
		b.release(w, key, now)
	}
}

// Unheard tells that a worker did not answer.
func (b *Board) Unheard(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		w.reachable = false
	}
}

// Heard takes a worker's inventory in and returns the ends that are news.
func (b *Board) Heard(id string, inventory Inventory, now time.Time) []EndedTask {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return nil
	}
	switch {
	case w.life.IsZero():
		w.life = inventory.Born
	case inventory.Born.After(w.life):
		b.reborn(w, inventory.Born, now)
	case inventory.Born.Before(w.life):
		return nil // an answer of a former life that was overtaken
	}
	if w.heardUnder != b.token {
		// From here on nobody else can extend what runs there.
		w.leaseEnd = now.Add(b.longestLease())
	}
	w.heardUnder, w.heard, w.reachable, w.closed = b.token, now, true, false
	news := b.takeEnds(w, inventory.Ended, now)
	b.takeRunning(w, inventory, now)
	b.observeTails(w)
	return news
}

func (b *Board) takeEnds(w *workerState, ended []EndedTask, now time.Time) []EndedTask {
	var news []EndedTask
	for _, end := range ended {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		job, version := b.takeEnd(w, end, now)
		w.ends = append(w.ends, pendingEnd{
			number:  end.Number,
			job:     job,
			version: version,
		})
		news = append(news, end)
	}
	return news
}

func (b *Board) takeRunning(w *workerState, inventory Inventory, now time.Time) {
	listed := make(map[work.TaskKey]int64, len(inventory.Running))
	for _, row := range inventory.Running {
		listed[row.Key] = row.Run
		held := w.claims[row.Key]
		if held == nil || held.run != row.Run {
			held = b.adopt(w, row, now)
		}
		if held != nil {
			b.observe(held, row, inventory.Sent, now)
		}
	}
	for key, held := range w.claims {
		if run, ok := listed[key]; ok && run == held.run {
			continue
		}
		// The run is not there. That is final only if the worker had confirmed
		// it, or has barred it, before this call was sent.
		if !held.barred.IsZero() && inventory.Sent.After(held.barred.Add(b.config.StopGrace)) ||
			held.sure && inventory.Sent.After(held.started) {
			b.release(w, key, now)
		}
	}
}

// adopt takes over a run that an earlier holder started, or has it stopped.
func (b *Board) adopt(w *workerState, row RunningTask, now time.Time) *claim {
	j := b.jobs[row.Key.Job]
	if j == nil {
		b.stop(w.ID, row.Key, row.Run, "no_such_job")
		return nil
	}
	_, step, t := j.find(row.Key)
	if t == nil || w.claims[row.Key] != nil {
		b.stop(w.ID, row.Key, row.Run, "not_wanted")
		return nil
	}
	if b.open[row.Key.Job] == nil || t.phase != waiting {
		// Nobody waits for it, but it takes its room until it has ended.
		held := newClaim(step.spec, row.Run, now)
		held.sure, held.foreign = true, true
		w.book(row.Key, held)
		b.stop(w.ID, row.Key, row.Run, "not_wanted")
		return nil
	}
	held := b.claim(w, j, step, t, row.Run, now)
	held.sure = true
	j.progress.Began = true
	return held
}

func (b *Board) observe(held *claim, row RunningTask, sent, now time.Time) {
	held.sure = true
	held.confirmed = sent
	if !held.barred.IsZero() && sent.After(held.barred.Add(stopRepeats*b.config.StopGrace)) {
		held.barred, held.stopping = time.Time{}, time.Time{} // the stop was lost
	}
	if row.Percent != held.progress {
		held.progress, held.moved = row.Percent, now
	}
	if held.filler {
		held.inUse = row.MilliCores
	}
	if held.serving {
		held.tail = row.Tail
		if held.target > 0 && row.Tail > held.target {
			if held.over.IsZero() {
				held.over = now
			}
		} else {
			held.over = time.Time{}
		}
	}
	if j := b.jobs[row.Key.Job]; j != nil {
		if _, _, t := j.find(row.Key); t != nil && t.run == row.Run && row.Checkpoint != "" {
			t.checkpoint = row.Checkpoint
		}
	}
}

// claim books a run on a worker.
func (b *Board) claim(w *workerState, j *job, step *stepState, t *task, run int64, now time.Time) *claim {
	held := newClaim(step.spec, run, now)
	w.book(t.key, held)
	b.unreserve(t.key)
	if t.phase == waiting {
		step.waiting--
	}
	t.phase, t.worker, t.run = claimed, w.ID, run
	j.claims++
	return held
}

// newClaim is the room that a run of the step takes.
func newClaim(spec *work.Step, run int64, now time.Time) *claim {
	held := &claim{
		run:     run,
		size:    spec.Size,
		started: now,
		filler:  spec.Filler,
		serving: spec.TailTarget > 0,
		lasting: spec.Lasting,
		target:  spec.TailTarget,
		image:   spec.Image,
		percent: fullPace,
		wants:   spec.Size.MilliCores,
		moved:   now,
	}
	if spec.Filler {
		held.size.MilliCores = 0
	}
	return held
}

// book and unbook keep the sums over a worker's claims.
func (w *workerState) book(key work.TaskKey, held *claim) {
	w.claims[key] = held
	w.used = w.used.Plus(held.size)
	w.idle -= held.reckoned()
	w.steps[stepOf(key)]++
	if held.serving {
		w.serving[held.image]++
	}
	if held.filler {
		w.fillers[held.image] += held.wants
	}
}

func (w *workerState) unbook(key work.TaskKey, held *claim) {
	delete(w.claims, key)
	w.used = w.used.Minus(held.size)
	w.idle += held.reckoned()
	if w.steps[stepOf(key)]--; w.steps[stepOf(key)] == 0 {
		delete(w.steps, stepOf(key))
	}
	if held.filler {
		if w.fillers[held.image] -= held.wants; w.fillers[held.image] <= 0 {
			delete(w.fillers, held.image)
		}
	}
	if !held.serving {
		return
	}
	if w.serving[held.image]--; w.serving[held.image] == 0 {
		delete(w.serving, held.image)
	}
}

// reckoned is the processor time that a run is thought to use.
func (c *claim) reckoned() int64 {
	if c.serving {
		return int64(servingShare * float64(c.wants))
	}
	return c.wants
}

// release ends a claim; the task waits again unless its job is over.
func (b *Board) release(w *workerState, key work.TaskKey, now time.Time) {
	held := w.claims[key]
	if held == nil {
		return
	}
	w.unbook(key, held)
	j := b.jobs[key.Job]
	if j == nil {
		return
	}
	_, step, t := j.find(key)
	if t == nil || t.phase != claimed || t.run != held.run || t.worker != w.ID {
		return
	}
	t.phase, t.worker = waiting, ""
	t.over = now
	step.waiting++
	j.claims--
	if j.claims == 0 {
		j.idleSince = now
	}
}

// Expire frees what ran on workers whose leases are certainly over.
func (b *Board) Expire(now time.Time) {
	for _, w := range b.workers {
		if len(w.claims) > 0 && !w.reachable && (now.After(w.leaseEnd) || b.left(w)) {
			b.lost(w, now)
		}
	}
}

// settled tells whether nothing of an earlier leadership can be running on the
// workers of a service without our knowing.
func (b *Board) settled(service string, now time.Time) bool {
	for _, w := range b.workers {
		if w.Service == service && w.heardUnder != b.token && now.Before(w.leaseEnd) && !b.left(w) {
			return false
		}
	}
	return true
}
