package leader

import (
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// Stops sent to a worker that had crashed were taken to extend its leases: its
// long-running tasks stayed down for 16 seconds while jobs were cancelled.
func TestOnlyStartsRequestLeases(t *testing.T) {
	tests := map[string]struct {
		order *call
		want  bool
	}{
		"start": {
			order: &call{
				start: &schedule.Start{},
			},
			want: true,
		},
		"stop": {
			order: &call{
				stop: &schedule.Stop{},
			},
		},
		"throttle": {
			order: &call{
				throttle: &schedule.Throttle{},
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			leading := &term{
				leader: &Leader{
					board: schedule.NewBoard(schedule.Config{}),
				},
				token:    1,
				actUntil: now.Add(ActTerm),
				links: map[string]*link{
					"w0": {
						clock:   time.Second,
						clockAt: now,
					},
				},
			}
			leading.order(tt.order, "w0", now)
			assert.Equal(t, tt.want, tt.order.lease.Until > 0)
			assert.Equal(t, leading.token, tt.order.lease.Token)
		})
	}
}

// Guards against a claim that is never released: its order went to a worker that
// had left the list, and the board waited for an answer.
func TestOrderWithoutLinkIsAnswered(t *testing.T) {
	tests := map[string]*call{
		"start_not_sent": {
			start: &schedule.Start{},
		},
		"stop_not_sent": {
			stop: &schedule.Stop{},
		},
		"pace_not_sent": {
			throttle: &schedule.Throttle{},
		},
	}
	for counter, order := range tests {
		t.Run(counter, func(t *testing.T) {
			leading := &term{
				leader: &Leader{
					board: schedule.NewBoard(schedule.Config{}),
					config: Config{
						Counts: new(expvar.Map).Init(),
					},
				},
			}
			leading.order(order, "w0", time.Now())
			assert.NotNil(t, leading.leader.config.Counts.Get(counter))
		})
	}
}
