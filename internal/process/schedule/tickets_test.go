package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/version/catalog"
)

func advisedBoard() *Board {
	board := testBoard("w0", "w1")
	queue := testCatalog().Queues["plans"]
	queue.RequiresTicket, queue.TicketTime, queue.TicketTimePerWorker = true, 100*time.Millisecond, time.Millisecond
	board.SetCatalog(&catalog.Catalog{
		Version: 2,
		Queues: map[string]catalog.Queue{
			"plans": queue,
		},
	})
	return board
}

func TestOnlyAdmittedWorkersRunAStep(t *testing.T) {
	board := advisedBoard()
	board.AddJob(testJob("a", "plans", tasks(12, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.TicketRequests, 1)
	assert.Equal(t, []string{"w0", "w1"}, effects.TicketRequests[0].Workers)
	assert.Empty(t, board.Decide(testStart, true).TicketRequests, "one request at a time")

	board.TicketsReplied(effects.TicketRequests[0], map[string]string{"w1": "t1"}, 3*time.Second, true, testStart)
	effects = board.Decide(testStart, true)
	require.Len(t, effects.Starts, 8, "the rest waits for capacity there")
	for _, start := range effects.Starts {
		assert.Equal(t, "w1", start.Worker)
		assert.Equal(t, "t1", start.Ticket)
	}
	assert.Empty(t, effects.TicketRequests, "the other worker was denied")

	late := testStart.Add(3 * time.Second)
	board.StartReplied(effects.Starts[0], NoTicket, late)
	poll(board, "w1", late)
	effects = board.Decide(late.Add(pauseRetry), true)
	assert.Empty(t, effects.Starts, "the ticket has expired")
	require.Len(t, effects.TicketRequests, 1)
}

func TestUnansweredTicketRequestIsRetried(t *testing.T) {
	board := advisedBoard()
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.TicketRequests, 1)
	board.TicketsReplied(effects.TicketRequests[0], nil, 0, false, testStart)
	assert.Empty(t, board.Decide(testStart, true).TicketRequests)
	assert.Len(t, board.Decide(testStart.Add(ticketRetryDelay), true).TicketRequests, 1)
}

// Guards against a step that is sent to the same worker again and again until the term
// of a ticket ends which the worker does not accept: the worker restarted while the
// request was under way, and the ticket is for the incarnation before.
func TestRefusedTicketIsNotUsedAgain(t *testing.T) {
	board := advisedBoard()
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	request := board.Decide(testStart, true).TicketRequests[0]
	board.TicketsReplied(request, map[string]string{"w1": "old"}, time.Minute, true, testStart)
	starts := board.Decide(testStart, true).Starts
	require.Len(t, starts, 1)
	refusals, now := 0, testStart
	for now.Before(testStart.Add(3 * time.Second)) {
		for _, start := range starts {
			verdict := Accepted
			if start.Ticket == "old" {
				verdict = NoTicket
				refusals++
			}
			board.StartReplied(start, verdict, now)
		}
		now = now.Add(simulationStep)
		poll(board, "w0", now)
		poll(board, "w1", now)
		effects := board.Decide(now, true)
		starts = effects.Starts
		for _, again := range effects.TicketRequests {
			board.TicketsReplied(again, map[string]string{"w1": "new"}, time.Minute, true, now)
		}
	}
	assert.Equal(t, 1, refusals)
	assert.Contains(t, startedJobs(board), "a")
}

// Guards against a preempted task that waits for good beside the capacity that is kept for
// it: its ticket for the worker has expired, and no other is requested because what is kept
// for the task itself counts as taken.
func TestTaskWhoseCapacityIsReturnedGetsANewTicket(t *testing.T) {
	board := testBoard("w0", "w1")
	advised := testCatalog()
	queue := advised.Queues["plans"]
	queue.RequiresTicket, queue.TicketTime, queue.TicketTimePerWorker = true, 100*time.Millisecond, time.Millisecond
	advised.Queues["plans"] = queue
	board.SetCatalog(advised)
	lasting := tasks(2, 8000)
	lasting.LongRunning = true
	board.AddJob(testJob("a", "plans", lasting), nil, false, testStart, testStart)
	decide := func(now time.Time) {
		poll(board, "w0", now)
		poll(board, "w1", now)
		for _, request := range board.Decide(now, true).TicketRequests {
			board.TicketsReplied(request, map[string]string{"w0": "t0", "w1": "t1"}, time.Second, true, now)
		}
	}
	decide(testStart)
	now := testStart.Add(simulationStep)
	decide(now)
	step := board.jobs["a"].occurrences[0].steps[0]
	down := step.tasks[1]
	require.Equal(t, claimed, down.phase)
	for _, held := range []*task{step.tasks[0], down} {
		board.workers[held.worker].claims[held.key].confirmed = true
	}
	id := down.worker
	now = now.Add(2 * time.Second)
	board.now, down.preemptedAt = now, now
	board.urgentCapacity.preempted[down.key] = id
	board.release(board.workers[id], down.key, now)
	board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, now, now)
	quick := board.jobs["b"].occurrences[0].steps[0]
	board.claim(board.workers[id], board.jobs["b"], quick, quick.tasks[0], board.nextRun(), now)
	ended := now
	for now.Sub(ended) < returnAfter+time.Second {
		now = now.Add(simulationStep)
		board.Decide(now, true)
	}
	board.Cancel("b", now)
	board.release(board.workers[id], quick.tasks[0].key, now)
	for down.phase != claimed && now.Sub(ended) < time.Minute {
		now = now.Add(simulationStep)
		board.workers["w0"].lastReport, board.workers["w1"].lastReport = now, now
		for _, request := range board.Decide(now, true).TicketRequests {
			board.TicketsReplied(request, map[string]string{"w0": "t0", "w1": "t1"}, time.Second, true, now)
		}
	}
	assert.LessOrEqual(t, now.Sub(ended), 9*time.Second)
}

// Guards against a gang that waits until its tickets expire: the workers with a ticket
// have room for a part of it, and no more tickets are requested.
func TestGangRequestsTicketsUntilAllOfItFits(t *testing.T) {
	ids := []string{}
	for number := range maxTicketWorkers + 2 {
		ids = append(ids, fmt.Sprintf("w%02d", number))
	}
	board := testBoard(ids...)
	board.SetCatalog(advisedBoard().catalog)
	gang := tasks(2, 8000)
	gang.Gang = true
	board.AddJob(testJob("a", "plans", gang), nil, false, testStart, testStart)
	for now := testStart; now.Before(testStart.Add(3 * time.Second)); now = now.Add(simulationStep) {
		effects := board.Decide(now, true)
		for _, request := range effects.TicketRequests {
			// The policy permits the first and the last worker.
			granted := map[string]string{}
			for _, id := range request.Workers {
				if id == ids[0] || id == ids[len(ids)-1] {
					granted[id] = id
				}
			}
			board.TicketsReplied(request, granted, time.Minute, true, now)
		}
	}
	assert.Contains(t, startedJobs(board), "a")
}
