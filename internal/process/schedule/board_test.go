package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

var (
	testStart = time.Unix(1000, 0)
	testBorn  = time.Unix(900, 0)
)

const testToken = 10

// testBoard returns a board that leads the named workers, each with eight cores
// and one report.
func testBoard(ids ...string) *Board {
	board := NewBoard(testConfig())
	board.SetCatalog(testCatalog())
	board.Begin(testToken, testStart)
	listings := map[string]Listing{}
	for i, id := range ids {
		listings[id] = Listing{
			ID:      id,
			Address: testAddress(i),
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores:  8000,
				MemoryBytes: 1 << 30,
			},
			Born: testBorn,
		}
	}
	board.SetWorkers(listings, true, testStart)
	for _, id := range ids {
		poll(board, id, testStart)
	}
	return board
}

// poll reports a worker's runs, all at 100 percent.
func poll(board *Board, id string, now time.Time) {
	pollWithProgress(board, id, 100, 0, now)
}

func testJob(id, queue string, steps ...work.Step) *work.Job {
	return &work.Job{
		ID:       id,
		Queue:    queue,
		Service:  "workshop",
		Steps:    steps,
		Accepted: testStart,
	}
}

func tasks(count int, milliCores int64) work.Step {
	return work.Step{
		Count: count,
		Size: worker.Size{
			MilliCores: milliCores,
		},
		Estimate: time.Second,
	}
}

// accept confirms all starts.
func accept(board *Board, effects Effects, now time.Time) {
	for _, start := range effects.Starts {
		board.LeaseExtended(start.Worker, now)
		board.StartReplied(start, Accepted, now)
	}
}

// save writes all unsaved progress.
func save(board *Board) []Record {
	records := board.Records(true, 100)
	for _, record := range records {
		board.Written(record.Job, record.Version, true)
	}
	return records
}

// decideAndSave returns the orders of a decision, with the starts of
// long-running tasks, which follow once their placements are in the store.
func decideAndSave(board *Board, now time.Time) Effects {
	limit := board.startsLeft
	effects := board.Decide(now, true)
	save(board)
	board.LimitStarts(limit - len(effects.Starts))
	effects.Starts = append(effects.Starts, board.Decide(now, true).Starts...)
	return effects
}

// A worker repeats a failed end to the next leader. It must count as one
// failure: counted twice, a job was shown as failed after a single failure.
func TestFailureIsCountedOnceAcrossLeaders(t *testing.T) {
	first := testBoard("w0")
	spec := testJob("a", "plans", tasks(1, 1000))
	first.AddJob(spec, nil, false, testStart, testStart)
	effects := first.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	accept(first, effects, testStart)
	end := EndedTask{
		Number: 1,
		Key:    effects.Starts[0].Key,
		Run:    effects.Starts[0].Run,
		Ending: EndedFailed,
	}
	first.ApplyReport("w0", Inventory{
		Born:  testBorn,
		Ended: []EndedTask{end},
		Sent:  testStart,
	}, testStart)
	records := first.Records(true, 10)
	require.Len(t, records, 1)

	successor := testBoard("w0")
	successor.AddJob(spec, &records[0].Progress, true, testStart, testStart)
	successor.ApplyReport("w0", Inventory{
		Born:  testBorn,
		Ended: []EndedTask{end},
		Sent:  testStart,
	}, testStart)
	assert.Contains(t, successor.open, "a", "two attempts are allowed and one was made")
}

// The runs of an unresponsive worker are freed once its longest lease is over,
// and not before. Polls without an answer must not extend the lease: they once
// did, and the worker was never freed.
func TestUnresponsiveWorkerIsFreedAfterItsLease(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	accept(board, effects, testStart)
	unresponsive := effects.Starts[0].Worker
	board.MarkUnreachable(unresponsive, testStart)

	within := testStart.Add(testLeaseTerm)
	assert.Empty(t, board.Decide(within, true).Starts, "its lease may not have expired")
	after := testStart.Add(board.longestLease() + time.Millisecond)
	assert.Empty(t, board.Decide(after, true).Starts, "a successor may know how the run ended")
	board.Confirmed(after)
	effects = board.Decide(after, true)
	require.Len(t, effects.Starts, 1)
	assert.NotEqual(t, unresponsive, effects.Starts[0].Worker)
}

// A task accepted under an earlier term must not start while a worker that may
// run it has not reported. A job accepted in this term may.
func TestInheritedWorkWaitsForEveryWorker(t *testing.T) {
	board := testBoard("w0")
	board.AddRoster([]Listing{{
		ID:      "w1",
		Service: "workshop",
		Zone:    "olinda",
	}}, testStart)
	board.AddJob(testJob("old", "plans", tasks(1, 1000)), nil, true, testStart, testStart)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "new", effects.Starts[0].Key.Job)
	accept(board, effects, testStart)
	poll(board, "w0", testStart)

	later := board.earlierLeaseEnd().Add(time.Millisecond)
	poll(board, "w0", later)
	effects = board.Decide(later, true)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "old", effects.Starts[0].Key.Job)
}

func TestPlacement(t *testing.T) {
	serving := func(image string) work.Step {
		step := tasks(1, 2000)
		step.LongRunning, step.TailTarget, step.Image = true, 100*time.Millisecond, image
		return step
	}
	tests := map[string]struct {
		jobs []*work.Job
		// want is the number of starts by worker.
		want map[string]int
	}{
		"best fit fills one worker first": {
			jobs: []*work.Job{testJob("a", "plans", tasks(8, 1000))},
			want: map[string]int{"w0": 8},
		},
		"no more than fits": {
			jobs: []*work.Job{testJob("a", "plans", tasks(40, 1000))},
			want: map[string]int{"w0": 8, "w1": 8},
		},
		"spread": {
			jobs: []*work.Job{testJob("a", "plans", func() work.Step {
				step := tasks(4, 1000)
				step.Spread = 1
				return step
			}())},
			want: map[string]int{"w0": 1, "w1": 1},
		},
		"no worker has the label": {
			jobs: []*work.Job{testJob("a", "plans", func() work.Step {
				step := tasks(1, 1000)
				step.Label = "gpu"
				return step
			}())},
			want: map[string]int{},
		},
		"gang starts whole or not at all": {
			jobs: []*work.Job{testJob("a", "plans", func() work.Step {
				step := tasks(17, 1000)
				step.Gang = true
				return step
			}())},
			want: map[string]int{},
		},
		"serving images stay together": {
			jobs: []*work.Job{testJob("a", "quotes", serving("x")), testJob("b", "quotes", serving("x")), testJob("c", "quotes", serving("x"))},
			want: map[string]int{"w0": 3},
		},
		"steps wait for earlier steps": {
			jobs: []*work.Job{testJob("a", "plans", tasks(1, 1000), work.Step{
				Count: 5,
				After: []int{0},
			})},
			want: map[string]int{"w0": 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			for _, spec := range tt.jobs {
				board.AddJob(spec, nil, false, testStart, testStart)
			}
			got := map[string]int{}
			for _, start := range decideAndSave(board, testStart).Starts {
				got[start.Worker]++
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

// Load pattern: twice the work that fits. Small jobs have more value per
// core-second; ordered by slack, both jobs would be late.
func TestSmallJobsGoFirstUnderOverload(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a-large", "plans", tasks(8, 1000), work.Step{
		Count:    8,
		After:    []int{0},
		Estimate: time.Second,
		Size: worker.Size{
			MilliCores: 1000,
		},
	}), nil, false, testStart, testStart)
	board.AddJob(testJob("b-small", "plans", tasks(8, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 8)
	for _, start := range effects.Starts {
		assert.Equal(t, "b-small", start.Key.Job)
	}
}

// Load pattern: checkpointed batch work fills every worker when a quick job
// arrives.
func TestBatchIsPreemptedForQuickWork(t *testing.T) {
	board := testBoard("w0")
	batch := tasks(8, 1000)
	batch.Checkpoints = true
	board.AddJob(testJob("batch", "plans", batch), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	poll(board, "w0", testStart)
	board.AddJob(testJob("quick", "quotes", tasks(1, 3000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart.Add(time.Millisecond), true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.Stops, 3, "as many as the quick task needs")

	now := testStart.Add(300 * time.Millisecond)
	var ended []EndedTask
	for i, stop := range effects.Stops {
		board.StopReplied(stop, Accepted, now)
		ended = append(ended, EndedTask{
			Number:     int64(i + 1),
			Key:        stop.Key,
			Run:        stop.Run,
			Ending:     EndedStopped,
			Checkpoint: "saved",
		})
	}
	board.ApplyReport("w0", Inventory{
		Born:  testBorn,
		Ended: ended,
		Sent:  now,
	}, now)
	effects = board.Decide(now, true)
	require.NotEmpty(t, effects.Starts)
	assert.Equal(t, "quick", effects.Starts[0].Key.Job, "the freed capacity is reserved for the quick task")
}

func TestDrainStopsLongRunningTasksFirst(t *testing.T) {
	board := testBoard("w0", "w1")
	step := tasks(1, 1000)
	step.LongRunning = true
	board.AddJob(testJob("a", "quotes", step), nil, false, testStart, testStart)
	board.AddJob(testJob("b", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	listings := map[string]Listing{}
	for id, w := range board.workers {
		listings[id] = w.Listing
		listing := listings[id]
		listing.Draining, listing.Remaining = true, 3*time.Second
		listings[id] = listing
	}
	board.SetWorkers(listings, true, testStart)
	effects := board.Decide(testStart.Add(time.Millisecond), true)
	require.Len(t, effects.Stops, 1)
	assert.Equal(t, "a", effects.Stops[0].Key.Job)
	assert.Empty(t, effects.Starts)
}

func TestWithdrawnZoneGetsNoStarts(t *testing.T) {
	board := testBoard("w0")
	board.Evacuate(map[string]bool{"recife": true})
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts)
	board.Evacuate(map[string]bool{})
	assert.Len(t, board.Decide(testStart, true).Starts, 1)
}

// firstTask is the first task of a job.
func firstTask(job string) work.TaskKey {
	return work.TaskKey{
		Job: job,
	}
}

// A full read lists cancellations before jobs. A cancelled job must not run, as
// it did after the store had dropped its history and all was read again.
func TestCancellationBeforeItsJob(t *testing.T) {
	board := testBoard("w0")
	board.Cancel("a", testStart)
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts)
	assert.Equal(t, work.Cancelled, board.jobs["a"].progress.State)
}

// A start without an answer must not be sent again once the worker drains or
// its zone is withdrawn.
func TestStartIsNotRetriedOnDrainingOrWithdrawnWorker(t *testing.T) {
	tests := map[string]func(board *Board){
		"draining":       func(board *Board) { board.workers["w0"].Draining = true },
		"zone withdrawn": func(board *Board) { board.Evacuate(map[string]bool{"recife": true}) },
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			board.StartReplied(effects.Starts[0], Unknown, testStart)
			arrange(board)
			effects = board.Decide(testStart, true)
			assert.Empty(t, effects.Starts)
			require.Len(t, effects.Stops, 1, "the unanswered start may still take effect")
		})
	}
}

// Orphaned runs of an earlier leader keep their capacity until they have ended.
// Workers that don't enforce their capacity would otherwise be overcommitted
// while those runs are being stopped.
func TestOrphanedRunsHoldCapacityUntilTheyEnd(t *testing.T) {
	board := testBoard("w0")
	gone := testJob("gone", "plans", tasks(1, 8000))
	board.AddJob(gone, nil, true, testStart, testStart)
	board.Cancel("gone", testStart)
	row := RunningTask{
		Key: firstTask("gone"),
		Run: 1,
	}
	board.ApplyReport("w0", Inventory{
		Born:    testBorn,
		Running: []RunningTask{row},
		Sent:    testStart,
	}, testStart)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.Stops, 1)

	later := testStart.Add(time.Second)
	board.ApplyReport("w0", Inventory{
		Born: testBorn,
		Ended: []EndedTask{
			{
				Number: 1,
				Key:    row.Key,
				Run:    row.Run,
				Ending: EndedStopped,
			},
		},
		Sent: later,
	}, later)
	assert.Len(t, board.Decide(later, true).Starts, 1)
}

// Load pattern: the leader can send few orders, and a quick job arrives after a
// wide one. The quick job must not wait behind the wide job's orders.
func TestStartLimitLetsQuickJobsGoFirst(t *testing.T) {
	board := testBoard("w0", "w1", "w2", "w3")
	board.AddJob(testJob("wide", "plans", tasks(30, 1000)), nil, false, testStart, testStart)
	board.LimitStarts(4)
	assert.Len(t, board.Decide(testStart, true).Starts, 4)
	board.AddJob(testJob("quick", "quotes", tasks(2, 1000)), nil, false, testStart, testStart)
	board.LimitStarts(4)
	starts := board.Decide(testStart, true).Starts
	require.Len(t, starts, 4)
	assert.Equal(t, "quick", starts[0].Key.Job)
	assert.Equal(t, "quick", starts[1].Key.Job)
	board.LimitStarts(0)
	assert.Empty(t, board.Decide(testStart, true).Starts)
}

// Load pattern: quick jobs keep arriving while a long-running task waits to be
// placed. Without the priority of overdue tasks, a watcher that had failed
// stayed down for over six seconds although there was capacity for it (350
// workers).
func TestOverdueLongRunningTaskGoesFirst(t *testing.T) {
	tests := map[string]struct {
		waited time.Duration
		first  string
	}{
		"just submitted": {
			first: "quick",
		},
		"down for long": {
			waited: rank.OverdueAfter + time.Millisecond,
			first:  "watcher",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			longRunning := tasks(1, 1000)
			longRunning.LongRunning = true
			board.AddJob(testJob("watcher", "quotes", longRunning), nil, false, testStart, testStart)
			now := testStart.Add(tt.waited)
			board.AddJob(testJob("quick", "quotes", tasks(1, 1000)), nil, false, now, now)
			board.LimitStarts(1)
			starts := decideAndSave(board, now).Starts
			require.Len(t, starts, 1)
			assert.Equal(t, tt.first, starts[0].Key.Job)
		})
	}
}

// Load pattern: some job ends every few milliseconds. The records of ends must
// not crowd out the progress of all other jobs, which was then never written,
// so that workers could not forget their ends.
func TestProgressIsWrittenAlongsideJobEnds(t *testing.T) {
	board := testBoard("w0")
	for _, id := range []string{"a", "b", "c"} {
		board.AddJob(testJob(id, "plans", tasks(2, 100)), nil, false, testStart, testStart)
		board.markChanged(board.jobs[id])
	}
	assert.Empty(t, board.Records(false, 10), "nothing is urgent")
	board.Cancel("c", testStart)
	records := board.Records(false, 2)
	require.Len(t, records, 2)
	assert.Equal(t, "c", records[0].Job, "ends go first")
	assert.Equal(t, "a", records[1].Job)
	assert.Len(t, board.Records(true, 10), 1)
}
