package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against a task that runs again after its end: the worker had more ended
// runs than one answer lists, and a run in neither list was taken for gone.
func TestRunIsNotGoneWhileEndsAreOmitted(t *testing.T) {
	tests := map[string]func(board *Board, start Start){
		"running before": func(*Board, Start) {},
		"stopped": func(board *Board, start Start) {
			board.stop(start.Worker, start.Key, start.Run, "preempted")
			effects := board.Decide(testStart, true)
			board.StopReplied(effects.Stops[0], Accepted, testStart)
		},
		"refused as outdated": func(board *Board, start Start) {
			board.workers[start.Worker].claims[start.Key].retries = 1
			board.StartReplied(start, Outdated, testStart)
		},
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "quotes", tasks(1, 1000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			accept(board, effects, testStart)
			start := effects.Starts[0]
			arrange(board, start)

			now := testStart.Add(time.Second)
			inventory := Inventory{
				Born:        testBorn,
				EndsOmitted: true,
				Sent:        now,
				Received:    now,
			}
			board.ApplyReport("w0", inventory, now)
			assert.Empty(t, board.Decide(now, true).Starts, "the end may be among those that are left out")

			now = now.Add(time.Second)
			inventory.EndsOmitted, inventory.Sent = false, now
			board.ApplyReport("w0", inventory, now)
			assert.Len(t, board.Decide(now, true).Starts, 1, "neither running nor ended")
		})
	}
}

// Guards against a task that runs again under a new leader, which took the first
// report of a worker for complete while ends were left out.
func TestWorkerIsUnsettledWhileEndsAreOmitted(t *testing.T) {
	board := testBoard("w0", "w1")
	inventory := Inventory{
		Born:        testBorn,
		EndsOmitted: true,
		Sent:        testStart,
		Received:    testStart,
	}
	board.Begin(testToken+1, testStart)
	board.AddJob(testJob("a", "quotes", tasks(1, 1000)), nil, true, testStart, testStart)
	board.ApplyReport("w0", inventory, testStart)
	report(board, "w1", testBorn, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts, "the end of an earlier run may be left out")

	now := testStart.Add(time.Second)
	inventory.EndsOmitted, inventory.Sent = false, now
	board.ApplyReport("w0", inventory, now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// Guards against tasks that run twice, and against work that never ends, when
// workers list one or two ended runs at a time while the store is away, workers
// restart and are cut off, and leaders are replaced.
func TestNoTaskRunsTwiceWithOmittedEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.endsListed = rapid.IntRange(1, 2).Draw(t, "ends listed")
		for range 100 {
			if sim.next < 8 {
				sim.submit()
			}
			if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
				sim.storeDown = !sim.storeDown
			}
			sim.injectFault()
			sim.tick()
		}
		sim.calm()
		for range 300 {
			sim.tick()
		}
		sim.requireAllEnd()
	})
}
