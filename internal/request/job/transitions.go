package job

import (
	"errors"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

var (
	// ErrOpen means that the job has an open attempt, which may be running.
	ErrOpen = errors.New("the job has an open attempt that may be running")
	// ErrFinal means that the job has ended.
	ErrFinal = errors.New("the job has ended")
)

// Placement is the target of the next attempt.
type Placement struct {
	Worker, Zone string
	// Boot identifies the worker's present run.
	Boot string
	// Epoch is that of the dispatcher which commits the attempt.
	Epoch uint64
	// Size is the capacity to reserve.
	Size worker.Size
}

// Commit returns the record with one more, open attempt. Errors: ErrOpen,
// ErrFinal.
func (r *Record) Commit(placement Placement, now time.Time) (*Record, error) {
	switch {
	case r.State.Final():
		return nil, ErrFinal
	case r.Open() != nil:
		return nil, ErrOpen
	}
	next := r.Clone()
	next.Total++
	next.State = Committed
	next.Attempts = append(next.Attempts, Attempt{
		N:           next.Total,
		Worker:      placement.Worker,
		Zone:        placement.Zone,
		Epoch:       placement.Epoch,
		State:       AttemptOpen,
		Boot:        placement.Boot,
		Size:        placement.Size,
		From:        r.Checkpoint,
		CommittedAt: now,
	})
	if excess := len(next.Attempts) - maxStoredAttempts; excess > 0 {
		next.Attempts = next.Attempts[excess:]
	}
	return next, nil
}

// Started returns the record with its open attempt running.
func (r *Record) Started() *Record {
	next := r.Clone()
	next.State = Running
	return next
}

// AttemptResult describes the result of an attempt that is over.
type AttemptResult struct {
	State AttemptState
	// Checkpoint is the newest checkpoint; empty keeps that of the record.
	Checkpoint string
	Detail     string
	// CountFailure counts the attempt against the job's limit of failures.
	CountFailure bool
	// OutcomeUnknown means that the attempt may have completed.
	OutcomeUnknown bool
	// Retries is the limit; the job fails when its counted failures exceed it.
	Retries int
}

// End returns the record with its open attempt ended. Without an open attempt,
// it returns an unchanged copy.
func (r *Record) End(result AttemptResult, now time.Time) *Record {
	next := r.Clone()
	open := next.Open()
	if open == nil {
		return next
	}
	open.State, open.EndedAt, open.Detail = result.State, now, result.Detail
	if result.Checkpoint != "" {
		next.Checkpoint = result.Checkpoint
	}
	if result.CountFailure {
		next.Failures++
	}
	switch {
	case result.State == AttemptDone:
		next.finish(Done, "", now)
	case result.OutcomeUnknown:
		next.State, next.Reason = Unresolved, result.Detail
	case next.Cancel:
		next.finish(Cancelled, "cancelled by the customer", now)
	case result.State == AttemptFailed && next.Failures > result.Retries:
		next.finish(Failed, result.Detail, now)
	case next.Checkpoint != "":
		next.State = Checkpointed
	default:
		next.State = Accepted
	}
	return next
}

func (r *Record) finish(state State, reason string, now time.Time) {
	r.State, r.Reason, r.EndedAt = state, reason, now
}

// Resume returns the record of an unresolved job after operators have declared
// its worker lost: it may run again, or is cancelled if a cancellation is
// pending.
func (r *Record) Resume(now time.Time) *Record {
	next := r.Clone()
	next.State, next.Reason = Accepted, ""
	if next.Cancel {
		next.finish(Cancelled, "cancelled by the customer; its worker was declared lost", now)
	}
	return next
}

// Refuse returns the record of a waiting job, failed because it can never run.
// Error: ErrOpen.
func (r *Record) Refuse(reason string, now time.Time) (*Record, error) {
	if r.Open() != nil {
		return nil, ErrOpen
	}
	next := r.Clone()
	next.finish(Failed, reason, now)
	return next, nil
}

// CancelWaiting returns the record of a waiting job, cancelled. Error: ErrOpen.
func (r *Record) CancelWaiting(now time.Time) (*Record, error) {
	if r.Open() != nil {
		return nil, ErrOpen
	}
	next := r.Clone()
	next.Cancel = true
	next.finish(Cancelled, "cancelled by the customer", now)
	return next, nil
}

// MoveTo returns the record of a waiting job, reassigned to another zone's
// dispatcher. Error: ErrOpen.
func (r *Record) MoveTo(zone string) (*Record, error) {
	if r.Open() != nil {
		return nil, ErrOpen
	}
	next := r.Clone()
	next.Zone = zone
	return next, nil
}
