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
		spec.Steps[0].Size.MilliCores = min(spec.Steps[0].Size.MilliCores, 1500) // all fit on the smallest workers
	case 1:
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].LongRunning, spec.Steps[0].Gang, spec.Steps[0].Filler = true, false, false
		spec.Steps[0].MaxUnavailable = 1
		if sim.random.IntN(2) == 0 {
			spec.Steps[0].TailTarget, spec.Steps[0].Image = 100*time.Millisecond, "shop"
		}
	}
	if sim.random.IntN(8) == 0 && !spec.Steps[0].Gang { // a gang takes a dozen runs to be given up
		sim.hopeless[spec.ID] = true
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
			MilliCores:  []int64{500, 1000, 1500, 2000, 2000, 3500}[sim.random.IntN(6)],
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
	faults := []func(simWorker *asyncWorker){
		sim.replaceLeader, sim.replaceLeader, sim.stall, sim.toggleStore, sim.cancelOne, sim.cancelOne,
		sim.crash, sim.crash, sim.drain, sim.evacuate, sim.takeBack, sim.takeBack,
		sim.lowerLimit, sim.removeQueue, sim.moveQueue, sim.restoreCatalog, sim.restoreCatalog,
	}
	toggles := []func(){
		func() { simWorker.cut = true },
		func() { simWorker.cut = true },
		func() { simWorker.unhealthy = !simWorker.unhealthy },
		func() { simWorker.silent = !simWorker.silent },
	}
	for range 4 {
		toggles = append(toggles, func() { simWorker.cut = false })
	}
	if drawn := sim.random.IntN(len(faults) + len(toggles)); drawn < len(faults) {
		faults[drawn](simWorker)
	} else {
		toggles[drawn-len(faults)]()
	}
}

func (sim *asyncSimulation) replaceLeader(*asyncWorker) {
	switch {
	case sim.storeDown:
	case sim.random.IntN(2) == 0:
		sim.resume()
	default:
		sim.newLeader()
	}
}

// stall lets the leader's loop get no processor time for a while.
func (sim *asyncSimulation) stall(*asyncWorker) {
	sim.stalledUntil = sim.now.Add(sim.between(asyncStep, 1500*time.Millisecond))
}

func (sim *asyncSimulation) toggleStore(*asyncWorker) {
	sim.storeDown = !sim.storeDown && sim.random.IntN(2) == 0
}

func (sim *asyncSimulation) cancelOne(*asyncWorker) {
	ids := slices.Sorted(maps.Keys(sim.specs))
	if len(ids) == 0 {
		return
	}
	id := ids[sim.random.IntN(len(ids))]
	sim.cancels = append(sim.cancels, id)
	sim.board.Cancel(id, sim.now)
}

func (sim *asyncSimulation) drain(simWorker *asyncWorker) {
	if !simWorker.listing.Draining {
		simWorker.listing.Draining, simWorker.listing.Remaining = true, time.Second
		simWorker.leavesAt = sim.now.Add(sim.between(time.Second, 2*time.Second))
	}
}

func (sim *asyncSimulation) evacuate(*asyncWorker) {
	sim.evacuated = map[string]bool{"recife": true}
	sim.board.Evacuate(sim.evacuated)
}

func (sim *asyncSimulation) takeBack(*asyncWorker) {
	sim.evacuated = nil
	sim.board.Evacuate(nil)
}

func (sim *asyncSimulation) lowerLimit(*asyncWorker) {
	sim.setCatalog(func(changed *catalog.Catalog) {
		north := changed.Organisations["north"]
		north.Limit.MilliCores = 1000 * sim.random.Int64N(4)
		changed.Organisations["north"] = north
	})
}

func (sim *asyncSimulation) removeQueue(*asyncWorker) {
	sim.setCatalog(func(changed *catalog.Catalog) { delete(changed.Queues, "plans") })
}

func (sim *asyncSimulation) moveQueue(*asyncWorker) {
	sim.setCatalog(func(changed *catalog.Catalog) {
		moved := changed.Queues["plans"]
		moved.Service = "mill"
		changed.Queues["plans"] = moved
	})
}

func (sim *asyncSimulation) restoreCatalog(*asyncWorker) {
	sim.setCatalog(func(*catalog.Catalog) {})
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
	sim.calmed, sim.storeDown, sim.evacuated, sim.stalledUntil = true, false, nil, time.Time{}
	sim.board.Evacuate(nil)
	sim.setCatalog(func(*catalog.Catalog) {})
	for _, simWorker := range sim.machines {
		simWorker.cut, simWorker.unhealthy, simWorker.silent = false, false, false
	}
}
