package right

import "time"

// Step returns the write to send now, or nil. The caller sends it and reports
// its outcome to Written.
func (c *Candidate) Step(now time.Time) *Write {
	if !c.hasLatest || c.pending != nil && now.Sub(c.pending.SentAt) < c.config.Term {
		return nil
	}
	if c.latest.SentAt.Equal(c.refusedReadAt) {
		return nil
	}
	switch {
	case c.yielding:
		return c.handOver(now)
	case c.isHolder():
		return c.renew(now)
	case c.mayAcquire(now):
		return c.acquire(now)
	}
	return nil
}

// handOver returns the write that gives up the right, nil if it is not held.
func (c *Candidate) handOver(now time.Time) *Write {
	if !c.isHolder() {
		return nil
	}
	return c.write(now, Record{
		Epoch:  c.latest.Record.Epoch,
		Roster: c.roster(),
	}, false)
}

// renew renews a right that has not expired. An expired right must be acquired
// again by the rules for any candidate: the store may have been rolled back to
// a record that was replaced since.
func (c *Candidate) renew(now time.Time) *Write {
	expired := c.disputed || !now.Before(c.Until())
	switch {
	case expired || c.highestEpoch > c.latest.Record.Epoch:
		if c.mayAcquire(now) {
			return c.acquire(now)
		}
		return nil
	case now.Sub(c.renewedAt) < c.config.Term/renewalsPerTerm || !c.storeReachable(now):
		return nil
	}
	return c.write(now, Record{
		Holder: c.config.Self,
		Epoch:  c.latest.Record.Epoch,
		Roster: c.roster(),
	}, false)
}

// mayAcquire reports whether this host may acquire the right now: the holder
// has handed it over to this host, or no other instance can still hold it.
func (c *Candidate) mayAcquire(now time.Time) bool {
	switch {
	case now.Before(c.abstainUntil) || !c.storeReachable(now):
		return false
	case c.latest.Record.Holder == (Instance{}) && c.handedOverEpoch != 0 && c.handedOverEpoch == c.latest.Record.Epoch &&
		now.Sub(c.handedOverAfter) < c.config.Term:
		return true
	}
	watched := c.latest.ReceivedAt.Sub(c.unchangedSince)
	if c.dead[c.latest.Record.Holder] && c.highestEpoch <= c.latest.Record.Epoch {
		// A dead process holds nothing, but a store that was just rolled back
		// may show it although another instance holds the right. The unbroken
		// watch, across changes of the record, must outlast that one's term.
		watched = c.latest.ReceivedAt.Sub(c.watchingSince)
	}
	if watched <= c.withDrift(c.config.Term)+c.config.Margin {
		return false
	}
	if c.latest.Record.inRoster(c.config.Self) || c.latest.Record.Holder == (Instance{}) {
		return true
	}
	// The holder does not know of a host outside the roster. Such a host acquires
	// the right only if every instance of the roster is proved dead or was
	// unresponsive for the isolation time.
	if c.rosterAlive() {
		return false
	}
	return !c.anyUnresponsive || watched > c.withDrift(c.config.Isolation)+c.config.Margin
}

func (c *Candidate) rosterAlive() bool {
	for _, instance := range c.peers {
		if c.latest.Record.inRoster(instance) {
			return true
		}
	}
	return false
}

func (c *Candidate) acquire(now time.Time) *Write {
	c.acquiredAt, c.disputed = now, false
	clear(c.unconfirmedPeers)
	for _, instances := range [][]Instance{c.latest.Record.Roster, c.peers} {
		for _, instance := range instances {
			if instance != c.config.Self && !c.dead[instance] {
				c.unconfirmedPeers[instance] = true
			}
		}
	}
	return c.write(now, Record{
		Holder: c.config.Self,
		Epoch:  max(c.highestEpoch, c.latest.Record.Epoch) + 1,
		Roster: c.roster(),
	}, true)
}

// roster returns the roster to write: this instance and all live zone peers.
func (c *Candidate) roster() []Instance {
	return append([]Instance{c.config.Self}, c.peers...)
}

func (c *Candidate) write(now time.Time, record Record, acquire bool) *Write {
	c.lastWriteSeq = max(c.lastWriteSeq, c.latest.Record.WriteSeq) + 1
	record.WriteSeq = c.lastWriteSeq
	write := &Write{
		Expect:  c.latest.Revision,
		Record:  record,
		Acquire: acquire,
		SentAt:  now,
	}
	c.pending = write
	for seq, at := range c.sentAt {
		if now.Sub(at) > c.config.Isolation {
			delete(c.sentAt, seq)
		}
	}
	c.sentAt[record.WriteSeq] = now
	for _, instance := range record.Roster {
		c.unconfirmedRoster[instance] = true
	}
	return write
}

// Outcome is the result of a write.
type Outcome int

// The outcomes of a write. The next observation resolves an Unknown one.
const (
	Unknown Outcome = iota
	Applied
	Refused
)

// Written records the outcome of a write. revision is that of the record after
// an Applied write.
func (c *Candidate) Written(write *Write, outcome Outcome, revision int64, now time.Time) {
	if c.pending != write {
		return
	}
	switch outcome {
	case Unknown:
		return
	case Refused:
		c.pending = nil
		c.refusedReadAt = c.latest.SentAt
		delete(c.sentAt, write.Record.WriteSeq)
	case Applied:
		c.pending = nil
		c.latest = Observation{
			SentAt:        write.SentAt,
			ReceivedAt:    now,
			StoreRevision: max(revision, c.latest.StoreRevision),
			Revision:      revision,
			Record:        write.Record,
		}
		c.unchangedSince = now
		c.highestEpoch = max(c.highestEpoch, write.Record.Epoch)
		c.recordRenewal()
	}
}
