// Package job defines the record of a job and its state transitions. The record
// stored in the platform is authoritative: an attempt starts only after it is
// committed to the record, and another is committed only when the previous one
// is known to be over. The package does no I/O.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Key prefixes of job records in the platform. A record is stored under exactly
// one of them.
const (
	ActivePrefix = "mustardreach/jobs/"
	EndedPrefix  = "mustardreach/ended/"
)

// State is the state of a job.
type State string

// The states of a job. Done, Failed and Cancelled are final.
const (
	Accepted     State = "accepted"
	Committed    State = "committed"
	Running      State = "running"
	Checkpointed State = "checkpointed"
	// Unresolved means that the last attempt is over with an unknown outcome;
	// the job waits for operators to declare the worker lost.
	Unresolved State = "unresolved"
	Done       State = "done"
	Failed     State = "failed"
	Cancelled  State = "cancelled"
)

// Final reports whether the job has ended.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled
}

// AttemptState is the state of an attempt.
type AttemptState string

// The states of an attempt. An open one may be running; the others are over.
const (
	AttemptOpen    AttemptState = "open"
	AttemptDone    AttemptState = "done"
	AttemptFailed  AttemptState = "failed"
	AttemptStopped AttemptState = "stopped"
	// AttemptLost is over without a result from the worker, because its lease
	// expired or the worker restarted.
	AttemptLost AttemptState = "lost"
	// AttemptNotRun never ran: the worker refused or barred it, or the start
	// did not reach the worker in time.
	AttemptNotRun AttemptState = "not_run"
)

// Attempt is one attempt to run a job on a worker.
type Attempt struct {
	// N counts from 1 without gaps.
	N      int          `json:"n"`
	Worker string       `json:"worker"`
	Zone   string       `json:"zone"`
	Epoch  uint64       `json:"epoch"`
	State  AttemptState `json:"state"`
	// Boot identifies the run of the worker that the attempt was committed to;
	// the attempt never starts after the worker has restarted.
	Boot string `json:"boot,omitempty"`
	// Size is the capacity that is reserved until the attempt is over.
	Size worker.Size `json:"size"`
	// From is the checkpoint that the attempt resumes from, empty for a start
	// from the beginning.
	From        string    `json:"from,omitempty"`
	CommittedAt time.Time `json:"committed_at"`
	EndedAt     time.Time `json:"ended_at,omitzero"`
	Detail      string    `json:"detail,omitempty"`
}

// maxStoredAttempts bounds the attempts in one record; older ones only remain
// in the total.
const maxStoredAttempts = 32

// Record is the stored record of a job.
type Record struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Class    string `json:"class"`
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// Request is a digest of the submission in hexadecimal; it detects a key
	// that is used again for another job.
	Request string `json:"request"`
	// Size is the size declared by the caller.
	Size worker.Size `json:"size"`
	// Payload is passed to the worker unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Zone is the zone whose dispatcher may commit the next attempt.
	Zone  string `json:"zone"`
	State State  `json:"state"`
	// Checkpoint is the checkpoint that the next attempt resumes from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Attempts are the newest ones, oldest first; only the last may be open.
	Attempts []Attempt `json:"attempts,omitempty"`
	// Total counts all attempts, Failures those that count against the limit.
	Total    int `json:"total"`
	Failures int `json:"failures"`
	// Cancel is set by the caller; it takes effect when the attempt is over.
	Cancel bool `json:"cancel,omitempty"`
	// Reason is why the job failed, was cancelled or is unresolved.
	Reason      string    `json:"reason,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`
	EndedAt     time.Time `json:"ended_at,omitzero"`
}

// ErrRecord marks stored bytes that are not a job record.
var ErrRecord = errors.New("not a job record")

// IDFor returns the job ID for a customer's idempotency key. It depends on
// nothing else, so every host derives the same ID.
func IDFor(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return customer + "." + hex.EncodeToString(sum[:10])
}

// ValidName reports whether a customer or class name may be part of a key: 1 to
// 64 bytes without slashes, dots, colons, double quotes, blanks or zero bytes.
func ValidName(name string) bool {
	return name != "" && len(name) <= 64 && !strings.ContainsAny(name, "/.: \t\n\"\x00")
}

// PlatformKey returns the key under which the record is stored.
func (r *Record) PlatformKey() string {
	if r.State.Final() {
		return EndedPrefix + r.ID
	}
	return ActivePrefix + r.ID
}

// Encode returns the record as JSON for the platform.
func (r *Record) Encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return text
}

// Decode parses the output of Encode; its error wraps ErrRecord.
func Decode(text []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(text, record); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRecord, err)
	}
	return record, nil
}

// Clone returns a copy whose fields and attempts can be changed independently.
func (r *Record) Clone() *Record {
	clone := *r
	clone.Attempts = append([]Attempt(nil), r.Attempts...)
	return &clone
}

// Open returns the open attempt, which may be running, or nil.
func (r *Record) Open() *Attempt {
	if len(r.Attempts) == 0 {
		return nil
	}
	last := &r.Attempts[len(r.Attempts)-1]
	if last.State != AttemptOpen {
		return nil
	}
	return last
}

// Waiting reports whether the job needs an attempt.
func (r *Record) Waiting() bool {
	return !r.State.Final() && r.State != Unresolved && r.Open() == nil
}

// AttemptID returns the ID by which workers know attempt n: the job ID and the
// number, joined by a colon.
func (r *Record) AttemptID(n int) string {
	return fmt.Sprintf("%s:%d", r.ID, n)
}

// ParseAttemptID splits an ID returned by AttemptID; ok is false for another
// text.
func ParseAttemptID(id string) (job string, n int, ok bool) {
	job, number, found := strings.Cut(id, ":")
	if !found {
		return "", 0, false
	}
	_, err := fmt.Sscanf(number, "%d", &n)
	return job, n, err == nil
}
