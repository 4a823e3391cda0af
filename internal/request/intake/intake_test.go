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
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// testIntake has no leader to ask.
func testIntake(memory *standin.Memory) *Intake {
	return New(Config{
		Store: memory.Client(),
		Ask: func(context.Context, leader.Question) leader.Answer {
			return leader.Answer{}
		},
		Clock:  time.Now,
		Counts: new(expvar.Map).Init(),
		Took:   func(string, time.Duration) {},
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
		// fails is how many commits end with err.
		fails int32
		err   error
		hold  bool
		want  Outcome
		// stored tells whether the job is in the store afterwards.
		stored bool
	}{
		"store well": {
			want:   Taken,
			stored: true,
		},
		"turned away for a moment": {
			fails:  1,
			err:    store.ErrUnavailable,
			want:   Taken,
			stored: true,
		},
		"store down": {
			fails: forever,
			err:   store.ErrUnavailable,
			want:  NotTaken,
		},
		"answer lost, found again": {
			fails:  1,
			err:    store.ErrUnknown,
			want:   Taken,
			stored: true,
		},
		"no answer in time": {
			fails: forever,
			err:   store.ErrUnknown,
			hold:  true,
			want:  Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memory := standin.NewMemory(time.Now)
			var commits atomic.Int32
			memory.SetFault(func(call string) error {
				if call == "commit" && commits.Add(1) <= tt.fails {
					return tt.err
				}
				return nil
			}, tt.hold)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got := testIntake(memory).Submit(ctx, testJob())
			assert.Equal(t, tt.want.String(), got.String())
			_, err := memory.Client().Get(context.Background(), leader.JobKey("a"))
			assert.Equal(t, tt.stored, err == nil)
		})
	}
}

// A caller is told "not taken" only if nothing can come of it any more: one try
// without an answer rules that out, whatever later tries say.
func TestNotTakenIsNeverSaidAfterALostAnswer(t *testing.T) {
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
	assert.Equal(t, Unknown, testIntake(memory).Submit(ctx, testJob()))
}

func TestSubmitTwiceIsOneJob(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	one := testIntake(memory)
	first, second := testJob(), testJob()
	second.Spec = "another"
	require.Equal(t, Taken, one.Submit(context.Background(), first))
	require.Equal(t, Taken, one.Submit(context.Background(), second))
	item, err := memory.Client().Get(context.Background(), leader.JobKey("a"))
	require.NoError(t, err)
	kept, err := work.DecodeJob(item.Value)
	require.NoError(t, err)
	assert.Empty(t, kept.Spec)
}

func TestStateWithoutALeader(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	one := testIntake(memory)
	_, outcome := one.State(context.Background(), "a")
	assert.Equal(t, NoSuchJob, outcome)

	require.Equal(t, Taken, one.Submit(context.Background(), testJob()))
	state, outcome := one.State(context.Background(), "a")
	assert.Equal(t, Taken, outcome)
	assert.Equal(t, work.Queued, state)

	require.Equal(t, Taken, one.Cancel(context.Background(), "a"))
	state, _ = one.State(context.Background(), "a")
	assert.Equal(t, work.Cancelled, state)

	memory.SetFault(func(string) error { return store.ErrUnavailable }, false)
	_, outcome = one.State(context.Background(), "a")
	assert.Equal(t, Unknown, outcome, "a store that is down does not make a job unknown")
}

func TestCancelUnknownJob(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	assert.Equal(t, NoSuchJob, testIntake(memory).Cancel(context.Background(), "a"))
}
