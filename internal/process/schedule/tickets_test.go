package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/version/catalog"
)

func advisedBoard() *Board {
	board := testBoard("w0", "w1")
	queue := testCatalog().Queues["plans"]
	queue.Advised, queue.DecideTime, queue.EachTime = true, 100*time.Millisecond, time.Millisecond
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
	board.AddJob(testJob("a", "plans", tasks(12, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	assert.Empty(t, effects.Starts)
	require.Len(t, effects.Asks, 1)
	assert.Equal(t, []string{"w0", "w1"}, effects.Asks[0].Workers)
	assert.Empty(t, board.Decide(testBegun, true).Asks, "one question at a time")

	board.Advised(effects.Asks[0], map[string]string{"w1": "t1"}, 3*time.Second, testBegun, true, testBegun)
	effects = board.Decide(testBegun, true)
	require.Len(t, effects.Starts, 8, "the rest waits for room there")
	for _, start := range effects.Starts {
		assert.Equal(t, "w1", start.Worker)
		assert.Equal(t, "t1", start.Ticket)
	}
	assert.Empty(t, effects.Asks, "the other worker was denied")

	late := testBegun.Add(3 * time.Second)
	board.Replied(effects.Starts[0], NoTicket, late)
	hear(board, "w1", late)
	effects = board.Decide(late.Add(pauseRetry), true)
	assert.Empty(t, effects.Starts, "the ticket has lapsed")
	require.Len(t, effects.Asks, 1)
}

func TestUnansweredQuestionIsAskedAgain(t *testing.T) {
	board := advisedBoard()
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testBegun, testBegun)
	effects := board.Decide(testBegun, true)
	require.Len(t, effects.Asks, 1)
	board.Advised(effects.Asks[0], nil, 0, testBegun, false, testBegun)
	assert.Empty(t, board.Decide(testBegun, true).Asks)
	assert.Len(t, board.Decide(testBegun.Add(askPause), true).Asks, 1)
}
