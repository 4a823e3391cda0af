package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a long-running task that waits beside a worker with room, since a
// quick one of its size waits: quick tasks do not use workers that are excluded
// after failures, long-running ones do.
func TestShortageOfQuickTasksDoesNotHoldLongRunningOnes(t *testing.T) {
	board := testBoard("w0")
	board.workers["w0"].health.until = testStart.Add(longestPause)
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	long := testJob("long", "plans", tasks(1, 1000))
	long.Steps[0].LongRunning = true
	board.AddJob(long, nil, false, testStart, testStart)
	board.AddJob(testJob("b", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	board.catalog.Queues["plans"] = testCatalog().Queues["plans"]
	other := addTrusted(board, "w1", 500, testStart)
	require.True(t, board.usable(other, testStart))
	effects := decideAndSave(board, testStart)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "long", effects.Starts[0].Key.Job)
}

// addTrusted adds a worker with few cores.
func addTrusted(board *Board, id string, milliCores int64, now time.Time) *workerState {
	listings := map[string]Listing{}
	for _, w := range board.workers {
		listings[w.ID] = w.Listing
	}
	added := listings["w0"]
	added.ID, added.Address, added.Capacity.MilliCores = id, testAddress(9), milliCores
	listings[id] = added
	board.SetWorkers(listings, true, now)
	report(board, id, testBorn, now)
	return board.workers[id]
}

// Guards against fillers that wait beside free capacity, since one of the same image
// and as many cores does not fit for its memory.
func TestFillerIsNotHeldByOneWithMoreMemory(t *testing.T) {
	board := testBoard("w0")
	large := tasks(1, 1000)
	large.Filler, large.Image, large.Size.MemoryBytes = true, "print", 2<<30
	small := large
	small.Size.MemoryBytes = 1 << 20
	small.Size.MilliCores = 2000
	board.AddJob(testJob("a", "plans", large), nil, false, testStart, testStart)
	board.AddJob(testJob("b", "plans", small), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "b", effects.Starts[0].Key.Job)
}

// Guards against a filler that waits for good beside free capacity: it disturbs what
// serves on its own service's workers, which are nearly empty, and another service
// is full. Users expect work to progress while their service has room.
func TestFillerStarvesByTheUseOfItsService(t *testing.T) {
	tests := map[string]struct {
		// millCores is what runs on the worker of the other service, of 8000.
		millCores int64
	}{
		"other service empty": {},
		"other service full": {
			millCores: 8000,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			listings := map[string]Listing{}
			for id, w := range board.workers {
				listings[id] = w.Listing
			}
			mill := listings["w1"]
			mill.Service = "mill"
			listings["w1"] = mill
			board.SetWorkers(listings, true, testStart)
			serving := tasks(1, 3000)
			serving.LongRunning, serving.Image, serving.TailTarget = true, "shop", 100*time.Millisecond
			board.AddJob(testJob("shop", "plans", serving), nil, false, testStart, testStart)
			accept(board, decideAndSave(board, testStart), testStart)
			if tt.millCores > 0 {
				grind := testJob("grind", "none", tasks(1, tt.millCores))
				grind.Service = "mill"
				board.AddJob(grind, nil, false, testStart, testStart)
				accept(board, decideAndSave(board, testStart), testStart)
			}
			setCoefficient(board, "shop", "print", maxCoefficient)
			filler := tasks(1, 1000)
			filler.Filler, filler.Image = true, "print"
			board.AddJob(testJob("fill", "plans", filler), nil, false, testStart, testStart)
			assert.Empty(t, board.Decide(testStart, true).Starts)
			now := testStart.Add(2 * starvationTimeout)
			poll(board, "w0", now)
			poll(board, "w1", now)
			assert.Len(t, board.Decide(now, true).Starts, 1)
		})
	}
}
