package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// startedJobs returns the jobs of which a decision has claimed a worker.
func startedJobs(board *Board) map[string]bool {
	out := map[string]bool{}
	for id, j := range board.open {
		if j.claims > 0 {
			out[id] = true
		}
	}
	return out
}

// Guards against a long-running task that waits beside a worker which only
// long-running tasks may use: a quick task of no larger size, which may not use it,
// did not fit.
func TestShortageOfQuickTasksDoesNotRuleOutLongRunningOnes(t *testing.T) {
	board := testBoard("w0")
	board.workers["w0"].health.until = testStart.Add(time.Minute)
	listings := map[string]Listing{}
	for id, w := range board.workers {
		listings[id] = w.Listing
	}
	listings["w1"] = Listing{
		ID:      "w1",
		Address: testAddress(1),
		Zone:    "recife",
		Service: "workshop",
		Capacity: worker.Size{
			MilliCores: 1000,
		},
		Born: testBorn,
	}
	board.SetWorkers(listings, true, testStart)
	poll(board, "w1", testStart)
	lasting := tasks(1, 4000)
	lasting.LongRunning = true
	board.AddJob(testJob("quick", "plans", tasks(1, 4000)), nil, false, testStart, testStart)
	board.AddJob(testJob("lasting", "plans", lasting), nil, false, testStart, testStart)
	board.Decide(testStart, true)
	assert.Contains(t, startedJobs(board), "lasting")
}

// Guards against a filler that waits beside free memory: one of the same image and as
// many cores, but more memory, did not fit.
func TestFillerWithoutMemoryDoesNotRuleOutSmallerOnes(t *testing.T) {
	board := testBoard("w0")
	for id, memory := range map[string]int64{"a": 1 << 40, "b": 1 << 20} {
		filler := tasks(1, 1000)
		filler.Filler, filler.Image, filler.Size.MemoryBytes = true, "quiet", memory
		board.AddJob(testJob(id, "plans", filler), nil, false, testStart, testStart)
	}
	for range 2 {
		board.Decide(testStart, true)
	}
	assert.Contains(t, startedJobs(board), "b")
}

// Guards against a long-running task that has been down for so long that it may use
// reserved capacity, and waits as a task of its step that was never started does not
// fit.
func TestTaskThatWasNeverStartedDoesNotHoldBackOneThatIsDown(t *testing.T) {
	board := testBoard("w0")
	lasting := tasks(2, 8000)
	lasting.LongRunning = true
	board.AddJob(testJob("a", "plans", lasting), nil, false, testStart, testStart)
	down := board.jobs["a"].occurrences[0].steps[0].tasks[1]
	down.endedAt = testStart
	now := testStart.Add(takesReservedAfter)
	other := work.TaskKey{
		Job: "b",
	}
	board.AddJob(testJob("b", "quotes", tasks(1, 9000)), nil, false, now, now)
	board.keep(other, board.workers["w0"], worker.Size{
		MilliCores: 1000,
	}, now)
	board.Decide(now, true)
	assert.Equal(t, claimed, down.phase)
}

// Guards against gangs that are tried in each decision and thereby never seem to have
// waited: a filler gang is never starving, and a long-running one never overdue.
func TestTrialsOfAGangDoNotRestartItsWait(t *testing.T) {
	board := testBoard("w0")
	gang := tasks(2, 5000)
	gang.Gang, gang.LongRunning = true, true
	board.AddJob(testJob("a", "plans", gang), nil, false, testStart, testStart)
	now := testStart
	for now.Before(testStart.Add(2 * rank.OverdueAfter)) {
		now = now.Add(simulationStep)
		board.Decide(now, true)
	}
	assert.Equal(t, testStart, board.jobs["a"].idleSince)
	assert.True(t, board.jobs["a"].overdue(now))
}

// Guards against capacity that is kept for a task which cannot start: nothing of its
// organisation may, and the tasks of others wait beside free capacity.
func TestCapacityIsNotReturnedToATaskAboveTheLimit(t *testing.T) {
	board := testBoard("w0")
	limited := testCatalog()
	limited.Organisations = map[string]catalog.Organisation{
		"mill": {
			Name:   "mill",
			Weight: 1,
			Limit: worker.Size{
				MilliCores: 1000,
			},
		},
	}
	board.SetCatalog(limited)
	lasting := tasks(1, 8000)
	lasting.LongRunning = true
	above := testJob("a", "plans", lasting)
	above.Organisation = "mill"
	board.AddJob(above, nil, false, testStart, testStart)
	down := board.jobs["a"].occurrences[0].steps[0].tasks[0]
	down.preemptedAt, down.endedAt = testStart, testStart
	board.urgentCapacity.preempted[down.key] = "w0"
	board.AddJob(testJob("b", "plans", tasks(1, 4000)), nil, false, testStart, testStart)
	now := testStart
	board.workers["w0"].blockedUntil = testStart.Add(returnAfter)
	for now.Before(testStart.Add(10*time.Second)) && !startedJobs(board)["b"] {
		now = now.Add(simulationStep)
		poll(board, "w0", now)
		board.Decide(now, true)
	}
	waits, _ := board.Waiting("b", now)
	assert.Contains(t, startedJobs(board), "b", "it waits since %s for %s", waits.Since, waits.Reason)
}

// Guards against a long-running task that waits beside capacity kept for others for
// longer than callers accept, 3 s beyond 6 s, because an earlier task of its step has
// ended since and finds no room.
func TestTaskThatHasJustEndedDoesNotHoldBackOneThatIsDown(t *testing.T) {
	board := testBoard("w0")
	lasting := tasks(2, 8000)
	lasting.LongRunning = true
	board.AddJob(testJob("a", "plans", lasting), nil, false, testStart, testStart)
	step := board.jobs["a"].occurrences[0].steps[0]
	down := step.tasks[1]
	down.endedAt = testStart
	step.tasks[0].endedAt = testStart.Add(takesReservedAfter - simulationStep)
	board.AddJob(testJob("b", "quotes", tasks(1, 1000)), nil, false, testStart, testStart)
	board.jobs["b"].occurrences[0].steps[0].tasks[0].notBefore = testStart.Add(time.Hour)
	other := work.TaskKey{
		Job: "b",
	}
	now := testStart.Add(takesReservedAfter)
	for down.phase != claimed && step.tasks[0].phase != claimed && now.Before(testStart.Add(time.Minute)) {
		now = now.Add(simulationStep)
		poll(board, "w0", now)
		board.unreserve(other)
		board.keep(other, board.workers["w0"], worker.Size{
			MilliCores: 1000,
		}, now)
		board.Decide(now, true)
	}
	assert.LessOrEqual(t, now.Sub(testStart), 9*time.Second)
}

// Guards against a long-running task whose run has failed and that waits beside
// capacity kept for others until callers count it as lost, 6 s after its last run. A
// preempted one leaves the capacity that it was preempted for to quick tasks for longer.
func TestTaskThatIsDownTakesReservedCapacityInTime(t *testing.T) {
	tests := map[string]struct {
		preempted      bool
		least, longest time.Duration
	}{
		"failed": {
			longest: 3 * time.Second,
		},
		"preempted": {
			preempted: true,
			least:     returnAfter,
			longest:   returnAfter + 3*time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			lasting := tasks(1, 8000)
			lasting.LongRunning = true
			board.AddJob(testJob("a", "plans", lasting), nil, false, testStart, testStart)
			down := board.jobs["a"].occurrences[0].steps[0].tasks[0]
			down.startedAt, down.endedAt = testStart.Add(-time.Second), testStart
			if tt.preempted {
				down.preemptedAt = testStart
			}
			waits := keepOccupied(board, down, testStart)
			assert.LessOrEqual(t, waits, tt.longest)
			assert.GreaterOrEqual(t, waits, tt.least)
		})
	}
}

// keepOccupied keeps 1000 millicores of w0 for a quick task in each decision until the
// task that is down has a claim, and returns how long that takes from a time on.
func keepOccupied(board *Board, down *task, from time.Time) time.Duration {
	board.AddJob(testJob("b", "quotes", tasks(1, 1000)), nil, false, from, from)
	other := board.jobs["b"].occurrences[0].steps[0].tasks[0]
	other.notBefore = from.Add(time.Hour)
	now := from
	for down.phase != claimed && now.Before(from.Add(time.Minute)) {
		now = now.Add(simulationStep)
		poll(board, "w0", now)
		board.unreserve(other.key)
		board.keep(other.key, board.workers["w0"], worker.Size{
			MilliCores: 1000,
		}, now)
		board.Decide(now, true)
	}
	return now.Sub(from)
}
