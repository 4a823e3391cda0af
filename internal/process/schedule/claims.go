package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/request/work"
)

// stopRetryGraces is the number of stop graces after the answer to a stop from
// which a run that is still reported is stopped again.
const stopRetryGraces = 2

// claim is the capacity that a run holds on a worker until it has certainly
// ended. Every claim has a next event that keeps or releases it: an order to send
// or an answer (startDue, stopping, needsStop), the next report of the worker
// (confirmed, barred), or, while the worker cannot be reached, the end of its
// lease.
type claim struct {
	run  int64
	size worker.Size
	// account is that of the job's organisation, nil without one.
	account *quota.Account
	// confirmed is set once the worker has reported the run.
	confirmed bool
	// startDue is set while a copy of the start waits to be sent or for its
	// answer. A claim that is neither confirmed nor startDue is stopped until the
	// worker has barred the run.
	startDue bool
	started  time.Time
	// confirmedAt is when the newest call was sent whose answer listed the run.
	confirmedAt time.Time
	// stopping is when a stop was requested whose answer is awaited, or which was
	// accepted; zero without one.
	stopping time.Time
	// barred is when the worker accepted a stop or refused the start as
	// outdated. A run that is missing from the answer to a call sent more than
	// a stop grace later has ended or will not begin, unless a copy of the
	// start arrives after a later restart of the worker.
	barred time.Time
	// piece is set if capacity was reserved for the run's task.
	piece bool
	// unlistedSince is when a report first lacked the run that could have listed it,
	// zero while the newest one lists it.
	unlistedSince time.Time
	// orphaned runs belong to no task any more and are being stopped.
	orphaned bool
	// retries counts the starts that got no answer.
	retries int
	// unanswered is the number of copies of the start that were sent and not
	// answered. Each may still arrive, also at a later incarnation of the worker.
	unanswered  int
	filler      bool
	serving     bool
	longRunning bool
	// suspicion is the number of crashes counted against the task at its start.
	suspicion int
	// target is the limit of a serving task's tail latency and latency the
	// newest report. overTargetSince is since when headroom has been below
	// nearTargetHeadroom, zero if it is not.
	target, latency time.Duration
	overTargetSince time.Time
	// tail is the state of the latency model for this serving task.
	tail  tail
	image string
	// throttle is the ordered throttle level, from 0 (halted) to 100 (full
	// speed).
	throttle int
	// throttleSetAt is when the level was last ordered, zero if it never was.
	throttleSetAt time.Time
	// haltedSince is since when a filler has been throttled to a halt.
	haltedSince time.Time
	// requested is what a filler asked for and inUse its newest reported use,
	// both in millicores.
	requested, inUse int64
	// progress is the newest reported percentage, lastProgress when it last
	// changed.
	progress     int
	lastProgress time.Time
	// stalled is set once the run has been stopped for want of progress, until it
	// makes progress again.
	stalled bool
	// saved is the progress of the checkpoint that the run began with.
	saved int
}

// stepKey identifies a step of one occurrence of a job.
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

// claim assigns a run of the task to a worker and takes its capacity.
func (b *Board) claim(w *workerState, j *job, step *stepState, t *task, run int64, now time.Time) *claim {
	held := newClaim(j, step.spec, run, now)
	if len(t.crashes) > 0 {
		held.suspicion = len(t.crashes)
		b.markChanged(j) // the record charges the run in advance
	}
	if use := b.utilization[w.Service]; use != nil && b.interferes(w, step.spec) {
		use.interferedAt = now
	}
	_, held.piece = b.reservations[t.key]
	held.saved = t.saved
	w.addClaim(t.key, held)
	b.unreserve(t.key)
	if t.phase == waiting {
		step.waiting--
	}
	t.phase, t.worker, t.run, t.startedAt = claimed, w.ID, run, now
	j.everClaimed = true
	j.claims++
	return held
}

// newClaim returns the claim of a run of the step. A filler claims memory but
// no cores.
func newClaim(j *job, spec *work.Step, run int64, now time.Time) *claim {
	held := &claim{
		run:          run,
		size:         spec.Size,
		account:      j.account,
		started:      now,
		filler:       spec.Filler,
		serving:      spec.TailTarget > 0,
		longRunning:  spec.LongRunning,
		target:       spec.TailTarget,
		image:        spec.Image,
		throttle:     unthrottled,
		requested:    spec.Size.MilliCores,
		lastProgress: now,
	}
	if spec.Filler {
		held.size.MilliCores = 0
	}
	return held
}

// addClaim and removeClaim keep the totals over a worker's claims and the use of
// their organisations.
func (w *workerState) addClaim(key work.TaskKey, held *claim) {
	w.headrooms = nil
	w.claims[key] = held
	w.used = w.used.Add(held.size)
	held.account.Add(held.requestedSize())
	w.idle -= held.estimatedUse()
	w.steps[stepOf(key)]++
	w.suspicion += held.suspicion
	if held.serving {
		w.serving[held.image]++
	}
	if held.filler {
		w.fillers[held.image] += held.requested
	}
}

func (w *workerState) removeClaim(key work.TaskKey, held *claim) {
	w.headrooms = nil
	delete(w.claims, key)
	w.used = w.used.Sub(held.size)
	held.account.Remove(held.requestedSize())
	w.idle += held.estimatedUse()
	if w.steps[stepOf(key)]--; w.steps[stepOf(key)] == 0 {
		delete(w.steps, stepOf(key))
	}
	w.suspicion -= held.suspicion
	if held.filler {
		if w.fillers[held.image] -= held.requested; w.fillers[held.image] <= 0 {
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

// pollWaitInDoubt is how long a poll of a worker may wait for an end while a start there
// had no answer and is being stopped.
const pollWaitInDoubt = 500 * time.Millisecond

// PollWait returns how long the next poll of a worker may wait for an end, given how long
// it usually does. A run that the worker has barred needs a report from after the stop
// grace: a poll that is sent before, and waits, would delay it, and the next one would
// wait again.
func (b *Board) PollWait(id string, usual time.Duration, now time.Time) time.Duration {
	w := b.workers[id]
	if w == nil {
		return usual
	}
	wait := usual
	for _, held := range w.claims {
		switch {
		case !held.barred.IsZero():
			wait = min(wait, max(0, held.barred.Add(b.config.StopGrace).Sub(now)))
		case !held.confirmed && !held.startDue:
			wait = min(wait, pollWaitInDoubt)
		}
	}
	return wait
}

// needsStop reports whether the run must not go on: its task does not want it any
// more, or a copy of its start that got no answer may still begin it. The stop is
// repeated until the worker accepts it.
func (c *claim) needsStop(j *job) bool {
	ended := j != nil && j.progress.State.Final()
	return ended || c.orphaned || !c.confirmed && !c.startDue
}

// estimatedUse is the processor time that a run is estimated to use, in
// millicores.
func (c *claim) estimatedUse() int64 {
	if c.serving {
		return int64(servingCoreShare * float64(c.requested))
	}
	return c.requested
}

// release ends a claim. The task waits for a start again unless its job is
// final.
func (b *Board) release(w *workerState, key work.TaskKey, now time.Time) {
	held := w.claims[key]
	if held == nil {
		return
	}
	w.removeClaim(key, held)
	b.shortages = nil
	j := b.jobs[key.Job]
	if j == nil {
		return
	}
	_, step, t := j.find(key)
	if t == nil || t.phase != claimed || t.run != held.run || t.worker != w.ID {
		return
	}
	if held.suspicion > 0 {
		b.markChanged(j)
	}
	t.phase, t.worker = waiting, ""
	t.endedAt = now
	if held.confirmed {
		t.downSince = now
	}
	t.confirmAfter = w.confirmAfter
	step.waiting++
	j.claims--
	if j.claims == 0 {
		j.idleSince = now
	}
}
