// Package work describes jobs: steps of tasks, what each task needs and in
// which order steps may run. It checks a job once, at the door, so that
// everything behind it can rely on the invariants below.
package work

import (
	"errors"
	"fmt"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Bounds of one job. A job beyond them is refused.
const (
	// MostSpecBytes is the longest opaque text that a worker is handed.
	MostSpecBytes = 4000
	// MostTasks bounds the memory that one job can take on a host.
	MostTasks = 20000
)

// ErrInvalid marks a job that can never be run as it is written.
var ErrInvalid = errors.New("invalid job")

// Step is a number of equal tasks.
type Step struct {
	// Count is the number of tasks, at least one.
	Count int `cbor:"1,keyasint"`
	// Size is what each task needs; no part is negative.
	Size worker.Size `cbor:"2,keyasint"`
	// Estimate is the caller's rough guess of one task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After are earlier steps, all of whose tasks must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints says that the tasks save their progress as they go.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang says that all tasks must run together and end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack says that the tasks are slower when spread over racks.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must carry; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack holds the data; tasks are slower elsewhere. Empty means no matter.
	Rack string `cbor:"9,keyasint,omitempty"`
	// Spread is the most tasks of the step on one worker; zero means no bound.
	Spread int `cbor:"10,keyasint,omitempty"`
	// Copies says that a task may run more than once at a time.
	Copies bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"12,keyasint,omitempty"`
	// Image names what runs; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the bound of the tail latency that the tasks serve with;
	// zero means that they serve nobody.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Filler tasks run in processor time that others leave unused; their
	// cores are not counted against a worker's.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many lasting tasks the system may take away at a time.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Job is what a caller hands in.
type Job struct {
	// ID is unique among all jobs.
	ID string `cbor:"1,keyasint"`
	// Queue names the route that it came by.
	Queue string `cbor:"2,keyasint"`
	// Service names the workers that may run it, as of its acceptance.
	Service string `cbor:"3,keyasint"`
	// Spec is handed to the worker as it is.
	Spec string `cbor:"4,keyasint"`
	// Steps holds at least one step; a step depends on earlier ones only.
	Steps []Step `cbor:"5,keyasint"`
	// Repeat is how often the steps run; zero means once, at once.
	Repeat int `cbor:"6,keyasint,omitempty"`
	// FirstRun and Interval give the due times of the repeats.
	FirstRun time.Time     `cbor:"7,keyasint,omitempty"`
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// Accepted is the time of day at which it was handed in.
	Accepted time.Time `cbor:"9,keyasint"`
}

// Occurrences is how often the steps run, at least one.
func (j *Job) Occurrences() int {
	return max(1, j.Repeat)
}

// Timed tells whether the job waits for its due times.
func (j *Job) Timed() bool {
	return j.Repeat > 0
}

// Lasting tells whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for _, step := range j.Steps {
		if step.Lasting {
			return true
		}
	}
	return false
}

// Check tells whether the job can be run at all. Errors: ErrInvalid.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MostSpecBytes:
		return fmt.Errorf("%w: spec has %d bytes, the most is %d", ErrInvalid, len(j.Spec), MostSpecBytes)
	case len(j.Steps) == 0:
		return fmt.Errorf("%w: it has no steps", ErrInvalid)
	case j.Repeat < 0 || j.Interval < 0:
		return fmt.Errorf("%w: negative repeat or interval", ErrInvalid)
	}
	tasks := 0
	for i, step := range j.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Count
		if tasks > MostTasks/j.Occurrences() {
			return fmt.Errorf("%w: more than %d tasks", ErrInvalid, MostTasks)
		}
	}
	return nil
}

func (s *Step) check(at int) error {
	switch {
	case s.Count < 1:
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, at, s.Count)
	case s.Count > MostTasks:
		return fmt.Errorf("%w: step %d has more than %d tasks", ErrInvalid, at, MostTasks)
	case s.Size.MilliCores < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0:
		return fmt.Errorf("%w: step %d asks for a negative size", ErrInvalid, at)
	case s.Spread < 0 || s.MayMiss < 0 || s.Estimate < 0 || s.TailTarget < 0:
		return fmt.Errorf("%w: step %d has a negative bound", ErrInvalid, at)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= at {
			return fmt.Errorf("%w: step %d waits for step %d, which is not an earlier one", ErrInvalid, at, earlier)
		}
	}
	return nil
}

// ChainEstimate is the longest chain of estimated run times through the steps.
func (j *Job) ChainEstimate(estimate func(step *Step) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		step := &j.Steps[i]
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += estimate(step)
		longest = max(longest, ends[i])
	}
	return longest
}
