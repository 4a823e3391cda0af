package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

var (
	testBegun = time.Unix(1000, 0)
	testBorn  = time.Unix(900, 0)
)

const testToken = 10

// testBoard leads over the workers named, each with eight cores, all heard.
func testBoard(ids ...string) *Board {
	board := NewBoard(testConfig())
	board.SetCatalog(testCatalog())
	board.Begin(testToken, testBegun)
	listings := map[string]Listing{}
	for _, id := range ids {
		listings[id] = Listing{
			ID:      id,
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores:  8000,
				MemoryBytes: 1 << 30,
			},
			Born: testBorn,
		}
	}
	board.SetWorkers(listings, true, testBegun)
	for _, id := range ids {
		hear(board, id, testBegun)
	}
	return board
}

// hear shows a worker's runs, all far on.
func hear(board *Board, id string, now time.Time) {
	look(board, id, 100, 0, now)
}

func testJob(id, queue string, steps ...work.Step) *work.Job {
	return &work.Job{
		ID:       id,
		Queue:    queue,
		Service:  "workshop",
		Steps:    steps,
		Accepted: testBegun,
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

// accept answers all starts with success.
func accept(board *Board, effects Effects, now time.Time) {
	for _, start := range effects.Starts {
		board.Extended(start.Worker, now)
		board.Replied(start, Accepted, now)
	}
}

// A failed end that a worker repeats to the next leader counts once. Found by a
// standard day: a job was shown as failed after one failure.
func TestFailureIsCountedOnceAcrossLeaders(t *testing.T) {
	first := testBoard("w0")
	spec := testJob("a", "plans", tasks(1, 1000))
	first.AddJob(spec, nil, false, testBegun, testBegun)
	effects := first.Decide(testBegun, true)
	require.Len(t, effects.Starts, 1)
	accept(first, effects, testBegun)
	end := EndedTask{
		Number: 1,
		Key:    effects.Starts[0].Key,
		Run:    effects.Starts[0].Run,
		Ending: EndedFailed,
	}
	first.Heard("w0", Inventory{
		Born:  testBorn,
		Ended: []EndedTask{end},
		Sent:  testBegun,
	}, testBegun)
	records := first.Records(true, 10)
	require.Len(t, records, 1)

	heir := testBoard("w0")
	heir.AddJob(spec, &records[0].Progress, true, testBegun, testBegun)
	heir.Heard("w0", Inventory{
		Born:  testBorn,
		Ended: []EndedTask{end},
		Sent:  testBegun,
	}, testBegun)
	assert.Contains(t, heir.open, "a", "two attempts are allowed and one was made")
}

// A worker that has fallen silent is freed once its longest lease is over, and
// not before. Found by a standard day: looks without an answer kept extending it.
func TestSilentWorkerIsFreedAfterItsLease(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	require.Len(t, effects.Starts, 1)
	accept(board, effects, testBegun)
	silent := effects.Starts[0].Worker
	board.Unheard(silent, testBegun)

	within := testBegun.Add(worldLease)
	assert.Empty(t, board.Decide(within, true).Starts, "its lease may still run")
	after := testBegun.Add(board.longestLease() + time.Millisecond)
	effects = board.Decide(after, true)
	require.Len(t, effects.Starts, 1)
	assert.NotEqual(t, silent, effects.Starts[0].Worker)
}

// A draining worker that closed its connections and is off the list runs
// nothing. Found by a hunt: its lasting tasks waited for its lease.
func TestWorkerThatHasLeftIsFreedAtOnce(t *testing.T) {
	tests := map[string]struct {
		draining, closed bool
		want             int
	}{
		"left": {
			draining: true,
			closed:   true,
			want:     1,
		},
		"cut off": {
			draining: true,
		},
		"closed, no drain": {
			closed: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
			effects := board.Decide(testBegun, true)
			accept(board, effects, testBegun)
			leaver := effects.Starts[0].Worker
			stays := "w0"
			if leaver == "w0" {
				stays = "w1"
			}
			now := testBegun.Add(time.Second)
			board.workers[leaver].Draining = tt.draining
			board.Unheard(leaver, now)
			if tt.closed {
				board.Closed(leaver)
			}
			board.SetWorkers(map[string]Listing{stays: board.workers[stays].Listing}, true, now)
			assert.Len(t, board.Decide(now, true).Starts, tt.want)
		})
	}
}

// Nothing of an earlier leadership is started while a worker that may run it
// has not been heard; a job accepted since is.
func TestInheritedWorkWaitsForEveryWorker(t *testing.T) {
	board := testBoard("w0")
	board.Remember([]Listing{{
		ID:      "w1",
		Service: "workshop",
		Zone:    "olinda",
	}}, testBegun)
	board.AddJob(testJob("old", "plans", tasks(1, 1000)), nil, true, testBegun, testBegun)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "new", effects.Starts[0].Key.Job)
	accept(board, effects, testBegun)
	hear(board, "w0", testBegun)

	later := board.doubtEnd().Add(time.Millisecond)
	hear(board, "w0", later)
	effects = board.Decide(later, true)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "old", effects.Starts[0].Key.Job)
}

func TestPlacement(t *testing.T) {
	serving := func(image string) work.Step {
		step := tasks(1, 2000)
		step.Lasting, step.TailTarget, step.Image = true, 100*time.Millisecond, image
		return step
	}
	tests := map[string]struct {
		jobs []*work.Job
		// want counts the starts by worker.
		want map[string]int
	}{
		"fills one worker before the next": {
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
		"gang fits only whole": {
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
		"steps wait for their turn": {
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
				board.AddJob(spec, nil, false, testBegun, testBegun)
			}
			got := map[string]int{}
			for _, start := range board.Decide(testBegun, true).Starts {
				got[start.Worker]++
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

// Load pattern: twice the work that fits. Small jobs are worth more for each
// core-second; with the order by slack both would be late.
func TestSmallJobsGoFirstWhenThereIsTooMuch(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a-large", "plans", tasks(8, 1000), work.Step{
		Count:    8,
		After:    []int{0},
		Estimate: time.Second,
		Size: worker.Size{
			MilliCores: 1000,
		},
	}), nil, false, testBegun, testBegun)
	board.AddJob(testJob("b-small", "plans", tasks(8, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	require.Len(t, effects.Starts, 8)
	for _, start := range effects.Starts {
		assert.Equal(t, "b-small", start.Key.Job)
	}
}

// Load pattern: batch that saves its progress fills every worker when a quick
// job arrives.
func TestBatchMakesWayForQuickWork(t *testing.T) {
	board := testBoard("w0")
	batch := tasks(8, 1000)
	batch.Checkpoints = true
	board.AddJob(testJob("batch", "plans", batch), nil, false, testBegun, testBegun)
	accept(board, board.Decide(testBegun, true), testBegun)
	hear(board, "w0", testBegun)
	board.AddJob(testJob("quick", "quotes", tasks(1, 3000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun.Add(time.Millisecond), true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.Stops, 3, "as many as the quick task needs")

	now := testBegun.Add(300 * time.Millisecond)
	var ended []EndedTask
	for i, stop := range effects.Stops {
		board.Stopped(stop, Accepted, now)
		ended = append(ended, EndedTask{
			Number:     int64(i + 1),
			Key:        stop.Key,
			Run:        stop.Run,
			Ending:     EndedStopped,
			Checkpoint: "saved",
		})
	}
	board.Heard("w0", Inventory{
		Born:  testBorn,
		Ended: ended,
		Sent:  now,
	}, now)
	effects = board.Decide(now, true)
	require.NotEmpty(t, effects.Starts)
	assert.Equal(t, "quick", effects.Starts[0].Key.Job, "the room is kept for the one that was waited for")
}

func TestDrainingWorkersLoseLastingTasksFirst(t *testing.T) {
	board := testBoard("w0", "w1")
	step := tasks(1, 1000)
	step.Lasting = true
	board.AddJob(testJob("a", "quotes", step), nil, false, testBegun, testBegun)
	board.AddJob(testJob("b", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	accept(board, board.Decide(testBegun, true), testBegun)
	for _, w := range board.workers {
		w.Draining, w.Remaining = true, 3*time.Second
	}
	effects := board.Decide(testBegun.Add(time.Millisecond), true)
	require.Len(t, effects.Stops, 1)
	assert.Equal(t, "a", effects.Stops[0].Key.Job)
	assert.Empty(t, effects.Starts)
}

func TestZoneOutGetsNothing(t *testing.T) {
	board := testBoard("w0")
	board.Evacuate(map[string]bool{"recife": true})
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	assert.Empty(t, board.Decide(testBegun, true).Starts)
	board.Evacuate(map[string]bool{})
	assert.Len(t, board.Decide(testBegun, true).Starts, 1)
}

// firstTask is the first task of a job.
func firstTask(job string) work.TaskKey {
	return work.TaskKey{
		Job: job,
	}
}

// A whole list has cancellations before jobs. Found by a hunt: a cancelled job
// ran after the store had dropped its history.
func TestCancellationBeforeItsJob(t *testing.T) {
	board := testBoard("w0")
	board.Cancel("a", testBegun)
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	assert.Empty(t, board.Decide(testBegun, true).Starts)
	assert.Equal(t, work.Cancelled, board.jobs["a"].progress.State)
}

// Found by a hunt: a start without an answer was repeated after the worker had
// said that it leaves.
func TestStartsAreNotRepeatedWhereNothingMayStart(t *testing.T) {
	tests := map[string]func(board *Board){
		"draining": func(board *Board) { board.workers["w0"].Draining = true },
		"zone out": func(board *Board) { board.Evacuate(map[string]bool{"recife": true}) },
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
			effects := board.Decide(testBegun, true)
			require.Len(t, effects.Starts, 1)
			board.Replied(effects.Starts[0], Unknown, testBegun)
			happen(board)
			effects = board.Decide(testBegun, true)
			assert.Empty(t, effects.Starts)
			require.Len(t, effects.Stops, 1, "it may begin all the same")
		})
	}
}

// Workers that do not guard their room: what an earlier leader started and is
// being stopped still takes it. Found by a hunt on such a deployment.
func TestForeignRunsTakeRoomUntilTheyEnd(t *testing.T) {
	board := testBoard("w0")
	gone := testJob("gone", "plans", tasks(1, 8000))
	board.AddJob(gone, nil, true, testBegun, testBegun)
	board.Cancel("gone", testBegun)
	row := RunningTask{
		Key: firstTask("gone"),
		Run: 1,
	}
	board.Heard("w0", Inventory{
		Born:    testBorn,
		Running: []RunningTask{row},
		Sent:    testBegun,
	}, testBegun)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.Stops, 1)

	later := testBegun.Add(time.Second)
	board.Heard("w0", Inventory{
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

// Load pattern: a holder can send few orders; a wide job came first, a quick
// answer after it. The quick one is not kept waiting behind the wide one's
// orders.
func TestWorkWaitsToBeDecidedNotInLine(t *testing.T) {
	board := testBoard("w0", "w1", "w2", "w3")
	board.AddJob(testJob("wide", "plans", tasks(30, 1000)), nil, false, testBegun, testBegun)
	board.LimitStarts(4)
	assert.Len(t, board.Decide(testBegun, true).Starts, 4)
	board.AddJob(testJob("quick", "quotes", tasks(2, 1000)), nil, false, testBegun, testBegun)
	board.LimitStarts(4)
	starts := board.Decide(testBegun, true).Starts
	require.Len(t, starts, 4)
	assert.Equal(t, "quick", starts[0].Key.Job)
	assert.Equal(t, "quick", starts[1].Key.Job)
	board.LimitStarts(0)
	assert.Empty(t, board.Decide(testBegun, true).Starts)
}

// Load pattern: quick answers keep coming while a lasting task waits for room.
// Found by a hunt at 350 workers: a watcher that had failed was away for over
// six seconds, with room for it.
func TestOverdueLastingTaskGoesFirst(t *testing.T) {
	tests := map[string]struct {
		away  time.Duration
		first string
	}{
		"just handed in": {
			first: "quick",
		},
		"away for long": {
			away:  overdueAfter + time.Millisecond,
			first: "watcher",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			lasting := tasks(1, 1000)
			lasting.Lasting = true
			board.AddJob(testJob("watcher", "quotes", lasting), nil, false, testBegun, testBegun)
			now := testBegun.Add(tt.away)
			board.AddJob(testJob("quick", "quotes", tasks(1, 1000)), nil, false, now, now)
			board.LimitStarts(1)
			starts := board.Decide(now, true).Starts
			require.Len(t, starts, 1)
			assert.Equal(t, tt.first, starts[0].Key.Job)
		})
	}
}

// Load pattern: some job ends every few milliseconds. Found after growth: the
// progress of all others was never written, and no end of theirs forgotten.
func TestProgressIsWrittenBesideEndsOfJobs(t *testing.T) {
	board := testBoard("w0")
	for _, id := range []string{"a", "b", "c"} {
		board.AddJob(testJob(id, "plans", tasks(2, 100)), nil, false, testBegun, testBegun)
		board.touch(board.jobs[id])
	}
	assert.Empty(t, board.Records(false, 10), "nothing is urgent")
	board.Cancel("c", testBegun)
	records := board.Records(false, 2)
	require.Len(t, records, 2)
	assert.Equal(t, "c", records[0].Job, "ends go first")
	assert.Equal(t, "a", records[1].Job)
	assert.Len(t, board.Records(true, 10), 1)
}
