package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// quotaSimulation adds organisations to a simulation. Their limits change while
// starts are under way, and one leaves the configuration.
type quotaSimulation struct {
	organisations map[string]catalog.Organisation
	// history holds the limits of each organisation since the start, oldest first.
	history map[string][]limitSince
	// learned is what the store holds for the next leader.
	learned Learned
}

type limitSince struct {
	at    time.Time
	limit worker.Size
}

func newQuotaSimulation(t *rapid.T) *simulation {
	sim := newSimulation(t)
	sim.quotas = &quotaSimulation{
		organisations: map[string]catalog.Organisation{},
		history:       map[string][]limitSince{},
	}
	for _, name := range []string{"mill", "press"} {
		sim.setLimit(name, rapid.Int64Range(2, 6).Draw(t, "limit"))
	}
	return sim
}

func (sim *simulation) catalog() *catalog.Catalog {
	out := testCatalog()
	if sim.quotas != nil {
		out.Organisations = maps.Clone(sim.quotas.organisations)
	}
	for name, service := range sim.queues {
		queue := out.Queues[name]
		queue.Service = service
		out.Queues[name] = queue
	}
	return out
}

func (sim *simulation) setLimit(name string, cores int64) {
	limit := worker.Size{
		MilliCores: cores * 1000,
	}
	sim.quotas.organisations[name] = catalog.Organisation{
		Name:   name,
		Weight: 1,
		Limit:  limit,
	}
	sim.quotas.history[name] = append(sim.quotas.history[name], limitSince{
		at:    sim.now,
		limit: limit,
	})
	sim.applyCatalog()
}

func (sim *simulation) applyCatalog() {
	sim.board.SetCatalog(sim.catalog())
	if sim.previous != nil {
		sim.previous.SetCatalog(sim.catalog())
	}
}

// assign gives a job to an organisation and varies what its tasks ask for.
func (q *quotaSimulation) assign(t *rapid.T, spec *work.Job) {
	spec.Organisation = rapid.SampledFrom([]string{"mill", "press"}).Draw(t, "organisation")
	for s := range spec.Steps {
		spec.Steps[s].Size.MilliCores = rapid.Int64Range(1, 2).Draw(t, "cores") * 1000
		spec.Steps[s].Filler = !spec.Steps[s].LongRunning && rapid.Bool().Draw(t, "filler")
	}
}

// checkQuota fails if a start brings what runs on all workers, including what is
// partitioned or was stopped, above the limit that was in force when the start
// was ordered or at any time since. Limits change after the decisions of a step.
func (sim *simulation) checkQuota(order delayedStart) {
	name := sim.specs[order.start.Key.Job].Organisation
	used := sim.requested(order.start.Key)
	for _, simWorker := range sim.workers {
		for key := range simWorker.running {
			if sim.specs[key.Job].Organisation == name {
				used += sim.requested(key)
			}
		}
	}
	highest := int64(0)
	history := sim.quotas.history[name]
	for i, entry := range history {
		if i == len(history)-1 || !history[i+1].at.Before(order.ordered) {
			highest = max(highest, entry.limit.MilliCores)
		}
	}
	require.LessOrEqual(sim.t, used, highest, "%s of %s on %s", order.start.Key, name, order.worker)
}

func (sim *simulation) requested(key work.TaskKey) int64 {
	return sim.specs[key.Job].Steps[key.Step].Size.MilliCores
}

func (sim *simulation) changeQuota() {
	name := rapid.SampledFrom([]string{"mill", "press"}).Draw(sim.t, "changed")
	switch rapid.IntRange(0, 24).Draw(sim.t, "change") {
	case 0, 1:
		sim.setLimit(name, rapid.Int64Range(1, 8).Draw(sim.t, "limit"))
	case 2:
		// A limit that is reduced and removed from the configuration before it is
		// saved for the next leader is a known gap: docs/design/quotas.md.
		if _, saved := sim.quotas.learned.Limits[name]; saved {
			sim.saveLimits()
		}
		delete(sim.quotas.organisations, name)
		sim.applyCatalog()
	case 3, 4:
		sim.saveLimits()
	}
}

func (sim *simulation) saveLimits() {
	sim.quotas.learned = Learned{
		Limits: sim.board.Learned().Limits,
	}
}

func (sim *simulation) runQuotas() {
	for range 120 {
		if sim.next < 8 && rapid.IntRange(0, 2).Draw(sim.t, "submit") == 0 {
			sim.submit()
		}
		sim.injectFault()
		sim.changeQuota()
		sim.tick()
	}
}

// Guards against a start that brings an organisation above its limit: starts
// without an answer, stops under way, lost workers, new leaders while the former
// one still acts, and changed limits.
func TestOrganisationStaysWithinLimit(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		longRunning, resigns bool
	}{
		"leaders replaced": {},
		"long-running tasks": {
			longRunning: true,
		},
		"leaders that resign": {
			longRunning: true,
			resigns:     true,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newQuotaSimulation(t)
				sim.longRunning, sim.resigns = tests[name].longRunning, tests[name].resigns
				sim.runQuotas()
			})
		})
	}
}

// Guards against use that is counted and never given back: all jobs end once
// the faults stop.
func TestOrganisationsWorkEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newQuotaSimulation(t)
		for range 60 {
			if sim.next < 4 {
				sim.submit()
			}
			sim.injectFault()
			sim.changeQuota()
			sim.tick()
		}
		for _, simWorker := range sim.workers {
			simWorker.partitioned = false
		}
		sim.setLimit("mill", 2)
		sim.setLimit("press", 2)
		for range 600 {
			sim.tick()
		}
		for id := range sim.specs {
			state, known := sim.board.State(id)
			require.True(t, known)
			require.True(t, state.Final(), "job %s is %s", id, state)
		}
		for range 100 { // ends of runs that were stopped
			sim.tick()
		}
		for _, name := range []string{"mill", "press"} {
			running, possible := sim.board.quotas.Account(name).Use()
			require.Equal(t, worker.Size{}, running, fmt.Sprintf("%s runs nothing", name))
			require.Equal(t, worker.Size{}, possible, fmt.Sprintf("%s may run nothing", name))
		}
	})
}
