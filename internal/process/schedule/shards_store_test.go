package schedule

import (
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shardStore is what the store holds.
type shardStore struct {
	revision int64
	jobs     map[string]*shardJob
	shards   []shardRecords
}

// shardRecords are the records of one shard.
type shardRecords struct {
	roster      []Listing
	unreachable map[string]time.Duration
	// handover is that of the leader before, nil if it left none.
	handover    *Handover
	vacantSince time.Time
	// loads are under the lease of the lead key.
	loads map[string]shard.Load
}

// shardJob is a job's record.
type shardJob struct {
	spec *work.Job
	// shard is where the record is, and created the revision at which it got there.
	shard    int
	created  int64
	progress *work.Progress
	places   shardPlaces
	// cancelledAt is when its caller cancelled it, zero if nobody did.
	cancelledAt time.Time
}

func (j *shardJob) open() bool {
	return j.cancelledAt.IsZero() && (j.progress == nil || !j.progress.State.Final())
}

func newShardStore(shards int) shardStore {
	return shardStore{
		jobs:   map[string]*shardJob{},
		shards: make([]shardRecords, shards),
	}
}

func (s *shardStore) next() int64 {
	s.revision++
	return s.revision
}

// ids returns the jobs in order.
func (s *shardStore) ids() []string {
	return slices.Sorted(maps.Keys(s.jobs))
}

// submit stores a job in the shard of its hash.
func (sim *shardsSimulation) submit(spec *work.Job) *shardJob {
	record := &shardJob{
		spec:    spec,
		shard:   sim.layout.OfJob(spec.ID),
		created: sim.store.next(),
		places:  newShardPlaces(),
	}
	sim.store.jobs[spec.ID] = record
	sim.announce(record)
	return record
}

// announce tells the leader of a job's shard of its record.
func (sim *shardsSimulation) announce(record *shardJob) {
	leader := sim.leaders[record.shard]
	if leader == nil {
		return // the next one reads it
	}
	sim.post(sim.callTime(), func() {
		if leader.leads() && record.shard == leader.shard {
			leader.observe(record)
		}
	})
}

// cancel cancels a job.
func (sim *shardsSimulation) cancel(id string) {
	record := sim.store.jobs[id]
	record.cancelledAt = sim.now
	leader := sim.leaders[record.shard]
	if leader == nil {
		return
	}
	sim.post(sim.callTime(), func() {
		if leader.leads() {
			leader.board.Cancel(id, sim.now)
		}
	})
}

// begin starts the term of the next leader of a shard.
func (sim *shardsSimulation) begin(number int) {
	records := &sim.store.shards[number]
	leader := &shardLeader{
		sim:   sim,
		shard: number,
		token: sim.store.next(),
		loads: map[int]shardLoads{},
		board: NewBoard(shardsConfig(number, sim.plan.shards)),
		// The rounds of the leaders are not in step.
		balancedAt: sim.now.Add(-sim.spread(0, shardsBalance)),
	}
	sim.leaders[number] = leader
	sim.disturb()
	board := leader.board
	board.SetCatalog(shardsCatalog())
	board.Begin(leader.token, sim.now)
	if !records.vacantSince.IsZero() {
		board.EarlierTermEnded(records.vacantSince)
	}
	board.AddRoster(records.roster, sim.now)
	board.ApplyUnreachable(records.unreachable, sim.now)
	for _, id := range sim.store.ids() {
		record := sim.store.jobs[id]
		if record.shard == number {
			board.AddJob(record.spec, record.progress, true, sim.now, sim.now)
		}
		leader.restoreTransferred(record)
	}
	board.TrustPlacements()
	if records.handover != nil {
		board.ApplyHandover(*records.handover)
		records.handover = nil
	}
	for _, id := range sim.store.ids() {
		if record := sim.store.jobs[id]; record.shard == number && !record.cancelledAt.IsZero() || record.places.cancelled[number] {
			board.Cancel(id, sim.now)
		}
	}
	leader.readList()
	sim.post(sim.spread(shardsReadGap/2, 2*shardsReadGap), leader.readLoads)
}

// readLoads reads the loads of all other shards.
func (l *shardLeader) readLoads() {
	for number := range l.sim.store.shards {
		if loads := l.sim.store.shards[number].loads; number != l.shard && loads != nil {
			l.observeLoads(number, loads)
		}
	}
}

func (l *shardLeader) observeLoads(number int, services map[string]shard.Load) {
	l.loads[number] = shardLoads{
		services: services,
		readAt:   l.sim.now,
	}
}

// publish stores the load of a shard; the other leaders read it a little later.
func (l *shardLeader) publish(own map[string]shard.Load) {
	l.sim.post(l.sim.callTime(), func() {
		if !l.leads() {
			return
		}
		l.sim.store.shards[l.shard].loads = own
		for _, other := range l.sim.leaders {
			if other != nil && other != l {
				l.sim.post(l.sim.callTime()+l.sim.spread(0, shardsReadGap), func() { other.observeLoads(l.shard, own) })
			}
		}
	})
}
