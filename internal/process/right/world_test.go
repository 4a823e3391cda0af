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

var worldConfig = Config{
	Term:      2 * time.Second,
	Margin:    300 * time.Millisecond,
	Isolation: 10 * time.Second,
	Gap:       1500 * time.Millisecond,
}

// worldHost is one host with its own clock.
type worldHost struct {
	instance  Instance
	candidate *Candidate
	// clockRate is the speed of its clock relative to the world's; drift is 1 %
	// at most.
	clockRate float64
	paused    bool
	// lastReceived is, by host index, when its newest heartbeat arrived, by
	// this host's clock.
	lastReceived map[int]time.Time
	// lastDelivered is, by host index, when this host sent the newest heartbeat
	// that the other one has received, by this host's clock.
	lastDelivered map[int]time.Time
	lateWrites    []*Write
}

// world simulates a store and the hosts of one zone, in ticks of fixed length.
type world struct {
	now            time.Duration
	hosts          []*worldHost
	dead           map[Instance]bool
	revision       int64
	record         Record
	recordRevision int64
	history        []storeState
	runs           int
}

type storeState struct {
	revision, recordRevision int64
	record                   Record
}

var worldStart = time.Unix(1_000_000, 0)

func newWorld(hosts int) *world {
	w := &world{
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
		w.hosts = append(w.hosts, w.start(i, clockRate))
	}
	return w
}

func (w *world) start(i int, clockRate float64) *worldHost {
	w.runs++
	instance := Instance{
		Host:        fmt.Sprintf("h%d", i),
		Incarnation: fmt.Sprintf("run%d", w.runs),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
	}
	config := worldConfig
	config.Self = instance
	return &worldHost{
		instance:      instance,
		candidate:     NewCandidate(config),
		clockRate:     clockRate,
		lastReceived:  map[int]time.Time{},
		lastDelivered: map[int]time.Time{},
	}
}

func (w *world) clock(host *worldHost) time.Time {
	return worldStart.Add(time.Duration(float64(w.now) * host.clockRate))
}

// holders returns the hosts that would act on the right now.
func (w *world) holders() []string {
	var holders []string
	for _, host := range w.hosts {
		if host.paused {
			continue
		}
		if epoch, ok := host.candidate.Holds(w.clock(host)); ok {
			holders = append(holders, fmt.Sprintf("%s epoch %d", host.instance.Host, epoch))
		}
	}
	return holders
}

func (w *world) apply(write *Write) (Outcome, int64) {
	if write.Expect != w.recordRevision {
		return Refused, 0
	}
	w.revision++
	w.recordRevision, w.record = w.revision, write.Record
	return Applied, w.recordRevision
}

// tick advances the world by one tick under a fault. It returns the largest
// number of hosts that held the right at once, and their names.
func (w *world) tick(injected fault) (int, []string) {
	w.history = append(w.history, storeState{
		revision:       w.revision,
		recordRevision: w.recordRevision,
		record:         w.record,
	})
	maxHolders, names := 0, []string(nil)
	for i, host := range w.hosts {
		host.paused = injected == pauseFirst && i == 0 || injected == pauseSecond && i == 1
		if host.paused {
			continue
		}
		w.gossip(i, host, injected)
		w.poll(i, host, injected)
		w.step(i, host, injected)
		if holders := w.holders(); len(holders) > maxHolders {
			maxHolders, names = len(holders), holders
		}
	}
	w.now += tickLength
	if holders := w.holders(); len(holders) > maxHolders {
		maxHolders, names = len(holders), holders
	}
	return maxHolders, names
}

// injectInstant applies the faults that happen at one moment.
func (w *world) injectInstant(injected fault) {
	switch injected {
	case crashFirst:
		w.dead[w.hosts[0].instance] = true
		w.hosts[0] = w.start(0, w.hosts[0].clockRate)
	case storeRolledBack:
		const ticksBack = 4
		at := max(len(w.history)-ticksBack, 0)
		if len(w.history) > 0 {
			state := w.history[at]
			w.revision, w.recordRevision, w.record = state.revision, state.recordRevision, state.record
		}
	}
}

func (w *world) gossip(i int, host *worldHost, injected fault) {
	if injected == peersCut || injected == storeDownPeersCut {
		return
	}
	for j, other := range w.hosts {
		if j == i || other.paused {
			continue
		}
		// host sends a heartbeat, and other receives it at once.
		now := w.clock(host)
		host.lastDelivered[j] = now
		other.lastReceived[i] = w.clock(other)
		claim, _ := host.candidate.Holds(now)
		asOf := other.lastDelivered[i]
		other.candidate.ObserveClaim(host.instance, claim, asOf)
		if epoch, ok := host.candidate.Abstain(now); ok && !asOf.IsZero() {
			other.candidate.Abstained(host.instance, epoch, asOf)
		}
	}
}

func (w *world) peers(i int, host *worldHost) []Instance {
	var peers []Instance
	for j, other := range w.hosts {
		at, received := host.lastReceived[j]
		if j != i && received && w.clock(host).Sub(at) <= 3*tickLength {
			peers = append(peers, other.instance)
		}
	}
	return peers
}

func (w *world) storeReachable(i int, injected fault) bool {
	return injected != storeDown && injected != storeDownPeersCut && (injected != storeCutFirst || i != 0)
}

func (w *world) poll(i int, host *worldHost, injected fault) {
	if !w.storeReachable(i, injected) || injected == answersLostFirst && i == 0 {
		host.candidate.StoreFailed()
		return
	}
	host.candidate.Observe(Observation{
		SentAt:        w.clock(host),
		ReceivedAt:    w.clock(host),
		StoreRevision: w.revision,
		Revision:      w.recordRevision,
		Record:        w.record,
	})
}

func (w *world) step(i int, host *worldHost, injected fault) {
	peers := w.peers(i, host)
	host.candidate.SetPeers(peers, func(instance Instance) Liveness {
		if w.dead[instance] {
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
		w.apply(write) // applied late; the host never learns the outcome
	}
	host.lateWrites = nil
	write := host.candidate.Step(w.clock(host))
	switch {
	case write == nil:
		return
	case !w.storeReachable(i, injected):
		host.candidate.Written(write, Unknown, 0, w.clock(host))
	case injected == writesLateFirst && i == 0:
		host.lateWrites = append(host.lateWrites, write)
		host.candidate.Written(write, Unknown, 0, w.clock(host))
	default:
		outcome, revision := w.apply(write)
		if injected == answersLostFirst && i == 0 {
			outcome = Unknown
		}
		host.candidate.Written(write, outcome, revision, w.clock(host))
	}
}
