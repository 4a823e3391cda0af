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

// runOn lets a task run on a worker.
func runOn(board *Board, id string) {
	board.AddJob(testJob("on-"+id, "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	others := map[string]time.Time{}
	for other, w := range board.workers {
		if other != id {
			others[other], w.blockedUntil = w.blockedUntil, testStart
		}
	}
	accept(board, board.Decide(testStart, true), testStart)
	for other, until := range others {
		board.workers[other].blockedUntil = until
	}
	poll(board, id, testStart)
}

// Guards against a wait for a lost worker that each successor began anew: its tasks
// stayed down for 9.4 s after every takeover.
func TestSuccessorsDoNotRestartTheWaitForAnUnreachableWorker(t *testing.T) {
	first := testBoard("w0", "w1")
	first.LeaseExtended("w1", testStart)
	runOn(first, "w1")
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

// Guards against a successor that waits for the longest lease of a worker which was
// gone before: the leader had removed it from its record, and not yet from the roster.
func TestSuccessorDoesNotWaitForARemovedWorker(t *testing.T) {
	first := testBoard("w0", "w1")
	roster := first.Roster()
	breakConnection(first, "w1", testStart)
	waits, due := first.UnreachableWorkers(testStart)
	require.True(t, due)
	first.UnreachableWritten(waits, true)
	now := first.workers["w1"].leaseEnd.Add(time.Millisecond)
	listings := map[string]Listing{"w0": first.workers["w0"].Listing}
	for range 2 {
		first.SetWorkers(listings, true, now)
		now = now.Add(first.config.ListGrace + time.Millisecond)
	}
	require.NotContains(t, first.workers, "w1")
	if newest, due := first.UnreachableWorkers(now); due {
		waits = newest
		first.UnreachableWritten(waits, true)
	}

	second := NewBoard(testConfig())
	second.SetCatalog(testCatalog())
	second.Begin(testToken+1, now)
	second.AddRoster(roster, now)
	second.ApplyUnreachable(waits, now)
	second.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, true, now, now)
	second.SetWorkers(listings, true, now)
	poll(second, "w0", now)
	now = now.Add(simulationStep)
	second.Confirmed(now)
	assert.Len(t, second.Decide(now, true).Starts, 1)

	first.RosterStored(first.Roster())
	newest, due := first.UnreachableWorkers(now.Add(unreachableGap))
	assert.True(t, due, "the roster is without it now")
	assert.Empty(t, newest)
}

// Guards against a wait that is taken for over: a worker was removed, and is listed
// again.
func TestRemovedWorkerThatIsListedAgainIsWaitedFor(t *testing.T) {
	board := testBoard("w0", "w1")
	listing := board.workers["w1"].Listing
	board.remove([]*workerState{board.workers["w1"]}, testStart)
	waits, due := board.UnreachableWorkers(testStart)
	require.True(t, due)
	require.Zero(t, waits["w1"])
	board.UnreachableWritten(waits, true)
	now := testStart.Add(unreachableGap)
	board.SetWorkers(map[string]Listing{"w0": board.workers["w0"].Listing, "w1": listing}, true, now)
	assert.False(t, board.MayRequestLease("w1"), "the record says that its runs are over")
	poll(board, "w1", now)
	waits, due = board.UnreachableWorkers(now)
	require.True(t, due)
	assert.NotContains(t, waits, "w1")
	board.UnreachableWritten(waits, true)
	assert.True(t, board.MayRequestLease("w1"))
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
	runOn(board, "w1")
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
