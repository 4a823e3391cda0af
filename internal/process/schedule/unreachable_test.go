package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// breakConnection lets a worker's process end.
func breakConnection(board *Board, id string, now time.Time) {
	board.ConnectionBroken(id, now)
	board.MarkUnreachable(id, now)
}

// Guards against a wait for a lost worker that each successor began anew: its tasks
// stayed down for 9.4 s after every takeover.
func TestSuccessorsDoNotRestartTheWaitForAnUnreachableWorker(t *testing.T) {
	first := testBoard("w0", "w1")
	first.LeaseExtended("w1", testStart)
	breakConnection(first, "w1", testStart)
	over := first.workers["w1"].leaseEnd
	waits, due := first.UnreachableWorkers(testStart)
	require.True(t, due)
	first.UnreachableWritten(waits, true)

	now, roster := testStart, first.Roster()
	for term := range 3 {
		now = now.Add(2 * time.Second)
		board := NewBoard(testConfig())
		board.SetCatalog(testCatalog())
		board.Begin(testToken+int64(term)+1, now)
		board.AddRoster(roster, now)
		board.ApplyUnreachable(waits, now)
		assert.False(t, board.MayRequestLease("w1"))
		poll(board, "w0", now)
		breakConnection(board, "w1", now)
		left := board.workers["w1"].leaseEnd.Sub(now)
		assert.LessOrEqual(t, left, waits["w1"], "term %d", term)

		// The record is kept up while the leader is in office.
		now = now.Add(unreachableInterval)
		waits, due = board.UnreachableWorkers(now)
		require.True(t, due)
		board.UnreachableWritten(waits, true)
	}
	const takeovers = 3 * 2 * time.Second // nobody kept the record up meanwhile
	assert.LessOrEqual(t, now.Add(waits["w1"]), over.Add(takeovers))
}

// Guards against a lease that outlives what the record in the store says of it.
func TestNoLeaseIsRequestedOfAWorkerInTheRecord(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "quotes", tasks(1, 1000)), nil, false, testStart, testStart)
	breakConnection(board, "w0", testStart)
	lost, due := board.UnreachableWorkers(testStart)
	require.True(t, due)
	assert.False(t, board.MayRequestLease("w0"), "the record may be in the store at any time from here on")
	board.UnreachableWritten(lost, false)
	now := testStart.Add(unreachableRetryGap)
	poll(board, "w0", now)
	assert.Empty(t, board.Decide(now, true).Starts, "a start requests a lease")

	none, due := board.UnreachableWorkers(now)
	require.True(t, due, "the worker answers again")
	assert.Empty(t, none)
	board.UnreachableWritten(none, false)
	assert.False(t, board.MayRequestLease("w0"), "the record with the worker may still be in the store")
	now = now.Add(unreachableRetryGap)
	none, due = board.UnreachableWorkers(now)
	require.True(t, due)
	board.UnreachableWritten(none, true)
	assert.True(t, board.MayRequestLease("w0"))
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// Guards against a record that is written without need.
func TestRecordOfUnreachableWorkersIsWrittenWhenItChanges(t *testing.T) {
	board := testBoard("w0", "w1")
	_, due := board.UnreachableWorkers(testStart)
	assert.False(t, due, "all workers answer")
	board.MarkUnreachable("w1", testStart)
	_, due = board.UnreachableWorkers(testStart)
	assert.False(t, due, "a poll that times out may be late itself")
	board.ConnectionBroken("w1", testStart)
	waits, due := board.UnreachableWorkers(testStart)
	require.True(t, due)
	board.UnreachableWritten(waits, true)
	_, due = board.UnreachableWorkers(testStart.Add(unreachableGap))
	assert.False(t, due)
	over := board.workers["w1"].leaseEnd.Add(time.Millisecond)
	waits, due = board.UnreachableWorkers(over)
	require.True(t, due)
	assert.Zero(t, waits["w1"])
	board.UnreachableWritten(waits, true)
	_, due = board.UnreachableWorkers(over.Add(time.Minute))
	assert.False(t, due, "no run of the worker goes on")
}

// Guards against a task that runs twice because a leader believes the record of
// unreachable workers: workers are cut off and run on, writes are lost or not
// answered, and leaders are replaced while they act.
func TestNoTaskRunsTwiceWithUnreachableWorkersRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.longRunning, sim.recordsUnreachable = true, true
		sim.runWithFaults()
		sim.calm()
		for range 300 {
			sim.tick()
		}
		sim.requireAllEnd()
	})
}
