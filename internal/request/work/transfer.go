package work

import (
	"fmt"
	"time"
)

// TransferredTask is the record of a long-running task in a shard that is not its
// job's. The record of the job, and with it the job's state, stay in the job's shard.
type TransferredTask struct {
	// Job is the job of the task, Home its shard.
	Job  *Job `cbor:"1,keyasint"`
	Home int  `cbor:"2,keyasint"`
	// Key names the task. It is a long-running one of Job.
	Key TaskKey `cbor:"3,keyasint"`
	// Checkpoint is the task's newest one, and Crashes lists the runs that may have
	// crashed their workers.
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	Crashes    []int64 `cbor:"5,keyasint,omitempty"`
	// Down is how long the task had been down when it was transferred.
	Down time.Duration `cbor:"6,keyasint,omitempty"`
	// LastRun is no lower than the number of any earlier run: numbers rise from
	// shard to shard.
	LastRun int64 `cbor:"7,keyasint,omitempty"`
}

// Location is the record, in the shard of a job, of where a task is that was
// transferred. If Shard is that of the job, the task has been returned and the other
// fields are those that TransferredTask has.
type Location struct {
	Key        TaskKey       `cbor:"1,keyasint"`
	Shard      int           `cbor:"2,keyasint"`
	Checkpoint string        `cbor:"3,keyasint,omitempty"`
	Crashes    []int64       `cbor:"4,keyasint,omitempty"`
	Down       time.Duration `cbor:"5,keyasint,omitempty"`
	LastRun    int64         `cbor:"6,keyasint,omitempty"`
}

// EncodeTransferred encodes the record of a transferred task. Errors: ErrInvalid.
func EncodeTransferred(task *TransferredTask) ([]byte, error) {
	return encode(task)
}

// DecodeTransferred decodes and validates the record of a transferred task. Errors:
// ErrInvalid.
func DecodeTransferred(value []byte) (*TransferredTask, error) {
	task := &TransferredTask{}
	if err := decMode.Unmarshal(value, task); err != nil {
		return nil, fmt.Errorf("%w: cannot decode record of a transferred task: %v", ErrInvalid, err)
	}
	if task.Job == nil {
		return nil, fmt.Errorf("%w: record of transferred task %s has no job", ErrInvalid, task.Key)
	}
	task.Job.mergeAfter()
	if err := task.Job.Check(); err != nil {
		return nil, err
	}
	key, steps := task.Key, task.Job.Steps
	switch {
	case key.Job != task.Job.ID, key.Occurrence < 0, key.Occurrence >= task.Job.Occurrences(), key.Step < 0, key.Step >= len(steps),
		key.Index < 0, key.Index >= steps[key.Step].Count:
		return nil, fmt.Errorf("%w: transferred task %s is none of job %s", ErrInvalid, key, task.Job.ID)
	case !steps[key.Step].LongRunning:
		return nil, fmt.Errorf("%w: transferred task %s is not long-running", ErrInvalid, key)
	}
	return task, nil
}

// EncodeLocation encodes the location of a task. Errors: ErrInvalid.
func EncodeLocation(location *Location) ([]byte, error) {
	return encode(location)
}

// DecodeLocation decodes the location of a task. Errors: ErrInvalid.
func DecodeLocation(value []byte) (*Location, error) {
	location := &Location{}
	if err := decMode.Unmarshal(value, location); err != nil {
		return nil, fmt.Errorf("%w: cannot decode location of a task: %v", ErrInvalid, err)
	}
	if location.Key.Job == "" || location.Shard < 0 {
		return nil, fmt.Errorf("%w: location of task %s names shard %d", ErrInvalid, location.Key, location.Shard)
	}
	return location, nil
}
