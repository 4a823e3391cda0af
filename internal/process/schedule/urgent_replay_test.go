package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against quick jobs that wait until the load is over because long-running
// tasks of the same priority leave only pieces that are too small for them. The
// load is that of 350 workers, scaled to 64. The bounds are the targets of
// docs/design/contention.md.
func TestQuickJobsAreServedBesideLongRunningOnes(t *testing.T) {
	t.Parallel()
	const rate = 14.3 * 64 / 350
	tests := map[string]struct {
		share          float64
		maxUnavailable int
	}{
		"88 percent claimed, 2 of 14 may be unavailable": {
			share:          0.88,
			maxUnavailable: 2,
		},
		"95 percent claimed, 2 of 14 may be unavailable": {
			share:          0.95,
			maxUnavailable: 2,
		},
		"97 percent claimed, 2 of 14 may be unavailable": {
			share:          0.97,
			maxUnavailable: 2,
		},
		"97 percent claimed, 5 of 14 may be unavailable": {
			share:          0.97,
			maxUnavailable: 5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(t, 64, 1)
			r.run(2*time.Second, rate)
			r.addLongRunning(tt.share, tt.maxUnavailable)
			r.run(8*time.Second, rate)
			from := r.now
			r.available, r.samples = 0, 0
			r.run(40*time.Second, rate)
			to := r.now
			r.run(13*time.Second, rate)
			got := r.figures(from, to)
			t.Logf("%+v, stops %v, counts %+v", got, r.stops, r.board.urgentCapacity.counts)
			t.Run("share", func(t *testing.T) {
				assert.GreaterOrEqual(t, got.share, 0.75)
			})
			t.Run("largest tenth", func(t *testing.T) {
				assert.GreaterOrEqual(t, got.largeShare, 0.7*got.share)
			})
			t.Run("median within the objective", func(t *testing.T) {
				assert.LessOrEqual(t, got.medianPart, 1.0)
			})
			t.Run("start within three objectives", func(t *testing.T) {
				assert.Zero(t, got.late, "of %d tasks", got.tasks)
			})
			t.Run("limits", func(t *testing.T) {
				assert.Zero(t, r.overMissed, "stops beyond the most unavailable members")
				assert.Zero(t, r.idleWaits, "long-running tasks that waited beside free capacity")
			})
		})
	}
}

// Without the notice period it is not known which members count as unavailable,
// and a step that allows none must lose none.
func TestLongRunningTasksAreNotPreemptedWithoutALimit(t *testing.T) {
	tests := map[string]struct {
		notice         time.Duration
		maxUnavailable int
	}{
		"notice period unknown": {
			maxUnavailable: 2,
		},
		"no unavailable member allowed": {
			notice: replayNotice,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, 6, 1)
			r.board.config.Notice = tt.notice
			r.addLongRunning(0.97, tt.maxUnavailable)
			r.run(8*time.Second, 0)
			r.run(10*time.Second, 2)
			assert.Empty(t, r.stops)
		})
	}
}

// Guards against a successor that stops further members of a step while those
// that its predecessor stopped without an answer may be down.
func TestUnansweredPreemptionsSurviveALeaderChange(t *testing.T) {
	r := newReplay(t, 16, 2)
	r.addLongRunning(0.97, 1)
	r.run(8*time.Second, 0)
	r.unanswered = true
	for range 10 {
		r.addQuick()
	}
	for steps := 0; len(r.stops) == 0 && steps < 100; steps++ {
		r.advance()
	}
	assert.NotEmpty(t, r.stops, "the load causes a preemption")
	r.newLeader(2 * testToken)
	r.unanswered = false
	assert.Empty(t, r.board.reservations, "capacity reserved by the predecessor is free")
	before := r.stops["preempted_for_quick"]
	r.run(replayNotice, 1)
	assert.Equal(t, before, r.stops["preempted_for_quick"], "the successor does not know what was down within the notice period")
	r.run(20*time.Second, 1)
	assert.Greater(t, r.stops["preempted_for_quick"], before, "it preempts once it does")
	assert.Zero(t, r.overMissed)
	assert.Zero(t, r.idleWaits)
}

// Guards against capacity that stays empty because the quick job for which it was
// freed is gone.
func TestCapacityIsReturnedWhenTheQuickJobIsCancelled(t *testing.T) {
	r := newReplay(t, 16, 2)
	r.addLongRunning(0.85, 1) // all of them fit
	r.run(8*time.Second, 0)
	for range 10 {
		r.addQuick()
	}
	for steps := 0; len(r.stops) == 0 && steps < 100; steps++ {
		r.advance()
	}
	assert.NotEmpty(t, r.board.urgentCapacity.preempted)
	for id := range r.quick {
		r.board.Cancel(id, r.now)
	}
	r.run(replayStop+replayPoll+5*replayStep, 0)
	assert.Empty(t, r.board.reservations)
	assert.Empty(t, r.board.urgentCapacity.preempted, "preempted tasks have started again")
}
