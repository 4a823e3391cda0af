package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// Commit is one small transaction that is sent in a shared call with others.
type Commit struct {
	Txn TxnRequest
	// Done receives the result; it must have buffer space for one.
	Done chan<- CommitResult
}

// CommitResult is the result of a Commit. Err is ErrUnavailable, ErrUnknown or
// ErrRefused, as for Client.Txn.
type CommitResult struct {
	Response TxnResponse
	Err      error
}

// CommitterConfig sets up a Committer.
type CommitterConfig struct {
	Client *Client
	// BatchDelay is how long the first commit of a batch waits for others.
	BatchDelay time.Duration
	// MaxBatch is the maximum number of commits in a call; it must not exceed
	// the platform's limit.
	MaxBatch int
	// QueueSize is the maximum number of queued commits.
	QueueSize int
	// MaxInFlight is the maximum number of concurrent calls.
	MaxInFlight int
	// CallsPerSecond is this host's share of the platform's write rate. When it
	// is used up, commits wait and batches grow.
	CallsPerSecond float64
}

// Committer batches independent transactions into few calls.
type Committer struct {
	config  CommitterConfig
	queue   chan Commit
	batches chan []Commit
	limiter *rate.Limiter
}

// NewCommitter returns a committer. Commits stay queued until Run is called.
func NewCommitter(config CommitterConfig) *Committer {
	return &Committer{
		config:  config,
		queue:   make(chan Commit, config.QueueSize),
		batches: make(chan []Commit),
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), 1),
	}
}

// Submit queues a commit. If the queue is full, the commit fails at once with
// ErrUnavailable.
func (c *Committer) Submit(commit Commit) {
	select {
	case c.queue <- commit:
	default:
		commit.Done <- CommitResult{
			Err: fmt.Errorf("%w: the queue of %d commits is full", ErrUnavailable, c.config.QueueSize),
		}
	}
}

// Do submits a transaction and waits for its result. It returns ErrUnknown if
// the context ends first.
func (c *Committer) Do(ctx context.Context, txn TxnRequest) (TxnResponse, error) {
	done := make(chan CommitResult, 1)
	c.Submit(Commit{
		Txn:  txn,
		Done: done,
	})
	select {
	case result := <-done:
		return result.Response, result.Err
	case <-ctx.Done():
		return TxnResponse{}, fmt.Errorf("%w: gave up waiting for the commit: %v", ErrUnknown, ctx.Err())
	}
}

// Run batches and sends commits until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for range c.config.MaxInFlight {
		go c.sendBatches(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.gather(ctx, first)
			select {
			case c.batches <- batch:
			case <-ctx.Done():
				return
			}
		}
	}
}

// gather returns a batch that starts with the first commit. It waits for the
// rate limit, then adds commits until the batch is full or the batch delay is
// over; commits already queued are added even after that time.
func (c *Committer) gather(ctx context.Context, first Commit) []Commit {
	batch := []Commit{first}
	timer := time.NewTimer(c.config.BatchDelay)
	defer timer.Stop()
	if c.limiter.Wait(ctx) != nil {
		return batch
	}
	for len(batch) < c.config.MaxBatch {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
			continue
		default:
		}
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// sendBatches sends batches, one call at a time. Run starts one for each
// concurrent call.
func (c *Committer) sendBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-c.batches:
			c.send(ctx, batch)
		}
	}
}

// send runs each commit of the batch as a nested transaction, so that one may
// fail without the others, and reports the results.
func (c *Committer) send(ctx context.Context, batch []Commit) {
	var txn TxnRequest
	for _, commit := range batch {
		txn.Success = append(txn.Success, Nested(commit.Txn))
	}
	response, err := c.config.Client.Txn(ctx, "commit", txn)
	if err == nil && len(response.Responses) != len(batch) {
		err = fmt.Errorf("%w: %d responses to %d commits", ErrUnknown, len(response.Responses), len(batch))
	}
	for i, commit := range batch {
		result := CommitResult{
			Err: err,
		}
		if err == nil && response.Responses[i].Txn != nil {
			result.Response = *response.Responses[i].Txn
			result.Response.Header = response.Header
		}
		commit.Done <- result
	}
}
