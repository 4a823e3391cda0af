package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
)

// Guards against a long-running task that waits in silence while another one of its
// job runs, and against one that is followed after its wait.
func TestDownTasksAreCountedByReason(t *testing.T) {
	leading, counts, began := downTerm(t)
	board := leading.leader.board
	leading.reportReasons(began)
	assert.Equal(t, "1", counts.Get("down_task_seconds_no_capacity").String())
	assert.Empty(t, leading.followedTasks, "the wait is short")
	now := began.Add(minLoggedWait)
	leading.reportReasons(now)
	assert.Equal(t, "2", counts.Get("down_task_seconds_no_capacity").String())
	require.Contains(t, leading.followedTasks, "a.0.0.1")
	assert.Equal(t, began, leading.followedTasks["a.0.0.1"].Since)
	assert.Empty(t, leading.followedWaits, "a task of the job runs")
	board.Cancel("a", now)
	leading.reportReasons(now)
	assert.Empty(t, leading.followedTasks)
}

// Guards against room that is taken to be in the service while it is that of this shard,
// counted twice, or of a leader that has gone.
func TestLoadsElsewhereAreRecent(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(free int64, readAt time.Time) publishedLoad {
		return publishedLoad{
			services: map[string]shard.Load{
				"workshop": {
					Free: free,
				},
			},
			readAt: readAt,
		}
	}
	leading := &term{
		leader: &Leader{
			config: Config{
				Shard: 1,
			},
		},
		moves: moves{
			loads: map[int]publishedLoad{
				0: load(100, now.Add(-loadAge)),
				1: load(200, now),
				2: load(300, now.Add(-loadAge-time.Millisecond)),
			},
		},
	}
	assert.Equal(t, map[string][]shard.Load{
		"workshop": {
			{
				Free: 100,
			},
		},
	}, leading.elsewhere(now))
}
