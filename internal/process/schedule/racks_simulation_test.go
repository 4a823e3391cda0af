package schedule

import (
	"testing"

	"pgregory.net/rapid"
)

// preferRacks lets all steps prefer racks, of which each worker has its own.
func (sim *simulation) preferRacks() {
	sim.board.config.RemoteFactor = 3
	for id, simWorker := range sim.workers {
		simWorker.listing.Rack = id
	}
	for _, spec := range sim.specs {
		for s := range spec.Steps {
			step := &spec.Steps[s]
			step.OneRack = step.Count > 1
			if s == 0 {
				step.Rack = "w0"
			}
		}
	}
}

// Guards against tasks that wait for ever, and against those that run twice
// because a wait has kept them from a start: workers are lost, restart and cannot
// be reached, and leaders are replaced. All jobs end once the faults stop.
func TestAllWorkEndsWithPreferredRacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range 60 {
			if sim.next < 8 {
				sim.submit()
			}
			sim.preferRacks()
			sim.injectFault()
			sim.tick()
		}
		for _, simWorker := range sim.workers {
			simWorker.partitioned = false
		}
		for range 600 {
			sim.preferRacks()
			sim.tick()
		}
		sim.requireAllEnd()
	})
}
