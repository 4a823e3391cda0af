package right

import (
	"maps"
	"time"
)

// Yield makes this host hand over the right if it holds it, and never acquire
// it again. It returns the epoch that it gave up, and whether it held the
// right.
func (c *Candidate) Yield(now time.Time) (uint64, bool) {
	epoch, held := c.Holds(now)
	c.yielding = true
	return epoch, held
}

// HandedOver records that the holder gave up an epoch in favour of this host
// alone, after asOf by this host's clock.
func (c *Candidate) HandedOver(epoch uint64, asOf time.Time) {
	if epoch >= c.handedOverEpoch {
		c.handedOverEpoch, c.handedOverAfter = epoch, asOf
	}
}

// Abstained records that an instance abstains from acquiring the right held in
// an epoch; 0 is from an instance that has read no record. The abstention was
// made after asOf, by this host's clock.
func (c *Candidate) Abstained(instance Instance, epoch uint64, asOf time.Time) {
	if (epoch == 0 || epoch == c.latest.Record.Epoch) && asOf.After(c.abstentions[instance]) {
		c.abstentions[instance] = asOf
	}
}

// Abstain makes this host abstain from acquiring the right for one term from
// now. It returns the epoch of the latest record, 0 if there is none, and
// whether the host abstains. A host that can read the store does not, so that a
// holder which alone is cut off from the store loses the right; neither does
// one that is the holder or has sent a write whose outcome is unknown.
func (c *Candidate) Abstain(now time.Time) (uint64, bool) {
	if c.hasLatest && !c.readFailed || c.pending != nil || c.isHolder() {
		return 0, false
	}
	c.abstainUntil = now.Add(c.withDrift(c.config.Term))
	return c.latest.Record.Epoch, true
}

// Holds returns the epoch while this host certainly holds the right, and false
// otherwise.
func (c *Candidate) Holds(now time.Time) (uint64, bool) {
	if !c.isHolder() || c.yielding || c.disputed || !c.confirmed(now) {
		return 0, false
	}
	if now.Before(c.Until()) {
		return c.latest.Record.Epoch, true
	}
	return 0, false
}

// confirmed reports whether no other instance can have held the right unseen
// since this host acquired it.
func (c *Candidate) confirmed(now time.Time) bool {
	if now.Sub(c.acquiredAt) > c.withDrift(c.config.Term) {
		return true
	}
	for instance := range c.unconfirmedPeers {
		if !c.dead[instance] {
			return false
		}
	}
	return true
}

// Unconfirmed reports whether only the confirmation of zone peers is missing
// before this host acts as holder.
func (c *Candidate) Unconfirmed(now time.Time) bool {
	return c.isHolder() && !c.disputed && now.Before(c.Until()) && !c.confirmed(now)
}

// Until returns when the right expires without a further renewal or abstention,
// zero without a known renewal by this host.
func (c *Candidate) Until() time.Time {
	if !c.isHolder() || c.renewedAt.IsZero() {
		return time.Time{}
	}
	until := c.renewedAt.Add(c.config.Term)
	if abstained := c.abstainedUntil(); abstained.After(until) {
		return abstained
	}
	return until
}

// abstainedUntil is until when every instance that could acquire the right
// abstains. If there is no such instance, it is Isolation after the newest
// renewal.
func (c *Candidate) abstainedUntil() time.Time {
	var end time.Time
	count := 0
	for instance := range c.eligible() {
		count++
		until := c.abstentions[instance].Add(c.config.Term)
		if count == 1 || until.Before(end) {
			end = until
		}
	}
	if count == 0 {
		return c.renewedAt.Add(c.config.Isolation)
	}
	return end
}

// eligible returns the instances that could acquire the right and are not
// proved dead.
func (c *Candidate) eligible() map[Instance]bool {
	eligible := maps.Clone(c.unconfirmedRoster)
	for _, instances := range [][]Instance{c.latest.Record.Roster, c.newPeers} {
		for _, instance := range instances {
			eligible[instance] = true
		}
	}
	delete(eligible, c.config.Self)
	for instance := range c.dead {
		delete(eligible, instance)
	}
	return eligible
}
