// Package intake takes callers' jobs in and answers for them. A job is
// accepted by one durable write; whoever leads learns of it from the store.
// States come from the leader, and from the store while nobody leads.
package intake

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Outcome is the truth about a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Taken means that the request is in the store.
	Taken Outcome = iota
	// NotTaken means that it has had no effect and never will.
	NotTaken
	// Unknown means that it may have had an effect, or may yet.
	Unknown
	// NoSuchJob means that the store has no job of that id.
	NoSuchJob
)

var outcomeWords = [...]string{"taken", "not_taken", "unknown", "no_such_job"}

// String is the outcome's word in logs.
func (o Outcome) String() string {
	return outcomeWords[o]
}

// Config sets up an Intake.
type Config struct {
	Store store.Client
	// Ask asks the leader; Known is false in the answer if it cannot be asked.
	Ask func(ctx context.Context, question leader.Question) leader.Answer
	// Clock tells the time for measuring.
	Clock func() time.Time
	// Counts counts outcomes by kind of request; Took records how long each
	// kind took.
	Counts *expvar.Map
	Took   func(kind string, took time.Duration)
}

// Intake is safe for concurrent use.
type Intake struct {
	config Config
}

// New returns an intake.
func New(config Config) *Intake {
	return &Intake{
		config: config,
	}
}

// Pauses between tries of one write; a store that turns a call away is asked
// again within the caller's time.
const (
	firstRetry   = 20 * time.Millisecond
	longestRetry = 200 * time.Millisecond
	// tryTimeout bounds one try: many times the store's usual answer.
	tryTimeout = 700 * time.Millisecond
	// mostCleanTries is after how many refusals the caller is told: a store that
	// turns calls away for a moment is back by then, and one that is down for
	// longer is not waited for.
	mostCleanTries = 3
	// RetryAfter is when a caller may come back to a store that was away: the
	// time in which a lost leadership or a short outage is over.
	RetryAfter = time.Second
)

// Submit makes a job durable, once for each id, by the end of the context.
func (i *Intake) Submit(ctx context.Context, job *work.Job) Outcome {
	begun := i.config.Clock()
	outcome, revision, err := i.submit(ctx, job)
	i.config.Counts.Add("submit_"+outcome.String(), 1)
	i.config.Took("submit", i.config.Clock().Sub(begun))
	klog.InfoS("job submitted", "job", job.ID, "queue", job.Queue, "service", job.Service, "steps", len(job.Steps),
		"outcome", outcome, "revision", revision, "took", i.config.Clock().Sub(begun), "err", err)
	return outcome
}

func (i *Intake) submit(ctx context.Context, job *work.Job) (Outcome, int64, error) {
	value, err := work.EncodeJob(job)
	if err != nil {
		return NotTaken, 0, err
	}
	key := leader.JobKey(job.ID)
	revision, err := i.write(ctx, store.Commit{
		If: []store.Condition{
			{
				Key: key,
			},
		},
		Set: []store.Write{
			{
				Key:   key,
				Value: value,
			},
		},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return Taken, revision, nil
	case errors.As(err, &conflict):
		return Taken, i.found(conflict, value, job), nil
	case errors.Is(err, store.ErrUnknown):
		return Unknown, 0, err
	}
	return NotTaken, 0, err
}

// found is the revision of the record that a job of the id has already. One
// that differs is logged: a caller that uses an id again gets the first job.
func (i *Intake) found(conflict *store.ConflictError, value []byte, job *work.Job) int64 {
	if len(conflict.Items) == 0 {
		return 0
	}
	first := conflict.Items[0]
	if !bytes.Equal(first.Value, value) {
		klog.InfoS("job known already", "job", job.ID, "revision", first.Revision)
	}
	return first.Revision
}

// write tries until the store has answered. Once a try has gone unanswered,
// only a definite answer settles it.
func (i *Intake) write(ctx context.Context, commit store.Commit) (int64, error) {
	pace := backoff.NewExponentialBackOff()
	pace.InitialInterval = firstRetry
	pace.MaxInterval = longestRetry
	unsure, tries := false, 1
	for {
		limited, cancel := context.WithTimeout(ctx, tryTimeout)
		revision, err := i.config.Store.Commit(limited, commit)
		cancel()
		if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknown) {
			return revision, err
		}
		unsure = unsure || errors.Is(err, store.ErrUnknown)
		if !unsure && tries >= mostCleanTries {
			return 0, err
		}
		tries++
		select {
		case <-time.After(pace.NextBackOff()):
			continue
		case <-ctx.Done():
		}
		if unsure {
			return 0, store.ErrUnknown
		}
		return 0, err
	}
}

// State tells how a job stands.
func (i *Intake) State(ctx context.Context, id string) (work.State, Outcome) {
	begun := i.config.Clock()
	answer := i.config.Ask(ctx, leader.Question{
		Job: id,
	})
	source, outcome, state := "leader", Taken, answer.State
	if !answer.Known {
		source = "store"
		state, outcome = i.readState(ctx, id)
	}
	i.config.Counts.Add("state_"+source+"_"+outcome.String(), 1)
	i.config.Took("state_"+source, i.config.Clock().Sub(begun))
	klog.V(1).InfoS("state told", "job", id, "state", state, "outcome", outcome, "source", source, "took", i.config.Clock().Sub(begun))
	return state, outcome
}

func (i *Intake) readState(ctx context.Context, id string) (work.State, Outcome) {
	item, err := i.config.Store.Get(ctx, leader.StateKey(id))
	if err == nil {
		progress, err := work.DecodeProgress(item.Value)
		if err != nil {
			klog.ErrorS(err, "progress record cannot be read", "job", id, "revision", item.Revision)
			return work.Queued, Unknown
		}
		if progress.State == work.Queued && progress.Began {
			return work.Running, Taken
		}
		return progress.State, Taken
	}
	if !errors.Is(err, store.ErrAbsent) {
		return work.Queued, Unknown
	}
	if _, err = i.config.Store.Get(ctx, leader.CancelKey(id)); err == nil {
		return work.Cancelled, Taken
	}
	_, err = i.config.Store.Get(ctx, leader.JobKey(id))
	switch {
	case err == nil:
		return work.Queued, Taken
	case errors.Is(err, store.ErrAbsent):
		return work.Queued, NoSuchJob
	}
	return work.Queued, Unknown
}

// Cancel makes a job's cancellation durable.
func (i *Intake) Cancel(ctx context.Context, id string) Outcome {
	begun := i.config.Clock()
	outcome, err := i.cancel(ctx, id)
	i.config.Counts.Add("cancel_"+outcome.String(), 1)
	i.config.Took("cancel", i.config.Clock().Sub(begun))
	klog.InfoS("cancel asked", "job", id, "outcome", outcome, "took", i.config.Clock().Sub(begun), "err", err)
	return outcome
}

func (i *Intake) cancel(ctx context.Context, id string) (Outcome, error) {
	item, err := i.config.Store.Get(ctx, leader.JobKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return NoSuchJob, nil
	}
	if err != nil {
		return NotTaken, err
	}
	_, err = i.write(ctx, store.Commit{
		If: []store.Condition{
			{
				Key:      item.Key,
				Revision: item.Revision,
			},
		},
		Set: []store.Write{
			{
				Key: leader.CancelKey(id),
			},
		},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return Taken, nil
	case errors.As(err, &conflict):
		return NoSuchJob, nil // forgotten meanwhile
	case errors.Is(err, store.ErrUnknown):
		return Unknown, err
	}
	return NotTaken, err
}

// Pending counts a queue's accepted jobs of which no task has started.
func (i *Intake) Pending(ctx context.Context, queue string) (int, bool) {
	answer := i.config.Ask(ctx, leader.Question{
		Queue: queue,
	})
	i.config.Counts.Add("pending", 1)
	klog.V(1).InfoS("pending told", "queue", queue, "pending", answer.Pending, "known", answer.Known)
	return answer.Pending, answer.Known
}
