package leader

import (
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// Guards against waits that are counted again with each summary.
func TestWaitsAreCountedOnce(t *testing.T) {
	counts := new(expvar.Map).Init()
	leading := &term{
		leader: &Leader{
			board: schedule.NewBoard(schedule.Config{}),
			config: Config{
				Counts: counts,
			},
		},
	}
	leading.reportWaits(schedule.WaitCounts{
		Waiting: 2,
		Started: 3,
		Near:    1,
	})
	total := schedule.WaitCounts{
		Started:  5,
		Near:     3,
		GivenUp:  2,
		Expected: time.Second,
		Actual:   2 * time.Second,
	}
	leading.reportWaits(total)
	leading.reportWaits(total)
	for name, want := range map[string]string{
		"rack_waits_started":     "5",
		"rack_waits_ended_near":  "3",
		"rack_waits_given_up":    "2",
		"rack_waits_expected_ms": "1000",
		"rack_waits_actual_ms":   "2000",
	} {
		assert.Equal(t, want, counts.Get(name).String(), name)
	}
}
