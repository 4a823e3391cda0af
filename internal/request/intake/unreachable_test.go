package intake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
)

// Guards against callers who wait until their deadline at a host that has lost
// the store, and could have been served by another host.
func TestSubmitIsRefusedAtOnceWhileTheStoreIsUnreachable(t *testing.T) {
	tests := map[string]struct {
		reachable bool
		// attempts is how many commits reach the store's client.
		attempts int
	}{
		"reachable: retried": {
			reachable: true,
			attempts:  maxRejectedAttempts,
		},
		"unreachable: not sent": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			intake := testIntake(standin.NewMemory(time.Now))
			intake.config.Reachable = func() bool { return test.reachable }
			attempts := 0
			intake.config.Store.Commit = func(context.Context, store.Commit) (int64, error) {
				attempts++
				return 0, store.ErrUnavailable
			}
			assert.Equal(t, NotAccepted, intake.Submit(t.Context(), Access{}, testJob()))
			assert.Equal(t, test.attempts, attempts)
		})
	}
}

// Guards against a refusal that says "not accepted" although an attempt may have
// been carried out before the store became unreachable.
func TestSubmitStaysUnknownAfterAnAttemptWithoutAnswer(t *testing.T) {
	intake := testIntake(standin.NewMemory(time.Now))
	reachable := true
	intake.config.Reachable = func() bool { return reachable }
	intake.config.Store.Commit = func(context.Context, store.Commit) (int64, error) {
		reachable = false
		return 0, store.ErrUnknown
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, Unknown, intake.Submit(ctx, Access{}, testJob()))
}

// Guards against an answer without a result for a job that is known to be
// stored: the answer of the write was lost, but the leader has seen its record.
func TestLostAnswerIsConfirmedByTheLeader(t *testing.T) {
	intake := testIntake(standin.NewMemory(time.Now))
	attempts := 0
	intake.config.Store.Commit = func(context.Context, store.Commit) (int64, error) {
		attempts++
		return 0, store.ErrUnknown
	}
	intake.config.Ask = func(_ context.Context, question leader.Question) leader.Answer {
		return leader.Answer{
			Known: question.Job == testJob().ID,
		}
	}
	assert.Equal(t, Accepted, intake.Submit(t.Context(), Access{}, testJob()))
	assert.Equal(t, 1, attempts)
}
