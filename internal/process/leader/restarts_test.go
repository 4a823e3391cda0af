package leader

import (
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/request/work"
)

// downTerm leads a worker with room for one of the two tasks of a long-running job. The
// first one runs since the time that is returned.
func downTerm(t *testing.T) (*term, *expvar.Map, time.Time) {
	now := time.Unix(1000, 0)
	counts := new(expvar.Map).Init()
	board := schedule.NewBoard(schedule.Config{
		LeaseTerm: time.Second,
	})
	leading := &term{
		leader: &Leader{
			board: board,
			config: Config{
				Counts: counts,
			},
		},
	}
	board.Begin(1, now)
	board.LimitStarts(10)
	board.SetWorkers(map[string]schedule.Listing{
		"w0": {
			ID:      "w0",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 1500,
			},
			Born: now,
		},
	}, true, now)
	reportRuns(board, now)
	board.AddJob(&work.Job{
		ID:       "a",
		Service:  "workshop",
		Accepted: now,
		Steps: []work.Step{
			{
				Count:       2,
				LongRunning: true,
				Size: worker.Size{
					MilliCores: 1000,
				},
			},
		},
	}, nil, false, now, now)
	board.Decide(now, true)
	for _, record := range board.Records(true, 10) {
		board.Written(record.Job, record.Version, true)
	}
	starts := board.Decide(now, true).Starts
	require.Len(t, starts, 1)
	board.StartReplied(starts[0], schedule.Accepted, now)
	return leading, counts, now
}

// reportRuns reports the runs of w0.
func reportRuns(board *schedule.Board, now time.Time, runs ...schedule.RunningTask) {
	board.ApplyReport("w0", schedule.Inventory{
		Born:    time.Unix(1000, 0),
		Running: runs,
		Sent:    now,
	}, now)
	board.Confirmed(now)
}

// Guards against restarts that no histogram has.
func TestRestartsAreInTheHistogram(t *testing.T) {
	leading, _, began := downTerm(t)
	var got []time.Duration
	leading.leader.config.RecordDuration = func(kind string, took time.Duration) {
		assert.Equal(t, "restart", kind)
		got = append(got, took)
	}
	board := leading.leader.board
	leading.recordRestarts()
	assert.Empty(t, got)
	ended := began.Add(time.Second)
	reportRuns(board, ended)
	now := ended.Add(2 * time.Second)
	board.LimitStarts(10)
	board.Decide(ended, true)
	for _, record := range board.Records(true, 10) {
		board.Written(record.Job, record.Version, true)
	}
	starts := board.Decide(now, true).Starts
	require.Len(t, starts, 1)
	board.StartReplied(starts[0], schedule.Accepted, now)
	leading.recordRestarts()
	assert.Equal(t, []time.Duration{2 * time.Second}, got)
	leading.recordRestarts()
	assert.Len(t, got, 1)
}
