package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a worker that looks full on the board and is empty, or the other way
// round, without a word about it; and against reports of a difference while a start
// is under way.
func TestDifferencesNameWhatLasts(t *testing.T) {
	const longer = 2 * time.Second
	known := work.TaskKey{
		Job: "a",
	}
	tests := map[string]struct {
		// listed is the run that the worker lists, zero for none, and claimed is set
		// if the task is started there.
		listed  int64
		claimed bool
		want    Difference
	}{
		"claim without a run": {
			claimed: true,
			want: Difference{
				Worker:  "w0",
				Claimed: 1000,
			},
		},
		"run of another number than the claim": {
			claimed: true,
			listed:  1,
			want: Difference{
				Worker:   "w0",
				Claimed:  1000,
				Reported: 1000,
				Run:      1,
				Listed:   true,
			},
		},
		"nothing": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			var started int64
			if tt.claimed {
				board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
				effects := board.Decide(testStart, true)
				require.Len(t, effects.Starts, 1)
				started = effects.Starts[0].Run
			}
			inventory := Inventory{
				Born: testBorn,
			}
			if tt.listed > 0 {
				inventory.Running = []RunningTask{
					{
						Key: known,
						Run: tt.listed,
					},
				}
			}
			first := testStart.Add(time.Second)
			for now := first; !now.After(first.Add(longer + time.Second)); now = now.Add(time.Second) {
				inventory.Sent, inventory.Received = now, now
				board.ApplyReport("w0", inventory, now)
				if now.Sub(first) <= longer {
					require.Empty(t, board.Differences(longer), "it may be under way")
				}
			}
			got := board.Differences(longer)
			if tt.want.Worker == "" {
				assert.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			tt.want.Key, tt.want.Since = known, first
			if tt.want.Run == 0 {
				tt.want.Run = started
			}
			assert.Equal(t, tt.want, got[0])
		})
	}
}

// Guards against a line that goes on once the claim is released.
func TestDifferenceEnds(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	now := testStart.Add(time.Second)
	report(board, "w0", testBorn, now)
	now = now.Add(time.Second)
	report(board, "w0", testBorn, now)
	require.Len(t, board.Differences(0), 1)
	accept(board, effects, now)
	now = now.Add(time.Second)
	poll(board, "w0", now)
	assert.Empty(t, board.Differences(0))
}
