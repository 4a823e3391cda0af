package work

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// State is how far a job has come, as its caller sees it.
type State uint8

// The states of a job. Those from Completed on are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String is the state's word in logs and on our own interface.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final tells whether nothing more will happen.
func (s State) Final() bool {
	return s >= Completed
}

// Progress is the durable part of what is known of an accepted job. What it
// leaves out can be asked of the workers again.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Began says that a task has started at least once.
	Began bool `cbor:"2,keyasint,omitempty"`
	// Done has a bit a task, in the order of occurrence, step and index.
	Done []byte `cbor:"3,keyasint,omitempty"`
	// Failures lists the runs that failed, by task number. An end that a worker
	// repeats to the next leader is thereby counted once.
	Failures map[int][]int64 `cbor:"4,keyasint,omitempty"`
	// Saved holds the newest checkpoint by task number.
	Saved map[int]string `cbor:"5,keyasint,omitempty"`
}

// EncodeJob writes a job record.
func EncodeJob(job *Job) ([]byte, error) {
	return encode(job)
}

// DecodeJob reads a job record. Errors: ErrInvalid.
func DecodeJob(value []byte) (*Job, error) {
	job := &Job{}
	if err := decoding.Unmarshal(value, job); err != nil {
		return nil, fmt.Errorf("%w: record: %v", ErrInvalid, err)
	}
	return job, job.Check()
}

// EncodeProgress writes a progress record.
func EncodeProgress(progress *Progress) ([]byte, error) {
	return encode(progress)
}

// DecodeProgress reads a progress record. Errors: ErrInvalid.
func DecodeProgress(value []byte) (*Progress, error) {
	progress := &Progress{}
	if err := decoding.Unmarshal(value, progress); err != nil {
		return nil, fmt.Errorf("%w: record: %v", ErrInvalid, err)
	}
	if progress.State > Cancelled {
		return nil, fmt.Errorf("%w: record: state %d", ErrInvalid, progress.State)
	}
	return progress, nil
}

// Times keep their milliseconds, since objectives are shorter than a second.
var (
	encoding = must(cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}.EncMode())
	decoding = must(cbor.DecOptions{}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func encode(value any) ([]byte, error) {
	text, err := encoding.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return text, nil
}
