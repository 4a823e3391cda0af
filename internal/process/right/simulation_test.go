package right

import (
	"fmt"
	"net/netip"
	"time"
)

// fault is the fault injected during one round.
type fault int

const (
	noFault fault = iota
	storeDown
	storeCutFirst
	answersLostFirst
	writesLateFirst
	pauseFirst
	pauseSecond
	peersCut
	storeDownPeersCut
	crashFirst
	storeRolledBack
	faultCount
)

const (
	ticksPerRound = 2
	tickLength    = 500 * time.Millisecond
)

var simulationConfig = Config{
	Term:      2 * time.Second,
	Margin:    300 * time.Millisecond,
	Isolation: 10 * time.Second,
	Gap:       1500 * time.Millisecond,
}

// simulatedHost is one host with its own clock.
type simulatedHost struct {
	instance  Instance
	candidate *Candidate
	// clockRate is the speed of its clock relative to the simulation's; drift
	// is 1 % at most.
	clockRate float64
	paused    bool
	// lastReceived is, by host index, when its newest heartbeat arrived, by
	// this host's clock.
	lastReceived map[int]time.Time
	// lastDelivered is, by host index, when this host sent the newest heartbeat
	// that the other one has received, by this host's clock.
	lastDelivered map[int]time.Time
	// lateWrites are applied before the host's next step.
	lateWrites []*Write
}

// simulation runs a store and the hosts of one zone in ticks of fixed length.
type simulation struct {
	now            time.Duration
	hosts          []*simulatedHost
	dead           map[Instance]bool
	revision       int64
	record         Record
	recordRevision int64
	// history holds the state of the store at the start of each tick.
	history []storeState
	// runs counts the host instances started so far.
	runs int
}

// storeState is the state of the store at one time.
type storeState struct {
	revision, recordRevision int64
	record                   Record
}

var simulationStart = time.Unix(1_000_000, 0)

func newSimulation(hosts int) *simulation {
	s := &simulation{
		dead:     map[Instance]bool{},
		revision: 1,
	}
	for i := range hosts {
		clockRate := 1.0
		switch i {
		case 0:
			clockRate = 0.99
		case 1:
			clockRate = 1.01
		}
		s.hosts = append(s.hosts, s.start(i, clockRate))
	}
	return s
}

func (s *simulation) start(i int, clockRate float64) *simulatedHost {
	s.runs++
	instance := Instance{
		Host:        fmt.Sprintf("h%d", i),
		Incarnation: fmt.Sprintf("run%d", s.runs),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
	}
	config := simulationConfig
	config.Self = instance
	return &simulatedHost{
		instance:      instance,
		candidate:     NewCandidate(config),
		clockRate:     clockRate,
		lastReceived:  map[int]time.Time{},
		lastDelivered: map[int]time.Time{},
	}
}

func (s *simulation) clock(host *simulatedHost) time.Time {
	return simulationStart.Add(time.Duration(float64(s.now) * host.clockRate))
}

// holders returns the hosts that would act on the right now.
func (s *simulation) holders() []string {
	var holders []string
	for _, host := range s.hosts {
		if host.paused {
			continue
		}
		if epoch, ok := host.candidate.Holds(s.clock(host)); ok {
			holders = append(holders, fmt.Sprintf("%s epoch %d", host.instance.Host, epoch))
		}
	}
	return holders
}

func (s *simulation) apply(write *Write) (Outcome, int64) {
	if write.Expect != s.recordRevision {
		return Refused, 0
	}
	s.revision++
	s.recordRevision, s.record = s.revision, write.Record
	return Applied, s.recordRevision
}

// tick advances the simulation by one tick under a fault. It returns the
// largest number of hosts that held the right at once, and their names.
func (s *simulation) tick(injected fault) (int, []string) {
	s.history = append(s.history, storeState{
		revision:       s.revision,
		recordRevision: s.recordRevision,
		record:         s.record,
	})
	maxHolders, names := 0, []string(nil)
	for i, host := range s.hosts {
		host.paused = injected == pauseFirst && i == 0 || injected == pauseSecond && i == 1
		if host.paused {
			continue
		}
		s.gossip(i, host, injected)
		s.poll(i, host, injected)
		s.step(i, host, injected)
		if holders := s.holders(); len(holders) > maxHolders {
			maxHolders, names = len(holders), holders
		}
	}
	s.now += tickLength
	if holders := s.holders(); len(holders) > maxHolders {
		maxHolders, names = len(holders), holders
	}
	return maxHolders, names
}

// injectInstant applies the faults that happen at one moment.
func (s *simulation) injectInstant(injected fault) {
	switch injected {
	case crashFirst:
		s.dead[s.hosts[0].instance] = true
		s.hosts[0] = s.start(0, s.hosts[0].clockRate)
	case storeRolledBack:
		const ticksBack = 4
		at := max(len(s.history)-ticksBack, 0)
		if len(s.history) > 0 {
			state := s.history[at]
			s.revision, s.recordRevision, s.record = state.revision, state.recordRevision, state.record
		}
	}
}

func (s *simulation) gossip(i int, host *simulatedHost, injected fault) {
	if injected == peersCut || injected == storeDownPeersCut {
		return
	}
	for j, other := range s.hosts {
		if j == i || other.paused {
			continue
		}
		// host sends a heartbeat, and other receives it at once.
		now := s.clock(host)
		host.lastDelivered[j] = now
		other.lastReceived[i] = s.clock(other)
		claim, _ := host.candidate.Holds(now)
		asOf := other.lastDelivered[i]
		other.candidate.ObserveClaim(host.instance, claim, asOf)
		if epoch, ok := host.candidate.Abstain(now); ok && !asOf.IsZero() {
			other.candidate.Abstained(host.instance, epoch, asOf)
		}
	}
}

func (s *simulation) peers(i int, host *simulatedHost) []Instance {
	var peers []Instance
	for j, other := range s.hosts {
		at, received := host.lastReceived[j]
		if j != i && received && s.clock(host).Sub(at) <= 3*tickLength {
			peers = append(peers, other.instance)
		}
	}
	return peers
}

func (s *simulation) storeReachable(i int, injected fault) bool {
	return injected != storeDown && injected != storeDownPeersCut && (injected != storeCutFirst || i != 0)
}

func (s *simulation) poll(i int, host *simulatedHost, injected fault) {
	if !s.storeReachable(i, injected) || injected == answersLostFirst && i == 0 {
		host.candidate.StoreFailed()
		return
	}
	host.candidate.Observe(Observation{
		SentAt:        s.clock(host),
		ReceivedAt:    s.clock(host),
		StoreRevision: s.revision,
		Revision:      s.recordRevision,
		Record:        s.record,
	})
}

func (s *simulation) step(i int, host *simulatedHost, injected fault) {
	peers := s.peers(i, host)
	host.candidate.SetPeers(peers, func(instance Instance) Liveness {
		if s.dead[instance] {
			return Dead
		}
		for _, peer := range peers {
			if peer == instance {
				return Alive
			}
		}
		return Unresponsive
	})
	for _, write := range host.lateWrites {
		s.apply(write) // applied late; the host never learns the outcome
	}
	host.lateWrites = nil
	write := host.candidate.Step(s.clock(host))
	switch {
	case write == nil:
		return
	case !s.storeReachable(i, injected):
		host.candidate.Written(write, Unknown, 0, s.clock(host))
	case injected == writesLateFirst && i == 0:
		host.lateWrites = append(host.lateWrites, write)
		host.candidate.Written(write, Unknown, 0, s.clock(host))
	default:
		outcome, revision := s.apply(write)
		if injected == answersLostFirst && i == 0 {
			outcome = Unknown
		}
		host.candidate.Written(write, outcome, revision, s.clock(host))
	}
}
