package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
)

// manyStepsJob is a job with as many tasks as there may be, all of them due. Each step
// names up to the given number of steps before it.
func manyStepsJob(id string, named int) *work.Job {
	const steps = 500 // their lists fill a body of the usual largest size
	spec := testJob(id, "plans")
	for i := range steps {
		step := tasks(1, 1000)
		for earlier := range min(i, named) {
			step.After = append(step.After, earlier)
		}
		spec.Steps = append(spec.Steps, step)
	}
	spec.Repeat, spec.FirstRun = work.MaxTasks/steps, testStart
	return spec
}

// Guards against one job that costs a leader its lead key in each decision (review case 12):
// the lists of its steps were gone through for each occurrence.
func TestLongListsOfStepsDoNotSlowDecisions(t *testing.T) {
	// fastest is the time of the fastest of some decisions, each after a step of the
	// job has progressed.
	fastest := func(named int) time.Duration {
		board, best := testBoard("w0"), time.Hour
		board.AddJob(manyStepsJob("a", named), nil, false, testStart, testStart)
		for range 10 {
			board.open["a"].stale = true
			begin := time.Now()
			board.Decide(testStart, true)
			best = min(best, time.Since(begin))
		}
		return best
	}
	const mostTimes = 5
	short, long := fastest(1), fastest(work.MaxTasks)
	assert.Less(t, long, mostTimes*short, "with lists of one step %s", short)
}

func BenchmarkDecideLongLists(b *testing.B) {
	for _, jobs := range []int{1, 100} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			board := testBoard("w0")
			for i := range jobs {
				board.AddJob(manyStepsJob(fmt.Sprintf("%016x", i), work.MaxTasks), nil, false, testStart, testStart)
			}
			for b.Loop() {
				for _, j := range board.open {
					j.stale = true
				}
				board.Decide(testStart, true)
			}
		})
	}
}

// The steps that are ready, the time since when, and the critical path are those that a
// walk through all lists finds.
func TestStepsBecomeReadyInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board, now := NewBoard(testConfig()), testStart
		spec := testJob("a", "plans")
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			step := tasks(rapid.IntRange(1, 2).Draw(t, "count"), 1000)
			step.Estimate = time.Duration(rapid.IntRange(1, 5).Draw(t, "estimate")) * time.Second
			for earlier := range i {
				if rapid.Bool().Draw(t, "after") {
					step.After = append(step.After, earlier)
				}
			}
			spec.Steps = append(spec.Steps, step)
		}
		board.AddJob(spec, nil, false, testStart, testStart)
		j := board.jobs["a"]
		occ := j.occurrences[0]
		for j.left > 0 {
			now = now.Add(time.Second)
			var ready []*stepState
			for _, step := range occ.steps {
				want, since := true, occ.due
				for _, earlier := range step.spec.After {
					want = want && occ.steps[earlier].left == 0
					for _, before := range occ.steps[earlier].tasks {
						since = latestOf(since, before.endedAt)
					}
				}
				require.Equal(t, want, occ.ready(step, now))
				if want {
					require.Equal(t, since, occ.readySince(step, &task{}))
				}
				if want && step.left > 0 {
					ready = append(ready, step)
				}
			}
			require.Equal(t, longestWaitingChain(occ), board.criticalPath(j))
			step := rapid.SampledFrom(ready).Draw(t, "ends")
			for _, next := range step.tasks {
				if next.phase != done {
					next.endedAt = now
					j.finish(occ, step, next)
					break
				}
			}
		}
	})
}

// longestWaitingChain is the longest chain of steps with waiting tasks.
func longestWaitingChain(occ *occurrence) time.Duration {
	longest, finish := time.Duration(0), make([]time.Duration, len(occ.steps))
	for i, step := range occ.steps {
		for _, earlier := range step.spec.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		if step.waiting > 0 {
			finish[i] += step.spec.Estimate
		}
		longest = max(longest, finish[i])
	}
	return longest
}
