package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

// lastingJob is a job of long-running tasks that fill a worker of testBoard each.
func lastingJob(id string, count int) *work.Job {
	step := tasks(count, 8000)
	step.LongRunning = true
	return testJob(id, "quotes", step)
}

// fail reports that what runs on a worker has failed.
func fail(board *Board, id string, now time.Time) {
	w := board.workers[id]
	inventory := Inventory{
		Born:     testBorn,
		Sent:     now,
		Received: now,
	}
	number := w.lastProcessed
	for key, held := range w.claims {
		number++
		inventory.Ended = append(inventory.Ended, EndedTask{
			Number: number,
			Key:    key,
			Run:    held.run,
			Ending: EndedFailed,
		})
	}
	board.ApplyReport(id, inventory, now)
	board.Confirmed(now)
}

// Guards against a long-running task whose run has failed and that stays down in a full
// service, while others take each piece of capacity that comes free, also that of its own
// run. On the users' bench tasks waited for 10 to 18 s so.
func TestCapacityThatComesFreeGoesToATaskThatIsDown(t *testing.T) {
	tests := map[string]struct {
		// other is a job that waits for the capacity, since before the run failed.
		other *work.Job
	}{
		"quick task": {
			other: testJob("0", "quotes", tasks(1, 8000)),
		},
		"smaller quick task": {
			other: testJob("0", "quotes", tasks(1, 1000)),
		},
		"long-running task that was never started": {
			other: lastingJob("0", 1),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(lastingJob("a", 1), nil, false, testStart, testStart)
			accept(board, decideAndSave(board, testStart), testStart)
			board.AddJob(tt.other, nil, false, testStart, testStart)
			now := testStart.Add(10 * time.Second)
			poll(board, "w0", now)
			require.Empty(t, decideAndSave(board, now).Starts)
			fail(board, "w0", now)
			starts := decideAndSave(board, now).Starts
			require.Len(t, starts, 1)
			assert.Equal(t, "a", starts[0].Key.Job)
		})
	}
}

// Guards against a task that stays down because others, whose runs have ended since, take
// what comes free.
func TestCapacityThatComesFreeGoesToTheTaskThatIsDownForLongest(t *testing.T) {
	board := testBoard("w0")
	ended := map[string]time.Time{
		"a": testStart.Add(time.Second),
		"b": testStart,
		"c": testStart.Add(2 * time.Second),
	}
	for id, at := range ended {
		board.AddJob(lastingJob(id, 1), nil, false, testStart, testStart)
		board.jobs[id].occurrences[0].steps[0].tasks[0].endedAt = at
	}
	now := testStart.Add(4 * time.Second)
	poll(board, "w0", now)
	starts := decideAndSave(board, now).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, "b", starts[0].Key.Job)
}

// downBesideQuick returns a board on whose worker quick tasks fill all, and a long-running
// task of half its size that has been down for long enough for capacity to be kept.
func downBesideQuick(t *testing.T) (*Board, *task, time.Time) {
	t.Helper()
	board := testBoard("w0")
	board.AddJob(testJob("quick", "quotes", tasks(8, 1000)), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	long := lastingJob("long", 1)
	long.Steps[0].Size.MilliCores = 4000
	board.AddJob(long, nil, false, testStart, testStart)
	down := board.jobs["long"].occurrences[0].steps[0].tasks[0]
	down.endedAt = testStart
	now := testStart.Add(keptAfter)
	poll(board, "w0", now)
	require.Empty(t, decideAndSave(board, now).Starts)
	require.Contains(t, board.reservations, down.key)
	return board, down, now
}

// Guards against a task that is down until the load ends, since smaller quick tasks take
// each part of a piece that comes free.
func TestQuickTasksMakeWayForATaskThatIsDown(t *testing.T) {
	board, down, now := downBesideQuick(t)
	board.AddJob(testJob("more", "quotes", tasks(8, 1000)), nil, false, now, now)
	for index := range 4 {
		require.Empty(t, decideAndSave(board, now).Starts, "%d pieces are free", index)
		now = now.Add(simulationStep)
		board.ApplyReport("w0", Inventory{
			Born: testBorn,
			Ended: []EndedTask{
				{
					Number: int64(index + 1),
					Key:    board.jobs["quick"].occurrences[0].steps[0].tasks[index].key,
					Run:    board.jobs["quick"].occurrences[0].steps[0].tasks[index].run,
					Ending: EndedDone,
				},
			},
			EndsOmitted: true,
			Sent:        now,
			Received:    now,
		}, now)
		board.Confirmed(now)
	}
	starts := decideAndSave(board, now).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, down.key, starts[0].Key)
	assert.Empty(t, board.reservations)
}

// Guards against capacity that stays empty because the task for which it is kept cannot
// start there any more.
func TestCapacityIsKeptOnlyWhileTheTaskThatIsDownMayStart(t *testing.T) {
	tests := map[string]func(board *Board, now time.Time){
		"cancelled": func(board *Board, now time.Time) {
			board.Cancel("long", now)
		},
		"departs to another shard": func(board *Board, _ time.Time) {
			board.jobs["long"].departing = true
		},
		"worker drains": func(board *Board, now time.Time) {
			listing := board.workers["w0"].Listing
			listing.Draining = true
			board.SetWorkers(map[string]Listing{
				"w0": listing,
			}, true, now)
		},
		"long-running task has taken the place": func(board *Board, _ time.Time) {
			for _, held := range board.workers["w0"].claims {
				held.longRunning = true
			}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			board, _, now := downBesideQuick(t)
			change(board, now)
			board.Decide(now, true)
			assert.Empty(t, board.reservations)
			requireConsistent(t, board)
		})
	}
}

// Guards against capacity that is kept on most workers at once after the loss of some, so
// that no quick task starts.
func TestCapacityIsKeptOnFewWorkers(t *testing.T) {
	const workers = 8
	ids := make([]string, workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%d", i)
	}
	board := testBoard(ids...)
	board.AddJob(testJob("quick", "quotes", tasks(8*workers, 1000)), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	board.AddJob(lastingJob("long", workers), nil, false, testStart, testStart)
	for _, down := range board.jobs["long"].occurrences[0].steps[0].tasks {
		down.endedAt = testStart
	}
	now := testStart.Add(keptAfter)
	for _, id := range ids {
		poll(board, id, now)
	}
	for range 10 {
		board.Decide(now, true)
		now = now.Add(scanInterval)
	}
	assert.Len(t, board.reservations, workers/keptShare)
	requireConsistent(t, board)
}

// Guards against a preempted task that stays down because other long-running tasks have
// taken the place that was to be returned to it: quick tasks went on taking what came free
// elsewhere.
func TestPreemptedTaskWhosePlaceIsTakenIsDown(t *testing.T) {
	board, down, now := downBesideQuick(t)
	board.unreserve(down.key)
	down.startedAt, down.preemptedAt = testStart.Add(-time.Second), testStart
	board.Decide(now, true)
	assert.Empty(t, board.reservations, "quick tasks may use what it had")
	now = testStart.Add(returnAfter + keptAfter)
	poll(board, "w0", now)
	board.Decide(now, true)
	assert.Contains(t, board.reservations, down.key)
}

// Guards against a task that stays down after a change of the leader, which does not know
// when its run ended: it was taken for one that was never started.
func TestInheritedTaskThatHadARunIsDown(t *testing.T) {
	tests := map[string]struct {
		progress work.Progress
		first    string
	}{
		"was placed": {
			progress: work.Progress{
				Started:    true,
				Placements: map[int]string{0: "w0"},
			},
			first: "long",
		},
		"was never placed": {
			first: "0",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("0", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
			board.AddJob(lastingJob("long", 1), &tt.progress, true, testStart, testStart)
			board.TrustPlacements()
			poll(board, "w0", testStart)
			starts := decideAndSave(board, testStart).Starts
			require.Len(t, starts, 1)
			assert.Equal(t, tt.first, starts[0].Key.Job)
		})
	}
}

// Guards against a task that is down and for which no capacity is kept, since it is kept
// for tasks of other services, or on workers for which the step has no ticket.
func TestCapacityIsKeptInEachPool(t *testing.T) {
	board, _, now := downBesideQuick(t)
	listings := map[string]Listing{
		"w0": board.workers["w0"].Listing,
	}
	mill := listings["w0"]
	mill.ID, mill.Service, mill.Address = "w1", "mill", testAddress(1)
	listings["w1"] = mill
	board.SetWorkers(listings, true, now)
	poll(board, "w1", now)
	grind := testJob("grind", "none", tasks(8, 1000))
	other := testJob("other", "none", tasks(1, 4000))
	other.Steps[0].LongRunning = true
	grind.Service, other.Service = "mill", "mill"
	board.AddJob(grind, nil, false, now, now)
	accept(board, decideAndSave(board, now), now)
	board.AddJob(other, nil, false, now, now)
	down := board.jobs["other"].occurrences[0].steps[0].tasks[0]
	down.endedAt = now.Add(-keptAfter)
	now = now.Add(scanInterval)
	poll(board, "w0", now)
	poll(board, "w1", now)
	board.Decide(now, true)
	assert.Contains(t, board.reservations, down.key)
	assert.Len(t, board.reservations, 2)
}

// Guards against a long-running filler that has nothing running in a service with much
// free capacity, and waits since one that is not starving found no worker.
func TestStarvingFillerThatIsDownIsTried(t *testing.T) {
	board := testBoard("w0")
	filler := tasks(1, 1000)
	filler.Filler, filler.LongRunning, filler.Image = true, true, "print"
	board.AddJob(testJob("fill", "plans", filler), nil, false, testStart, testStart)
	step := board.jobs["fill"].occurrences[0].steps[0]
	step.tasks[0].endedAt = testStart
	now := testStart.Add(2 * starvationTimeout)
	poll(board, "w0", now)
	board.now = now
	board.measureUtilization()
	require.True(t, board.starving("fill", step.spec))
	found := newShortage()
	found.record(step.spec)
	assert.NotNil(t, board.restartWorker(step, step.tasks[0], []*workerState{board.workers["w0"]}, found))
}

// Guards against long-running tasks that fail at once, as those of a faulty image do, and
// take all starts of each decision from quick tasks: their restarts go before everything
// else.
func TestTasksThatFailAtOnceLeaveStartsToQuickOnes(t *testing.T) {
	const (
		startsPerDecision = 64
		runTime           = 50 * time.Millisecond
		decision          = 15 * time.Millisecond
	)
	board := testBoard("w0", "w1", "w2", "w3")
	failing := tasks(300, 10)
	failing.LongRunning = true
	board.AddJob(testJob("failing", "quotes", failing), nil, false, testStart, testStart)
	running, started := map[work.TaskKey]Start{}, map[string]int{}
	startedAt := map[work.TaskKey]time.Time{}
	for now := testStart; now.Before(testStart.Add(3 * time.Second)); now = now.Add(decision) {
		if now.Sub(testStart) > time.Second {
			board.AddJob(testJob("quick", "quotes", tasks(600, 1)), nil, false, now, now)
		}
		for key, start := range running {
			if now.Sub(startedAt[key]) >= runTime {
				board.release(board.workers[start.Worker], key, now)
				delete(running, key)
			}
		}
		for id := range board.workers {
			poll(board, id, now)
		}
		board.LimitStarts(startsPerDecision)
		effects := decideAndSave(board, now)
		accept(board, effects, now)
		for _, start := range effects.Starts {
			started[start.Key.Job]++
			if start.Key.Job == "failing" {
				running[start.Key], startedAt[start.Key] = start, now
			}
		}
	}
	t.Logf("started: %v", started)
	assert.Equal(t, 600, started["quick"])
}
