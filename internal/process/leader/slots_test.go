package leader

import (
	"context"
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// Guards against orders that wait for ever: the calls of an earlier term of this host
// hold all call slots when the term begins, and their answers are dropped. With as
// many orders waiting as may wait, no further start is decided on either.
func TestSlotsOfAnEarlierTermAreUsed(t *testing.T) {
	leading := New(Config{
		Clock:          time.Now,
		Counts:         new(expvar.Map).Init(),
		RecordDuration: func(string, time.Duration) {},
		Calls: Calls{
			Start: func(context.Context, Target, Lease, schedule.Start) (schedule.Verdict, time.Duration) {
				return schedule.Accepted, 0
			},
		},
	})
	leading.board = schedule.NewBoard(schedule.Config{})
	newTerm := func() *term {
		return &term{
			leader: leading,
			ctx:    t.Context(),
			links: map[string]*link{
				"w0": {},
			},
			actUntil: time.Now().Add(time.Minute),
		}
	}
	earlier, current := newTerm(), newTerm()
	leading.term = current
	for range maxCalls {
		leading.callSlots <- struct{}{}
	}
	current.execute(schedule.Effects{
		Starts: []schedule.Start{
			{
				Worker: "w0",
			},
		},
	}, time.Now())
	for range maxCalls {
		(&call{
			term:       earlier,
			start:      &schedule.Start{},
			validUntil: time.Now().Add(time.Minute),
		}).run(t.Context())
	}
	leading.drainEvents()
	current.execute(schedule.Effects{}, time.Now())
	assert.Empty(t, current.waiting, "all slots are free")
}
