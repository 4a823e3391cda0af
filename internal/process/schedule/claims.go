package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

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
	// target is the bound of a serving task's tail latency, latency the newest
	// figure, and over since when it has been above it, or nearly.
	target, latency time.Duration
	over            time.Time
	// tail is what is known of the latency beside fillers.
	tail  tail
	image string
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
	w.slacks = nil
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
	w.slacks = nil
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
