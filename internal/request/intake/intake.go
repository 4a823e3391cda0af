// Package intake accepts jobs and cancellations from callers and reports the
// state of jobs. A job is accepted by one durable write to the store, where the
// leader finds it. States come from the leader, or from the store if the leader
// cannot be asked or does not know the job.
package intake

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Outcome is what is known about the effect of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Accepted means that the request is in the store, or that the store or the
	// leader answered a query.
	Accepted Outcome = iota
	// NotAccepted means that the request has had no effect and never will.
	NotAccepted
	// Unknown means that the request may have had an effect or may yet have
	// one, or that the state of the job cannot be read.
	Unknown
	// NoSuchJob means that the store has no job with that id to which the caller
	// has access.
	NoSuchJob
	// IDInUse means that another organisation has a job with that id. The request
	// has had no effect.
	IDInUse
	// CancelledBefore means that the caller has cancelled the job of a submission
	// before. The submission has had no effect.
	CancelledBefore
	// NoRoom means that the leader has no memory for the job of a submission, or none
	// is known. The submission has had no effect and never will.
	NoRoom
)

var outcomeNames = [...]string{"taken", "not_taken", "unknown", "no_such_job", "id_in_use", "cancelled_before", "no_room"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Config configures an Intake.
type Config struct {
	Store store.Client
	// Layout says which shard a job belongs to.
	Layout shard.Layout
	// Ask queries the leader of a shard. Known is false in the answer if the
	// leader cannot be reached.
	Ask func(ctx context.Context, question leader.Question) leader.Answer
	// Reachable reports whether this host is expected to reach the store.
	Reachable func() bool
	// Clock returns the time that durations are measured with.
	Clock func() time.Time
	// Counts counts outcomes by kind of request. RecordDuration records the
	// duration of a request, by kind.
	Counts         *expvar.Map
	RecordDuration func(kind string, took time.Duration)
}

// Intake accepts jobs and reports on them. It is safe for concurrent use.
type Intake struct {
	config Config
	// pending holds the newest counts of the leaders.
	pending *pendingCounts
	// rooms holds what the leaders have granted for jobs.
	rooms *rooms
	// bars limits the cancellations of unknown jobs.
	bars *rate.Limiter
}

// New returns an Intake.
func New(config Config) *Intake {
	return &Intake{
		config:  config,
		pending: newPendingCounts(config.Layout.Shards),
		rooms:   newRooms(),
		bars:    rate.NewLimiter(barsPerSecond, barBurst),
	}
}

// Retries of a write: with exponential backoff, and within the caller's
// deadline.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
	// attemptTimeout bounds one attempt. It is many times the store's usual
	// response time.
	attemptTimeout = 700 * time.Millisecond
	// maxRejectedAttempts is how many rejected attempts are made before the
	// caller gets an answer, if no attempt went unanswered. A store that is
	// unavailable for a moment is back by then; a longer outage is not waited
	// for.
	maxRejectedAttempts = 3
	// RetryAfter is how long a caller should wait before it retries a request
	// that failed because the store was unavailable. A change of leader or a
	// short outage is over by then.
	RetryAfter = time.Second
)

// Submit stores a job, once for each id, by the end of the context.
func (i *Intake) Submit(ctx context.Context, access Access, job *work.Job) Outcome {
	started := i.config.Clock()
	outcome, revision, err := i.submit(ctx, access, job)
	i.config.Counts.Add("submit_"+outcome.String(), 1)
	i.config.RecordDuration("submit", i.config.Clock().Sub(started))
	klog.InfoS("job submitted", "job", job.ID, "queue", job.Queue, "service", job.Service, "organisation", job.Organisation, "steps", len(job.Steps),
		"outcome", outcome, "revision", revision, "took", i.config.Clock().Sub(started), "err", err)
	return outcome
}

func (i *Intake) submit(ctx context.Context, access Access, job *work.Job) (Outcome, int64, error) {
	if outcome, stored := i.reserve(ctx, access, job); stored || outcome != Accepted {
		return outcome, 0, nil
	}
	value, err := work.EncodeJob(job)
	if err != nil {
		return NotAccepted, 0, err
	}
	cancelKey := i.homeOf(i.config.Layout.OfJob(job.ID)).keys.Cancel(job.ID)
	barred := store.Item{}
	for range maxMoves {
		revision, err := i.write(ctx, i.submission(job, value, barred), func() bool { return i.leaderKnows(ctx, access, job.ID) })
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return Accepted, revision, nil
		case errors.Is(err, store.ErrUnknown):
			return Unknown, 0, err
		case !errors.As(err, &conflict):
			return NotAccepted, 0, err
		case i.jobIn(conflict, job.ID):
			return i.existing(ctx, access, conflict, job.ID), i.existingRevision(conflict, value, job), nil
		}
		barred = itemOf(conflict, cancelKey)
		if bar, err := work.DecodeBar(barred.Value); barred.Revision != 0 && (err != nil || bar.Covers(job.Organisation)) {
			return CancelledBefore, 0, err
		}
	}
	return NotAccepted, 0, store.ErrUnavailable
}

// leaderKnows reports whether a leader has seen the record of the caller's job in
// the store.
func (i *Intake) leaderKnows(ctx context.Context, access Access, id string) bool {
	answer := i.askUsual(ctx, id)
	return answer.Known && (!access.Restricted || answer.OwnerKnown && access.permits(answer.Organisation))
}

// existingRevision returns the revision of the job that is already stored under
// the id, zero if the conflict does not name it. A differing job is logged: a
// caller that reuses an id gets the first job.
func (i *Intake) existingRevision(conflict *store.ConflictError, value []byte, job *work.Job) int64 {
	existing := itemOf(conflict, i.homeOf(i.config.Layout.OfJob(job.ID)).keys.Job(job.ID))
	if existing.Revision != 0 && !bytes.Equal(existing.Value, value) {
		klog.InfoS("job already submitted", "job", job.ID, "revision", existing.Revision)
	}
	return existing.Revision
}

// write commits, with retries. After an attempt without an answer, which may
// take effect late, later rejections prove nothing: only a commit or a conflict
// does. Errors: store.ErrUnknown if the commit may have taken effect or may yet
// do so; a conflict, possibly with an earlier attempt of the same write;
// otherwise the store's error, without any effect of the commit. While the store
// is unreachable nothing is sent: the caller can try another host in the time
// that the attempts would take. After the first attempt without an answer,
// confirmed may report that the commit is known to be in the store from another
// source; it may be nil. The revision is zero then.
func (i *Intake) write(ctx context.Context, commit store.Commit, confirmed func() bool) (int64, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialRetryDelay
	retryBackoff.MaxInterval = maxRetryDelay
	mayHaveCommitted, attempts := false, 1
	for {
		if !mayHaveCommitted && !i.config.Reachable() {
			return 0, store.ErrUnavailable
		}
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		revision, err := i.config.Store.Commit(limited, commit)
		cancel()
		if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknown) {
			return revision, err
		}
		if !mayHaveCommitted && errors.Is(err, store.ErrUnknown) {
			mayHaveCommitted = true
			if confirmed != nil && confirmed() {
				return 0, nil
			}
		}
		if !mayHaveCommitted && attempts >= maxRejectedAttempts {
			return 0, err
		}
		attempts++
		select {
		case <-time.After(retryBackoff.NextBackOff()):
			continue
		case <-ctx.Done():
		}
		if mayHaveCommitted {
			return 0, store.ErrUnknown
		}
		return 0, err
	}
}
