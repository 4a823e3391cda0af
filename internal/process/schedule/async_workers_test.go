package schedule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	asyncMachines = 5
	// asyncEndsListed is the most ends in one inventory.
	asyncEndsListed = 3
	// asyncEntryTerm is how long the entry of a silent worker stays in the list.
	asyncEntryTerm = 1500 * time.Millisecond
)

type asyncRun struct {
	run int64
	// left is what is left of the work, and work all of it.
	left, work time.Duration
	began      time.Time
	// whole is set once all members of its gang ran.
	whole bool
	// percent is the throttle level.
	percent int
}

// progress is the part of the work that is done, in percent.
func (r *asyncRun) progress() int {
	return int(unthrottled * (r.work - r.left) / r.work)
}

// asyncWorker is the worker that a machine runs, with the state that the protocol
// requires.
type asyncWorker struct {
	listing Listing
	token   int64
	running map[work.TaskKey]*asyncRun
	barred  map[work.TaskKey]int64
	ended   []EndedTask
	number  int64
	until   time.Time
	// down workers have shut down or crashed; another starts at backAt.
	down   bool
	backAt time.Time
	// cut workers can't be reached, unhealthy ones refuse orders, silent ones do not
	// write their entry.
	cut, unhealthy, silent bool
	// leavesAt is when a draining worker shuts down.
	leavesAt time.Time
}

// asyncEntry is a worker's entry in the discovery list.
type asyncEntry struct {
	listing Listing
	at      time.Time
}

func (sim *asyncSimulation) newWorker(machine int, id string, born time.Time) *asyncWorker {
	listing := Listing{
		ID:      id,
		Address: testAddress(machine),
		Zone:    []string{"recife", "olinda"}[machine%2],
		Service: "workshop",
		Capacity: worker.Size{
			MilliCores:  4000,
			MemoryBytes: 4 << 30,
		},
		Born: born,
	}
	switch machine {
	case 2:
		listing.Capacity.MilliCores, listing.Capacity.MemoryBytes = 8000, 8<<30
		listing.Labels = []string{"gpu"}
	case 3, 4:
		listing.Service = "mill"
	}
	if machine != 2 && sim.random.IntN(3) == 0 {
		listing.Capacity.MilliCores = []int64{3500, 6000}[sim.random.IntN(2)]
	}
	return &asyncWorker{
		listing: listing,
		running: map[work.TaskKey]*asyncRun{},
		barred:  map[work.TaskKey]int64{},
	}
}

// at returns the worker that answers at the address of the worker with an id.
func (sim *asyncSimulation) at(id string) *asyncWorker {
	for _, simWorker := range sim.machines {
		if simWorker.listing.ID == id {
			return simWorker
		}
	}
	if w := sim.board.workers[id]; w != nil {
		for _, simWorker := range sim.machines {
			if simWorker.listing.Address == w.Address {
				return simWorker
			}
		}
	}
	return nil
}

func (simWorker *asyncWorker) reachable() bool {
	return simWorker != nil && !simWorker.down && !simWorker.cut
}

// heartbeats writes the workers' entries and drops old ones.
func (sim *asyncSimulation) heartbeats() {
	for _, simWorker := range sim.machines {
		if !simWorker.down && !simWorker.silent && !sim.chance(70) {
			sim.entries[simWorker.listing.ID] = asyncEntry{
				listing: simWorker.listing,
				at:      sim.now,
			}
		}
	}
	maps.DeleteFunc(sim.entries, func(_ string, entry asyncEntry) bool {
		return sim.now.Sub(entry.at) > asyncEntryTerm
	})
}

// deliverList gives the board the discovery list. While the store is down the list
// is not reliable and may lack workers.
func (sim *asyncSimulation) deliverList() {
	listings := map[string]Listing{}
	for _, id := range slices.Sorted(maps.Keys(sim.entries)) {
		if !sim.storeDown || !sim.chance(30) {
			listings[id] = sim.entries[id].listing
		}
	}
	sim.board.SetWorkers(listings, !sim.storeDown, sim.now)
	sim.roster = sim.board.Roster()
}

// call sends an order. The answer is lost, late or a refusal.
func (sim *asyncSimulation) call(order asyncOrder, execute func(simWorker *asyncWorker) Verdict, reply func(verdict Verdict)) {
	term, token := sim.term, sim.token
	sim.inFlight[order]++
	answer := func(verdict Verdict) {
		if sim.term != term || sim.inFlight[order] == 0 {
			return
		}
		if sim.inFlight[order]--; sim.inFlight[order] == 0 {
			delete(sim.inFlight, order)
		}
		if verdict == Fenced && token != sim.token {
			verdict = TooLate // as the leader does
		}
		reply(verdict)
	}
	answered := false
	once := func(verdict Verdict) {
		if !answered {
			answered = true
			sim.atBoard(func() { answer(verdict) })
		}
	}
	target := sim.at(order.worker)
	if !target.reachable() && (sim.calmed || sim.random.IntN(2) == 0) || sim.chance(5) {
		sim.post(sim.delay(), func() { once(NotSent) })
		return
	}
	sim.post(asyncCallTimeout, func() { once(Unknown) })
	if sim.chance(5) {
		return
	}
	delay := sim.delay()
	if sim.chance(4) {
		delay = sim.between(asyncCallTimeout, 6*time.Second)
	}
	sim.post(delay, func() {
		simWorker := sim.at(order.worker)
		if !simWorker.reachable() {
			return
		}
		verdict := OtherWorker
		switch {
		case simWorker.listing.ID != order.worker:
		case simWorker.unhealthy:
			verdict = Unhealthy
		case sim.chance(1):
			verdict = Malformed
		default:
			verdict = execute(simWorker)
		}
		if !sim.chance(5) {
			sim.post(sim.delay(), func() { once(verdict) })
		}
	})
}

func (sim *asyncSimulation) sendStart(start Start) {
	until, token := sim.now.Add(testLeaseTerm), sim.token
	sim.board.LeaseExtended(start.Worker, sim.now)
	sim.call(asyncOrder{
		kind:   "start",
		worker: start.Worker,
		key:    start.Key,
		run:    start.Run,
	}, func(simWorker *asyncWorker) Verdict {
		return sim.start(simWorker, start, token, until)
	}, func(verdict Verdict) {
		sim.board.StartReplied(start, verdict, sim.now)
	})
}

func (sim *asyncSimulation) start(simWorker *asyncWorker, start Start, token int64, until time.Time) Verdict {
	present := simWorker.running[start.Key]
	switch {
	case token < simWorker.token:
		return Fenced
	case until.Before(sim.now):
		return TooLate
	case present != nil && present.run == start.Run:
		return Accepted
	case start.Run <= simWorker.barred[start.Key] || present != nil && start.Run < present.run:
		return Outdated
	}
	simWorker.token = token
	simWorker.until = later(simWorker.until, until)
	size := sim.specs[start.Key.Job].Steps[start.Key.Step].Size
	if sim.specs[start.Key.Job].Steps[start.Key.Step].Filler {
		size.MilliCores = 0
	}
	if present != nil || !size.FitsIn(sim.freeOn(simWorker)) {
		return NoRoom
	}
	left := sim.between(asyncStep, time.Second)
	if start.Checkpoint != "" {
		left /= 2
	}
	simWorker.running[start.Key] = &asyncRun{
		run:     start.Run,
		left:    left,
		work:    left,
		began:   sim.now,
		percent: unthrottled,
	}
	return Accepted
}

// freeOn is the capacity of a worker that nothing uses that runs there.
func (sim *asyncSimulation) freeOn(simWorker *asyncWorker) worker.Size {
	free := simWorker.listing.Capacity
	for key := range simWorker.running {
		free = free.Sub(reservedSize(&sim.specs[key.Job].Steps[key.Step]))
	}
	return free
}

func (sim *asyncSimulation) sendStop(stop Stop) {
	token := sim.token
	sim.call(asyncOrder{
		kind:   "stop",
		worker: stop.Worker,
		key:    stop.Key,
		run:    stop.Run,
	}, func(simWorker *asyncWorker) Verdict {
		if token < simWorker.token {
			return Fenced
		}
		simWorker.token = token
		simWorker.barred[stop.Key] = max(simWorker.barred[stop.Key], stop.Run)
		if running := simWorker.running[stop.Key]; running != nil && running.run <= stop.Run {
			after := time.Duration(0)
			if !sim.calmed {
				after = sim.between(0, testStopGrace)
			}
			sim.post(after, func() {
				if simWorker.running[stop.Key] == running && !simWorker.down {
					sim.end(simWorker, stop.Key, EndedStopped)
				}
			})
		}
		return Accepted
	}, func(verdict Verdict) {
		sim.board.StopReplied(stop, verdict, sim.now)
	})
}

func (sim *asyncSimulation) end(simWorker *asyncWorker, key work.TaskKey, ending Ending) {
	running := simWorker.running[key]
	delete(simWorker.running, key)
	checkpoint := ""
	if sim.specs[key.Job].Steps[key.Step].Checkpoints && ending == EndedStopped {
		checkpoint = fmt.Sprint(running.run)
	}
	simWorker.number++
	simWorker.barred[key] = max(simWorker.barred[key], running.run)
	simWorker.ended = append(simWorker.ended, EndedTask{
		Number:     simWorker.number,
		Key:        key,
		Run:        running.run,
		Ending:     ending,
		Checkpoint: checkpoint,
	})
}

// pollAll sends the polls that are due, one at a time to each worker.
func (sim *asyncSimulation) pollAll() {
	for _, listing := range sim.board.Roster() {
		if sim.links[listing.ID] == nil {
			sim.links[listing.ID] = &asyncLink{
				withoutAck: true,
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sim.links)) {
		if link := sim.links[id]; sim.board.workers[id] == nil {
			delete(sim.links, id)
		} else if !link.busy && !sim.now.Before(link.due) {
			sim.poll(id, link)
		}
	}
}

func (sim *asyncSimulation) poll(id string, link *asyncLink) {
	sent, token := sim.now, sim.token
	seen, _ := sim.board.LastSeen(id)
	wait := asyncPollWait
	if link.withoutAck {
		seen, wait = 0, 0
	}
	var until time.Time
	if !link.lost && sim.allowed() && sim.board.MayRequestLease(id) {
		until = sent.Add(testLeaseTerm)
		sim.board.LeaseExtended(id, sent)
	}
	link.busy = true
	finished := false
	finish := func(inventory *Inventory) {
		if !finished {
			finished = true
			if inventory != nil {
				inventory.Received = sim.now
			}
			sim.atBoard(func() { sim.polled(id, link, token, inventory) })
		}
	}
	sim.post(wait+asyncCallTimeout, func() { finish(nil) })
	target := sim.at(id)
	if !target.reachable() || sim.chance(5) {
		if sim.random.IntN(2) == 0 {
			sim.post(sim.delay(), func() { finish(nil) })
		}
		return
	}
	if sim.calmed {
		wait = 0
	}
	sim.post(sim.delay(), func() {
		simWorker := sim.at(id)
		if !simWorker.reachable() {
			return
		}
		if simWorker.listing.ID != id {
			finish(nil)
			return
		}
		if token < simWorker.token {
			if sim.links[id] == link && token == sim.token {
				sim.newLeader()
			}
			return
		}
		simWorker.token = token
		simWorker.until = later(simWorker.until, until)
		simWorker.ended = slices.DeleteFunc(simWorker.ended, func(end EndedTask) bool { return end.Number <= seen })
		sim.post(sim.between(0, wait), func() {
			if sim.at(id) != simWorker || !simWorker.reachable() {
				return
			}
			inventory := sim.inventory(simWorker, sent)
			sim.post(sim.delay(), func() { finish(inventory) })
		})
	})
}

func (sim *asyncSimulation) polled(id string, link *asyncLink, token int64, inventory *Inventory) {
	link.busy = false
	if sim.links[id] != link {
		return
	}
	if inventory == nil {
		link.lost, link.withoutAck, link.due = true, true, sim.now.Add(asyncPollRetry)
		if sim.random.IntN(2) == 0 { // also that of a worker that goes on
			sim.board.ConnectionBroken(id, sim.now)
		}
		sim.board.MarkUnreachable(id, sim.now)
		return
	}
	if token != sim.token {
		return
	}
	link.lost, link.withoutAck = false, false
	sim.board.ApplyReport(id, *inventory, sim.now)
}

func (sim *asyncSimulation) inventory(simWorker *asyncWorker, sent time.Time) *Inventory {
	out := &Inventory{
		Born:  simWorker.listing.Born,
		Ended: slices.Clone(simWorker.ended),
		Sent:  sent,
	}
	if len(out.Ended) >= asyncEndsListed {
		out.Ended, out.EndsOmitted = out.Ended[:asyncEndsListed], true
	}
	for _, key := range slices.SortedFunc(maps.Keys(simWorker.running), compareKeys) {
		step := &sim.specs[key.Job].Steps[key.Step]
		row := RunningTask{
			Key: key,
			Run: simWorker.running[key].run,
		}
		switch {
		case step.TailTarget > 0:
			row.Percent, row.Tail = 100, sim.tail(simWorker, step.TailTarget)
		case step.LongRunning:
			row.Percent, row.MilliCores = 100, step.Size.MilliCores
		default:
			row.Percent = simWorker.running[key].progress()
			row.MilliCores = step.Size.MilliCores * int64(simWorker.running[key].percent) / unthrottled
		}
		out.Running = append(out.Running, row)
	}
	return out
}

// tail is the tail latency of what serves on a worker: half of its target, and more
// with each core that fillers of one image use.
func (sim *asyncSimulation) tail(simWorker *asyncWorker, target time.Duration) time.Duration {
	out := target / 2
	for key, running := range simWorker.running {
		step := &sim.specs[key.Job].Steps[key.Step]
		if step.Filler && step.Image == "print" {
			out += target / 2 * time.Duration(step.Size.MilliCores*int64(running.percent)/unthrottled) / 1000
		}
	}
	return out
}

func (sim *asyncSimulation) sendThrottle(order Throttle) {
	token := sim.token
	sim.call(asyncOrder{
		kind:   "throttle",
		worker: order.Worker,
		key:    order.Key,
		run:    order.Run,
	}, func(simWorker *asyncWorker) Verdict {
		if token < simWorker.token {
			return Fenced
		}
		if running := simWorker.running[order.Key]; running != nil && running.run == order.Run {
			running.percent = order.Percent
		}
		return Accepted
	}, func(verdict Verdict) {
		sim.board.ThrottleReplied(order, verdict)
	})
}

// advance lets runs work, lapse and end, and workers come back.
func (sim *asyncSimulation) advance() {
	members := map[gangRun]int{}
	for _, simWorker := range sim.machines {
		for key, running := range simWorker.running {
			members[gangRun{
				step: stepOf(key),
				run:  running.run,
			}]++
		}
	}
	for i, simWorker := range sim.machines {
		if simWorker.down {
			if !sim.now.Before(simWorker.backAt) {
				sim.revive(i)
			}
			continue
		}
		for _, key := range slices.SortedFunc(maps.Keys(simWorker.running), compareKeys) {
			sim.work(simWorker, key, members)
		}
		if simWorker.listing.Draining && !sim.now.Before(simWorker.leavesAt) {
			sim.crash(simWorker)
			delete(sim.entries, simWorker.listing.ID)
		}
	}
}

func (sim *asyncSimulation) work(simWorker *asyncWorker, key work.TaskKey, members map[gangRun]int) {
	running, spec := simWorker.running[key], &sim.specs[key.Job].Steps[key.Step]
	sim.lastRun[key] = sim.now
	whole := !spec.Gang || members[gangRun{
		step: stepOf(key),
		run:  running.run,
	}] == spec.Count
	switch {
	case sim.now.After(simWorker.until):
		sim.end(simWorker, key, EndedLapsed)
	case whole:
		running.whole = true
		running.left -= asyncStep * time.Duration(running.percent) / unthrottled
		if running.left <= 0 && !spec.LongRunning {
			ending := EndedDone
			if sim.chance(10) || sim.hopeless[key.Job] {
				ending = EndedFailed
			}
			sim.end(simWorker, key, ending)
		}
	case running.whole && running.left <= asyncStep:
		sim.end(simWorker, key, EndedDone)
	case running.whole:
		sim.end(simWorker, key, EndedBroken)
	case sim.now.Sub(running.began) > gangWait:
		sim.end(simWorker, key, EndedAlone)
	}
}

// crash ends a worker and all that runs on it.
func (sim *asyncSimulation) crash(simWorker *asyncWorker) {
	if simWorker.down {
		return
	}
	simWorker.down = true
	simWorker.backAt = sim.now.Add(sim.between(asyncStep, 2*time.Second))
	clear(simWorker.running)
}

// revive starts another worker on a machine, under the same id or another one.
func (sim *asyncSimulation) revive(machine int) {
	former := sim.machines[machine]
	id, born := former.listing.ID, sim.now
	if sim.random.IntN(3) == 0 {
		sim.next++
		id = fmt.Sprintf("w%d-%d", machine, sim.next)
	}
	if sim.clocksJump && sim.random.IntN(2) == 0 {
		born = former.listing.Born.Add(-time.Second)
	}
	sim.machines[machine] = sim.newWorker(machine, id, born)
	sim.machines[machine].cut = former.cut && !sim.calmed
}
