package intake

import (
	"context"
	"expvar"
	"strconv"
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

var fourShards = shard.Layout{
	Shards: 4,
	Racks: map[string]int{
		"r0": 0,
		"r1": 1,
		"r2": 2,
		"r3": 3,
	},
}

// shardedIntake returns an Intake of a fleet of four shards whose leaders know
// the given jobs.
func shardedIntake(memory *standin.Memory, known map[int]string) *Intake {
	return New(Config{
		Store:  memory.Client(),
		Layout: fourShards,
		Ask: func(_ context.Context, question leader.Question) leader.Answer {
			if question.Queue != "" {
				return leader.Answer{
					Known:   question.Shard != 3,
					Pending: 10 + question.Shard,
				}
			}
			return leader.Answer{
				Known: known[question.Shard] == question.Job,
				State: work.Running,
			}
		},
		Reachable:      func() bool { return true },
		Clock:          time.Now,
		Counts:         new(expvar.Map).Init(),
		RecordDuration: func(string, time.Duration) {},
	})
}

// move moves the record of job "a" as a leader does.
func move(t *testing.T, memory *standin.Memory, from, to int) {
	t.Helper()
	const id = "a"
	source, target := leader.KeysOf(from, 4), leader.KeysOf(to, 4)
	item, err := memory.Client().Get(t.Context(), source.Job(id))
	require.NoError(t, err)
	_, err = memory.Client().Commit(t.Context(), store.Commit{
		Set: []store.Write{
			{
				Key:   target.Job(id),
				Value: item.Value,
			},
			{
				Key:   leader.MovedKey(id),
				Value: []byte(strconv.Itoa(to)),
			},
		},
		Delete: []string{source.Job(id)},
	})
	require.NoError(t, err)
}

// jobKeys returns the shards that hold a record of the job.
func jobKeys(memory *standin.Memory, id string) []int {
	var found []int
	for number := range fourShards.Shards {
		if _, err := memory.Client().Get(context.Background(), leader.KeysOf(number, 4).Job(id)); err == nil {
			found = append(found, number)
		}
	}
	return found
}

// A job is one job wherever it is: repeated submissions, states and
// cancellations find it in the shard of the layout, near its data, and where a
// leader has moved it.
func TestJobHasOneHome(t *testing.T) {
	usual := fourShards.OfJob("a")
	other := (usual + 1) % 4
	tests := map[string]struct {
		rack  string
		moves []int
		want  int
	}{
		"shard of the layout": {
			want: usual,
		},
		"near its data": {
			rack: "r" + strconv.Itoa(other),
			want: other,
		},
		"moved": {
			moves: []int{other},
			want:  other,
		},
		"moved there and back": {
			moves: []int{other, usual},
			want:  usual,
		},
		"near its data, then moved": {
			rack:  "r" + strconv.Itoa(other),
			moves: []int{(other + 1) % 4},
			want:  (other + 1) % 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := standin.NewMemory(time.Now)
			intake := shardedIntake(memory, nil)
			job := testJob()
			job.Steps[0].Rack = test.rack
			require.Equal(t, Accepted, intake.Submit(t.Context(), Access{}, job))
			at := jobKeys(memory, "a")[0]
			for _, next := range test.moves {
				move(t, memory, at, next)
				at = next
			}
			require.Equal(t, Accepted, intake.Submit(t.Context(), Access{}, job), "the caller repeats its submission")
			assert.Equal(t, []int{test.want}, jobKeys(memory, "a"))
			state, outcome := intake.State(t.Context(), Access{}, "a")
			assert.Equal(t, Accepted, outcome)
			assert.Equal(t, work.Queued, state)
			assert.Equal(t, Accepted, intake.Cancel(t.Context(), Access{}, "a"))
			_, err := memory.Client().Get(t.Context(), leader.KeysOf(test.want, 4).Cancel("a"))
			require.NoError(t, err, "the leader of the job's shard sees the cancellation")
			state, _ = intake.State(t.Context(), Access{}, "a")
			assert.Equal(t, work.Cancelled, state)
		})
	}
}

// The leader of the shard that a job has moved to answers for it.
func TestStateOfMovedJobComesFromItsLeader(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	other := (fourShards.OfJob("a") + 1) % 4
	intake := shardedIntake(memory, map[int]string{
		other: "a",
	})
	require.Equal(t, Accepted, intake.Submit(t.Context(), Access{}, testJob()))
	move(t, memory, fourShards.OfJob("a"), other)
	state, outcome := intake.State(t.Context(), Access{}, "a")
	assert.Equal(t, Accepted, outcome)
	assert.Equal(t, work.Running, state)
}

// A job that moves between two reads must not be reported as unknown: a caller
// would take it for lost.
func TestJobThatMovesWhileItIsReadIsFound(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	intake := shardedIntake(memory, nil)
	require.Equal(t, Accepted, intake.Submit(t.Context(), Access{}, testJob()))
	usual := fourShards.OfJob("a")
	gets := 0
	memory.SetFault(func(call string) error {
		if call == "get" {
			if gets++; gets == 2 { // the home has been read, the job has not
				move(t, memory, usual, (usual+1)%4)
			}
		}
		return nil
	}, false)
	_, outcome := intake.State(t.Context(), Access{}, "a")
	assert.Equal(t, Accepted, outcome)
	gets = 0
	memory.SetFault(func(string) error { return nil }, false)
	_, outcome = intake.State(t.Context(), Access{}, "b")
	assert.Equal(t, NoSuchJob, outcome)
}

// The count of all shards is reported. A leader that does not answer is stood in
// for by its last count, and without one nothing is reported.
func TestPendingSumsShards(t *testing.T) {
	intake := shardedIntake(standin.NewMemory(time.Now), nil)
	_, known := intake.Pending(t.Context(), "quotes")
	assert.False(t, known)
	intake.pending.set(3, "quotes", 13, time.Now())
	count, known := intake.Pending(t.Context(), "quotes")
	assert.True(t, known)
	assert.Equal(t, 10+11+12+13, count)
	intake.pending.set(3, "quotes", 13, time.Now().Add(-2*pendingAge))
	_, known = intake.Pending(t.Context(), "quotes")
	assert.False(t, known)
}
