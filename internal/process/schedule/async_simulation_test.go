package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

const (
	asyncStep        = 50 * time.Millisecond
	asyncCallTimeout = 800 * time.Millisecond
	asyncPollWait    = 500 * time.Millisecond
	asyncPollRetry   = 250 * time.Millisecond
)

// asyncSimulation models a leader, workers of several kinds and services, the
// discovery list and the store. In contrast to simulation, every call takes time in
// both directions: answers arrive in any order, an inventory is old when it is
// applied, and orders are carried out after the leader has given them up.
type asyncSimulation struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Time
	steps  int
	// calmed is set once all faults have ended.
	calmed bool

	token int64
	board *Board
	// term counts the boards: answers to an earlier one are dropped.
	term        int
	links       map[string]*asyncLink
	inFlight    map[asyncOrder]int
	confirmedAt time.Time

	machines []*asyncWorker
	messages []asyncMessage
	sequence int

	// The store.
	storeDown                     bool
	writing, writingUnreachable   bool
	catalog                       *catalog.Catalog
	evacuated                     map[string]bool
	entries                       map[string]asyncEntry
	specs                         map[string]*work.Job
	created                       map[string]int64
	progress                      map[string]work.Progress
	unreachable                   map[string]time.Duration
	roster                        []Listing
	cancels                       []string
	next                          int
	clocksJump                    bool
	preemptions, handovers, terms int
	// hopeless jobs fail whenever they run.
	hopeless map[string]bool
	// stalledUntil is when the leader's loop goes on, and stalled holds what it has
	// not processed by then.
	stalledUntil time.Time
	stalled      []func()
	// idleSince is since when a job has had nothing running beside free capacity.
	idleSince map[string]time.Time
	// differsSince is since when claims and runs on a worker have differed.
	differsSince map[string]time.Time
	// lastRun is when a task last ran.
	lastRun map[work.TaskKey]time.Time
}

// asyncOrder is an order that awaits its answer.
type asyncOrder struct {
	kind, worker string
	key          work.TaskKey
	run          int64
}

// asyncLink is the leader's polling of one worker.
type asyncLink struct {
	busy, lost, withoutAck bool
	due                    time.Time
}

type asyncMessage struct {
	at       time.Time
	sequence int
	deliver  func()
}

func newAsyncSimulation(t *rapid.T, seed, stream uint64) *asyncSimulation {
	sim := &asyncSimulation{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, stream)),
		now:          testStart,
		catalog:      asyncCatalog(),
		entries:      map[string]asyncEntry{},
		specs:        map[string]*work.Job{},
		created:      map[string]int64{},
		progress:     map[string]work.Progress{},
		hopeless:     map[string]bool{},
		idleSince:    map[string]time.Time{},
		differsSince: map[string]time.Time{},
		lastRun:      map[work.TaskKey]time.Time{},
	}
	for i := range asyncMachines {
		sim.machines = append(sim.machines, sim.newWorker(i, fmt.Sprintf("w%d", i), sim.now))
	}
	sim.heartbeats()
	sim.newLeader()
	return sim
}

// chance is true with a probability while there are faults, and false after them.
func (sim *asyncSimulation) chance(percent int) bool {
	return !sim.calmed && sim.random.IntN(100) < percent
}

func (sim *asyncSimulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// delay is how long a message is on its way.
func (sim *asyncSimulation) delay() time.Duration {
	switch {
	case sim.calmed:
		return time.Millisecond
	case sim.random.IntN(10) == 0:
		return sim.between(0, 2*asyncCallTimeout)
	}
	return sim.between(0, 3*asyncStep)
}

func (sim *asyncSimulation) post(after time.Duration, deliver func()) {
	sim.sequence++
	sim.messages = append(sim.messages, asyncMessage{
		at:       sim.now.Add(after),
		sequence: sim.sequence,
		deliver:  deliver,
	})
}

func (sim *asyncSimulation) deliver() {
	isDue := func(m asyncMessage) bool { return !m.at.After(sim.now) }
	for slices.ContainsFunc(sim.messages, isDue) {
		due := slices.DeleteFunc(slices.Clone(sim.messages), func(m asyncMessage) bool { return m.at.After(sim.now) })
		sim.messages = slices.DeleteFunc(sim.messages, isDue)
		slices.SortFunc(due, func(a, c asyncMessage) int {
			return cmp.Or(a.at.Compare(c.at), cmp.Compare(a.sequence, c.sequence))
		})
		for _, message := range due {
			message.deliver()
		}
	}
}

// atBoard lets the leader's loop process an answer, once it is not stalled.
func (sim *asyncSimulation) atBoard(process func()) {
	sim.stalled = append(sim.stalled, process)
	sim.processAnswers()
}

func (sim *asyncSimulation) processAnswers() {
	for len(sim.stalled) > 0 && !sim.now.Before(sim.stalledUntil) {
		next := sim.stalled[0]
		sim.stalled = sim.stalled[1:]
		next()
	}
}

// newLeader replaces the board by one that knows the contents of the store. Calls
// of the former leader that are under way may still be carried out.
func (sim *asyncSimulation) newLeader() {
	var handover *Handover
	if sim.board != nil && sim.random.IntN(3) == 0 {
		resigned := sim.board.Handover(sim.now)
		handover = &resigned
		sim.handovers++
	}
	sim.term++
	sim.terms++
	sim.token += 10
	sim.writing, sim.writingUnreachable = false, false
	sim.links, sim.inFlight = map[string]*asyncLink{}, map[asyncOrder]int{}
	sim.confirmedAt, sim.stalledUntil = sim.now, sim.now
	config := testConfig()
	config.Notice = time.Second
	board := NewBoard(config)
	sim.board = board
	board.SetCatalog(sim.catalog)
	board.Evacuate(sim.evacuated)
	board.Begin(sim.token, sim.now)
	board.AddRoster(sim.roster, sim.now)
	board.ApplyUnreachable(sim.unreachable, sim.now)
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		var progress *work.Progress
		if saved, ok := sim.progress[id]; ok {
			progress = &saved
		}
		board.AddJob(sim.specs[id], progress, sim.created[id] < sim.token, sim.now, sim.now)
	}
	board.TrustPlacements()
	if handover != nil {
		board.ApplyHandover(*handover)
	}
	for _, id := range sim.cancels {
		board.Cancel(id, sim.now)
	}
	sim.deliverList()
}

// resume lets the leader take its leadership again, under a higher token.
func (sim *asyncSimulation) resume() {
	sim.token += 10
	sim.board.Begin(sim.token, sim.now)
	sim.confirmedAt = sim.now
}

func (sim *asyncSimulation) allowed() bool {
	return sim.now.Sub(sim.confirmedAt) < testActTerm
}

// tick moves the time forward by one step.
func (sim *asyncSimulation) tick() {
	sim.now = sim.now.Add(asyncStep)
	sim.advance()
	sim.deliver()
	if !sim.storeDown {
		sim.heartbeats()
		confirmed, term := sim.now.Add(-asyncStep), sim.term
		sim.post(sim.delay(), func() {
			if sim.term == term {
				sim.confirmedAt = later(sim.confirmedAt, confirmed)
				sim.board.Confirmed(confirmed)
			}
		})
	}
	if !sim.now.Before(sim.stalledUntil) {
		sim.processAnswers()
		if sim.calmed || sim.random.IntN(6) == 0 {
			sim.deliverList()
		}
		sim.pollAll()
		sim.writeUnreachable()
		sim.write()
		sim.decide()
	}
	sim.deliver()
	const everyAtRest = 5 // steps: most of them change nothing
	if sim.steps++; !sim.calmed || sim.steps%everyAtRest == 0 {
		requireConsistent(sim.t, sim.board)
		sim.requireNextEvents()
	}
}

func (sim *asyncSimulation) decide() {
	if sim.board.Fenced() {
		sim.newLeader()
	}
	effects := sim.board.Decide(sim.now, sim.allowed())
	sim.preemptions += len(effects.Preemptions)
	for _, stop := range effects.Stops {
		sim.sendStop(stop)
	}
	for _, start := range effects.Starts {
		sim.sendStart(start)
	}
	for _, throttle := range effects.Throttles {
		sim.sendThrottle(throttle)
	}
}

// write stores records, one commit at a time. A commit without an answer may have
// taken effect.
func (sim *asyncSimulation) write() {
	if sim.writing {
		return
	}
	records := sim.board.Records(sim.calmed || sim.random.IntN(3) == 0, 100)
	if len(records) == 0 {
		return
	}
	sim.writing = true
	term := sim.term
	sim.post(sim.delay(), func() {
		if sim.term != term {
			return
		}
		effective := !sim.storeDown && !sim.chance(10)
		for _, record := range records {
			if effective {
				sim.progress[record.Job] = record.Progress
			}
		}
		written := effective && !sim.chance(10)
		sim.post(sim.delay(), func() {
			if sim.term != term {
				return
			}
			sim.writing = false
			for _, record := range records {
				sim.board.Written(record.Job, record.Version, written)
			}
		})
	})
}

func (sim *asyncSimulation) writeUnreachable() {
	if sim.writingUnreachable {
		return
	}
	waits, due := sim.board.UnreachableWorkers(sim.now)
	if !due {
		return
	}
	sim.writingUnreachable = true
	term := sim.term
	sim.post(sim.delay(), func() {
		if sim.term != term {
			return
		}
		effective := !sim.storeDown && !sim.chance(10)
		if effective {
			sim.unreachable = waits
		}
		written := effective && !sim.chance(10)
		sim.post(sim.delay(), func() {
			if sim.term == term {
				sim.writingUnreachable = false
				sim.board.UnreachableWritten(waits, written)
			}
		})
	})
}
