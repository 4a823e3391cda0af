package schedule

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a task that runs twice: entries lapse while the store is away, so
// that a draining worker may be missing from the list though it still runs tasks,
// and a connection may be closed for other reasons.
func TestDrainingWorkerLeavesOnlyWithAReliableList(t *testing.T) {
	tests := map[string]struct {
		reliable bool
		want     int
	}{
		"list after an outage": {},
		"current list": {
			reliable: true,
			want:     1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			accept(board, effects, testStart)
			id := effects.Starts[0].Worker
			board.workers[id].Draining = true
			listings := map[string]Listing{}
			for _, w := range board.workers {
				if w.ID != id {
					listings[w.ID] = w.Listing
				}
			}
			board.MarkUnreachable(id, testStart)
			board.Closed(id)
			board.SetWorkers(listings, tt.reliable, testStart)
			assert.Len(t, board.Decide(testStart, true).Starts, tt.want)
		})
	}
}
