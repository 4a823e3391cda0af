package right

import (
	"time"
)

// Config configures a Candidate.
type Config struct {
	// Name is the right's name.
	Name string
	// Self is this host's running instance.
	Self Instance
	// Term is how long a renewal is valid.
	Term time.Duration
	// Margin is how much longer than the term, with clock drift, a candidate
	// waits before it acquires the right.
	Margin time.Duration
	// Isolation is how long a host outside the roster waits for unresponsive
	// instances, and how long a holder continues without the store when no
	// other instance is left.
	Isolation time.Duration
	// Gap is the longest time between two reads that still counts as an
	// unbroken watch.
	Gap time.Duration
}

// clockDriftDivisor bounds the drift between two clocks: at most 1/50 of the
// elapsed time.
const clockDriftDivisor = 50

// renewalsPerTerm is how often a holder renews in one term.
const renewalsPerTerm = 4

// Candidate is one host's view of one right, whether the host holds it or not.
// It is not safe for concurrent use.
type Candidate struct {
	config Config

	// latest is the newest observation; hasLatest is false before the first.
	latest    Observation
	hasLatest bool
	// unchangedSince is when the current record was first received in an
	// unbroken watch; it restarts whenever the watch is broken.
	unchangedSince time.Time
	// watchingSince is when the unbroken watch of the store began.
	watchingSince time.Time
	// highestEpoch is the highest epoch reported by any source.
	highestEpoch uint64
	// pending is a write whose outcome is unknown, nil if there is none.
	pending *Write
	// sentAt holds, by WriteSeq, when this run sent its writes, for as long as
	// they matter: it dates a renewal that is found in the store.
	sentAt map[uint64]time.Time
	// renewedAt is when the newest renewal known to be applied was sent, zero
	// if there is none.
	renewedAt time.Time
	// unconfirmedRoster holds the instances in rosters that this run has
	// written. Such a roster may be in the store already, though the newest
	// read does not show it.
	unconfirmedRoster map[Instance]bool
	// abstentions holds, by instance, a time before its newest abstention was
	// made.
	abstentions map[Instance]time.Time
	// abstainUntil is until when this host abstains from acquiring the right.
	abstainUntil time.Time
	// newPeers are the live zone peers outside the roster.
	newPeers []Instance
	// peers are all live zone peers.
	peers []Instance
	// dead holds the instances proved dead.
	dead map[Instance]bool
	// anyUnresponsive means that some instance of the roster is neither alive
	// nor proved dead.
	anyUnresponsive bool
	// yielding means that the host is shutting down.
	yielding bool
	// readFailed means that the newest read did not succeed.
	readFailed bool
	// lastWriteSeq is the highest WriteSeq of this run; none is used twice.
	lastWriteSeq uint64
	// handedOverEpoch is the epoch that its holder gave up in favour of this
	// host, and handedOverAfter a time before it did so.
	handedOverEpoch uint64
	handedOverAfter time.Time
	// acquiredAt is when this run last sent a write that acquires the right.
	acquiredAt time.Time
	// refusedReadAt is when the read behind a refused write was sent; the next
	// write needs a newer read.
	refusedReadAt time.Time
	// unconfirmedPeers are instances that may hold the right unseen if the
	// store was rolled back. This host acts as holder only once each of them
	// has sent a heartbeat without a claim since the acquisition, is proved
	// dead, or has had a term in which its hold expired.
	unconfirmedPeers map[Instance]bool
	// disputed means that a peer claims this host's epoch or a higher one, or
	// that a higher one was reported.
	disputed bool
}

// NewCandidate returns a candidate without observations.
func NewCandidate(config Config) *Candidate {
	return &Candidate{
		config:            config,
		sentAt:            map[uint64]time.Time{},
		abstentions:       map[Instance]time.Time{},
		dead:              map[Instance]bool{},
		unconfirmedPeers:  map[Instance]bool{},
		unconfirmedRoster: map[Instance]bool{},
	}
}

// Observe records a successful read of the store.
func (c *Candidate) Observe(observed Observation) {
	if c.hasLatest && observed.SentAt.Before(c.latest.SentAt) {
		return // older than the latest observation
	}
	broken := !c.hasLatest || c.readFailed || observed.SentAt.Sub(c.latest.ReceivedAt) > c.config.Gap ||
		observed.StoreRevision < c.latest.StoreRevision
	if broken {
		c.watchingSince = observed.ReceivedAt
	}
	changed := !c.hasLatest || observed.Revision != c.latest.Revision || observed.Record.WriteSeq != c.latest.Record.WriteSeq ||
		observed.Record.Epoch != c.latest.Record.Epoch
	if changed || broken {
		c.unchangedSince = observed.ReceivedAt
	}
	c.latest, c.hasLatest = observed, true
	c.highestEpoch = max(c.highestEpoch, observed.Record.Epoch)
	c.recordRenewal()
	c.readFailed = false
	if c.pending != nil && observed.Revision != c.pending.Expect {
		c.pending = nil // applied, or refused for good
	}
}

// StoreFailed records that a read did not succeed.
func (c *Candidate) StoreFailed() {
	c.readFailed = true
}

// recordRenewal updates renewedAt if the store now shows a renewal of this run.
func (c *Candidate) recordRenewal() {
	if c.latest.Record.Holder != c.config.Self {
		// The right was lost. If the store is rolled back to a record that
		// names this host, its old renewals must not count again.
		c.renewedAt = time.Time{}
		clear(c.sentAt)
		return
	}
	if at, ok := c.sentAt[c.latest.Record.WriteSeq]; ok && at.After(c.renewedAt) {
		c.renewedAt = at
	}
	if c.latest.Record.WriteSeq == c.lastWriteSeq {
		clear(c.unconfirmedRoster) // no newer write can still be applied
	}
}

// ObserveEpoch records an epoch that another party, such as a worker, has
// reported. An epoch above the one held ends the hold: the store must have been
// rolled back, and the right is acquired again with a higher epoch.
func (c *Candidate) ObserveEpoch(epoch uint64) {
	c.highestEpoch = max(c.highestEpoch, epoch)
	if c.isHolder() && epoch > c.latest.Record.Epoch {
		c.disputed = true
	}
}

// ObserveClaim records a heartbeat of a zone peer that claims to hold the right
// in an epoch, 0 for no claim. asOf is a time before the claim was made, by
// this host's clock.
func (c *Candidate) ObserveClaim(instance Instance, epoch uint64, asOf time.Time) {
	c.highestEpoch = max(c.highestEpoch, epoch)
	if c.isHolder() && epoch >= c.latest.Record.Epoch {
		c.disputed = true
	}
	if epoch == 0 && asOf.After(c.acquiredAt) {
		delete(c.unconfirmedPeers, instance)
	}
}

// SetPeers records the live zone peers; liveness reports the state of any
// instance.
func (c *Candidate) SetPeers(alive []Instance, liveness func(Instance) Liveness) {
	c.peers = alive
	c.newPeers = c.newPeers[:0]
	for _, instance := range alive {
		if !c.latest.Record.inRoster(instance) {
			c.newPeers = append(c.newPeers, instance)
		}
	}
	c.anyUnresponsive = false
	clear(c.dead)
	for instance := range c.unconfirmedRoster {
		if liveness(instance) == Dead {
			c.dead[instance] = true
		}
	}
	for _, instance := range c.latest.Record.Roster {
		if instance == c.config.Self {
			continue
		}
		switch liveness(instance) {
		case Dead:
			c.dead[instance] = true
		case Unresponsive:
			c.anyUnresponsive = true
		}
	}
}

// storeReachable reports whether the newest read succeeded within Gap.
func (c *Candidate) storeReachable(now time.Time) bool {
	return c.hasLatest && !c.readFailed && now.Sub(c.latest.ReceivedAt) <= c.config.Gap
}

func (c *Candidate) isHolder() bool {
	return c.hasLatest && c.latest.Record.Holder == c.config.Self
}

func (c *Candidate) withDrift(d time.Duration) time.Duration {
	return d + d/clockDriftDivisor
}

// Fence returns the fencing text of the newest record.
func (c *Candidate) Fence() string {
	return c.latest.Record.Fence()
}

// Roster lists the instances named in the newest record.
func (c *Candidate) Roster() []Instance {
	return c.latest.Record.Roster
}
