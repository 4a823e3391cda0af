package leader

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a wait beside free capacity of which no counter tells, and against
// a job that is followed after its wait.
func TestWaitsAreCountedByReason(t *testing.T) {
	now := time.Unix(1000, 0)
	board := schedule.NewBoard(schedule.Config{
		LeaseTerm: time.Second,
	})
	board.Begin(1, now)
	board.SetWorkers(map[string]schedule.Listing{
		"w0": {
			ID:      "w0",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 8000,
			},
		},
	}, true, now)
	board.AddJob(&work.Job{
		ID:       "a",
		Service:  "workshop",
		Accepted: now,
		Steps: []work.Step{
			{
				Count: 3,
				Size: worker.Size{
					MilliCores: 1000,
				},
			},
		},
	}, nil, false, now, now)
	counts := new(expvar.Map).Init()
	leading := &term{
		leader: &Leader{
			board: board,
			config: Config{
				Counts: counts,
			},
		},
	}
	board.Decide(now, true)
	leading.reportReasons(now)
	assert.Equal(t, "3", counts.Get("waiting_task_seconds_no_worker").String())
	assert.Empty(t, leading.followedWaits, "the wait is short")
	now = now.Add(2 * minLoggedWait)
	board.Decide(now, true)
	leading.reportReasons(now)
	assert.Equal(t, "6", counts.Get("waiting_task_seconds_no_worker").String())
	require.Contains(t, leading.followedWaits, "a")
	assert.Equal(t, map[string]int{"unreachable": 1}, new(leading.followedWaits["a"].Excluded).Words())
	board.Cancel("a", now)
	leading.reportReasons(now)
	assert.Empty(t, leading.followedWaits)
}

// Guards against lines and state that grow with the number of waiting jobs.
func TestLoggedWaitsAreFew(t *testing.T) {
	now := time.Unix(1000, 0)
	var longest []schedule.Waiting
	followed := followedWaits{}
	for i := range 380 {
		waits := schedule.Waiting{
			Job:   fmt.Sprintf("%03d", i),
			Since: now.Add(-time.Minute),
		}
		longest = append(longest, waits)
		followed.follow(waits.Job, waits)
	}
	assert.Len(t, longWaits(longest, now), maxLoggedWaits)
	assert.Len(t, followed, maxFollowedWaits)
	assert.Len(t, followed.update(nil), maxLoggedWaits)
	assert.Len(t, followed, maxFollowedWaits-maxLoggedWaits)
	assert.Empty(t, longWaits([]schedule.Waiting{
		{
			Since: now.Add(-minLoggedWait / 2),
		},
	}, now), "the wait is short")
}

// Guards against a wait that is taken for the one before it: a run has ended in
// between.
func TestWaitEndsWithARun(t *testing.T) {
	now := time.Unix(1000, 0)
	first := schedule.Waiting{
		Job:    "a",
		Since:  now,
		Reason: schedule.Quota,
	}
	followed := followedWaits{}
	followed.follow(first.Job, first)
	next := first
	next.Reason = schedule.NoWorker
	assert.Empty(t, followed.update(map[string]schedule.Waiting{"a": next}))
	assert.Equal(t, schedule.NoWorker, followed["a"].Reason)
	again := next
	again.Since = now.Add(time.Second)
	assert.Equal(t, []schedule.Waiting{next}, followed.update(map[string]schedule.Waiting{"a": again}))
	assert.Empty(t, followed)
}
