package right

import (
	"fmt"
	"strings"
	"testing"

	"mustardreach.example/mustardreach/internal/process/golden"
)

// TestGoldenPartitions records which host holds the right through each kind of
// partition. It guards against a right that is kept too long, given up too
// early, or not acquired again after the fault.
func TestGoldenPartitions(t *testing.T) {
	sessions := map[string][]struct {
		description string
		injected    fault
		ticks       int
	}{
		"store_outage": {
			{description: "quiet", injected: noFault, ticks: 12},
			{description: "the store is down", injected: storeDown, ticks: 20},
			{description: "the store is back", injected: noFault, ticks: 6},
		},
		"zone_cut_from_both": {
			{description: "quiet", injected: noFault, ticks: 12},
			{description: "store and peers are unreachable", injected: storeDownPeersCut, ticks: 10},
			{description: "healed", injected: noFault, ticks: 16},
		},
		"holder_paused": {
			{description: "quiet", injected: noFault, ticks: 12},
			{description: "the first host is paused", injected: pauseFirst, ticks: 14},
			{description: "the first host resumes", injected: noFault, ticks: 6},
		},
		"store_back_in_time": {
			{description: "quiet", injected: noFault, ticks: 12},
			{description: "the first host is cut from the store", injected: storeCutFirst, ticks: 14},
			{description: "the store is rolled back and loses its newest writes", injected: storeRolledBack, ticks: 1},
			{description: "healed", injected: noFault, ticks: 16},
		},
	}
	for name, phases := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2)
			session := &golden.Session{}
			lastHolders := "?"
			for _, phase := range phases {
				session.Add(s.now, "-- %s", phase.description)
				s.injectInstant(phase.injected)
				for range phase.ticks {
					s.tick(phase.injected)
					holders := fmt.Sprintf("held by [%s]", strings.Join(s.holders(), ", "))
					if holders != lastHolders {
						session.Add(s.now, "%s", holders)
						lastHolders = holders
					}
				}
			}
			session.Check(t, name)
		})
	}
}
