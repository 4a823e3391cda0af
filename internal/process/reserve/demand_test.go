package reserve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// arrivals counts one step of 10 tasks of 8 cores and 0.8 s per interval.
func arrivals(demand *Demand, duration, interval time.Duration) time.Time {
	now := testNow
	for ; now.Before(testNow.Add(duration)); now = now.Add(interval) {
		demand.Arrived(8000, 10, 800*time.Millisecond, now)
	}
	return now
}

// Guards against pieces that are kept where no quick tasks arrive any more.
func TestDemandIsForgotten(t *testing.T) {
	var demand Demand
	_, count := demand.Needed(testNow)
	assert.Zero(t, count, "nothing has arrived")
	now := arrivals(&demand, time.Minute, 100*time.Millisecond)
	_, count = demand.Needed(now)
	assert.Positive(t, count)
	_, count = demand.Needed(now.Add(6 * demandWindow))
	assert.Zero(t, count)
}

// Guards against a demand that does not follow arrivals, sizes and run times.
func TestDemandFollowsTheLoad(t *testing.T) {
	tests := map[string]struct {
		interval time.Duration
		least    int
		most     int
	}{
		// On average 80 tasks run at once; steps of 10 add 2 x sqrt(80 x 10).
		"100 ms": {
			interval: 100 * time.Millisecond,
			least:    130,
			most:     145,
		},
		// 8 tasks and 2 x sqrt(8 x 10).
		"1 s": {
			interval: time.Second,
			least:    22,
			most:     28,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var demand Demand
			now := arrivals(&demand, time.Minute, tt.interval)
			piece, count := demand.Needed(now)
			assert.InDelta(t, 8000, piece, 1)
			assert.GreaterOrEqual(t, count, tt.least)
			assert.LessOrEqual(t, count, tt.most)
		})
	}
}

// Guards against a single large task that decides the size of the pieces.
func TestPieceCoversMostOfTheWork(t *testing.T) {
	var demand Demand
	now := arrivals(&demand, time.Minute, 100*time.Millisecond)
	demand.Arrived(60000, 1, time.Second, now)
	piece, _ := demand.Needed(now)
	assert.InDelta(t, 8000, piece, 1)
}

func TestPiecesLost(t *testing.T) {
	tests := map[string]struct {
		free, size int64
		want       int64
	}{
		"the rest still holds as many": {
			free: 20,
			size: 4,
		},
		"one piece": {
			free: 20,
			size: 5,
			want: 1,
		},
		"no piece to lose": {
			free: 7,
			size: 7,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, PiecesLost(tt.free, tt.size, 8))
		})
	}
}
