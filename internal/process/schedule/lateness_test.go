package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shortStep returns a step of tasks that run for half a second on a core, in
// jobs that should be done within two seconds.
func shortStep(count int) work.Step {
	step := tasks(count, 1000)
	step.Estimate = 500 * time.Millisecond
	return step
}

// Load pattern: an outage leaves small jobs without a value, which would go
// before larger ones that can still finish.
func TestHopelessJobsGoLastOnABoard(t *testing.T) {
	met := func(rules rank.Rules) float64 {
		r := newBoardReplay(rules)
		for range 100 {
			r.add(0, 20*time.Second, shortStep(8))
		}
		useful := map[*replayJob]bool{}
		for range 4 {
			useful[r.add(0, 2*time.Second, shortStep(32))] = true
		}
		r.run(20 * time.Second)
		return r.met(3, func(j *replayJob) bool { return useful[j] })
	}
	assert.InDelta(t, 1, met(rank.AllRules()), 0)
	assert.Zero(t, met(rank.Rules{}), "the load does not show the fault")
}

// Load pattern: jobs that can meet their objective arrive as fast as they can be
// served, and a late job would wait for ever.
func TestLateJobIsNotOvertakenForEverOnABoard(t *testing.T) {
	late := func(rules rank.Rules) float64 {
		r := newBoardReplay(rules)
		isLate := map[*replayJob]bool{}
		for i := range 320 {
			at := time.Duration(i) * 62500 * time.Microsecond
			r.add(at, 0, shortStep(4))
			if i%80 == 40 {
				isLate[r.add(at, 2*time.Second, shortStep(4))] = true
			}
		}
		r.run(20 * time.Second)
		return r.met(3, func(j *replayJob) bool { return isLate[j] })
	}
	assert.InDelta(t, 1, late(rank.AllRules()), 0)
	assert.Less(t, late(rank.Rules{}), 0.5, "the load does not show the fault")
}

// A wall clock that jumps ahead makes each new job appear an hour old. Such a job
// is not hopeless on that ground alone: it waits as a late one does.
func TestClockJumpMakesNoJobHopeless(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		want rank.Class
	}{
		"at once": {
			want: rank.Late,
		},
		"within two objectives": {
			wait: 3500 * time.Millisecond,
			want: rank.Late,
		},
		"after two objectives": {
			wait: 3600 * time.Millisecond,
			want: rank.Hopeless,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "plans", shortStep(1)), nil, false, testStart, testStart.Add(time.Hour))
			board.shortAt["workshop"] = testStart.Add(tt.wait)
			ranked := board.ranked(func(*job) bool { return true }, testStart.Add(tt.wait))
			require.Len(t, ranked, 1)
			assert.Equal(t, tt.want, ranked[0].rank.Class)
		})
	}
}

// A repeated job is accepted once, long before most of its occurrences are due:
// each of them has its own chance.
func TestLaterOccurrenceIsNotHopeless(t *testing.T) {
	board := testBoard("w0")
	spec := testJob("a", "plans", shortStep(1))
	spec.Repeat, spec.FirstRun, spec.Interval = 2, testStart, time.Minute
	board.AddJob(spec, nil, false, testStart, testStart)
	j := board.open["a"]
	j.occurrences[0].left = 0
	tests := map[string]struct {
		at   time.Duration
		want rank.Class
	}{
		"when it is due": {
			at:   time.Minute,
			want: rank.Late,
		},
		"after three objectives": {
			at:   time.Minute + 6*time.Second + time.Millisecond,
			want: rank.Hopeless,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			j.classify(testStart.Add(tt.at))
			assert.Equal(t, tt.want, j.rank.Class)
		})
	}
}

// Batch work must not be stopped for a quick job that is worth nothing any more.
func TestHopelessJobPreemptsNothing(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		want int
	}{
		"on time": {
			want: 1,
		},
		"hopeless": {
			age: 20 * time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.AddJob(testJob("a", "plans", tasks(1, 8000)), nil, false, testStart, testStart)
			accept(board, board.Decide(testStart, true), testStart)
			poll(board, "w0", testStart)
			board.shortAt["workshop"] = testStart
			board.AddJob(testJob("b", "quotes", tasks(1, 8000)), nil, false, testStart, testStart.Add(tt.age))
			assert.Len(t, board.Decide(testStart, true).Stops, tt.want)
		})
	}
}
