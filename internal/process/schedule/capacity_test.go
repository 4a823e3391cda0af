package schedule

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resize lists a worker with another capacity.
func resize(board *Board, id string, milliCores int64, now time.Time) {
	listings := map[string]Listing{}
	for _, w := range board.workers {
		listings[w.ID] = w.Listing
	}
	listing := listings[id]
	listing.Capacity.MilliCores = milliCores
	listings[id] = listing
	board.SetWorkers(maps.Clone(listings), true, now)
}

// testUnguarded makes the workers accept what exceeds their capacity.
func testUnguarded(board *Board) {
	unguarded := testCatalog()
	service := unguarded.Services["workshop"]
	service.EnforcesCapacity = false
	unguarded.Services["workshop"] = service
	board.SetCatalog(unguarded)
}

// A worker's capacity may shrink and grow while tasks run. What runs or is being
// stopped counts against the newest capacity.
func TestStartsFitTheNewestCapacity(t *testing.T) {
	tests := map[string]struct {
		milliCores int64
		want       int
	}{
		"unchanged": {
			milliCores: 8000,
			want:       4,
		},
		"shrunk below what runs": {
			milliCores: 2000,
		},
		"shrunk to what runs": {
			milliCores: 4000,
		},
		"grown": {
			milliCores: 10000,
			want:       6,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			testUnguarded(board)
			board.AddJob(testJob("a", "plans", tasks(4, 1000)), nil, false, testStart, testStart)
			accept(board, board.Decide(testStart, true), testStart)
			poll(board, "w0", testStart)
			board.Cancel("a", testStart)
			resize(board, "w0", tt.milliCores, testStart)
			board.AddJob(testJob("b", "plans", tasks(10, 1000)), nil, false, testStart, testStart)
			assert.Len(t, board.Decide(testStart, true).Starts, tt.want)
		})
	}
}

// A start without an answer is not sent again to a worker whose capacity has
// shrunk below its claims, unless the worker refuses what does not fit.
func TestStartIsNotRetriedOnShrunkWorker(t *testing.T) {
	tests := map[string]struct {
		unguarded bool
		want      int
	}{
		"worker enforces its capacity": {
			want: 1,
		},
		"worker does not": {
			unguarded: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			if tt.unguarded {
				testUnguarded(board)
			}
			board.AddJob(testJob("a", "plans", tasks(1, 4000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			board.StartReplied(effects.Starts[0], Unknown, testStart)
			resize(board, "w0", 2000, testStart)
			effects = board.Decide(testStart, true)
			assert.Len(t, effects.Starts, tt.want)
			assert.Len(t, effects.Stops, 1-tt.want, "the unanswered start may still take effect")
		})
	}
}
