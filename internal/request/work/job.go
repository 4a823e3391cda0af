// Package work describes jobs: steps of tasks, the resources that each task
// needs and the order of the steps. A job is validated once, when it is
// submitted or decoded; all other code relies on the invariants stated here.
package work

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Limits of one job. A job that exceeds them is rejected.
const (
	// MaxSpecBytes limits the opaque spec that is passed to a worker.
	MaxSpecBytes = 4000
	// MaxTasks limits the memory that one job can use on a host. It counts the
	// tasks of all occurrences.
	MaxTasks = 20000
	// MaxEstimate limits the estimated run time of a task, and MaxInterval the time
	// between two occurrences, of new jobs. Records of an earlier release may have more.
	MaxEstimate = 365 * 24 * time.Hour
	MaxInterval = 100 * MaxEstimate
	// MaxChain is the longest chain of estimated run times that is told from longer ones.
	MaxChain = 10 * MaxEstimate
)

// ErrInvalid is returned for a job, task key or record that is malformed. A job
// that fails with it can never run as submitted.
var ErrInvalid = errors.New("invalid job")

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks, at least one.
	Count int `cbor:"1,keyasint"`
	// Size is what each task needs; no part is negative.
	Size worker.Size `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of one task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done
	// before this step starts. Once the step has been added to a Builder or its job
	// decoded, each is there once, in rising order.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save checkpoints while they run.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if all tasks must start and end together (gang scheduling).
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack is set if the tasks run slower when spread over several racks.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is where the input data is; tasks run slower on other racks. Empty
	// means no preference.
	Rack string `cbor:"9,keyasint,omitempty"`
	// Spread limits the tasks of the step on one worker; zero means no limit.
	Spread int `cbor:"10,keyasint,omitempty"`
	// Speculative is set if a task may run in several copies at once
	// (speculative execution).
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning marks long-running tasks, which run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks of one image are
	// expected to use and contend for resources alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the tail latency target of tasks that serve requests; zero
	// means that they serve none.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Filler marks best-effort tasks, which run on processor time that other
	// tasks leave unused. Their cores do not count against a worker's capacity.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many of the step's long-running tasks the scheduler
	// may evict at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Job is a job as submitted by a caller.
type Job struct {
	// ID is unique among all jobs.
	ID string `cbor:"1,keyasint"`
	// Queue names the queue that the job was submitted to.
	Queue string `cbor:"2,keyasint"`
	// Service names the service whose workers may run the job, as of its
	// acceptance.
	Service string `cbor:"3,keyasint"`
	// Spec is passed to the worker unchanged.
	Spec string `cbor:"4,keyasint"`
	// Steps holds at least one step. A step depends only on earlier steps.
	Steps []Step `cbor:"5,keyasint"`
	// Repeat is how often the steps run; zero means once, immediately.
	Repeat int `cbor:"6,keyasint,omitempty"`
	// FirstRun is when the first occurrence is due; the others follow at
	// Interval.
	FirstRun time.Time     `cbor:"7,keyasint,omitempty"`
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// Accepted is the time of day at which the job was submitted.
	Accepted time.Time `cbor:"9,keyasint"`
	// Organisation owns the job; empty if the job came through a public queue or
	// the configuration has no organisations.
	Organisation string `cbor:"10,keyasint,omitempty"`
	// EntryZone is the availability zone of the host that accepted the job; empty
	// if an earlier release accepted it.
	EntryZone string `cbor:"11,keyasint,omitempty"`
	// Terms are those of the queue when the job was accepted, nil if an earlier release
	// accepted it.
	Terms *Terms `cbor:"12,keyasint,omitempty"`
}

// Occurrences returns how often the steps run, at least once.
func (j *Job) Occurrences() int {
	return max(1, j.Repeat)
}

// DueAfter returns how long after its first one an occurrence is due. Occurrences that
// are due later than a Duration can tell are due then.
func (j *Job) DueAfter(occurrence int) time.Duration {
	if j.Interval > 0 && int64(occurrence) > math.MaxInt64/int64(j.Interval) {
		return math.MaxInt64
	}
	return time.Duration(occurrence) * j.Interval
}

// Timed reports whether the job's occurrences wait for due times.
func (j *Job) Timed() bool {
	return j.Repeat > 0
}

// LongRunning reports whether the job has long-running tasks, so that it runs
// until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, step := range j.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Check validates the job. Errors: ErrInvalid.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("%w: spec has %d bytes, the most is %d", ErrInvalid, len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return fmt.Errorf("%w: the job has no steps", ErrInvalid)
	case j.Repeat < 0 || j.Interval < 0:
		return fmt.Errorf("%w: negative repeat or interval", ErrInvalid)
	}
	tasks := 0
	for i, step := range j.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Count
		if tasks > MaxTasks/j.Occurrences() {
			return fmt.Errorf("%w: more than %d tasks", ErrInvalid, MaxTasks)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	switch {
	case s.Count < 1:
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, index, s.Count)
	case s.Count > MaxTasks:
		return fmt.Errorf("%w: step %d has more than %d tasks", ErrInvalid, index, MaxTasks)
	case s.Size.MilliCores < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0:
		return fmt.Errorf("%w: step %d asks for a negative size", ErrInvalid, index)
	case s.Spread < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TailTarget < 0:
		return fmt.Errorf("%w: step %d has a negative spread, max unavailable, estimate or tail target", ErrInvalid, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: step %d waits for step %d, which is not an earlier one", ErrInvalid, index, earlier)
		}
	}
	return nil
}

// mergeAfter drops what is listed more than once.
func (s *Step) mergeAfter() {
	if !slices.IsSorted(s.After) {
		slices.Sort(s.After)
	}
	if merged := slices.Compact(s.After); len(merged) < len(s.After) {
		s.After = slices.Clone(merged) // the memory of the whole list is given back
	}
}

// mergeAfter merges the lists of all steps.
func (j *Job) mergeAfter() {
	for i := range j.Steps {
		j.Steps[i].mergeAfter()
	}
}

// Following returns, by step, the longest sum of estimated run times along a chain of
// the steps that wait for it.
func (j *Job) Following() []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		for _, earlier := range j.Steps[i].After {
			out[earlier] = min(MaxChain, max(out[earlier], min(MaxChain, j.Steps[i].Estimate)+out[i]))
		}
	}
	return out
}

// CriticalPath returns the length of the critical path: the longest sum of
// estimated run times along a chain of dependent steps.
func (j *Job) CriticalPath(estimate func(step *Step) time.Duration) time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		step := &j.Steps[i]
		for _, earlier := range step.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		finish[i] = min(MaxChain, finish[i]+min(MaxChain, estimate(step)))
		longest = max(longest, finish[i])
	}
	return longest
}
