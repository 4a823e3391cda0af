package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a ratio that is learned from too few runs, and against one that
// is never learned.
func TestFactorIsLearned(t *testing.T) {
	tests := map[string]struct {
		near, far int
		want      float64
	}{
		"nothing known": {
			want: 2,
		},
		"too few runs elsewhere": {
			near: enoughRuns,
			far:  enoughRuns - 1,
			want: 2,
		},
		"too few runs on the rack": {
			near: enoughRuns - 1,
			far:  enoughRuns,
			want: 2,
		},
		"enough of both": {
			near: enoughRuns,
			far:  enoughRuns,
			want: 1.5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			known := &Experience{}
			for range tt.near {
				known.Ran(true, time.Second, 2*time.Second)
			}
			for range tt.far {
				known.Ran(false, time.Second, 3*time.Second)
			}
			assert.InDelta(t, tt.want, known.Factor(2), 1e-9)
		})
	}
	assert.InDelta(t, 2.0, (*Experience)(nil).Factor(2), 0, "without any experience")
}

// Guards against expectations that stay wrong, and against a correction that
// never returns to one because nothing waits any more.
func TestWaitsAreCorrected(t *testing.T) {
	known := &Experience{}
	assert.Equal(t, time.Second, known.Correct(time.Second))
	for range 100 {
		known.Waited(time.Second, 3*time.Second)
	}
	assert.InDelta(t, 3, known.Correct(time.Second).Seconds(), 0.05)
	assert.Equal(t, Never, known.Correct(Never))
	for range 500 {
		known.Declined()
	}
	assert.InDelta(t, 1, known.Correct(time.Second).Seconds(), 0.05)
}
