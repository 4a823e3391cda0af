package schedule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// asyncCatalog has two services, queues of two priorities and two organisations
// without a limit.
func asyncCatalog() *catalog.Catalog {
	out := testCatalog()
	out.Services["mill"] = catalog.Service{
		Name:             "mill",
		EnforcesCapacity: true,
	}
	grinds := out.Queues["plans"]
	grinds.Name, grinds.Service = "grinds", "mill"
	out.Queues["grinds"] = grinds
	out.Organisations = map[string]catalog.Organisation{}
	for _, name := range []string{"north", "south"} {
		out.Organisations[name] = catalog.Organisation{
			Name:   name,
			Weight: 1,
		}
	}
	return out
}

func (sim *asyncSimulation) setCatalog(change func(changed *catalog.Catalog)) {
	changed := asyncCatalog()
	changed.Version = sim.catalog.Version + 1
	change(changed)
	sim.catalog = changed
	sim.board.SetCatalog(changed)
}

// submit adds a random job.
func (sim *asyncSimulation) submit() {
	queue := []string{"quotes", "plans", "plans", "grinds"}[sim.random.IntN(4)]
	service := "workshop"
	if queue == "grinds" {
		service = "mill"
	}
	spec := sim.newSpec(queue, service)
	for s := range 1 + sim.random.IntN(3) {
		spec.Steps = append(spec.Steps, sim.drawStep(s, service))
	}
	switch sim.random.IntN(6) {
	case 0:
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Spread = true, 2+sim.random.IntN(2), 0
	case 1:
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].LongRunning, spec.Steps[0].Gang, spec.Steps[0].Filler = true, false, false
		spec.Steps[0].MaxUnavailable = 1
		if sim.random.IntN(2) == 0 {
			spec.Steps[0].TailTarget, spec.Steps[0].Image = 100*time.Millisecond, "shop"
		}
	}
	sim.accept(spec)
}

func (sim *asyncSimulation) newSpec(queue, service string) *work.Job {
	sim.next++
	return &work.Job{
		ID:           fmt.Sprintf("%016x", sim.next),
		Queue:        queue,
		Service:      service,
		Accepted:     sim.now,
		Organisation: []string{"", "north", "south"}[sim.random.IntN(3)],
	}
}

func (sim *asyncSimulation) accept(spec *work.Job) {
	sim.specs[spec.ID], sim.created[spec.ID] = spec, sim.token+1
	sim.board.AddJob(spec, nil, false, sim.now, sim.now)
}

func (sim *asyncSimulation) drawStep(number int, service string) work.Step {
	step := work.Step{
		Count: 1 + sim.random.IntN(3),
		Size: worker.Size{
			MilliCores:  500 * (1 + sim.random.Int64N(4)),
			MemoryBytes: (1 << 28) * sim.random.Int64N(5),
		},
		Estimate:    500 * time.Millisecond,
		Checkpoints: sim.random.IntN(2) == 0,
	}
	switch sim.random.IntN(8) {
	case 0:
		step.Filler, step.Image = true, []string{"print", "fold"}[sim.random.IntN(2)]
	case 1:
		step.Spread = 1
	case 2:
		if service == "workshop" {
			step.Label = "gpu"
		}
	}
	if number > 0 {
		step.After = []int{sim.random.IntN(number)}
	}
	return step
}

// injectFault draws at most one fault, or its end.
func (sim *asyncSimulation) injectFault() {
	if sim.random.IntN(4) != 0 {
		return
	}
	simWorker := sim.machines[sim.random.IntN(len(sim.machines))]
	switch sim.random.IntN(24) {
	case 0:
		if !sim.storeDown {
			sim.newLeader()
		}
	case 1:
		if !sim.storeDown {
			sim.resume()
		}
	case 2, 3:
		if !simWorker.down {
			sim.crash(simWorker)
		}
	case 4, 5:
		simWorker.cut = true
	case 6, 7, 8, 9:
		simWorker.cut = false
	case 10:
		simWorker.unhealthy = !simWorker.unhealthy
	case 11:
		simWorker.silent = !simWorker.silent
	case 12:
		if !simWorker.listing.Draining {
			simWorker.listing.Draining, simWorker.listing.Remaining = true, time.Second
			simWorker.leavesAt = sim.now.Add(sim.between(time.Second, 2*time.Second))
		}
	case 13:
		sim.evacuated = map[string]bool{"recife": true}
		sim.board.Evacuate(sim.evacuated)
	case 14, 15:
		sim.evacuated = nil
		sim.board.Evacuate(nil)
	case 16:
		sim.storeDown = sim.random.IntN(3) == 0
	case 17:
		sim.setCatalog(func(changed *catalog.Catalog) {
			north := changed.Organisations["north"]
			north.Limit.MilliCores = 1000 * sim.random.Int64N(4)
			changed.Organisations["north"] = north
		})
	case 18:
		sim.setCatalog(func(changed *catalog.Catalog) { delete(changed.Queues, "plans") })
	case 19:
		sim.setCatalog(func(*catalog.Catalog) {})
	case 20, 21:
		if ids := slices.Sorted(maps.Keys(sim.specs)); len(ids) > 0 {
			id := ids[sim.random.IntN(len(ids))]
			sim.cancels = append(sim.cancels, id)
			sim.board.Cancel(id, sim.now)
		}
	}
}

// cancelLongRunning makes room for all other jobs.
func (sim *asyncSimulation) cancelLongRunning() {
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		if sim.specs[id].LongRunning() {
			sim.cancels = append(sim.cancels, id)
			sim.board.Cancel(id, sim.now)
		}
	}
}

// calm ends all faults: from here on workers come back, and calls get through and
// are answered.
func (sim *asyncSimulation) calm() {
	sim.calmed, sim.storeDown, sim.evacuated = true, false, nil
	sim.board.Evacuate(nil)
	sim.setCatalog(func(*catalog.Catalog) {})
	for _, simWorker := range sim.machines {
		simWorker.cut, simWorker.unhealthy, simWorker.silent = false, false, false
	}
}
