package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// addUnreachable adds a worker of an earlier term that does not answer.
func addUnreachable(board *Board, id string) {
	board.AddRoster([]Listing{{
		ID:      id,
		Service: "workshop",
		Zone:    "olinda",
	}}, testStart)
}

// The log of a takeover names the workers that delay inherited jobs.
func TestSummaryShowsWhatATakeoverWaitsFor(t *testing.T) {
	board := testBoard("w0")
	addUnreachable(board, "w1")
	board.AddJob(testJob("old", "plans", tasks(2, 1000)), nil, true, testStart, testStart)
	board.AddJob(testJob("new", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	now := testStart.Add(time.Second)
	unsettled := board.Unsettled(now)
	require.Len(t, unsettled, 1)
	assert.Equal(t, UnsettledWorker{
		ID:        "w1",
		Remaining: board.earlierLeaseEnd().Sub(now),
	}, unsettled[0])
	summary := board.Summary(now)
	assert.Equal(t, 3, summary.Waiting)
	assert.Equal(t, 2, summary.Delayed)

	later := board.earlierLeaseEnd().Add(time.Millisecond)
	assert.Empty(t, board.Unsettled(later))
	assert.Zero(t, board.Summary(later).Delayed)
}
