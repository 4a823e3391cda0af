package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against jobs that wait for the longest lease after all machines have lost
// power: the workers are back under other ids at their addresses.
func TestTakeoverDoesNotWaitForReplacedWorkers(t *testing.T) {
	tests := map[string]struct {
		born   time.Time
		starts bool
	}{
		"younger worker at the address": {
			born:   testBorn.Add(time.Second),
			starts: true,
		},
		"older worker at the address": {
			born: testBorn.Add(-time.Second),
		},
		"worker of unknown age at the address": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := testBoard("former")
			listing := first.workers["former"].Listing
			board := NewBoard(testConfig())
			board.SetCatalog(testCatalog())
			board.Begin(testToken+1, testStart)
			board.AddRoster([]Listing{listing}, testStart)
			board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, true, testStart, testStart)
			listing.ID, listing.Born = "w0", tt.born
			now := testStart.Add(time.Second)
			board.SetWorkers(map[string]Listing{"w0": listing}, true, now)
			board.ApplyReport("w0", Inventory{
				Born:     tt.born,
				Sent:     now,
				Received: now,
			}, now)
			now = now.Add(simulationStep)
			board.Confirmed(now)
			starts := board.Decide(now, true).Starts
			assert.Equal(t, tt.starts, len(starts) == 1, "%d starts", len(starts))
		})
	}
}

// Guards against a task that waits for the lease of a worker which is gone, as a younger
// one answers at its address, and against one that starts elsewhere beside its run, as
// somebody has only listed an entry with that address (review case 6).
func TestRunsOfReplacedWorkerAreReleased(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	accept(board, effects, testStart)
	gone := effects.Starts[0].Worker
	listings := map[string]Listing{}
	for id, w := range board.workers {
		if id != gone {
			listings[id] = w.Listing
		}
	}
	now := testStart.Add(time.Second)
	board.MarkUnreachable(gone, now)
	board.SetWorkers(listings, true, now)
	assert.Empty(t, board.Decide(now, true).Starts, "it may go on")
	younger := board.workers[gone].Listing
	younger.ID, younger.Born = "younger", now
	listings["younger"] = younger
	board.SetWorkers(listings, true, now)
	now = now.Add(simulationStep)
	board.Confirmed(now)
	assert.Empty(t, board.Decide(now, true).Starts, "an entry is no proof that it ended")
	poll(board, "younger", now)
	assert.Empty(t, board.Decide(now, true).Starts, "an older process answers there")
	now = now.Add(simulationStep)
	board.ApplyReport("younger", Inventory{
		Born:     younger.Born,
		Sent:     now,
		Received: now,
	}, now)
	now = now.Add(simulationStep)
	board.Confirmed(now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
}
