package reserve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

const testNotice = 5500 * time.Millisecond

var testNow = time.Unix(1000, 0)

func cores(count int64) worker.Size {
	return worker.Size{
		MilliCores: 1000 * count,
	}
}

func run(index int, size worker.Size, loss float64) Run {
	return Run{
		Key: work.TaskKey{
			Job:   "a",
			Index: index,
		},
		Size: size,
		Loss: loss,
	}
}

func serving() Member {
	return Member{
		Running:   true,
		Progress:  FullProgress,
		ChangedAt: testNow.Add(-time.Minute),
	}
}

// Guards against a preemption that leaves more members of a step unavailable than
// the step allows.
func TestPreemptible(t *testing.T) {
	tests := map[string]struct {
		change func(*Member)
		notice time.Duration
		limit  int
		want   int
	}{
		"all available": {
			notice: testNotice,
			limit:  2,
			want:   2,
		},
		"notice period unknown": {
			limit: 2,
		},
		"none may be unavailable": {
			notice: testNotice,
		},
		"one not running": {
			change: func(m *Member) { m.Running = false },
			notice: testNotice,
			limit:  2,
			want:   1,
		},
		"one below full progress": {
			change: func(m *Member) { m.Progress = FullProgress - 1 },
			notice: testNotice,
			limit:  2,
			want:   1,
		},
		"one down within the notice period": {
			change: func(m *Member) { m.ChangedAt = testNow.Add(-testNotice) },
			notice: testNotice,
			limit:  2,
			want:   1,
		},
		"one down before the notice period": {
			change: func(m *Member) { m.ChangedAt = testNow.Add(-testNotice - time.Millisecond) },
			notice: testNotice,
			limit:  2,
			want:   2,
		},
		"one with a stop without an answer": {
			change: func(m *Member) { m.Preempted = testNow.Add(-time.Second) },
			notice: testNotice,
			limit:  1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			members := []Member{serving(), serving(), serving()}
			if tt.change != nil {
				tt.change(&members[1])
			}
			assert.Equal(t, tt.want, Preemptible(members, tt.limit, tt.notice, testNow))
		})
	}
}

// Guards against preemptions for jobs that gain little or nothing by them, and
// against more of them than the job can use.
func TestGain(t *testing.T) {
	tests := map[string]struct {
		quick  Quick
		pieces int
		each   float64
	}{
		"no time left": {
			quick: Quick{
				Objective: 2 * time.Second,
				Age:       time.Second,
			},
			pieces: 10,
			each:   0.1,
		},
		"time for two rounds": {
			quick: Quick{
				Objective: 2 * time.Second,
			},
			pieces: 5,
			each:   0.2,
		},
		"capacity is not kept for two rounds": {
			quick: Quick{
				Objective: 2 * time.Second,
				RunTime:   time.Second,
				Hold:      1500 * time.Millisecond,
			},
			pieces: 10,
			each:   0.1,
		},
		"some have capacity": {
			quick: Quick{
				Objective: 2 * time.Second,
				Pieces:    4,
			},
			pieces: 1,
			each:   0.2,
		},
		"late, four rounds until the job has no value": {
			quick: Quick{
				Objective: 2 * time.Second,
				Age:       1500 * time.Millisecond,
			},
			pieces: 3,
			each:   lateValue / 3,
		},
		"without value": {
			quick: Quick{
				Objective: 2 * time.Second,
				Age:       5500 * time.Millisecond,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.quick.Value, tt.quick.Left, tt.quick.Remaining = 1, 10, time.Second
			pieces, each := tt.quick.Gain()
			assert.Equal(t, tt.pieces, pieces)
			assert.InDelta(t, tt.each, each, 1e-9)
		})
	}
}

// Guards against preemptions that cost more than they gain, or more than others
// on the same worker.
func TestChoose(t *testing.T) {
	tests := map[string]struct {
		place Place
		each  float64
		want  []int
	}{
		"the smallest that suffices": {
			place: Place{
				Free: cores(2),
				Runs: []Run{run(0, cores(20), 0.1), run(1, cores(8), 0.1), run(2, cores(4), 0.1)},
			},
			each: 1,
			want: []int{1},
		},
		"the cheaper one": {
			place: Place{
				Runs: []Run{run(0, cores(10), 0.2), run(1, cores(20), 0.1)},
			},
			each: 1,
			want: []int{1},
		},
		"two": {
			place: Place{
				Runs: []Run{run(0, cores(6), 0.1), run(1, cores(7), 0.1)},
			},
			each: 1,
			want: []int{0, 1},
		},
		"loss above the gain": {
			place: Place{
				Runs: []Run{run(0, cores(10), 0.1)},
			},
			each: 0.1,
		},
		"gain of several tasks": {
			place: Place{
				Runs: []Run{run(0, cores(20), 0.1)},
			},
			each: 0.1,
			want: []int{0},
		},
		"crowded zone": {
			place: Place{
				Crowding: 0.5,
				Runs:     []Run{run(0, cores(10), 0.1)},
			},
			each: 0.15,
		},
		"none suffices": {
			place: Place{
				Runs: []Run{run(0, cores(4), 0.1)},
			},
			each: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			SortRuns(tt.place.Runs)
			choice, ok := tt.place.Choose(cores(10), 2, tt.each)
			require.Equal(t, len(tt.want) > 0, ok)
			if !ok {
				return
			}
			var got []int
			for _, chosen := range choice.Runs {
				got = append(got, chosen.Key.Index)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

// Guards against more stops than the leader can send and record.
func TestLimiter(t *testing.T) {
	var limiter Limiter
	allowed := 0
	for step := range 1000 {
		limiter.Refill(500, testNow.Add(time.Duration(step)*10*time.Millisecond))
		if limiter.Allow(1) {
			limiter.Take(1)
			allowed++
		}
	}
	const rate = preemptionShare * 500
	assert.InDelta(t, 10*rate+burst*rate, allowed, 1, "in 10 s")
	assert.GreaterOrEqual(t, limiter.Price(), 1+scarcityPrice*(1-1/(burst*rate)), "less than one is left")
	assert.LessOrEqual(t, limiter.Price(), 1+scarcityPrice)
}
