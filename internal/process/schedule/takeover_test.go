package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// addUnreachable adds a worker of an earlier term that does not answer.
func addUnreachable(board *Board, id string) {
	board.AddRoster([]Listing{{
		ID:      id,
		Service: "workshop",
		Zone:    "olinda",
	}}, testStart)
}

// The log of a takeover names the workers that delay inherited jobs.
func TestSummaryShowsWhatATakeoverWaitsFor(t *testing.T) {
	board := testBoard("w0")
	addUnreachable(board, "w1")
	board.AddJob(testJob("old", "plans", tasks(2, 1000)), nil, true, testStart, testStart)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	now := testStart.Add(time.Second)
	unsettled := board.Unsettled(now)
	require.Len(t, unsettled, 1)
	assert.Equal(t, UnsettledWorker{
		ID:        "w1",
		Remaining: board.earlierLeaseEnd().Sub(now),
	}, unsettled[0])
	summary := board.Summary(now)
	assert.Equal(t, 3, summary.Waiting)
	assert.Equal(t, 2, summary.Delayed)

	later := board.earlierLeaseEnd().Add(time.Millisecond)
	board.Confirmed(later)
	assert.Empty(t, board.Unsettled(later))
	board.Decide(later, false)
	assert.Zero(t, board.Summary(later).Delayed)
}

// watcher is a job of one long-running task, which has the key watcherKey.
func watcher() *work.Job {
	step := tasks(1, 1000)
	step.LongRunning = true
	return testJob("watcher", "quotes", step)
}

var watcherKey = work.TaskKey{
	Job: "watcher",
}

// Worker w0 answers the new leader and w1 does not. The long-running task may be
// on w1 only if it was last placed there.
func TestOnlyItsLastWorkerDelaysALongRunningTask(t *testing.T) {
	placedOn := func(id string) *work.Progress {
		return &work.Progress{
			Started:    true,
			Placements: map[int]string{0: id},
		}
	}
	tests := map[string]struct {
		progress *work.Progress
		// unrecorded is set if an earlier leader did not record placements.
		unrecorded bool
		// running is set if w0 reports the task, which is stopped then.
		running bool
		starts  int
	}{
		"never started": {
			starts: 1,
		},
		"last on a worker that answers": {
			progress: placedOn("w0"),
			starts:   1,
		},
		"last on the worker that does not answer": {
			progress: placedOn("w1"),
		},
		"last on a worker that no leader uses any more": {
			progress: placedOn("w2"),
			starts:   1,
		},
		"never started, as far as is recorded": {
			unrecorded: true,
		},
		"last on a worker that answers, as far as is recorded": {
			progress:   placedOn("w0"),
			unrecorded: true,
		},
		"found running": {
			unrecorded: true,
			running:    true,
			starts:     1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			addUnreachable(board, "w1")
			board.AddJob(watcher(), tt.progress, true, testStart, testStart)
			if !tt.unrecorded {
				board.TrustPlacements()
			}
			if tt.running {
				const run = 7
				board.ApplyReport("w0", Inventory{
					Born: testBorn,
					Running: []RunningTask{{
						Key: watcherKey,
						Run: run,
					}},
					Sent: testStart,
				}, testStart)
				board.ApplyReport("w0", Inventory{
					Born: testBorn,
					Ended: []EndedTask{{
						Number: 1,
						Key:    watcherKey,
						Run:    run,
						Ending: EndedStopped,
					}},
					Sent: testStart,
				}, testStart)
			}
			assert.Len(t, decideAndSave(board, testStart).Starts, tt.starts)

			later := board.earlierLeaseEnd().Add(time.Millisecond)
			poll(board, "w0", later)
			assert.Len(t, decideAndSave(board, later).Starts, 1-tt.starts, "all runs of earlier leaders are over")
		})
	}
}

// A successor trusts the record, so that a start must not overtake it.
func TestLongRunningTaskStartsOnceItsPlacementIsSaved(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(watcher(), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts)
	records := board.Records(false, 10)
	require.Len(t, records, 1, "a start waits for the record")
	require.Len(t, records[0].Progress.Placements, 1)
	board.Written("watcher", records[0].Version, false)
	assert.Empty(t, board.Decide(testStart, true).Starts, "the write failed")
	records = save(board)
	require.Len(t, records, 1)
	starts := board.Decide(testStart, true).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, starts[0].Worker, records[0].Progress.Placements[0])
}

// Between the choice of a worker and the start there is a write to the store.
func TestStartIsWithdrawnWhileItsPlacementIsSaved(t *testing.T) {
	tests := map[string]func(board *Board, chosen *workerState){
		"worker drains": func(_ *Board, chosen *workerState) {
			chosen.Draining = true
		},
		"worker is out of reach": func(board *Board, chosen *workerState) {
			board.MarkUnreachable(chosen.ID, testStart)
		},
		"zone is withdrawn": func(board *Board, _ *workerState) {
			board.Evacuate(map[string]bool{"recife": true})
		},
		"unguarded capacity has shrunk": func(board *Board, chosen *workerState) {
			board.SetCatalog(&catalog.Catalog{
				Services: map[string]catalog.Service{
					"workshop": {
						Name: "workshop",
					},
				},
			})
			chosen.Capacity.MilliCores = 500
		},
		"job is cancelled": func(board *Board, _ *workerState) {
			board.Cancel("watcher", testStart)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.AddJob(watcher(), nil, false, testStart, testStart)
			require.Empty(t, board.Decide(testStart, true).Starts)
			chosen := board.workers[board.jobs["watcher"].occurrences[0].steps[0].tasks[0].worker]
			change(board, chosen)
			save(board)
			for _, start := range board.Decide(testStart, true).Starts {
				assert.NotEqual(t, chosen.ID, start.Worker)
			}
			assert.Empty(t, unrecordedStartsOn(board, chosen.ID))
		})
	}
}

// unrecordedStartsOn returns the starts on a worker that wait for a record.
func unrecordedStartsOn(board *Board, id string) []unrecordedStart {
	var out []unrecordedStart
	for _, next := range board.unrecordedStarts {
		if next.start.Worker == id {
			out = append(out, next)
		}
	}
	return out
}

// An adopted run of a leader that recorded nothing is recorded by this one.
func TestPlacementsAreRecordedAfterATakeover(t *testing.T) {
	board := testBoard("w0")
	addUnreachable(board, "w1")
	board.AddJob(watcher(), nil, true, testStart, testStart)
	board.ApplyReport("w0", Inventory{
		Born: testBorn,
		Running: []RunningTask{{
			Key: watcherKey,
			Run: 7,
		}},
		Sent: testStart,
	}, testStart)
	assert.False(t, board.PlacementsRecorded(testStart), "w1 has not reported")
	later := board.earlierLeaseEnd().Add(time.Millisecond)
	board.Confirmed(later)
	assert.False(t, board.PlacementsRecorded(later), "the adopted run is not recorded")
	records := save(board)
	require.Len(t, records, 1)
	assert.Equal(t, "w0", records[0].Progress.Placements[0])
	assert.True(t, board.PlacementsRecorded(later))
}

// A gang that runs on two workers outlives a takeover: the worker that reports
// second must not find the other member stopped.
func TestTakeoverKeepsGangWhoseMembersReportOneByOne(t *testing.T) {
	tests := map[string]bool{
		"batch":        false,
		"long-running": true,
	}
	for name, longRunning := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.Begin(testToken+10, testStart) // no worker has reported yet
			step := tasks(2, 1000)
			step.Gang, step.LongRunning = true, longRunning
			progress := &work.Progress{
				Started: true,
			}
			if longRunning {
				progress.Placements = map[int]string{0: "w0", 1: "w1"}
			}
			board.AddJob(testJob("gang", "quotes", step), progress, true, testStart, testStart)
			board.TrustPlacements()
			member := func(index int) Inventory {
				return Inventory{
					Born: testBorn,
					Running: []RunningTask{{
						Key: work.TaskKey{
							Job:   "gang",
							Index: index,
						},
						Run: 7,
					}},
					Sent: testStart,
				}
			}
			board.ApplyReport("w0", member(0), testStart)
			assert.Empty(t, board.Decide(testStart, true).Stops, "the other member may be running on w1")
			board.ApplyReport("w1", member(1), testStart.Add(10*time.Millisecond))
			effects := board.Decide(testStart.Add(10*time.Millisecond), true)
			assert.Empty(t, effects.Stops)
			assert.Empty(t, effects.Starts)
		})
	}
}

// The queue has moved to another service since a task was started: a worker of
// the former service does not answer and may still run it.
func TestMovedQueueWaitsForWorkersOfItsFormerService(t *testing.T) {
	tests := map[string]*work.Job{
		"batch":        testJob("a", "quotes", tasks(1, 1000)),
		"long-running": watcher(),
	}
	for name, spec := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			addUnreachable(board, "w1")
			board.workers["w1"].Service = "annex"
			spec.Service = "annex"
			board.AddJob(spec, &work.Progress{
				Started:    true,
				Placements: map[int]string{0: "w1"},
			}, true, testStart, testStart)
			board.TrustPlacements()
			assert.Empty(t, decideAndSave(board, testStart).Starts, "it may be running on w1")
			later := board.earlierLeaseEnd().Add(time.Millisecond)
			poll(board, "w0", later)
			assert.Len(t, decideAndSave(board, later).Starts, 1)
		})
	}
}

// Load pattern: the store is slow while many long-running tasks are placed. Their
// starts must not fill the queue of orders at once.
func TestRecordedStartsKeepTheLimitOfStarts(t *testing.T) {
	board := testBoard("w0", "w1")
	step := tasks(8, 1000)
	step.LongRunning = true
	board.AddJob(testJob("watcher", "quotes", step), nil, false, testStart, testStart)
	for range step.Count { // the store does not answer meanwhile
		board.LimitStarts(1)
		require.Empty(t, board.Decide(testStart, true).Starts)
	}
	save(board)
	for range step.Count {
		board.LimitStarts(1)
		assert.Len(t, board.Decide(testStart, true).Starts, 1)
	}
}

// A worker crashed, and then hosts and workers were replaced in turn: tasks that
// had been on it had no run until every worker had answered one leader. Soak seed
// 801: 17 s and more.
func TestCrashDelaysNoLongRunningTaskAfterATakeover(t *testing.T) {
	tests := map[string]struct {
		crashes []int64
		starts  int
	}{
		"one crash": {
			crashes: []int64{1},
			starts:  1,
		},
		"one crash less than the limit": {
			crashes: []int64{1, 2, 3},
			starts:  1,
		},
		"to be given up": {
			crashes: []int64{1, 2, 3, 4},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			addUnreachable(board, "w1")
			board.AddJob(watcher(), &work.Progress{
				Started:    true,
				Placements: map[int]string{0: "w0"},
				Crashes:    map[int][]int64{0: tt.crashes},
			}, true, testStart, testStart)
			board.TrustPlacements()
			assert.Len(t, decideAndSave(board, testStart).Starts, tt.starts)
		})
	}
}
