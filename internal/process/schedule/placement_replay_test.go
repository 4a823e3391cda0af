package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/locality"
)

// replayResult holds completion times in units of the job's run time on its rack.
type replayResult struct {
	median, tail float64
	near, far    int
}

// replayOneRack submits jobs of short and long tasks, each of which wants the rack
// of its data: one of five, each of four workers with eight cores. In turn each of
// the first four racks has a burst for 4 s in which its jobs need nearly three
// times its capacity.
func replayOneRack(t *testing.T, decide func(locality.Wait) time.Duration) replayResult {
	t.Helper()
	const factor = 2.0
	fleet := newRackFleet(t, 5, 4, factor)
	fleet.board.placement.worthwhile = decide
	random := rand.New(rand.NewPCG(3, 5))
	estimates := map[string]time.Duration{}
	number := 0
	for tick := range 1600 {
		for i := range 5 {
			// A rack runs 16 tasks at once. Two tasks of 1.2 s each for 4 jobs a
			// second use 10 places, during a burst 18 jobs a second 43.
			arriving := 0.2
			if i == tick/400 && tick%400 < 80 {
				arriving = 0.9
			}
			for ; arriving > random.Float64(); arriving-- {
				id := fmt.Sprintf("j%05d", number)
				number++
				queue, estimate := "plans", 2*time.Second
				if random.IntN(2) == 0 {
					queue, estimate = "quotes", 400*time.Millisecond
				}
				estimates[id] = estimate
				fleet.add(id, queue, onRack(fmt.Sprintf("r%d", i), 2, 2000, estimate))
			}
		}
		fleet.tick()
	}
	for range 1200 {
		if len(fleet.arrivals) > 0 {
			fleet.tick()
		}
	}
	require.Empty(t, fleet.arrivals, "all jobs end")
	var relative []float64
	for id, took := range fleet.finished {
		relative = append(relative, float64(took)/float64(estimates[id]))
	}
	slices.Sort(relative)
	return replayResult{
		median: relative[len(relative)/2],
		tail:   relative[len(relative)*95/100],
		near:   fleet.near,
		far:    fleet.far,
	}
}

func fixedWait(length time.Duration) func(locality.Wait) time.Duration {
	return func(wait locality.Wait) time.Duration {
		return max(0, length-wait.Waited)
	}
}

// Guards against a decision that is no better than none, or than a fixed wait
// (delay scheduling) of any length: one that suits short tasks is too short for
// long ones, and one that suits long tasks makes short ones wait in vain.
func TestWaitsBeatNoWaitAndFixedWaits(t *testing.T) {
	t.Parallel()
	decided := replayOneRack(t, locality.Wait.Worthwhile)
	baselines := map[string]func(locality.Wait) time.Duration{
		"no wait":            fixedWait(0),
		"fixed wait, 200 ms": fixedWait(200 * time.Millisecond),
		"fixed wait, 500 ms": fixedWait(500 * time.Millisecond),
		"fixed wait, 1 s":    fixedWait(time.Second),
		"fixed wait, 2 s":    fixedWait(2 * time.Second),
		"fixed wait, 4 s":    fixedWait(4 * time.Second),
	}
	t.Logf("decision: %+v", decided)
	for name, baseline := range baselines {
		t.Run(name, func(t *testing.T) {
			other := replayOneRack(t, baseline)
			t.Logf("%+v", other)
			assert.LessOrEqual(t, decided.median, other.median)
			assert.Less(t, decided.tail, other.tail)
		})
	}
}
