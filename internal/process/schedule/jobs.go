package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// phase is where a task stands.
type phase uint8

const (
	// waiting tasks may be started once their step's turn has come.
	waiting phase = iota
	// claimed tasks have a claim on a worker, sure or not.
	claimed
	// done tasks never start again.
	done
)

// task is one task of one occurrence.
type task struct {
	key   work.TaskKey
	phase phase
	// worker and run are those of the claim.
	worker string
	run    int64
	// checkpoint is the newest one known.
	checkpoint string
	// failures are the runs that failed.
	failures []int64
	// avoid is the worker on which it failed last.
	avoid string
	// notBefore delays the next start after a refusal.
	notBefore time.Time
	// over is when a lasting task ended last.
	over time.Time
}

// stepState is one step of one occurrence.
type stepState struct {
	spec  *work.Step
	tasks []*task
	// left is the number of tasks that are not done.
	left int
	// waiting is the number of tasks in the phase of that name.
	waiting int
	// advice is what is known of who may run the step, nil if nobody was asked.
	advice *advice
}

// occurrence is one time that the steps run.
type occurrence struct {
	due   time.Time
	steps []*stepState
	left  int
}

// job is an accepted job.
type job struct {
	work     *work.Job
	progress work.Progress
	// arrived is when it was accepted, on this host's steady clock.
	arrived time.Time
	// objective is by when it should be done.
	objective time.Time
	// inherited jobs were accepted before this leadership: their tasks may be
	// running on workers that have not been heard yet.
	inherited int64
	attempts  int

	occurrences []*occurrence
	left        int
	// claims counts tasks that have a claim; idleSince is when it last fell to
	// none.
	claims    int
	idleSince time.Time

	// todo is the longest chain of steps that have tasks waiting; stale when
	// a step has moved on since it was reckoned.
	todo    time.Duration
	density float64
	stale   bool
	// priority is the queue's, 0 goes first.
	priority int

	// version rises with each change of the progress; durable is the newest
	// version in the store, sent the newest on its way.
	version, durable, sent int64
	ended                  time.Time
}

// AddJob takes a job record in. The time of day now dates its acceptance.
// Inherited says that it may have been started under an earlier token.
func (b *Board) AddJob(spec *work.Job, progress *work.Progress, inherited bool, now, timeOfDay time.Time) {
	if b.jobs[spec.ID] != nil {
		return
	}
	const oldestAge = time.Minute // a time of day that jumps must not make a job older than this
	age := min(max(0, timeOfDay.Sub(spec.Accepted)), oldestAge)
	j := &job{
		work:    spec,
		arrived: now.Add(-age),
	}
	if inherited {
		j.inherited = b.token
	}
	if queue, ok := b.catalog.Queues[spec.Queue]; ok {
		j.attempts, j.priority = queue.MaxAttempts, queue.Priority
	}
	j.stale = true
	j.idleSince = now
	j.build(now, timeOfDay)
	if progress != nil {
		j.restore(progress)
	}
	j.objective = b.objective(j)
	b.estimates.noteWork(spec.Queue, b.wholeWork(j))
	b.jobs[spec.ID] = j
	if j.progress.State.Final() {
		j.ended = now
		return
	}
	b.open[spec.ID] = j
	if b.cancelled[spec.ID] {
		b.Cancel(spec.ID, now)
	}
}

func (j *job) build(now, timeOfDay time.Time) {
	for k := range j.work.Occurrences() {
		one := &occurrence{
			due: j.arrived,
		}
		if j.work.Timed() {
			due := j.work.FirstRun.Add(time.Duration(k) * j.work.Interval)
			one.due = now.Add(due.Sub(timeOfDay))
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
			one.steps = append(one.steps, step)
			one.left += spec.Count
		}
		j.occurrences = append(j.occurrences, one)
		j.left += one.left
	}
}

// restore applies what the record says.
func (j *job) restore(progress *work.Progress) {
	j.progress.State = progress.State
	j.progress.Began = progress.Began
	number := 0
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			for _, t := range step.tasks {
				t.failures = slices.Clone(progress.Failures[number])
				t.checkpoint = progress.Saved[number]
				if number/8 < len(progress.Done) && progress.Done[number/8]&(1<<(number%8)) != 0 {
					j.finish(one, step, t)
				}
				number++
			}
		}
	}
}

// finish marks a task as done; it must not have a claim.
func (j *job) finish(one *occurrence, step *stepState, t *task) {
	if t.phase == waiting {
		step.waiting--
	}
	t.phase = done
	j.stale = true
	step.left--
	one.left--
	j.left--
}

// snapshot writes the progress as it stands.
func (j *job) snapshot() work.Progress {
	out := work.Progress{
		State:    j.progress.State,
		Began:    j.progress.Began,
		Failures: map[int][]int64{},
		Saved:    map[int]string{},
	}
	number, bits := 0, []byte{}
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			for _, t := range step.tasks {
				if number%8 == 0 {
					bits = append(bits, 0)
				}
				if t.phase == done {
					bits[number/8] |= 1 << (number % 8)
				} else if t.checkpoint != "" {
					out.Saved[number] = t.checkpoint
				}
				if len(t.failures) > 0 && t.phase != done {
					out.Failures[number] = slices.Clone(t.failures)
				}
				number++
			}
		}
	}
	if !out.State.Final() {
		out.Done = bits
	}
	return out
}

// find returns the task of a key, or nil if the job has none such.
func (j *job) find(key work.TaskKey) (*occurrence, *stepState, *task) {
	if key.Occurrence >= len(j.occurrences) {
		return nil, nil, nil
	}
	one := j.occurrences[key.Occurrence]
	if key.Step >= len(one.steps) || key.Index >= len(one.steps[key.Step].tasks) {
		return nil, nil, nil
	}
	step := one.steps[key.Step]
	return one, step, step.tasks[key.Index]
}

// turn tells whether the tasks of a step may start.
func (one *occurrence) turn(step *stepState, now time.Time) bool {
	if one.due.After(now) {
		return false
	}
	for _, earlier := range step.spec.After {
		if one.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

func (b *Board) touch(j *job) {
	j.version++
	b.dirty[j.work.ID] = j
}

// end makes a job final and stops what it still runs.
func (b *Board) end(j *job, state work.State, now time.Time) {
	j.progress.State = state
	j.ended = now
	delete(b.open, j.work.ID)
	b.touch(j)
	b.stopAll(j, state.String())
}

func (b *Board) stopAll(j *job, reason string) {
	if j.claims == 0 {
		return
	}
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			for _, t := range step.tasks {
				if t.phase == claimed {
					b.stop(t.worker, t.key, t.run, reason)
				}
			}
		}
	}
}

// Cancel ends a job on its caller's word. The record of the job may come later:
// a list of both is in the order of their keys.
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
