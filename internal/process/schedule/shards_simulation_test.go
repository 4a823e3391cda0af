package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	shardsStep = 25 * time.Millisecond
	// shardsPollWait and shardsPollGap are servingPollWait and pollGap of package
	// leader: a worker answers a poll after that time, or once a run has ended.
	shardsPollWait = 500 * time.Millisecond
	shardsPollGap  = 40 * time.Millisecond
	// shardsListGap is how often a leader reads the list of workers.
	shardsListGap = 400 * time.Millisecond
	// shardsStarts is how many tasks a leader starts in a step: 80 a second for
	// some 50 workers, as a leader on 0.8 of a core starts 1,200 for 400.
	shardsStarts = 2
	// shardsBalance, shardsReadGap and shardsLoadAge are balanceInterval,
	// loadsReadGap and loadAge there.
	shardsBalance = 500 * time.Millisecond
	shardsReadGap = 100 * time.Millisecond
	shardsLoadAge = 2 * time.Second
	// shardsLeadTerm is the lease of the lead key.
	shardsLeadTerm = 2 * time.Second
	shardsRush     = 1500 * time.Millisecond
	shardsCores    = 32000
)

// shardsPlan is what a simulation plays.
type shardsPlan struct {
	shards, workersPerShard int
	// longShare and quickShare are the parts of all cores that long-running and
	// quick work ask for.
	longShare, quickShare float64
	length                time.Duration
	// vacant is for how long there are no leaders at first.
	vacant time.Duration
	// events are what happens besides the load, by time.
	events []shardsEvent
	// replaced is the mean number of long-running jobs a second that are cancelled
	// after the rush while new ones are submitted.
	replaced float64
}

type shardsEvent struct {
	at    time.Duration
	apply func(sim *shardsSimulation)
}

// shardsSimulation models a service whose workers are divided among several
// leaders. Commits, notices of the store and published loads take as long as in
// use; orders and reports of workers take no time. The checks are made where the
// workers receive the orders.
type shardsSimulation struct {
	t      require.TestingT
	plan   shardsPlan
	random *rand.Rand
	now    time.Time
	layout shard.Layout
	// leaders has the leader of each shard, nil while there is none.
	leaders []*shardLeader
	// exchanges lists what a leader passes to other shards after it has published
	// its load; loads are the newest that it knows.
	exchanges []func(leader *shardLeader, loads map[string]map[int]shard.Load)
	// owns reports whether a board is responsible for a task.
	owns     func(board *Board, key work.TaskKey) bool
	machines []*shardWorker
	byID     map[string]*shardWorker
	// running has the worker of each run.
	running  map[work.TaskKey]*shardWorker
	store    shardStore
	messages []asyncMessage
	sequence int
	steps    int
	// quickWork is the quick work submitted so far, in core-seconds.
	quickWork float64
	arrivals  []shardsArrival
	watched   shardsWatch
	// moved counts the jobs that moved, transferred the tasks that were transferred or
	// returned.
	moved, transferred int
}

func newShardsSimulation(t require.TestingT, plan shardsPlan, seed uint64) *shardsSimulation {
	sim := &shardsSimulation{
		t:      t,
		plan:   plan,
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    testStart,
		layout: shard.Layout{
			Shards: plan.shards,
		},
		leaders: make([]*shardLeader, plan.shards),
		owns:    ownsOpenTask,
		byID:    map[string]*shardWorker{},
		running: map[work.TaskKey]*shardWorker{},
		store:   newShardStore(plan.shards),
	}
	sim.exchanges = append(sim.exchanges, sim.passJobs, sim.passTasks)
	for number := range plan.shards {
		for range plan.workersPerShard {
			sim.addWorker(number)
		}
	}
	for number := range plan.shards {
		if plan.vacant == 0 {
			sim.begin(number)
		} else {
			sim.post(plan.vacant, func() { sim.begin(number) })
		}
	}
	sim.planRush()
	return sim
}

func (sim *shardsSimulation) spread(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// callTime is how long a call to the store takes in one direction.
func (sim *shardsSimulation) callTime() time.Duration {
	return sim.spread(10*time.Millisecond, 25*time.Millisecond)
}

func (sim *shardsSimulation) elapsed() time.Duration {
	return sim.now.Sub(testStart)
}

func (sim *shardsSimulation) post(after time.Duration, deliver func()) {
	sim.sequence++
	sim.messages = append(sim.messages, asyncMessage{
		at:       sim.now.Add(after),
		sequence: sim.sequence,
		deliver:  deliver,
	})
}

func (sim *shardsSimulation) deliver() {
	var due []asyncMessage
	sim.messages = slices.DeleteFunc(sim.messages, func(message asyncMessage) bool {
		if message.at.After(sim.now) {
			return false
		}
		due = append(due, message)
		return true
	})
	slices.SortFunc(due, func(a, c asyncMessage) int {
		return cmp.Or(a.at.Compare(c.at), cmp.Compare(a.sequence, c.sequence))
	})
	for _, message := range due {
		message.deliver()
	}
}

// run plays the plan.
func (sim *shardsSimulation) run() {
	events := slices.Clone(sim.plan.events)
	for sim.elapsed() < sim.plan.length {
		sim.now = sim.now.Add(shardsStep)
		sim.steps++
		for len(events) > 0 && events[0].at <= sim.elapsed() {
			events[0].apply(sim)
			events = events[1:]
		}
		sim.deliver()
		sim.submitLoad()
		for _, w := range sim.machines {
			sim.endRuns(w)
		}
		for _, leader := range sim.leaders {
			if leader != nil {
				leader.step()
			}
		}
		sim.check()
	}
}

// disturb says that a fault or planned work has its effect now: bounds on waits
// hold from some time after it.
func (sim *shardsSimulation) disturb() {
	sim.watched.disturbedAt = sim.now
}

// resign replaces a leader by one that gets its handover.
func (sim *shardsSimulation) resign(number int) {
	if leader := sim.leaders[number]; leader != nil {
		handover := leader.board.Handover(sim.now)
		sim.store.shards[number].handover = &handover
		sim.vacate(number, sim.spread(300*time.Millisecond, 700*time.Millisecond))
	}
}

// killLeader replaces a leader by one that begins when its lease is over.
func (sim *shardsSimulation) killLeader(number int) {
	if sim.leaders[number] != nil {
		sim.vacate(number, shardsLeadTerm+sim.spread(100*time.Millisecond, 500*time.Millisecond))
	}
}

func (sim *shardsSimulation) vacate(number int, wait time.Duration) {
	sim.disturb()
	records := &sim.store.shards[number]
	sim.leaders[number], records.loads, records.vacantSince = nil, nil, sim.now
	for _, other := range sim.leaders {
		if other != nil {
			sim.post(sim.spread(0, shardsReadGap), func() { delete(other.loads, number) })
		}
	}
	sim.post(wait, func() { sim.begin(number) })
}

// loseWorkers cuts off some workers of a shard for good. Their runs go on until
// their leases are over.
func (sim *shardsSimulation) loseWorkers(number, count int) {
	sim.disturb()
	for _, w := range sim.machines {
		if count > 0 && w.shard == number && !w.cutOff {
			w.cutOff, count = true, count-1
			sim.post(shardsLeadTerm, func() { w.listed = false })
		}
	}
}

// addWorkers adds workers to a shard.
func (sim *shardsSimulation) addWorkers(number, count int) {
	sim.disturb()
	for range count {
		sim.addWorker(number)
	}
}

func (sim *shardsSimulation) addWorker(number int) {
	id := fmt.Sprintf("w%03d", len(sim.machines))
	w := newShardWorker(id, number, len(sim.machines), sim.now)
	sim.machines = append(sim.machines, w)
	sim.byID[id] = w
}

// passJobs moves waiting jobs to other shards.
func (sim *shardsSimulation) passJobs(leader *shardLeader, loads map[string]map[int]shard.Load) {
	for _, move := range leader.board.Moves(leader.shard, loads, sim.now) {
		id, moved := move.Job.ID, false
		leader.commit(func() {
			record := sim.store.jobs[id]
			if moved = record.shard == leader.shard && record.cancelledAt.IsZero(); moved {
				record.shard, record.created = move.To, sim.store.next()
				sim.moved++
				sim.announce(record)
			}
		}, func() {
			if moved {
				leader.board.Departed(id)
			} else {
				leader.board.Stay(id)
			}
		})
	}
}
