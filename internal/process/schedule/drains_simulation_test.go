package schedule

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// workTimes are the times that tasks take.
func (sim *simulation) workTimes() []time.Duration {
	times := []time.Duration{simulationStep, time.Second}
	if sim.drains || sim.queues != nil {
		times = append(times, testLeaseTerm)
	}
	return times
}

// injectDrain draws at most one thing that happens around a draining worker.
func (sim *simulation) injectDrain(id string) {
	simWorker := sim.workers[id]
	switch rapid.SampledFrom([]string{"none", "none", "drain", "unlist", "list", "close"}).Draw(sim.t, "drain") {
	case "drain":
		if simWorker.listing.Draining {
			return
		}
		remaining := time.Duration(rapid.IntRange(0, 80).Draw(sim.t, "remaining")) * simulationStep
		extra := time.Duration(rapid.IntRange(0, 80).Draw(sim.t, "extra")) * simulationStep
		simWorker.listing.Draining, simWorker.listing.Remaining = true, remaining
		simWorker.restartsAt = sim.now.Add(remaining + extra)
	case "unlist":
		simWorker.unlisted = true
	case "list":
		simWorker.unlisted = false
	case "close":
		simWorker.losesAnswer = true
	}
}

// restartDrained replaces the workers that have drained by new incarnations.
func (sim *simulation) restartDrained() {
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		simWorker := sim.workers[id]
		if sim.drains && !simWorker.restartsAt.IsZero() && !sim.now.Before(simWorker.restartsAt) {
			sim.restart(id)
			sim.exits++
		}
	}
}

// Guards against a task that runs twice because something that merely goes with the end
// of a worker is taken for it: entries come and go, answers are lost with their connections,
// and workers that drain work on, while leaders are replaced.
func TestNoTaskOfADrainingWorkerRunsTwice(t *testing.T) {
	exits := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.drains, sim.recordsUnreachable = true, true
		sim.longRunning = rapid.Bool().Draw(t, "long-running")
		sim.runWithFaults()
		exits += sim.exits
		sim.calm()
		for _, simWorker := range sim.workers {
			simWorker.unlisted = false
		}
		for range 300 {
			sim.tick()
		}
		sim.requireAllEnd()
	})
	require.Positive(t, exits)
}
