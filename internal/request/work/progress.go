package work

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job as reported to its caller.
type State uint8

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state's name in logs and in the callers' interface.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s >= Completed
}

// Progress is the durable state of an accepted job. State that a new leader can
// recover by polling the workers is not part of it.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Started is set once a task of the job has started.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Done is a bitmap of the finished tasks, one bit a task, in the order of
	// occurrence, step and index.
	Done []byte `cbor:"3,keyasint,omitempty"`
	// Failures lists the failed runs by task number. Runs are listed, not
	// counted, so that a run end which a worker reports again to the next leader
	// counts once.
	Failures map[int][]int64 `cbor:"4,keyasint,omitempty"`
	// SavedCheckpoints holds the latest checkpoint by task number.
	SavedCheckpoints map[int]string `cbor:"5,keyasint,omitempty"`
	// Placements holds, by task number, the last worker of a long-running task.
	// It is in the store before the task starts there.
	Placements map[int]string `cbor:"6,keyasint,omitempty"`
	// Crashes lists, by task number, the runs that may have crashed their
	// workers.
	Crashes map[int][]int64 `cbor:"7,keyasint,omitempty"`
	// Terms are the last ones of a queue that was removed, nil if they are those of the
	// job's acceptance.
	Terms *Terms `cbor:"8,keyasint,omitempty"`
}

// EncodeJob encodes a job record. Errors: ErrInvalid.
func EncodeJob(job *Job) ([]byte, error) {
	return encode(job)
}

// DecodeJob decodes and validates a job record. Errors: ErrInvalid.
func DecodeJob(value []byte) (*Job, error) {
	job := &Job{}
	if err := decMode.Unmarshal(value, job); err != nil {
		return nil, fmt.Errorf("%w: cannot decode job record: %v", ErrInvalid, err)
	}
	job.mergeAfter()
	return job, job.Check()
}

// EncodeProgress encodes a progress record. Errors: ErrInvalid.
func EncodeProgress(progress *Progress) ([]byte, error) {
	return encode(progress)
}

// DecodeProgress decodes a progress record. Errors: ErrInvalid.
func DecodeProgress(value []byte) (*Progress, error) {
	progress := &Progress{}
	if err := decMode.Unmarshal(value, progress); err != nil {
		return nil, fmt.Errorf("%w: cannot decode progress record: %v", ErrInvalid, err)
	}
	if progress.State > Cancelled {
		return nil, fmt.Errorf("%w: progress record has unknown state %d", ErrInvalid, progress.State)
	}
	return progress, nil
}

// Times are encoded with microseconds, since job objectives can be shorter than
// a second.
var (
	encMode = must(cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}.EncMode())
	decMode = must(cbor.DecOptions{}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func encode(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("%w: cannot encode record: %v", ErrInvalid, err)
	}
	return data, nil
}
