package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lastingRun returns a board on which the only task of a long-running job runs since
// testStart, and its start.
func lastingRun(t *testing.T, ids ...string) (*Board, Start) {
	board := testBoard(ids...)
	board.AddJob(testJob("a", "plans", running(1, 1000)), nil, false, testStart, testStart)
	effects := decideAndSave(board, testStart)
	require.Len(t, effects.Starts, 1)
	accept(board, effects, testStart)
	return board, effects.Starts[0]
}

// endAt reports the end of a run, and returns the start of the next one.
func endAt(t *testing.T, board *Board, start Start, number int64, now time.Time) Start {
	board.ApplyReport(start.Worker, Inventory{
		Born: testBorn,
		Ended: []EndedTask{
			{
				Number: number,
				Key:    start.Key,
				Run:    start.Run,
				Ending: EndedFailed,
			},
		},
		Sent:     now,
		Received: now,
	}, now)
	effects := decideAndSave(board, now)
	require.Len(t, effects.Starts, 1)
	return effects.Starts[0]
}

// Guards against restarts that are not recorded, or recorded as shorter than they are:
// a refused start or one without an answer does not end the time.
func TestRestartsAreRecorded(t *testing.T) {
	const took = 3 * time.Second
	ended := testStart.Add(time.Second)
	tests := map[string]struct {
		restart func(t *testing.T, board *Board, start Start, now time.Time)
		want    []time.Duration
	}{
		"accepted": {
			restart: func(_ *testing.T, board *Board, start Start, now time.Time) {
				board.StartReplied(start, Accepted, now)
			},
			want: []time.Duration{took},
		},
		"listed before the answer": {
			restart: func(_ *testing.T, board *Board, start Start, now time.Time) {
				poll(board, start.Worker, now)
				board.StartReplied(start, Accepted, now)
			},
			want: []time.Duration{took},
		},
		"ended before it was listed": {
			restart: func(t *testing.T, board *Board, start Start, now time.Time) {
				endAt(t, board, start, 2, now)
			},
			want: []time.Duration{took},
		},
		"refused, and accepted elsewhere": {
			restart: func(t *testing.T, board *Board, start Start, now time.Time) {
				refusedAt := now.Add(-time.Second)
				board.StartReplied(start, NoRoom, refusedAt)
				_, _, down := board.jobs["a"].find(start.Key)
				assert.Equal(t, refusedAt, down.endedAt)
				assert.Equal(t, ended, down.downSince)
				for id := range board.workers {
					poll(board, id, now)
				}
				effects := decideAndSave(board, now)
				require.Len(t, effects.Starts, 1)
				accept(board, effects, now)
			},
			want: []time.Duration{took},
		},
		"not answered": {
			restart: func(_ *testing.T, board *Board, start Start, now time.Time) {
				board.StartReplied(start, Unknown, now)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			board, first := lastingRun(t, "w0", "w1")
			assert.Empty(t, board.Restarts(), "the first start is none")
			next := endAt(t, board, first, 1, ended)
			test.restart(t, board, next, ended.Add(took))
			assert.Equal(t, test.want, board.Restarts())
			assert.Empty(t, board.Restarts(), "each is recorded once")
		})
	}
}

// Guards against a wait that counts from the end before the last run: a worker that has
// started again keeps the claim of a run that is over.
func TestRestartOfTheWorkerEndsTheRun(t *testing.T) {
	board, start := lastingRun(t, "w0")
	board.workers["w0"].claims[start.Key].unanswered = 1
	now := testStart.Add(time.Minute)
	reborn := testBorn.Add(time.Minute)
	relist(board, "w0", reborn, now)
	report(board, "w0", reborn, now)
	_, _, down := board.jobs["a"].find(start.Key)
	assert.Equal(t, claimed, down.phase)
	assert.Equal(t, now, down.downSince)
}
