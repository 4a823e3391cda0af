package quota

import (
	"errors"
	"fmt"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// ErrNeverFits is returned for a job that can't start under its organisation's
// limit, whatever else runs.
var ErrNeverFits = errors.New("the limit of the organisation is too small")

// CheckJob reports whether each step of a job can start under a configured limit:
// a gang as a whole, other steps one task at a time. Errors: ErrNeverFits, with
// the step and the resource.
func CheckJob(job *work.Job, limit worker.Size) error {
	bound := Bound(limit)
	for i := range job.Steps {
		step := &job.Steps[i]
		tasks := int64(1)
		if step.Gang {
			tasks = int64(step.Count)
		}
		resource, need, most := "", int64(0), int64(0)
		switch {
		case count(step.Size.Accelerators, 0, bound.Accelerators) < tasks:
			resource, need, most = "accelerators", step.Size.Accelerators, limit.Accelerators
		case count(step.Size.MemoryBytes, 0, bound.MemoryBytes) < tasks:
			resource, need, most = "bytes of memory", step.Size.MemoryBytes, limit.MemoryBytes
		case count(step.Size.MilliCores, 0, bound.MilliCores) < tasks:
			resource, need, most = "millicores", step.Size.MilliCores, limit.MilliCores
		default:
			continue
		}
		return fmt.Errorf("%w: step %d needs %d x %d %s at once, the limit is %d", ErrNeverFits, i, tasks, need, resource, most)
	}
	return nil
}
