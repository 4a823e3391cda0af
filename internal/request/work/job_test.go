package work

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

func step(after ...int) Step {
	return Step{
		Count: 2,
		After: after,
	}
}

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		job  Job
		want string
	}{
		"one step": {
			job: Job{
				Steps: []Step{step()},
			},
		},
		"chain": {
			job: Job{
				Steps: []Step{step(), step(0), step(0, 1)},
			},
		},
		"no steps": {
			job:  Job{},
			want: "no steps",
		},
		"step that depends on itself": {
			job: Job{
				Steps: []Step{step(0)},
			},
			want: "not an earlier one",
		},
		"step that depends on a later step": {
			job: Job{
				Steps: []Step{step(1), step()},
			},
			want: "not an earlier one",
		},
		"negative step index": {
			job: Job{
				Steps: []Step{step(-1)},
			},
			want: "not an earlier one",
		},
		"spec too long": {
			job: Job{
				Spec:  strings.Repeat("x", MaxSpecBytes+1),
				Steps: []Step{step()},
			},
			want: "the most is 4000",
		},
		"step without tasks": {
			job: Job{
				Steps: []Step{{
					Count: 0,
				}},
			},
			want: "has 0 tasks",
		},
		"negative size": {
			job: Job{
				Steps: []Step{{
					Count: 1,
					Size: worker.Size{
						MilliCores: -1,
					},
				}},
			},
			want: "negative size",
		},
		"too many tasks": {
			job: Job{
				Steps: []Step{{
					Count: MaxTasks,
				}, {
					Count: 1,
				}},
			},
			want: "more than",
		},
		"too many tasks over all repeats": {
			job: Job{
				Steps: []Step{{
					Count: 100,
				}},
				Repeat: MaxTasks,
			},
			want: "more than",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := tt.job.Check()
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrInvalid)
			assert.Contains(t, err.Error(), tt.want)
		})
	}
}

func TestTaskKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := TaskKey{
			Job:        rapid.StringMatching("[0-9a-f]{16}").Draw(t, "job"),
			Occurrence: rapid.IntRange(0, 1000).Draw(t, "occurrence"),
			Step:       rapid.IntRange(0, 100).Draw(t, "step"),
			Index:      rapid.IntRange(0, 10000).Draw(t, "index"),
		}
		parsed, err := ParseTaskKey(key.String())
		require.NoError(t, err)
		assert.Equal(t, key, parsed)
	})
	for _, bad := range []string{"", "a.b", "a.0.0", "a.0.0.x", "a.-1.0.0", "a.0.0.0.0"} {
		_, err := ParseTaskKey(bad)
		require.ErrorIs(t, err, ErrInvalid, bad)
	}
}

// A leader restores jobs and their progress from the store, so records must come
// back as they were written. Times may lose less than a millisecond.
func TestRecordsRoundTrip(t *testing.T) {
	job := &Job{
		ID:       "5c0e7a21d94b36f8",
		Queue:    "quotes",
		Service:  "workshop",
		Spec:     "text",
		Steps:    []Step{step(), step(0)},
		Accepted: time.UnixMilli(1_700_000_000_123).UTC(),
	}
	value, err := EncodeJob(job)
	require.NoError(t, err)
	decodedJob, err := DecodeJob(value)
	require.NoError(t, err)
	assert.Equal(t, job.Accepted.UnixMilli(), decodedJob.Accepted.UnixMilli(), "milliseconds are kept")
	decodedJob.Accepted, decodedJob.FirstRun = job.Accepted, job.FirstRun
	assert.Equal(t, job, decodedJob)

	progress := &Progress{
		State:            Running,
		Started:          true,
		Done:             []byte{5},
		Failures:         map[int][]int64{1: {7, 9}},
		SavedCheckpoints: map[int]string{3: "mark"},
	}
	value, err = EncodeProgress(progress)
	require.NoError(t, err)
	decodedProgress, err := DecodeProgress(value)
	require.NoError(t, err)
	assert.Equal(t, progress, decodedProgress)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, value []byte) {
		if job, err := DecodeJob(value); err == nil {
			_ = job.CriticalPath(func(step *Step) time.Duration { return step.Estimate })
		}
		_, _ = DecodeProgress(value)
	})
}

func TestCriticalPath(t *testing.T) {
	job := Job{
		Steps: []Step{
			{
				Count:    1,
				Estimate: time.Second,
			},
			{
				Count:    1,
				Estimate: 5 * time.Second,
			},
			{
				Count:    1,
				Estimate: 2 * time.Second,
				After:    []int{0},
			},
		},
	}
	assert.Equal(t, 5*time.Second, job.CriticalPath(func(step *Step) time.Duration { return step.Estimate }))
}

// Guards against a list that costs more than it says (review case 12): steps named often
// were gone through each time.
func TestListsOfStepsAreMerged(t *testing.T) {
	long := make([]int, 130900)
	for i := range long {
		long[i] = 1 - i%2
	}
	steps := []Step{step(), step(), step()}
	steps[2].After = long
	spec := &Job{
		ID:    "5c0e7a21d94b36f8",
		Steps: steps,
	}
	value, err := EncodeJob(spec)
	require.NoError(t, err)
	decoded, err := DecodeJob(value)
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1}, decoded.Steps[2].After)

	built := &Job{}
	builder := NewBuilder(built, func(int64) error { return nil })
	for _, next := range steps {
		next.After = slices.Clone(next.After)
		require.NoError(t, builder.Add(next))
	}
	assert.Equal(t, []int{0, 1}, built.Steps[2].After)
}

func TestFollowingIsTheLongestChainBehindAStep(t *testing.T) {
	lasting := func(estimate time.Duration, after ...int) Step {
		return Step{
			Count:    1,
			Estimate: estimate,
			After:    after,
		}
	}
	spec := Job{
		Steps: []Step{
			lasting(time.Second), lasting(2 * time.Second), lasting(4*time.Second, 0), lasting(8*time.Second, 0, 1), lasting(time.Second, 2, 3),
		},
	}
	assert.Equal(t, []time.Duration{9 * time.Second, 9 * time.Second, time.Second, time.Second, 0}, spec.Following())
}

// Guards against occurrences that start at once because their due time overflows (review,
// beside the cases): every week, 20,000 times.
func TestDueTimesBeyondThreeCenturiesDoNotOverflow(t *testing.T) {
	weekly := Job{
		Repeat:   MaxTasks,
		Interval: 7 * 24 * time.Hour,
	}
	assert.Equal(t, 14*24*time.Hour, weekly.DueAfter(2))
	for occurrence := range MaxTasks - 1 {
		require.LessOrEqual(t, weekly.DueAfter(occurrence), weekly.DueAfter(occurrence+1))
	}
	assert.EqualValues(t, math.MaxInt64, weekly.DueAfter(MaxTasks-1))
}

// Guards against a chain of long estimates that overflows: its job would go before others.
func TestChainsOfLongEstimatesDoNotOverflow(t *testing.T) {
	spec := Job{}
	for i := range 1000 {
		next := Step{
			Count:    1,
			Estimate: math.MaxInt64,
		}
		if i > 0 {
			next.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, next)
	}
	assert.EqualValues(t, MaxChain, spec.CriticalPath(func(step *Step) time.Duration { return step.Estimate }))
	assert.EqualValues(t, MaxChain, spec.Following()[0])
}
