package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// relist lists a worker with the time at which its incarnation began.
func relist(board *Board, id string, born, now time.Time) {
	listings := map[string]Listing{}
	for _, w := range board.workers {
		listing := w.Listing
		if w.ID == id {
			listing.Born = born
		}
		listings[w.ID] = listing
	}
	board.SetWorkers(listings, true, now)
}

// report applies an empty inventory of an incarnation, and confirms the leadership.
func report(board *Board, id string, born, now time.Time) {
	board.ApplyReport(id, Inventory{
		Born:     born,
		Sent:     now,
		Received: now,
	}, now)
	board.Confirmed(now)
}

// Load pattern: starts are held up in a link to a worker that restarts. The new
// incarnation knows neither token nor stops, and would run them. Soak seed 12: ten
// tasks ran twice.
func TestDelayedStartIsBarredAfterRestart(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 1)
	start := effects.Starts[0]
	board.LeaseExtended(start.Worker, testStart)
	board.StartReplied(start, Unknown, testStart)

	reborn := testBorn.Add(time.Minute)
	now := testStart.Add(100 * time.Millisecond)
	relist(board, start.Worker, reborn, now)
	assert.Empty(t, board.Decide(now, true).Starts, "the worker has not reported")

	report(board, start.Worker, reborn, now)
	effects = board.Decide(now, true)
	assert.Empty(t, effects.Starts, "the delayed start may still arrive")
	require.Len(t, effects.Stops, 1)
	board.StopReplied(effects.Stops[0], Unknown, now)
	now = now.Add(2 * scanInterval)
	effects = board.Decide(now, true)
	require.Len(t, effects.Stops, 1, "the stop is sent until it is answered")
	board.StopReplied(effects.Stops[0], Accepted, now)

	now = now.Add(2 * testStopGrace)
	report(board, start.Worker, reborn, now)
	effects = board.Decide(now, true)
	require.Len(t, effects.Starts, 1)
	assert.Greater(t, effects.Starts[0].Run, start.Run)
}

// Starts that were answered can't arrive again: their tasks start elsewhere as
// soon as the new incarnation has reported.
func TestAnsweredStartsAreFreeAfterRestart(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	accept(board, effects, testStart)
	reborn, now := testBorn.Add(time.Minute), testStart.Add(100*time.Millisecond)
	relist(board, effects.Starts[0].Worker, reborn, now)
	report(board, effects.Starts[0].Worker, reborn, now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// A leader that a worker has fenced must not repeat starts to another worker,
// which may have restarted and accept them. Found by TestNoTaskRunsTwice with seed
// 9539021351078158535.
func TestFencedLeaderRepeatsNoStart(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", tasks(2, 8000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 2)
	board.StartReplied(effects.Starts[0], Unknown, testStart)
	board.StartReplied(effects.Starts[1], Fenced, testStart)
	assert.Empty(t, board.Decide(testStart.Add(time.Second), true).Starts)
}

// Guards against a task that runs twice: a leader was replaced, and turned away by
// the store so that it did not know. A worker that had reported to its successor
// started again, knew no token any more, and carried out its start.
func TestNoStartOnARestartedWorkerBeforeTheLeadershipIsConfirmed(t *testing.T) {
	tests := map[string]struct {
		unanswered bool
	}{
		"new start": {},
		"repetition of a start": {
			unanswered: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.Confirmed(testStart)
			reborn, now := testBorn.Add(time.Minute), testStart.Add(100*time.Millisecond)
			if tt.unanswered {
				board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
				effects := board.Decide(testStart, true)
				require.Len(t, effects.Starts, 1)
				board.StartReplied(effects.Starts[0], Unknown, testStart)
			} else {
				board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, now, now)
			}
			relist(board, "w0", reborn, now)
			board.ApplyReport("w0", Inventory{
				Born:     reborn,
				Sent:     now,
				Received: now,
			}, now)
			assert.Empty(t, board.Decide(now, true).Starts)
			assert.True(t, board.NeedsConfirmation())
			board.Confirmed(now.Add(-time.Millisecond))
			assert.Empty(t, board.Decide(now, true).Starts, "confirmed by a call that was sent before the report")
			board.Confirmed(now)
			assert.False(t, board.NeedsConfirmation())
			if !tt.unanswered {
				assert.Len(t, board.Decide(now, true).Starts, 1)
			}
		})
	}
}

// Guards against tasks on a worker that cannot run them: it has started again under
// its id as another kind, with less capacity, and its entry is still the old one.
func TestRestartedWorkerIsUsedOnceItsEntryIsRead(t *testing.T) {
	board := testBoard("w0")
	reborn, now := testBorn.Add(time.Minute), testStart.Add(100*time.Millisecond)
	report(board, "w0", reborn, now)
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, now, now)
	assert.Empty(t, board.Decide(now, true).Starts, "the old entry says nothing of the new incarnation")
	relist(board, "w0", reborn, now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// Guards against a takeover that waits for a confirmation after the first report of
// each worker: one that ran before the term began has not started again since, and
// would refuse a leader that has been replaced.
func TestKnownIncarnationNeedsNoConfirmation(t *testing.T) {
	tests := map[string]struct {
		born time.Time
		want int
	}{
		"as in the roster": {
			born: testBorn,
			want: 1,
		},
		"rounded by the record": {
			born: testBorn.Add(300 * time.Nanosecond),
			want: 1,
		},
		"started again since": {
			born: testBorn.Add(time.Millisecond),
		},
		"not reported": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			roster := testBoard("w0").Roster()
			board := NewBoard(testConfig())
			board.SetCatalog(testCatalog())
			board.Begin(testToken+1, testStart)
			board.AddRoster(roster, testStart)
			now := testStart.Add(time.Second)
			board.SetWorkers(map[string]Listing{"w0": roster[0]}, true, now)
			board.ApplyReport("w0", Inventory{
				Born:     tt.born,
				Sent:     now,
				Received: now,
			}, now)
			board.workers["w0"].Born = tt.born // its entry has been read
			board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, true, now, now)
			assert.Len(t, board.Decide(now, true).Starts, tt.want)
			board.Confirmed(now)
			assert.Len(t, board.Decide(now, true).Starts, 1-tt.want, "once the leadership is confirmed")
		})
	}
}

// Guards against a worker whose reports are dropped for good: it crashes, and the
// wall clock of its machine is behind when it starts again. Its polls are answered
// and extend the leases of runs that are gone, so that nothing releases them.
func TestWorkerIsUsedAfterItsClockWasSetBack(t *testing.T) {
	tests := map[string]struct {
		// listedFirst is set if the entry is read before the first report.
		listedFirst bool
	}{
		"entry before the report": {
			listedFirst: true,
		},
		"report before the entry": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			accept(board, effects, testStart)

			reborn := testBorn.Add(-time.Minute)
			now := testStart.Add(time.Second)
			board.MarkUnreachable("w0", now)
			if tt.listedFirst {
				relist(board, "w0", reborn, now)
			}
			now = now.Add(time.Second)
			board.LeaseExtended("w0", now)
			report(board, "w0", reborn, now)
			relist(board, "w0", reborn, now)
			board.LeaseExtended("w0", now)
			report(board, "w0", reborn, now.Add(time.Millisecond))
			effects = board.Decide(now.Add(time.Millisecond), true)
			require.Len(t, effects.Starts, 1, "the run ended with the worker")
		})
	}
}

// Guards against an answer of an earlier incarnation that is taken for a later one:
// its call was sent before the newest report arrived.
func TestLateAnswerOfEarlierIncarnationIsDropped(t *testing.T) {
	board := testBoard("w0")
	now := testStart.Add(time.Second)
	reborn := testBorn.Add(time.Minute)
	report(board, "w0", reborn, now)
	relist(board, "w0", reborn, now)
	board.ApplyReport("w0", Inventory{
		Born:     testBorn,
		Sent:     now.Add(-time.Millisecond),
		Received: now.Add(time.Second),
	}, now.Add(time.Second))
	assert.Equal(t, reborn, board.workers["w0"].incarnation)
}

// Guards against a task that runs twice: a stop which the incarnation before accepted is
// taken for an answer of the one that runs now. That one has barred nothing, and a
// delayed copy of the start begins the run there.
func TestStopAcceptedBeforeARestartBarsNothingAfterIt(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", tasks(1, 8000)), nil, false, testStart, testStart)
	start := board.Decide(testStart, true).Starts[0]
	board.LeaseExtended(start.Worker, testStart)
	now := testStart
	for range maxRetries + 1 {
		board.StartReplied(start, Unknown, now)
		now = now.Add(simulationStep)
		board.Decide(now, true)
	}
	board.now = now
	held := board.workers[start.Worker].claims[start.Key]
	require.False(t, held.stopping.IsZero())
	before := Stop{
		Worker:      start.Worker,
		Key:         start.Key,
		Run:         start.Run,
		Incarnation: testBorn,
	}
	reborn := testBorn.Add(time.Minute)
	relist(board, start.Worker, reborn, now)
	report(board, start.Worker, reborn, now)
	after := board.Decide(now, true).Stops
	require.Len(t, after, 1)
	board.StopReplied(before, Accepted, now)
	board.StopReplied(after[0], NotSent, now)
	repeated := 0
	for now.Before(testStart.Add(5 * time.Second)) {
		now = now.Add(simulationStep)
		report(board, start.Worker, reborn, now)
		effects := board.Decide(now, true)
		require.Empty(t, effects.Starts, "the run may still begin")
		for _, stop := range effects.Stops {
			repeated++
			board.StopReplied(stop, NotSent, now)
		}
	}
	assert.Positive(t, repeated)
}
