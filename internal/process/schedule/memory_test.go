package schedule

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/request/work"
)

// The estimate covers what the board allocates, and all of it is given back.
func TestMemoryOfJobs(t *testing.T) {
	tests := map[string]*work.Job{
		"many tasks": {
			Steps: []work.Step{
				{
					Count: work.MaxTasks,
				},
			},
		},
		"many steps": {
			Steps: manySteps(work.MaxTasks),
		},
		"many occurrences": {
			Steps:  manySteps(10),
			Repeat: work.MaxTasks / 10,
		},
		"a long list": {
			Steps: []work.Step{
				{
					Count: 1,
				},
				{
					Count: 1,
					After: make([]int, 100000),
				},
			},
		},
	}
	for name, spec := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			board := NewBoard(Config{})
			before, after := runtime.MemStats{}, runtime.MemStats{}
			value, err := work.EncodeJob(spec)
			assert.NoError(t, err)
			runtime.GC()
			runtime.ReadMemStats(&before)
			decoded, err := work.DecodeJob(value)
			assert.NoError(t, err)
			decoded.ID = "00000000000000aa"
			board.AddJob(decoded, nil, false, now, now)
			runtime.GC()
			runtime.ReadMemStats(&after)
			assert.LessOrEqual(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), board.Bytes())
			board.Forget(decoded.ID)
			assert.Zero(t, board.Bytes())
		})
	}
}

func manySteps(count int) []work.Step {
	steps := make([]work.Step, count)
	for i := range steps {
		steps[i].Count = 1
	}
	return steps
}

func TestJobBytes(t *testing.T) {
	assert.EqualValues(t, maxJobBytes, JobBytes(0))
	assert.EqualValues(t, 30<<20, JobBytes(100<<20))
	assert.EqualValues(t, maxJobBytes, JobBytes(1<<30))
}
