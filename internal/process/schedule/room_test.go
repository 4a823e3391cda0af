package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// runRoom plays faults for eight seconds and then checks that nothing waits beside
// free capacity.
func (sim *asyncSimulation) runRoom() {
	const faults, longestWait = 8 * time.Second, 3 * time.Second
	for range faults / asyncStep {
		if len(sim.specs) < 24 && sim.random.IntN(5) == 0 {
			sim.submit()
		}
		sim.injectFault()
		sim.tick()
	}
	sim.calm()
	settle := sim.board.longestLease() + testActTerm + 2*time.Second
	for range settle / asyncStep {
		sim.tick()
	}
	for range 6 {
		sim.submit()
	}
	for range 12 * time.Second / asyncStep {
		sim.tick()
		sim.requireNothingIdle(longestWait)
		sim.requireSameAsRunning()
	}
	sim.cancelLongRunning()
	for range 12 * time.Second / asyncStep {
		sim.tick()
		sim.requireNothingIdle(longestWait)
		sim.requireSameAsRunning()
	}
	for id := range sim.specs {
		state, known := sim.board.State(id)
		require.True(sim.t, known, "job %s", id)
		if !state.Final() {
			require.Fail(sim.t, "a job has not ended", sim.describe(id))
		}
	}
	for id, w := range sim.board.workers {
		require.Empty(sim.t, w.claims, "claims on %s", id)
		require.Equal(sim.t, worker.Size{}, w.reserved, "reserved on %s", id)
	}
}

// Guards against an accepted job that has nothing running beside free capacity, and
// against claims and reservations that nothing ends: whatever answers are late,
// lost and refused while workers, leaders, limits and the store change, all totals
// equal the claims, each claim has a next event, and once the faults end nothing
// waits that has room.
func TestNothingWaitsBesideFreeCapacity(t *testing.T) {
	t.Parallel()
	preemptions, handovers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newAsyncSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))
		sim.clocksJump = rapid.Bool().Draw(t, "clocks jump")
		sim.runRoom()
		preemptions += sim.preemptions
		handovers += sim.handovers
	})
	require.Positive(t, preemptions)
	require.Positive(t, handovers)
}
