package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an accepted job that never runs: a start without an answer, its
// repetition refused, and the one stop after it refused too. Nothing was sent any
// more, and no report released the claim.
func TestClaimOfUnansweredStartIsReleased(t *testing.T) {
	tests := map[string]struct {
		repetition, stop Verdict
	}{
		"worker cut off": {
			repetition: NotSent,
			stop:       NotSent,
		},
		"worker unhealthy": {
			repetition: Unhealthy,
			stop:       Unhealthy,
		},
		"stop without an answer": {
			repetition: NotSent,
			stop:       Unknown,
		},
		"address of another": {
			repetition: OtherWorker,
			stop:       OtherWorker,
		},
		"lease of the start over": {
			repetition: TooLate,
			stop:       Unhealthy,
		},
		"ticket no longer granted": {
			repetition: NoTicket,
			stop:       Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
			start := board.Decide(testStart, true).Starts[0]
			board.StartReplied(start, Unknown, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			board.StartReplied(effects.Starts[0], tt.repetition, testStart)
			effects = board.Decide(testStart, true)
			require.Len(t, effects.Stops, 1, "an earlier copy of the start may still arrive")
			board.StopReplied(effects.Stops[0], tt.stop, testStart)

			now := testStart.Add(2 * scanInterval)
			effects = board.Decide(now, true)
			require.Len(t, effects.Stops, 1, "the stop is repeated")
			board.StopReplied(effects.Stops[0], Accepted, now)
			now = now.Add(2 * testStopGrace)
			report(board, "w0", testBorn, now)
			now = now.Add(pauseUnhealthy)
			effects = board.Decide(now, true)
			require.Len(t, effects.Starts, 1)
			assert.Greater(t, effects.Starts[0].Run, start.Run)
		})
	}
}

// Guards against the start of a cancelled job: a start without an answer waits to
// be sent again while the leadership is in doubt, and the stop is not sent.
func TestStartOfCancelledJobIsNotRepeated(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	start := board.Decide(testStart, true).Starts[0]
	board.StartReplied(start, Unknown, testStart)
	board.Cancel("a", testStart)
	effects := board.Decide(testStart, false)
	require.Len(t, effects.Stops, 1)
	board.StopReplied(effects.Stops[0], NotSent, testStart)
	now := testStart.Add(2 * scanInterval)
	effects = board.Decide(now, true)
	assert.Empty(t, effects.Starts, "the job was cancelled")
	assert.Len(t, effects.Stops, 1)
}

// Guards against capacity that is never free again: a run was replaced because an
// earlier one of its task had ended done, and its stop got no answer.
func TestReplacedRunIsStoppedUntilItEnds(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000), tasks(1, 8000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	accept(board, effects, testStart)
	replaced := effects.Starts[0]
	other := map[string]string{"w0": "w1", "w1": "w0"}[replaced.Worker]
	board.ApplyReport(other, Inventory{
		Born: testBorn,
		Ended: []EndedTask{
			{
				Number: 1,
				Key:    replaced.Key,
				Run:    replaced.Run - 1,
				Ending: EndedDone,
			},
		},
		Sent: testStart,
	}, testStart)
	now := testStart
	for range 2 {
		effects = board.Decide(now, true)
		require.NotEmpty(t, effects.Stops)
		assert.Equal(t, replaced.Run, effects.Stops[0].Run)
		board.StopReplied(effects.Stops[0], Unknown, now)
		now = now.Add(2 * scanInterval)
	}
}

// Guards against a claim without a next event: whatever calls are lost, refused
// or not sent while workers restart, drain and are cut off, jobs are cancelled and
// the leadership is taken again or by others, every claim is confirmed or released
// and every job ends once calls get through.
func TestEveryClaimHasANextEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.refuses, sim.longRunning = true, true
		for range 80 {
			if sim.next < 6 && rapid.IntRange(0, 2).Draw(t, "submit") == 0 {
				sim.submit()
			}
			sim.injectFault()
			sim.injectRefusals()
			sim.tick()
		}
		sim.calm()
		const settled = 3 * time.Second // two stops and the reports after them
		for range settled / simulationStep {
			sim.tick()
		}
		sim.requireResolved(settled)
		for range 300 {
			sim.tick()
		}
		sim.requireAllEnd()
		for key, t := range sim.waitingTasks() {
			require.Fail(sim.t, "a long-running task waits beside free capacity", "%s, last on %v", key, t.lastWorkers)
		}
	})
}

// Guards against capacity that is claimed for good: a run of which the leader did
// not know is listed while its task is claimed elsewhere, that claim ends first, and
// the task is placed beside the run. The second claim replaced the first one, whose
// size stayed in the totals.
func TestTaskIsNotPlacedWhileAnotherRunOfItIsStopped(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	start := effects.Starts[0]
	other := map[string]string{"w0": "w1", "w1": "w0"}[start.Worker]
	unknown := Inventory{
		Born: testBorn,
		Running: []RunningTask{
			{
				Key: start.Key,
				Run: start.Run - 1,
			},
		},
		Sent: testStart,
	}
	board.ApplyReport(other, unknown, testStart)
	board.StartReplied(start, Unhealthy, testStart)
	now := testStart.Add(pauseRetry)
	effects = board.Decide(now, true)
	assert.Empty(t, effects.Starts, "the other run has not ended")
	require.NotEmpty(t, effects.Stops)
	requireConsistent(t, board)

	board.StopReplied(effects.Stops[0], Accepted, now)
	now = now.Add(2 * testStopGrace)
	report(board, other, testBorn, now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
	requireConsistent(t, board)
}

// Guards against totals of a worker that stay wrong after it was removed and listed
// again within the term of a reservation: the capacity kept on the earlier one was
// taken off the new one, which then got more than it holds.
func TestReservationEndsWithItsWorker(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(8, 1000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	board.AddJob(testJob("b", "quotes", tasks(1, 4000)), nil, false, testStart, testStart)
	require.NotEmpty(t, board.Decide(testStart, true).Stops, "the quick task preempts")
	require.NotEmpty(t, board.reservations)

	listing := board.workers["w0"].Listing
	listing.Draining = true
	board.SetWorkers(map[string]Listing{"w0": listing}, true, testStart)
	board.MarkUnreachable("w0", testStart)
	over := board.workers["w0"].leaseEnd.Add(time.Millisecond)
	board.SetWorkers(nil, true, testStart)
	board.SetWorkers(nil, true, over)
	require.Empty(t, board.workers)
	listing.Draining, listing.Born = false, testBorn.Add(time.Minute)
	board.SetWorkers(map[string]Listing{"w0": listing}, true, testStart)
	requireConsistent(t, board)
	board.Decide(testStart.Add(2*reservationTerm), true)
	requireConsistent(t, board)
}
