package leader

import (
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// The counters of waiting time must rise by the tasks and the time between two
// summaries, and there is one for each reason and size class only: a counter for
// each job or zone would grow without bound.
func TestWaitsAreCounted(t *testing.T) {
	counted := &term{
		leader: &Leader{
			config: Config{
				Counts: new(expvar.Map).Init(),
			},
		},
	}
	waits := schedule.Waits{
		{
			Reason: schedule.WaitTicket,
			Size:   schedule.WaitLarge,
			Tasks:  3,
		},
	}
	counted.countWaits(waits, 1500*time.Millisecond)
	counted.countWaits(waits, time.Second)
	assert.Equal(t, `{"waited_ms_ticket_large": 7500}`, counted.leader.config.Counts.String())
}
