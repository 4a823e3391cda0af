package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// excludeAll gives workers so many failures that they are excluded for longestPause.
func excludeAll(board *Board, now time.Time, ids ...string) {
	for _, id := range ids {
		for range exclusionFailures + 1 {
			board.workers[id].health.record(EndedFailed, now)
		}
	}
}

// Guards against accepted jobs with nothing running beside empty workers: tasks that
// fail by their own fault exclude all workers of a small service, time and again for
// longer than the 3 s after which users count a job as lost.
func TestJobStartsWhereAllWorkersAreExcluded(t *testing.T) {
	const lostAfter = 3 * time.Second
	tests := map[string]struct {
		excluded []string
		// label is what the job asks for; w0 has it.
		label string
		// starts is set if the job starts within lostAfter.
		starts bool
	}{
		"all": {
			excluded: []string{"w0", "w1", "w2"},
			starts:   true,
		},
		"most": {
			excluded: []string{"w0", "w1"},
			starts:   true,
		},
		"the only one with the label": {
			excluded: []string{"w0"},
			label:    "press",
			starts:   true,
		},
		"one, and the others are full": {
			excluded: []string{"w0"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1", "w2")
			board.workers["w0"].Labels = []string{"press"}
			long := testJob("long", "plans", tasks(3-len(tt.excluded), 8000))
			if len(tt.excluded) < 3 && tt.label == "" {
				excludeAll(board, testStart, tt.excluded...)
				board.AddJob(long, nil, false, testStart, testStart)
				accept(board, board.Decide(testStart, true), testStart)
			}
			now := testStart
			excludeAll(board, now, tt.excluded...)
			step := tasks(1, 1000)
			step.Label = tt.label
			board.AddJob(testJob("a", "plans", step), nil, false, now, now)
			require.Empty(t, board.Decide(now, true).Starts, "trusted workers are tried first")
			started := 0
			for range (lostAfter - scanInterval) / scanInterval {
				now = now.Add(scanInterval)
				started += len(board.Decide(now, true).Starts)
			}
			assert.Equal(t, tt.starts, started > 0)
		})
	}
}
