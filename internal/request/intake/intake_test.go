package intake

import (
	"context"
	"expvar"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// testIntake returns an Intake that cannot reach a leader.
func testIntake(memory *standin.Memory) *Intake {
	return New(Config{
		Store:  memory.Client(),
		Layout: shard.Solo(),
		Ask: func(context.Context, leader.Question) leader.Answer {
			return leader.Answer{}
		},
		Reachable:      func() bool { return true },
		Clock:          time.Now,
		Counts:         new(expvar.Map).Init(),
		RecordDuration: func(string, time.Duration) {},
	})
}

func testJob() *work.Job {
	return &work.Job{
		ID:      "a",
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{
			{
				Count: 1,
			},
		},
		Accepted: time.Now(),
	}
}

func TestSubmit(t *testing.T) {
	const forever = 1 << 30
	tests := map[string]struct {
		// failures is how many commits fail with err. With hold, a commit whose
		// answer is lost takes effect only when the store releases it.
		failures int32
		err      error
		hold     bool
		want     Outcome
		// stored is whether the job is in the store afterwards.
		stored bool
	}{
		"store available": {
			want:   Accepted,
			stored: true,
		},
		"store unavailable once": {
			failures: 1,
			err:      store.ErrUnavailable,
			want:     Accepted,
			stored:   true,
		},
		"store unavailable": {
			failures: forever,
			err:      store.ErrUnavailable,
			want:     NotAccepted,
		},
		"answer lost, job found by the retry": {
			failures: 1,
			err:      store.ErrUnknown,
			want:     Accepted,
			stored:   true,
		},
		"no answer in time": {
			failures: forever,
			err:      store.ErrUnknown,
			hold:     true,
			want:     Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memory := standin.NewMemory(time.Now)
			var commits atomic.Int32
			memory.SetFault(func(call string) error {
				if call == "commit" && commits.Add(1) <= tt.failures {
					return tt.err
				}
				return nil
			}, tt.hold)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got := testIntake(memory).Submit(ctx, Access{}, testJob())
			assert.Equal(t, tt.want.String(), got.String())
			_, err := memory.Client().Get(context.Background(), leader.KeysOf(0, 1).Job("a"))
			assert.Equal(t, tt.stored, err == nil)
		})
	}
}

// NotAccepted promises that the request never takes effect. After one attempt
// without an answer that cannot be promised, even if all later attempts are
// rejected: the first commit may still take effect.
func TestNotAcceptedIsNeverReportedAfterLostAnswer(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	var commits atomic.Int32
	memory.SetFault(func(call string) error {
		switch {
		case call != "commit":
			return nil
		case commits.Add(1) == 1:
			return store.ErrUnknown
		}
		return store.ErrUnavailable
	}, true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, Unknown, testIntake(memory).Submit(ctx, Access{}, testJob()))
}

// A caller that reuses an id, as in a retry, gets the first job; the second
// must not overwrite it.
func TestSubmitIsIdempotent(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	intake := testIntake(memory)
	first, second := testJob(), testJob()
	second.Spec = "another"
	require.Equal(t, Accepted, intake.Submit(context.Background(), Access{}, first))
	require.Equal(t, Accepted, intake.Submit(context.Background(), Access{}, second))
	item, err := memory.Client().Get(context.Background(), leader.KeysOf(0, 1).Job("a"))
	require.NoError(t, err)
	stored, err := work.DecodeJob(item.Value)
	require.NoError(t, err)
	assert.Empty(t, stored.Spec)
}

// While nobody leads, states are read from the store. An unavailable store must
// not look like a job that does not exist.
func TestStateWithoutLeader(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	intake := testIntake(memory)
	_, outcome := intake.State(context.Background(), Access{}, "a")
	assert.Equal(t, NoSuchJob, outcome)

	require.Equal(t, Accepted, intake.Submit(context.Background(), Access{}, testJob()))
	state, outcome := intake.State(context.Background(), Access{}, "a")
	assert.Equal(t, Accepted, outcome)
	assert.Equal(t, work.Queued, state)

	require.Equal(t, Accepted, intake.Cancel(context.Background(), Access{}, "a"))
	state, _ = intake.State(context.Background(), Access{}, "a")
	assert.Equal(t, work.Cancelled, state)

	memory.SetFault(func(string) error { return store.ErrUnavailable }, false)
	_, outcome = intake.State(context.Background(), Access{}, "a")
	assert.Equal(t, Unknown, outcome, "an unavailable store does not mean that there is no such job")
}

func TestCancelUnknownJob(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	assert.Equal(t, NoSuchJob, testIntake(memory).Cancel(context.Background(), Access{}, "a"))
}
