package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a task that runs twice (review case 13): a draining worker is cut off
// from the store, so that its entry goes, and the answer of one poll is lost with its
// connection. It works on until its lease is over.
func TestRunsOfDrainingWorkerAreNotTakenForOver(t *testing.T) {
	tests := map[string]struct {
		listed, draining, unreliable bool
		lose                         func(board *Board, id string, now time.Time)
	}{
		"entry gone, connection closed": {
			draining: true,
			lose:     breakConnection,
		},
		"entry gone after an outage of the store, connection closed": {
			draining:   true,
			unreliable: true,
			lose:       breakConnection,
		},
		"entry gone, no answer": {
			draining: true,
			lose:     (*Board).MarkUnreachable,
		},
		"connection closed": {
			draining: true,
			listed:   true,
			lose:     breakConnection,
		},
		"entry gone, connection closed, not draining": {
			lose: breakConnection,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			accept(board, effects, testStart)
			id := effects.Starts[0].Worker
			listings := map[string]Listing{}
			for _, w := range board.workers {
				listings[w.ID] = w.Listing
			}
			other := "w0"
			if id == other {
				other = "w1"
			}
			listing := listings[id]
			listing.Draining, listing.Remaining = tt.draining, 10*time.Second
			listings[id] = listing
			board.SetWorkers(listings, true, testStart)
			if !tt.listed {
				delete(listings, id)
			}
			end := board.workers[id].leaseEnd
			for now := testStart; now.Before(end); now = now.Add(scanInterval) {
				board.SetWorkers(listings, !tt.unreliable, now)
				tt.lose(board, id, now)
				board.Confirmed(now)
				require.Empty(t, board.Decide(now, true).Starts, "%s before the lease is over", end.Sub(now))
			}
			now := end.Add(time.Millisecond)
			poll(board, other, now)
			board.SetWorkers(listings, !tt.unreliable, now)
			board.Confirmed(now)
			assert.Len(t, board.Decide(now, true).Starts, 1, "the lease is over")
		})
	}
}

// Guards against tasks that wait for the lease of a worker that has shut down as it said:
// what does not end before has to be stopped before, while the stop can be answered.
func TestRunsOnDrainingWorkerEndBeforeItMayShutDown(t *testing.T) {
	const remaining = 3 * time.Second
	tests := map[string]struct {
		estimate    time.Duration
		checkpoints bool
		// least and most bound the time at which the run is stopped, zero if it is not.
		least, most time.Duration
	}{
		"ends in time": {
			estimate: remaining - 100*time.Millisecond,
		},
		"does not end in time": {
			estimate: remaining + 100*time.Millisecond,
			most:     scanInterval,
		},
		"does not end in time, saves its progress": {
			estimate:    remaining + 100*time.Millisecond,
			checkpoints: true,
			least:       remaining - 3*stopMargin,
			most:        remaining - stopMargin - testStopGrace,
		},
		"takes longer than expected": {
			estimate: time.Second,
			least:    time.Second,
			most:     remaining,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			step := tasks(1, 1000)
			step.Estimate, step.Checkpoints = tt.estimate, tt.checkpoints
			board.AddJob(testJob("a", "plans", step), nil, false, testStart, testStart)
			accept(board, board.Decide(testStart, true), testStart)
			listing := board.workers["w0"].Listing
			listing.Draining = true
			var stopped time.Duration
			for passed := time.Duration(0); passed <= remaining && stopped == 0; passed += simulationStep {
				now := testStart.Add(passed)
				if passed%(5*simulationStep) == 0 { // the entry says anew what is left
					listing.Remaining = remaining - passed
				}
				board.SetWorkers(map[string]Listing{"w0": listing}, true, now)
				pollWithProgress(board, "w0", 0, 0, now)
				if tt.most == 0 && passed >= tt.estimate {
					break // it has ended
				}
				if len(board.Decide(now, true).Stops) > 0 {
					stopped = max(passed, 1)
				}
			}
			assert.Equal(t, tt.most != 0, stopped != 0)
			assert.GreaterOrEqual(t, stopped, tt.least)
			assert.LessOrEqual(t, stopped, max(tt.most, 1))
		})
	}
}

// Guards against a successor that waits for the longest lease of a worker which was about
// to shut down when its leader was lost. The record names it while it still answers.
func TestDrainingWorkerIsRecordedBeforeItShutsDown(t *testing.T) {
	board := testBoard("w0", "w1")
	runOn(board, "w1")
	listings := map[string]Listing{}
	for id, w := range board.workers {
		listings[id] = w.Listing
	}
	draining := listings["w1"]
	draining.Draining, draining.Remaining = true, testLeaseTerm+2*time.Second
	listings["w1"] = draining
	now := testStart
	renew := func() {
		board.LeaseExtended("w1", now)
		inventory := Inventory{
			Born:     testBorn,
			Renewed:  board.MayRequestLease("w1"),
			Sent:     now,
			Received: now,
		}
		for key, held := range board.workers["w1"].claims {
			inventory.Running = append(inventory.Running, RunningTask{
				Key: key,
				Run: held.run,
			})
		}
		board.ApplyReport("w1", inventory, now)
	}
	board.SetWorkers(listings, true, now)
	renew()
	_, due := board.UnreachableWorkers(now)
	assert.False(t, due, "its runs need a longer lease")
	now = now.Add(2 * time.Second)
	renew()
	waits, due := board.UnreachableWorkers(now)
	require.True(t, due, "the lease lasts until it may shut down")
	assert.Equal(t, board.workers["w1"].leaseEnd.Sub(now), waits["w1"])
	assert.False(t, board.MayRequestLease("w1"))
	board.UnreachableWritten(waits, true)

	now = now.Add(unreachableInterval)
	for key := range board.workers["w1"].claims {
		board.Cancel(key.Job, now)
	}
	save(board)
	effects := board.Decide(now, true)
	require.Len(t, effects.Stops, 1)
	board.StopReplied(effects.Stops[0], Accepted, now)
	now = now.Add(2 * testStopGrace)
	report(board, "w1", testBorn, now)
	waits, due = board.UnreachableWorkers(now.Add(unreachableInterval))
	require.True(t, due)
	assert.Contains(t, waits, "w1")
	assert.Zero(t, waits["w1"], "nothing runs there, and nothing will be started")
}
