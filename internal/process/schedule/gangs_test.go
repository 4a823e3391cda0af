package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a gang of fillers that waits for good beside free capacity: some of
// its members fit and one would disturb what serves there. Each attempt counted as
// if the job had had something running, so that it was never found to starve, and
// nothing was ever placed where it disturbs.
func TestGangOfFillersStarves(t *testing.T) {
	board := testBoard("w0", "w1")
	serving := tasks(1, 1000)
	serving.LongRunning, serving.Image, serving.TailTarget = true, "shop", 100*time.Millisecond
	board.AddJob(testJob("shop", "plans", serving), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	setCoefficient(board, "shop", "print", maxCoefficient)
	gang := tasks(2, 6000)
	gang.Gang, gang.Filler, gang.Image = true, true, "print"
	board.AddJob(testJob("fill", "plans", gang), nil, false, testStart, testStart)
	now, started := testStart, 0
	for range 2 * starvationTimeout / scanInterval {
		started += len(board.Decide(now, true).Starts)
		now = now.Add(scanInterval)
		poll(board, "w0", now)
		poll(board, "w1", now)
	}
	assert.Equal(t, 2, started)
}

// Guards against a long-running gang that never counts as overdue: an attempt that
// fails for want of room for one member counted as the end of a run of the others.
func TestFailedPlacementOfGangLeavesNoTrace(t *testing.T) {
	board := testBoard("w0")
	gang := tasks(2, 6000)
	gang.Gang, gang.LongRunning = true, true
	board.AddJob(testJob("a", "plans", gang), nil, false, testStart, testStart)
	before := *board.open["a"].occurrences[0].steps[0].tasks[0]
	idleSince := board.open["a"].idleSince
	now := testStart.Add(time.Second)
	poll(board, "w0", now)
	assert.Empty(t, board.Decide(now, true).Starts)
	after := board.open["a"].occurrences[0].steps[0].tasks[0]
	assert.Equal(t, before.endedAt, after.endedAt)
	assert.Equal(t, before.confirmAfter, after.confirmAfter)
	assert.Equal(t, idleSince, board.open["a"].idleSince)
	requireConsistent(t, board)
}
