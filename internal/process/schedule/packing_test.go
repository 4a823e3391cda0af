package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against long-running tasks that break up the pieces of capacity that
// quick tasks need, and against packing where there are no such tasks.
func TestLongRunningTasksLeavePiecesForQuickOnes(t *testing.T) {
	tests := map[string]struct {
		queue string
		jobs  int
		cores int64
		// fixed is set if the step states no limit of unavailable members.
		fixed bool
		// packed is set if the task goes to the worker with less free capacity.
		packed bool
	}{
		"quick tasks need pieces of 6 cores": {
			queue:  "quotes",
			jobs:   20,
			cores:  6000,
			packed: true,
		},
		// Such placements lower what fillers beside serving tasks get, without a
		// preemption that would make up for it.
		"step that may not be preempted": {
			queue: "quotes",
			jobs:  20,
			cores: 6000,
			fixed: true,
		},
		"quick tasks of a lower priority": {
			queue: "plans",
			jobs:  20,
			cores: 6000,
		},
		"a single quick job": {
			queue: "quotes",
			jobs:  1,
			cores: 6000,
		},
		"no quick tasks": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.config.Notice = replayNotice
			now := testStart
			blocker := testJob("blocker", "quotes", tasks(1, 4000))
			blocker.Steps[0].LongRunning = true
			board.AddJob(blocker, nil, false, now, now)
			effects := decideAndSave(board, now)
			require.Len(t, effects.Starts, 1)
			accept(board, effects, now)
			fuller := effects.Starts[0].Worker
			for i := range tt.jobs {
				now = now.Add(50 * time.Millisecond)
				id := fmt.Sprintf("quick%d", i)
				board.AddJob(testJob(id, tt.queue, tasks(2, tt.cores)), nil, false, now, now)
				board.Cancel(id, now)
			}
			now = now.Add(scanInterval)
			serving := testJob("serving", "quotes", tasks(1, 2000))
			serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, time.Second
			if !tt.fixed {
				serving.Steps[0].MaxUnavailable = 1
			}
			board.AddJob(serving, nil, false, now, now)
			effects = decideAndSave(board, now)
			require.Len(t, effects.Starts, 1)
			assert.Equal(t, tt.packed, effects.Starts[0].Worker == fuller)
		})
	}
}
