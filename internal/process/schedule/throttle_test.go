package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a filler that is halted for good, or disturbs for good what serves
// beside it: an order without an answer is carried out after the newer one.
func TestThrottleIsOrderedAgainIfTheUseContradictsIt(t *testing.T) {
	tests := map[string]struct {
		level int
		use   int64
		// after is the time from the order to the report.
		after time.Duration
		want  bool
	}{
		"halted by an older order": {
			level: unthrottled,
			after: throttleTimeout,
			want:  true,
		},
		"raised by an older order": {
			use:   1000,
			after: throttleTimeout,
			want:  true,
		},
		"order under way": {
			level: unthrottled,
			after: throttleTimeout / 2,
		},
		"as ordered": {
			level: unthrottled,
			use:   1000,
			after: throttleTimeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			filler := tasks(1, 1000)
			filler.Filler, filler.Image = true, "print"
			board.AddJob(testJob("fill", "plans", filler), nil, false, testStart, testStart)
			effects := board.Decide(testStart, true)
			require.Len(t, effects.Starts, 1)
			accept(board, effects, testStart)
			key := effects.Starts[0].Key
			held := board.workers["w0"].claims[key]
			board.setThrottle(board.workers["w0"], key, held, tt.level, testStart)
			_ = board.Decide(testStart, false)
			now := testStart.Add(tt.after)
			board.ApplyReport("w0", Inventory{
				Born: testBorn,
				Running: []RunningTask{
					{
						Key:        key,
						Run:        held.run,
						MilliCores: tt.use,
					},
				},
				Sent: now,
			}, now)
			assert.Equal(t, tt.want, held.throttle == unknownThrottle)
		})
	}
}

// Guards against a filler that is halted for good: the leader that halted it is
// replaced, and its successor takes it for one at full speed.
func TestThrottleOfTakenOverFillerIsOrdered(t *testing.T) {
	tests := map[string]struct {
		use  int64
		want int
	}{
		"halted": {
			want: 1,
		},
		"throttled": {
			use:  400,
			want: 1,
		},
		"full speed": {
			use: 1000,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			filler := tasks(1, 1000)
			filler.Filler, filler.Image = true, "print"
			board.AddJob(testJob("fill", "plans", filler), nil, true, testStart, testStart)
			now := testStart.Add(time.Second)
			board.ApplyReport("w0", Inventory{
				Born: testBorn,
				Running: []RunningTask{
					{
						Key:        firstTask("fill"),
						Run:        1,
						MilliCores: tt.use,
					},
				},
				Sent: now,
			}, now)
			throttles := board.Decide(now, true).Throttles
			require.Len(t, throttles, tt.want)
			for _, order := range throttles {
				assert.Equal(t, unthrottled, order.Percent)
			}
		})
	}
}
