package leader

import (
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a worker with other runs than claims of which no counter tells, and
// against counts of starts that are under way.
func TestDifferencesAreCounted(t *testing.T) {
	counts := new(expvar.Map).Init()
	now := time.Unix(1000, 0)
	board := schedule.NewBoard(schedule.Config{})
	board.Begin(1, now)
	board.SetWorkers(map[string]schedule.Listing{
		"w0": {
			ID: "w0",
			Capacity: worker.Size{
				MilliCores: 1000,
			},
		},
	}, true, now)
	leading := &term{
		leader: &Leader{
			board: board,
			config: Config{
				Counts: counts,
			},
		},
	}
	inventory := schedule.Inventory{
		Running: []schedule.RunningTask{
			{
				Key: work.TaskKey{
					Job: "unknown",
				},
				Run: 1,
			},
		},
	}
	for _, after := range []time.Duration{0, callTimeout, 3 * callTimeout} {
		board.ApplyReport("w0", inventory, now.Add(after))
		leading.reportDifferences(now.Add(after))
	}
	assert.Equal(t, "1", counts.Get("claims_differ_worker_seconds").String())
}
