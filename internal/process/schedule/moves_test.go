package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// loadsOf returns the loads of boards that lead shards, by service and shard.
func loadsOf(now time.Time, boards ...*Board) map[string]map[int]shard.Load {
	out := map[string]map[int]shard.Load{}
	for number, board := range boards {
		for service, load := range board.Loads(now) {
			if out[service] == nil {
				out[service] = map[int]shard.Load{}
			}
			out[service][number] = load
		}
	}
	return out
}

// movesOf returns the ids of the jobs that the first board passes on.
func movesOf(now time.Time, boards ...*Board) []string {
	var ids []string
	for _, move := range boards[0].Moves(0, loadsOf(now, boards...), now) {
		ids = append(ids, move.Job.ID)
	}
	return ids
}

// longRunningJob returns a job of one long-running task that fills a worker.
func longRunningJob(id string) *work.Job {
	step := tasks(1, 8000)
	step.LongRunning = true
	return testJob(id, "quotes", step)
}

// Load pattern: the leaders of all shards resign while hundreds of long-running
// jobs arrive. A job that may have been started must stay; one that was not must
// move and wait for a round of moves, or chance fills one shard for the day.
func TestOnlyUntouchedJobsMove(t *testing.T) {
	later := testStart.Add(2 * moveDelay)
	tests := map[string]struct {
		prepare func(board *Board)
		want    []string
	}{
		"waits while there is no capacity here": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
			},
			want: []string{"b"},
		},
		"was accepted in an earlier term": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, true, testStart, testStart)
			},
		},
		"was accepted in an earlier term that placed nothing": {
			prepare: func(board *Board) {
				board.AddJob(longRunningJob("b"), nil, true, testStart, testStart)
				board.TrustPlacements()
			},
			want: []string{"b"},
		},
		"was accepted in an earlier term that recorded no placements": {
			prepare: func(board *Board) {
				board.AddJob(longRunningJob("b"), nil, true, testStart, testStart)
			},
		},
		"was placed in an earlier term": {
			prepare: func(board *Board) {
				board.AddJob(longRunningJob("b"), &work.Progress{
					Placements: map[int]string{0: "w9"},
				}, true, testStart, testStart)
				board.TrustPlacements()
			},
		},
		"was placed in an earlier term, and its run is over": {
			prepare: func(board *Board) {
				board.AddJob(longRunningJob("b"), &work.Progress{
					Placements: map[int]string{0: "w9"},
				}, true, testStart, testStart)
				board.TrustPlacements()
				board.ApplyHandover(Handover{
					Token: 1,
				})
			},
		},
		"is quick, and earlier placements are recorded": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, true, testStart, testStart)
				board.TrustPlacements()
			},
		},
		"is quick, and was handed over": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, true, testStart, testStart)
				board.ApplyHandover(Handover{
					Token: 1,
				})
			},
			want: []string{"b"},
		},
		"is quick, and the leader before was not certain of it": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, true, testStart, testStart)
				board.ApplyHandover(Handover{
					Token:     1,
					Uncertain: []string{"b"},
				})
			},
		},
		"is quick, and may be running on a worker": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, true, testStart, testStart)
				board.ApplyHandover(Handover{
					Token:  1,
					Claims: map[string][]work.TaskKey{"w9": {firstTask("b")}},
				})
			},
		},
		"has just arrived": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, later, testStart)
			},
		},
		"is cancelled": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
				board.Cancel("b", testStart)
			},
		},
		"waits for its time": {
			prepare: func(board *Board) {
				timed := testJob("b", "quotes", tasks(1, 8000))
				timed.Repeat, timed.FirstRun = 1, testStart.Add(time.Hour)
				board.AddJob(timed, nil, false, testStart, testStart)
			},
		},
		"a start of it may have arrived": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "quotes", tasks(2, 4000)), nil, false, testStart, testStart)
				effects := board.Decide(testStart, true)
				for _, start := range effects.Starts {
					board.StartReplied(start, Unknown, testStart)
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			full, empty := testBoard("w0"), testBoard("w1", "w2")
			full.AddJob(testJob("a", "quotes", tasks(1, 4000)), nil, false, testStart, testStart)
			accept(full, full.Decide(testStart, true), testStart)
			test.prepare(full)
			assert.Equal(t, test.want, movesOf(later, full, empty))
		})
	}
}

// A long-running job that starts before a round of moves fills the shard that
// chance gave it, whoever accepted it.
func TestInheritedLongRunningJobsWaitForMoves(t *testing.T) {
	board := testBoard("w0")
	board.config.HoldsLongRunning = true
	board.AddJob(longRunningJob("b"), nil, true, testStart, testStart)
	board.TrustPlacements()
	board.Decide(testStart, true)
	assert.Zero(t, board.jobs["b"].claims)
	even := testBoard("w1")
	even.AddJob(longRunningJob("a"), nil, false, testStart, testStart)
	assert.Empty(t, movesOf(testStart, board, even))
	board.Decide(testStart.Add(simulationStep), true)
	assert.Equal(t, 1, board.jobs["b"].claims)
}

// A round on loads that are older than a long-running job says nothing about it: all
// leaders of a fleet that fills would let theirs start. But a load that never comes
// must not keep the job from its start.
func TestLongRunningJobsWaitForCurrentLoads(t *testing.T) {
	loads := loadsOf(testStart, testBoard("w0"), testBoard("w1"))
	board := testBoard("w0")
	board.config.HoldsLongRunning = true
	board.AddJob(longRunningJob("b"), nil, false, testStart, testStart)
	for now := testStart; now.Sub(testStart) < maxBalanceHold; now = now.Add(simulationStep) {
		board.MovesSince(0, loads, testStart.Add(-time.Millisecond), now)
		board.Decide(now, true)
		require.Zero(t, board.jobs["b"].claims)
	}
	board.Decide(testStart.Add(maxBalanceHold), true)
	assert.Equal(t, 1, board.jobs["b"].claims)
}

// Quick tasks come and go, long-running ones stay for the day. A shard that is full
// of quick tasks when they arrive must not pass them to one that has the most of them.
func TestLongRunningJobsIgnoreQuickTasks(t *testing.T) {
	now := testStart.Add(2 * moveDelay)
	busy, longRunning := testBoard("w0", "w1"), testBoard("w2", "w3", "w4", "w5")
	busy.AddJob(testJob("a", "quotes", tasks(2, 8000)), nil, false, testStart, testStart)
	accept(busy, busy.Decide(testStart, true), testStart)
	longRunning.AddJob(longRunningJob("c"), nil, false, testStart, testStart)
	decideAndSave(longRunning, testStart)
	accept(longRunning, longRunning.Decide(testStart, true), testStart)
	require.Equal(t, int64(8000), longRunning.Loads(now)["workshop"].LongRunning)
	busy.config.HoldsLongRunning = true
	half := longRunningJob("b")
	half.Steps[0].Size.MilliCores = 4000
	busy.AddJob(half, nil, false, testStart, testStart)
	assert.Empty(t, movesOf(now, busy, longRunning))
	busy.AddJob(longRunningJob("d"), nil, false, testStart, testStart)
	assert.NotEmpty(t, movesOf(now, busy, longRunning), "more long-running work than in the other shard")
}

// A job on its way is not started here: the other shard may start it already.
func TestDepartingJobIsNotStarted(t *testing.T) {
	now := testStart.Add(2 * moveDelay)
	full, empty := testBoard("w0"), testBoard("w1")
	full.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	accept(full, full.Decide(testStart, true), testStart)
	full.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	require.Equal(t, []string{"b"}, movesOf(now, full, empty))
	full.Cancel("a", now)
	full.releaseAll(full.workers["w0"], now)
	full.Confirmed(now)
	assert.Empty(t, full.Decide(now.Add(time.Second), true).Starts)
	full.Stay("b")
	assert.Len(t, full.Decide(now.Add(2*time.Second), true).Starts, 1)
}

// A job that requires a label which no worker of its shard has would wait for
// ever.
func TestJobGoesWhereItsLabelIs(t *testing.T) {
	now := testStart.Add(2 * moveDelay)
	without, with := testBoard("w0"), testBoard("w1")
	with.workers["w1"].Labels = []string{"gpu"}
	labelled := tasks(1, 1000)
	labelled.Label = "gpu"
	without.AddJob(testJob("a", "quotes", labelled), nil, false, testStart, testStart)
	assert.Equal(t, []string{"a"}, movesOf(now, without, with))
}

// Load pattern: jobs that differ in size by a factor of ten fall to four shards
// by chance. Passing them on starts more of them in the same time.
func TestMovesFillAllShards(t *testing.T) {
	started := func(balanced bool) int {
		boards, now, count := []*Board{}, testStart, 0
		for number := range 4 {
			ids := make([]string, 10)
			for i := range ids {
				ids[i] = fmt.Sprintf("w%d-%d", number, i)
			}
			boards = append(boards, testBoard(ids...))
		}
		for i := range 40 {
			width := 1 + i*7%10
			boards[i%2].AddJob(testJob(fmt.Sprintf("j%02d", i), "plans", tasks(width, 2000)), nil, false, now, now)
		}
		specs := map[string]*work.Job{}
		for range 4 {
			now = now.Add(2 * moveDelay)
			for number, board := range boards {
				effects := board.Decide(now, true)
				accept(board, effects, now)
				count += len(effects.Starts)
				if !balanced {
					continue
				}
				for _, move := range board.Moves(number, loadsOf(now, boards...), now) {
					require.Nil(t, specs[move.Job.ID], "a job moves once")
					specs[move.Job.ID] = move.Job
					board.Departed(move.Job.ID)
					boards[move.To].AddJob(move.Job, nil, false, now, now)
				}
			}
		}
		return count
	}
	apart, together := started(false), started(true)
	assert.Equal(t, 80, apart, "two of the four shards are idle")
	assert.Greater(t, together, 150)
}
