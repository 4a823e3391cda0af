package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// moveQueues sends a queue to a service, now and then.
func (sim *simulation) moveQueues() {
	if rapid.IntRange(0, 5).Draw(sim.t, "move queue") != 0 {
		return
	}
	queue := rapid.SampledFrom([]string{"quotes", "plans"}).Draw(sim.t, "moved queue")
	service := rapid.SampledFrom([]string{"workshop", "annex"}).Draw(sim.t, "service")
	if sim.queues[queue] != service {
		sim.queueMoves++
	}
	sim.queues[queue] = service
	sim.board.SetCatalog(sim.catalog())
}

// Guards against a task that runs twice because a successor does not know on which
// services it may be at work (review case 14): queues are sent to other services and back
// while workers are cut off and leaders are replaced.
func TestNoTaskOfAMovedQueueRunsTwice(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.queues = map[string]string{"quotes": "workshop", "plans": "workshop"}
		sim.workers["w2"].listing.Service = "annex"
		sim.recordsUnreachable = rapid.Bool().Draw(t, "records unreachable workers")
		sim.longRunning = rapid.Bool().Draw(t, "long-running")
		sim.resigns = rapid.Bool().Draw(t, "resigns")
		sim.runWithFaults()
		moves += sim.queueMoves
	})
	require.Positive(t, moves)
}

// The queue was sent to another service and back, and the leader replaced. A worker of
// the other service does not answer and may still run a task that was started meanwhile.
func TestQueueThatHasReturnedWaitsForWorkersOfOtherServices(t *testing.T) {
	board := testBoard("w0")
	addUnreachable(board, "w1")
	board.workers["w1"].Service = "annex" // no queue and no service names it any more
	board.AddJob(testJob("a", "quotes", tasks(1, 1000)), nil, true, testStart, testStart)
	require.Empty(t, board.Decide(testStart, true).Starts, "it may be running on w1")
	later := board.earlierLeaseEnd().Add(time.Millisecond)
	poll(board, "w0", later)
	require.Len(t, board.Decide(later, true).Starts, 1)
}
