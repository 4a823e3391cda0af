package schedule

import (
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
