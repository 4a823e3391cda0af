package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pollWithProgress reports a worker's runs at a percentage.
func pollWithProgress(board *Board, id string, percent int, tail time.Duration, now time.Time) {
	inventory := Inventory{
		Born:     testBorn,
		Sent:     now,
		Received: now,
	}
	for key, held := range board.workers[id].claims {
		inventory.Running = append(inventory.Running, RunningTask{
			Key:     key,
			Run:     held.run,
			Percent: percent,
			Tail:    tail,
		})
	}
	board.ApplyReport(id, inventory, now)
	board.Confirmed(now)
}

func TestStalledTasksAreMoved(t *testing.T) {
	tests := map[string]struct {
		serving bool
		percent func(i int) int
		tail    time.Duration
		want    string
	}{
		"makes progress": {
			percent: func(i int) int { return i },
		},
		"no progress": {
			percent: func(int) int { return 7 },
			want:    "stands_still",
		},
		"serves": {
			serving: true,
			percent: func(int) int { return 100 },
			tail:    50 * time.Millisecond,
		},
		"serves above its target": {
			serving: true,
			percent: func(int) int { return 100 },
			tail:    300 * time.Millisecond,
		},
		"hangs": {
			serving: true,
			percent: func(int) int { return 100 },
			tail:    40 * time.Second,
			want:    "stands_still",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			step, queue := tasks(1, 1000), "plans"
			if tt.serving {
				step.LongRunning, step.TailTarget, queue = true, testTarget, "quotes"
			}
			board.AddJob(testJob("a", queue, step), nil, false, testStart, testStart)
			accept(board, board.Decide(testStart, true), testStart)
			var stops []Stop
			now := testStart
			for i := range 50 {
				now = now.Add(100 * time.Millisecond)
				pollWithProgress(board, "w0", tt.percent(i), tt.tail, now)
				stops = append(stops, board.Decide(now, true).Stops...)
			}
			if tt.want == "" {
				assert.Empty(t, stops)
				return
			}
			require.NotEmpty(t, stops)
			assert.Equal(t, tt.want, stops[0].Reason)
		})
	}
}
