package work

import (
	"fmt"
	"unsafe"
)

// minStepCapacity is how many steps a job has room for without asking for memory;
// most jobs have fewer.
const minStepCapacity = 8

// Builder collects the steps of a job that is being decoded. It refuses the first
// invalid step, so that what follows is not decoded.
type Builder struct {
	job   *Job
	tasks int
	// grow is called before memory for more steps is allocated.
	grow func(bytes int64) error
}

// NewBuilder returns a Builder of the steps of a job.
func NewBuilder(job *Job, grow func(bytes int64) error) *Builder {
	return &Builder{
		job:  job,
		grow: grow,
	}
}

// Add appends a step. Errors: ErrInvalid, that of grow.
func (b *Builder) Add(step Step) error {
	if err := step.check(len(b.job.Steps)); err != nil {
		return err
	}
	step.mergeAfter()
	if b.tasks += step.Count; b.tasks > MaxTasks {
		return fmt.Errorf("%w: step %d brings the job to more than %d tasks", ErrInvalid, len(b.job.Steps), MaxTasks)
	}
	if len(b.job.Steps) == cap(b.job.Steps) {
		if err := b.enlarge(); err != nil {
			return err
		}
	}
	b.job.Steps = append(b.job.Steps, step)
	return nil
}

// enlarge doubles the room for steps.
func (b *Builder) enlarge() error {
	added := max(minStepCapacity, len(b.job.Steps))
	if len(b.job.Steps) > 0 {
		if err := b.grow(int64(added) * int64(unsafe.Sizeof(Step{}))); err != nil {
			return err
		}
	}
	enlarged := make([]Step, len(b.job.Steps), len(b.job.Steps)+added)
	copy(enlarged, b.job.Steps)
	b.job.Steps = enlarged
	return nil
}

// Reset drops the steps.
func (b *Builder) Reset() {
	b.job.Steps, b.tasks = nil, 0
}
