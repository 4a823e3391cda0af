package schedule

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// reportEnd reports the first ended run of a worker.
func reportEnd(board *Board, start Start, ending Ending) {
	board.ApplyReport(start.Worker, Inventory{
		Born: testBorn,
		Ended: []EndedTask{
			{
				Number: 1,
				Key:    start.Key,
				Run:    start.Run,
				Ending: ending,
			},
		},
		Sent: testStart,
	}, testStart)
}

// Guards against work that runs again under a new leader: a worker was allowed to
// forget the end of a run before the record with its effect was in the store. Each
// case ends two runs; the second end finds the effect in memory already.
func TestEndIsAcknowledgedOnceItsEffectIsSaved(t *testing.T) {
	tests := map[string]struct {
		gang bool
		// attempts ends the first run as failed, and its job with it.
		attempts int
		second   Ending
	}{
		"member of a gang that is done": {
			gang:   true,
			second: EndedDone,
		},
		"done after its job has failed": {
			attempts: 1,
			second:   EndedDone,
		},
		"failed after its job has failed": {
			attempts: 1,
			second:   EndedFailed,
		},
		"stopped after its job has failed": {
			attempts: 1,
			second:   EndedStopped,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			newest := testCatalog()
			queue := newest.Queues["plans"]
			queue.MaxAttempts = tt.attempts
			newest.Queues["plans"] = queue
			board.SetCatalog(newest)
			step := tasks(2, 8000)
			step.Gang = tt.gang
			board.AddJob(testJob("a", "plans", step), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 2)
			accept(board, effects, testStart)
			first, second := effects.Starts[0], effects.Starts[1]
			if tt.attempts > 0 {
				reportEnd(board, first, EndedFailed)
			} else {
				reportEnd(board, first, EndedDone)
			}
			reportEnd(board, second, tt.second)
			for _, id := range []string{"w0", "w1"} {
				seen, _ := board.LastSeen(id)
				assert.Zero(t, seen, "%s: nothing is in the store yet", id)
				assert.True(t, board.HasUnsavedEnds(id))
			}
			save(board)
			for _, id := range []string{"w0", "w1"} {
				seen, _ := board.LastSeen(id)
				assert.Equal(t, int64(1), seen, id)
			}
		})
	}
}

// Guards against an end that is never acknowledged: one that changes nothing need
// not wait for a record.
func TestEndWithoutEffectIsAcknowledged(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	accept(board, effects, testStart)
	reportEnd(board, effects.Starts[0], EndedStopped)
	seen, _ := board.LastSeen("w0")
	assert.Equal(t, int64(1), seen)
}

// Guards against gangs that run again after an acknowledged end, while the store
// is away, workers restart and are cut off, and leaders are replaced.
func TestNoGangRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.gangs = true
		for range 120 {
			if sim.next < 8 && rapid.IntRange(0, 2).Draw(t, "submit") == 0 {
				sim.submit()
			}
			if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
				sim.storeDown = !sim.storeDown
			}
			sim.injectFault()
			sim.tick()
		}
		sim.calm()
		for range 400 {
			sim.tick()
		}
		sim.requireAllEnd()
	})
}
