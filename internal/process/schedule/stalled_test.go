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

// Guards against a long task that never ends: one percent of it takes longer than a
// task may show no progress, so that it was stopped and begun again for ever.
func TestLongTaskIsNotStoppedBetweenTwoPercentPoints(t *testing.T) {
	tests := map[string]struct {
		estimate time.Duration
		// percent is how long one percent takes.
		percent  time.Duration
		maxStops int
	}{
		"as estimated": {
			estimate: 1000 * time.Second,
			percent:  10 * time.Second,
		},
		"far longer than estimated": {
			estimate: time.Second,
			percent:  20 * time.Second,
			maxStops: 5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			step := tasks(1, 1000)
			step.Estimate = tt.estimate
			board.AddJob(testJob("a", "plans", step), nil, false, testStart, testStart)
			stops := 0
			began := testStart
			end := testStart.Add(30 * tt.percent)
			for now := testStart; now.Before(end) && stops <= tt.maxStops; now = now.Add(500 * time.Millisecond) {
				pollWithProgress(board, "w0", int(now.Sub(began)/tt.percent), 0, now)
				effects := board.Decide(now, true)
				accept(board, effects, now)
				for _, stop := range effects.Stops {
					stops++
					board.StopReplied(stop, Accepted, now)
					board.release(board.workers["w0"], stop.Key, now)
					began = now
				}
			}
			assert.LessOrEqual(t, stops, tt.maxStops)
		})
	}
}

// Guards against a hung task that is left alone: its worker refused the stop again
// and again, and each refusal doubled the time for which it may show no progress.
func TestRefusedStopsOfAStalledTaskAreRepeated(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	now, stops := testStart, 0
	for range 100 {
		now = now.Add(scanInterval)
		pollWithProgress(board, "w0", 7, 0, now)
		for _, stop := range board.Decide(now, true).Stops {
			stops++
			board.StopReplied(stop, Unhealthy, now)
		}
	}
	assert.Greater(t, stops, 50, "one for each scan after minProgressTimeout")
	pollWithProgress(board, "w0", 8, 0, now)
	assert.Empty(t, board.Decide(now.Add(scanInterval), true).Stops, "it makes progress again")
}
