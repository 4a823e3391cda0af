package work

import "unsafe"

// Memory of a job that is being scheduled. What is recorded of a task only while it
// runs or has failed is not included; that is limited by the workers.
const (
	// TaskBytes is that of one task, StepBytes that of one step of one occurrence
	// beside its tasks, JobBytes that of a job beside its steps.
	TaskBytes = 512
	StepBytes = 256
	JobBytes  = 2 << 10
)

const indexBytes = 8

// Bytes estimates the memory that a leader needs for the job.
func (j *Job) Bytes() int64 {
	specified, tasks := len(j.Spec), 0
	for i := range j.Steps {
		step := &j.Steps[i]
		specified += indexBytes*len(step.After) + len(step.Label) + len(step.Rack) + len(step.Image)
		tasks += step.Count
	}
	steps := int64(len(j.Steps))
	repeated := int64(j.Occurrences()) * (steps*StepBytes + int64(tasks)*TaskBytes)
	return JobBytes + int64(specified) + steps*int64(unsafe.Sizeof(Step{})) + repeated
}
