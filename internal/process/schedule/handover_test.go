package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

// The successor of a leader that resigned knows where each task may run: w0
// answers it and w1 does not.
func TestHandoverTellsWhichTasksWait(t *testing.T) {
	tests := map[string]struct {
		// claimed is the worker where the task runs, empty if it waits. With
		// inherited, the leader that resigns does not know whether it does.
		claimed   string
		inherited bool
		starts    int
	}{
		"waiting": {
			starts: 1,
		},
		"was running on the worker that answers": {
			claimed: "w0",
			starts:  1,
		},
		"was running on the worker that does not answer": {
			claimed: "w1",
		},
		"waiting for a worker since an earlier change": {
			inherited: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resigning := testBoard("w0", "w1")
			spec := testJob("a", "plans", tasks(1, 1000))
			if tt.inherited {
				addUnreachable(resigning, "w2")
			}
			resigning.AddJob(spec, nil, tt.inherited, testStart, testStart)
			if tt.claimed != "" {
				resigning.workers["w0"].Draining = tt.claimed != "w0"
				resigning.workers["w1"].Draining = tt.claimed != "w1"
				require.Len(t, resigning.Decide(testStart, true).Starts, 1)
			}
			board := testBoard("w0")
			addUnreachable(board, "w1")
			board.AddJob(spec, nil, true, testStart, testStart)
			board.ApplyHandover(resigning.Handover(testStart))
			assert.Len(t, board.Decide(testStart, true).Starts, tt.starts)
		})
	}
}

func TestHandoverNamesItsTermAndClaims(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(2, 4000)), nil, false, testStart, testStart)
	board.AddJob(testJob("b", "plans", tasks(1, 8000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	assert.Equal(t, Handover{
		Token: testToken,
		Claims: map[string][]work.TaskKey{
			"w0": {
				{
					Job: "a",
				},
				{
					Job:   "a",
					Index: 1,
				},
			},
		},
		Waits: map[string]time.Duration{
			"w0": board.longestLease(),
		},
	}, board.Handover(testStart))
}

// A long-running task found running after a change of the leader waits for no
// other worker after the next one. Another task does: a failed run elsewhere may
// not be counted yet.
func TestFoundRunStaysCertainAfterTheNextResignation(t *testing.T) {
	tests := map[string]struct {
		longRunning bool
		starts      int
	}{
		"long running": {
			longRunning: true,
			starts:      1,
		},
		"with an end": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			step := tasks(1, 1000)
			step.LongRunning = tt.longRunning
			spec := testJob("a", "plans", step)
			first := testBoard("w0")
			addUnreachable(first, "w1")
			first.AddJob(spec, nil, true, testStart, testStart)
			first.ApplyReport("w0", Inventory{
				Born: testBorn,
				Running: []RunningTask{{
					Key: work.TaskKey{
						Job: "a",
					},
					Run: 7,
				}},
				Sent: testStart,
			}, testStart)
			second := testBoard("w0")
			addUnreachable(second, "w1")
			second.AddJob(spec, nil, true, testStart, testStart)
			second.ApplyHandover(first.Handover(testStart))
			assert.Len(t, decideAndSave(second, testStart.Add(time.Millisecond)).Starts, tt.starts)
		})
	}
}

// A leader that resigns before a worker has answered hands on that the task may
// be there. Found by TestNoTaskRunsTwiceAfterResignations.
func TestUnansweredWorkerIsHandedOn(t *testing.T) {
	spec := testJob("a", "plans", tasks(1, 1000))
	first := testBoard("w0")
	first.AddJob(spec, nil, false, testStart, testStart)
	accept(first, first.Decide(testStart, true), testStart)
	boards := []*Board{first}
	for range 2 {
		next := testBoard("w1")
		addUnreachable(next, "w0")
		next.AddJob(spec, nil, true, testStart, testStart)
		next.ApplyHandover(boards[len(boards)-1].Handover(testStart))
		assert.Empty(t, next.Decide(testStart, true).Starts)
		boards = append(boards, next)
	}
}

// Day handover.toml, seed 13: a task that had ended as done ran again, as its end
// was not saved when the leader resigned.
func TestUnsavedEndIsHandedOn(t *testing.T) {
	tests := map[string]struct {
		saved  bool
		starts int
	}{
		"not in the store": {},
		"in the store": {
			saved:  true,
			starts: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resigning := testBoard("w0")
			spec := testJob("a", "plans", tasks(1, 1000), work.Step{
				Count: 1,
				After: []int{0},
			})
			resigning.AddJob(spec, nil, false, testStart, testStart)
			effects := resigning.Decide(testStart, true)
			accept(resigning, effects, testStart)
			resigning.ApplyReport("w0", Inventory{
				Born: testBorn,
				Ended: []EndedTask{{
					Number: 1,
					Key:    effects.Starts[0].Key,
					Run:    effects.Starts[0].Run,
					Ending: EndedDone,
				}},
				Sent: testStart,
			}, testStart)
			var progress *work.Progress
			if tt.saved {
				progress = &save(resigning)[0].Progress
			}
			board := testBoard("w1")
			addUnreachable(board, "w0")
			board.AddJob(spec, progress, true, testStart, testStart)
			board.ApplyHandover(resigning.Handover(testStart))
			assert.Len(t, board.Decide(testStart, true).Starts, tt.starts)
		})
	}
}

// A run goes on at one worker while the end of an earlier one at another is not
// saved: both have to be heard. Found by TestNoTaskRunsTwiceAfterResignations, which
// could not repeat it, as the order of a map decided.
func TestEveryWorkerOfATaskIsHandedOn(t *testing.T) {
	spec := testJob("a", "plans", tasks(1, 1000))
	key := work.TaskKey{
		Job: "a",
	}
	for _, unheard := range []string{"w0", "w1"} {
		board := testBoard("w2")
		addUnreachable(board, unheard)
		board.AddJob(spec, nil, true, testStart, testStart)
		board.ApplyHandover(Handover{
			Token: testToken - 1,
			Claims: map[string][]work.TaskKey{
				"w0": {key},
				"w1": {key},
			},
		})
		assert.Empty(t, board.Decide(testStart, true).Starts, "%s has not been heard", unheard)
	}
}

// Hosts are stopped in turn, and one worker has left: each successor began the
// wait for it anew, so that a task that was there last never started. Soak seeds
// 601 and 603: 22 s and more.
func TestWaitForAWorkerGoesOnAcrossResignations(t *testing.T) {
	spec := testJob("a", "plans", tasks(1, 1000))
	board := testBoard("w0")
	board.AddJob(spec, nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	now := testStart
	for now.Sub(testStart) < board.longestLease() {
		require.Empty(t, board.Decide(now, true).Starts)
		now = now.Add(2 * time.Second)
		handover := board.Handover(now)
		board = NewBoard(testConfig())
		board.SetCatalog(testCatalog())
		board.Begin(handover.Token+1, now)
		addUnreachable(board, "w0")
		addReporting(board, "w1", now)
		board.AddJob(spec, nil, true, now, now)
		board.ApplyHandover(handover)
	}
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// addReporting adds a worker that has reported to this leader.
func addReporting(board *Board, id string, now time.Time) {
	board.SetWorkers(map[string]Listing{
		id: {
			ID:       id,
			Zone:     "recife",
			Service:  "workshop",
			Capacity: testBoard(id).workers[id].Capacity,
			Born:     testBorn,
		},
	}, true, now)
	poll(board, id, now)
}
