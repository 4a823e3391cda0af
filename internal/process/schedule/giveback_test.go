package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// preemptedBoard has one worker whose long-running task was preempted for a quick
// one that is done by now, and the time.
func preemptedBoard(t *testing.T) (*Board, time.Time) {
	t.Helper()
	board := testBoard("w0")
	board.config.Notice = time.Second
	long := testJob("long", "plans", tasks(1, 8000))
	long.Steps[0].LongRunning, long.Steps[0].MaxUnavailable = true, 1
	long.Organisation = "mill"
	changed := testCatalog()
	changed.Organisations = withLimit(worker.Size{}).Organisations
	board.SetCatalog(changed)
	board.AddJob(long, nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	now := testStart.Add(reserveSettled)
	poll(board, "w0", now)
	now = now.Add(reserveSettled)
	poll(board, "w0", now)
	key := firstTask("long")
	board.stop("w0", key, board.workers["w0"].claims[key].run, "preempted_for_quick")
	_, _, preempted := board.open["long"].find(key)
	preempted.preemptedAt = now
	board.urgentCapacity.preempted[key] = "w0"
	effects := board.Decide(now, false)
	require.Len(t, effects.Stops, 1)
	board.StopReplied(effects.Stops[0], Accepted, now)
	now = now.Add(2 * testStopGrace)
	report(board, "w0", testBorn, now)
	require.Empty(t, board.workers["w0"].claims)
	return board, now
}

// reserveSettled is well above the time after its start at which a long-running
// task counts as running.
const reserveSettled = 10 * time.Second

// Guards against capacity that is kept for a preempted task which may not start:
// jobs of others waited beside it for as long as the reason lasted.
func TestCapacityIsKeptOnlyForTasksThatMayStart(t *testing.T) {
	tests := map[string]func(changed *catalog.Catalog){
		"limit of its organisation": func(changed *catalog.Catalog) {
			mill := changed.Organisations["mill"]
			mill.Limit.MilliCores = 1000
			changed.Organisations["mill"] = mill
		},
		"queue of another service": func(changed *catalog.Catalog) {
			plans := changed.Queues["plans"]
			plans.Service = "foundry"
			changed.Queues["plans"] = plans
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			board, now := preemptedBoard(t)
			changed := testCatalog()
			changed.Version++
			changed.Organisations = withLimit(worker.Size{}).Organisations
			other := changed.Queues["plans"]
			other.Name = "other"
			changed.Queues["other"] = other
			change(changed)
			board.SetCatalog(changed)
			now = now.Add(returnAfter)
			report(board, "w0", testBorn, now)
			board.AddJob(testJob("b", "other", tasks(1, 1000)), nil, false, now, now)
			effects := decideAndSave(board, now)
			require.Len(t, effects.Starts, 1)
			assert.Equal(t, "b", effects.Starts[0].Key.Job)
		})
	}
}

// The capacity is returned once the task may start again.
func TestCapacityIsReturnedOnceTheTaskMayStart(t *testing.T) {
	board, now := preemptedBoard(t)
	now = now.Add(returnAfter)
	report(board, "w0", testBorn, now)
	board.AddJob(testJob("b", "plans", tasks(1, 1000)), nil, false, now, now)
	effects := decideAndSave(board, now)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, "long", effects.Starts[0].Key.Job)
}
