package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

// phase is the state of a task.
type phase uint8

const (
	// waiting tasks may be started once their step is ready.
	waiting phase = iota
	// claimed tasks have a claim on a worker, confirmed or not.
	claimed
	// done tasks never start again.
	done
	// elsewhere tasks belong to another shard, whose leader alone starts them. They are
	// long-running, so that the progress record has them among those that are done.
	elsewhere
)

// unknownShard is that of a task that is elsewhere, until its location is known.
const unknownShard = -1

// task is one task of one occurrence.
type task struct {
	key   work.TaskKey
	phase phase
	// worker and run identify the claim.
	worker string
	run    int64
	// checkpoint is the newest known one.
	checkpoint string
	// saved is the progress, in percent, at which the checkpoint was first
	// reported.
	saved int
	// wait is set while the task waits for its preferred rack.
	wait *wait
	// failures lists the runs that failed.
	failures []int64
	// crashes lists the runs that may have crashed their workers by their start,
	// since the last one that outlived it. With those of an earlier leader it may list
	// the current run.
	crashes []int64
	// avoid is the worker on which the task failed last.
	avoid string
	// notBefore delays the next start after a refusal.
	notBefore time.Time
	// stalls counts the runs that have stalled.
	stalls int
	// startedAt is when the last run got its claim, and endedAt when it ended. The end of
	// a run that an earlier leader started, if it is not known to run, is when this one
	// took the job over.
	startedAt, endedAt time.Time
	// downSince is when the last run ended that a worker is known to have begun; endedAt
	// is later if starts were refused since. It is zero if this leader knows of none.
	downSince time.Time
	// confirmAfter is that of the worker of the last run when it ended. The worker
	// may have told a successor before how the run ended, so that the next start
	// needs a later confirmation of the leadership.
	confirmAfter time.Time
	// preemptedAt is when it was last preempted for a quick task.
	preemptedAt time.Time
	// located is set if no workers but lastWorkers can have a run of the task or
	// an end that is not saved, so that it need not wait until all workers have
	// reported to a new leader. The newest is last; there is none if the task was
	// never started.
	located     bool
	lastWorkers []string
	// departing is set while the task is on its way to another shard, and arrivedAt is
	// when it last came from the shard of its job.
	departing bool
	arrivedAt time.Time
	// shard is the one of a task that is elsewhere. returned is set once it has come
	// back from there, until it is taken back.
	shard    int
	returned bool
	// lastRun is no lower than the number of any run that another shard has started.
	lastRun int64
	// orphanedOn lists workers with orphaned runs of the task, which may have ended.
	// While one has not, the task does not start: a worker has one claim of a task.
	orphanedOn []string
}

// stepState is one step of one occurrence.
type stepState struct {
	spec  *work.Step
	tasks []*task
	// left is the number of tasks that are not done.
	left int
	// waiting is the number of tasks in the waiting phase.
	waiting int
	// advice holds the workers that may run the step by ticket, nil if none
	// were requested.
	advice *advice
	// doneBefore is how many of the steps in the list of those that must be done before
	// are known to be done, from its begin. readyAt is when the last of them ended, once
	// all are done.
	doneBefore int
	readyAt    time.Time
	// home is the rack on which the tasks of a step that asks for one rack are
	// kept together, and wait is set while such a step waits for a rack.
	home string
	wait *wait
}

// occurrence is one scheduled execution of a job's steps.
type occurrence struct {
	due   time.Time
	steps []*stepState
	left  int
}

// job is an accepted job.
type job struct {
	work     *work.Job
	progress work.Progress
	// account is that of its organisation, nil without one.
	account *quota.Account
	// arrived is when the job was accepted, on this host's steady clock.
	arrived time.Time
	// objective is when the job should be done to keep its full value.
	objective time.Time
	// inherited is the token of the term that took the job over from an earlier
	// one, zero if there is none: its tasks may be running on workers that have
	// not reported yet.
	inherited int64
	// fromEarlierTerm is set if the job was accepted before this term, and recorded
	// if it had a progress record then.
	fromEarlierTerm, recorded bool
	// everClaimed is set once one of its tasks had a claim: it stays in this shard.
	// departing jobs are on their way to another shard and are not started.
	everClaimed, departing bool
	// balanced is set once a round of moves has left the job here.
	balanced bool
	// partial is set if only transferred tasks of the job are here, and home is the
	// shard of its record then: its state is decided there.
	partial bool
	home    int
	// transfers counts the commits in flight that transfer or take back tasks of the
	// job. Its record is not written meanwhile by any other commit.
	transfers int
	// hasLocated is set if one of its tasks is located.
	hasLocated bool
	// seen is when the job was added here.
	seen time.Time
	// terms are the last known ones of the job's queue as long as the configuration in
	// force lacks it; nil if they are not known.
	terms *work.Terms

	occurrences []*occurrence
	left        int
	// following holds, by step, the longest sum of estimated run times along a chain of
	// the steps that wait for it, as the caller has estimated them.
	following []time.Duration
	// claims counts tasks that have a claim; idleSince is when it last fell to
	// zero.
	claims    int
	idleSince time.Time
	// triedAt is when the job was starving in a busy service and found no worker.
	triedAt time.Time
	// gangStarves is set while a gang of the job is placed that had starved before:
	// the claims of its first members do not end that.
	gangStarves bool

	// pool is the key of the workers for the job in the newest decision.
	pool poolKey
	// rank is the job's place in the order of waiting jobs and remaining its
	// critical path. stale is set when a step has progressed since they were
	// computed.
	rank      rank.Candidate
	remaining time.Duration
	stale     bool
	// ageBounded is set if the job seemed older than the bound of ages when it
	// was added.
	ageBounded bool
	// priority is the queue's priority; 0 goes first.
	priority int

	// version rises with each change of the progress; durable is the newest
	// version in the store, sent the newest version passed on to be written.
	// placed is the version of the newest placement that a start waits for.
	version, durable, sent, placed int64
	// writeAlone is set while the store refuses the job's record or one written along
	// with it, and writeAfter delays its next write. withoutCheckpoints leaves the
	// checkpoints out of it for good.
	writeAlone, withoutCheckpoints bool
	writeAfter                     time.Time
	ended                          time.Time
}

// AddJob adds an accepted job from its record. timeOfDay is the wall clock time
// at now and dates its acceptance. inherited marks a job that may have been
// started under an earlier token.
func (b *Board) AddJob(spec *work.Job, progress *work.Progress, inherited bool, now, timeOfDay time.Time) {
	if b.jobs[spec.ID] != nil {
		return
	}
	const maxAge = time.Minute // limits the effect of a jump of the wall clock
	age := min(max(0, timeOfDay.Sub(spec.Accepted)), maxAge)
	j := b.newJob(spec, inherited, now.Add(-age), now, timeOfDay)
	j.ageBounded = age == maxAge
	if progress != nil {
		j.recorded = true
		j.restore(progress)
		b.services[b.serviceOf(j)] = true
		b.setPriority(j)
	}
	b.joinOrganisation(j)
	j.objective = b.objective(j)
	b.estimates.recordWork(spec.Queue, b.totalWork(j))
	b.keepJob(j)
	if j.progress.State.Final() {
		j.ended = now
		return
	}
	b.open[spec.ID] = j
	b.observeArrival(j, now)
	if b.cancelled[spec.ID] {
		b.Cancel(spec.ID, now)
	}
}

// newJob returns a job whose tasks all wait.
func (b *Board) newJob(spec *work.Job, inherited bool, arrived, now, timeOfDay time.Time) *job {
	j := &job{
		work:    spec,
		arrived: arrived,
		seen:    now,
		rank: rank.Candidate{
			ID:          spec.ID,
			LongRunning: spec.LongRunning(),
		},
		stale:     true,
		idleSince: now,
	}
	if inherited {
		j.inherited, j.fromEarlierTerm = b.token, true
	}
	j.terms = spec.Terms
	b.services[spec.Service] = true
	b.setPriority(j)
	j.build(now, timeOfDay)
	return j
}

// setPriority gives a job the priority of its queue. It keeps that for as long as it is
// here.
func (b *Board) setPriority(j *job) {
	terms, _ := b.termsOf(j)
	j.priority, j.rank.Priority = terms.Priority, terms.Priority
}

func (j *job) build(now, timeOfDay time.Time) {
	j.following = j.work.Following()
	for k := range j.work.Occurrences() {
		occ := &occurrence{
			due: j.arrived,
		}
		if j.work.Timed() {
			due := j.work.FirstRun.Add(j.work.DueAfter(k))
			occ.due = now.Add(due.Sub(timeOfDay))
		}
		for s := range j.work.Steps {
			spec := &j.work.Steps[s]
			step := &stepState{
				spec:    spec,
				left:    spec.Count,
				waiting: spec.Count,
			}
			for i := range spec.Count {
				step.tasks = append(step.tasks, &task{
					key: work.TaskKey{
						Job:        j.work.ID,
						Occurrence: k,
						Step:       s,
						Index:      i,
					},
				})
			}
			occ.steps = append(occ.steps, step)
			occ.left += spec.Count
		}
		j.occurrences = append(j.occurrences, occ)
		j.left += occ.left
	}
}

// restore applies a progress record.
func (j *job) restore(progress *work.Progress) {
	j.progress.State = progress.State
	j.progress.Started = progress.Started
	j.restoreTerms(progress)
	number := 0
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				t.restore(progress, number, j.seen)
				switch {
				case number/8 >= len(progress.Done) || progress.Done[number/8]&(1<<(number%8)) == 0:
				case step.spec.LongRunning:
					step.waiting--
					t.phase, t.shard = elsewhere, unknownShard
				default:
					j.finish(occ, step, t)
				}
				number++
			}
		}
	}
}

// restoreTerms applies the terms of a queue that was removed.
func (j *job) restoreTerms(progress *work.Progress) {
	if progress.Terms != nil {
		j.terms, j.progress.Terms = progress.Terms, progress.Terms
	}
}

// restore applies what a progress record has of the task with a number. A run that it
// names counts as ended at seen unless an earlier end is known.
func (t *task) restore(progress *work.Progress, number int, seen time.Time) {
	if failures, ok := progress.Failures[number]; ok {
		t.failures = slices.Clone(failures)
	}
	if checkpoint, ok := progress.SavedCheckpoints[number]; ok {
		t.checkpoint = checkpoint
	}
	if placement, ok := progress.Placements[number]; ok {
		t.lastWorkers = []string{placement}
		if t.endedAt.IsZero() {
			t.endedAt = seen
		}
	}
	if crashes, ok := progress.Crashes[number]; ok {
		t.crashes = slices.Clone(crashes)
	}
}

// number returns the number of a task in the job's progress record.
func (j *job) number(key work.TaskKey) int {
	number := 0
	for o, occ := range j.occurrences {
		for s, step := range occ.steps {
			if o == key.Occurrence && s == key.Step {
				return number + key.Index
			}
			number += len(step.tasks)
		}
	}
	return number
}

// finish marks a task as done; it must not have a claim.
func (j *job) finish(occ *occurrence, step *stepState, t *task) {
	if t.phase == waiting {
		step.waiting--
	}
	t.phase = done
	j.stale = true
	step.left--
	occ.left--
	j.left--
}

// snapshot returns the progress to be stored.
func (j *job) snapshot() work.Progress {
	out := work.Progress{
		State:            j.progress.State,
		Started:          j.progress.Started,
		Failures:         map[int][]int64{},
		SavedCheckpoints: map[int]string{},
		Placements:       map[int]string{},
		Crashes:          map[int][]int64{},
		Terms:            j.progress.Terms,
	}
	number, bits := 0, []byte{}
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if number%8 == 0 {
					bits = append(bits, 0)
				}
				if t.phase == done || t.phase == elsewhere && !t.departing {
					// A leader of an earlier release must not start what is elsewhere.
					// What is being taken back may be here once this is written.
					bits[number/8] |= 1 << (number % 8)
				} else {
					t.save(&out, number, step.spec)
				}
				number++
			}
		}
	}
	if j.withoutCheckpoints {
		clear(out.SavedCheckpoints)
	}
	if !out.State.Final() {
		out.Done = bits
	}
	return out
}

// save adds a task that is not done to a progress record, under its number.
func (t *task) save(out *work.Progress, number int, spec *work.Step) {
	if t.checkpoint != "" {
		out.SavedCheckpoints[number] = t.checkpoint
	}
	if len(t.failures) > 0 {
		out.Failures[number] = slices.Clone(t.failures)
	}
	if len(t.crashes) > 0 {
		out.Crashes[number] = t.chargedRuns()
	}
	if count := len(t.lastWorkers); spec.LongRunning && count > 0 {
		out.Placements[number] = t.lastWorkers[count-1]
	}
}

// find returns the task of a key, or nil if the job has none.
func (j *job) find(key work.TaskKey) (*occurrence, *stepState, *task) {
	if key.Occurrence >= len(j.occurrences) {
		return nil, nil, nil
	}
	occ := j.occurrences[key.Occurrence]
	if key.Step >= len(occ.steps) || key.Index >= len(occ.steps[key.Step].tasks) {
		return nil, nil, nil
	}
	step := occ.steps[key.Step]
	return occ, step, step.tasks[key.Index]
}

// ready reports whether the tasks of a step may start. Load pattern: one job with long
// lists of earlier steps, all of which would be gone through in each decision. What is
// done stays done, so that each entry is passed once.
func (occ *occurrence) ready(step *stepState, now time.Time) bool {
	if occ.due.After(now) {
		return false
	}
	for ; step.doneBefore < len(step.spec.After); step.doneBefore++ {
		before := occ.steps[step.spec.After[step.doneBefore]]
		if before.left > 0 {
			return false
		}
		for _, t := range before.tasks {
			step.readyAt = latestOf(step.readyAt, t.endedAt)
		}
	}
	return true
}

func (b *Board) markChanged(j *job) {
	j.version++
	b.unsaved[j.work.ID] = j
}

// end makes a job final and stops its runs.
func (b *Board) end(j *job, state work.State, now time.Time) {
	j.progress.State = state
	j.ended = now
	delete(b.open, j.work.ID)
	b.markChanged(j)
	b.stopAll(j, state.String())
}

func (b *Board) stopAll(j *job, reason string) {
	if j.claims == 0 {
		return
	}
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if t.phase == claimed {
					b.stop(t.worker, t.key, t.run, reason)
				}
			}
		}
	}
}

// Cancel ends a job at its caller's request. The job's record may arrive after
// the cancellation, as a full read returns both in the order of their keys.
func (b *Board) Cancel(id string, now time.Time) {
	b.now = now
	if b.jobs[id] == nil {
		b.cancelled[id] = true
		return
	}
	delete(b.cancelled, id)
	j := b.open[id]
	if j == nil {
		return
	}
	b.end(j, work.Cancelled, now)
}
