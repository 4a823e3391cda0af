package host

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/version/release"
)

// takeEvent takes in one event of the hub.
func (c *Control) takeEvent(event peer.Event) {
	switch {
	case event.Refused.IsValid():
		c.view.Refused(event.Refused, event.At)
		return
	case event.Up:
		c.view.Met(event.From, event.At)
		return
	}
	if err := c.takeMessage(event); err != nil {
		c.config.Counts.Add("messages_malformed", 1)
		klog.InfoS("malformed message", "from", event.From.Host, "err", err)
	}
}

func (c *Control) takeMessage(event peer.Event) error {
	switch event.Envelope.Kind {
	case message.KindHeartbeat:
		heartbeat, err := message.Open[message.Heartbeat](event.Envelope)
		if err != nil {
			return err
		}
		c.takeHeartbeat(event.From, heartbeat, event.At)
	case message.KindCreditReport:
		report, err := message.Open[message.CreditReport](event.Envelope)
		if err != nil {
			return err
		}
		c.lend(event.From, report, c.config.Clock())
	case message.KindCreditGrant:
		grant, err := message.Open[message.CreditGrant](event.Envelope)
		if err != nil {
			return err
		}
		c.config.Grant(grant)
	case message.KindBook:
		book, err := message.Open[message.Book](event.Envelope)
		if err != nil {
			return err
		}
		c.books[book.Right] = &book
	case message.KindJobHint:
		c.config.ReadNow()
	default:
		return c.takeStateMessage(event)
	}
	return nil
}

func (c *Control) takeStateMessage(event peer.Event) error {
	switch event.Envelope.Kind {
	case message.KindStateAsk:
		ask, err := message.Open[message.StateAsk](event.Envelope)
		if err != nil {
			return err
		}
		if c.state != nil && c.state.Version > ask.Above {
			c.give(event.From.Host)
		}
	case message.KindStateGive:
		given, err := message.Open[message.StateGive](event.Envelope)
		if err != nil {
			return err
		}
		state, err := release.Decode(given.State)
		if err != nil {
			return err
		}
		c.adopt(state, event.From.Host)
	}
	// A kind that is not known comes from a newer version and is skipped.
	return nil
}

func (c *Control) give(host string) {
	_ = c.config.Hub.Send(host, message.KindStateGive, message.StateGive{
		State: c.state.Encode(),
	})
}

// takeHeartbeat takes in what a peer says of itself.
func (c *Control) takeHeartbeat(from message.Info, heartbeat message.Heartbeat, at time.Time) {
	known := c.view.Heard(from, heartbeat, at)
	if known == nil {
		return
	}
	c.learnAddress(from)
	if heartbeat.Asking {
		c.announce = true
		c.announceSoon(at)
	}
	c.takeVersion(known, at)
	for _, claim := range heartbeat.Held {
		seen := c.holders[claim.Right]
		if claim.Epoch >= seen.epoch || at.Sub(seen.at) > c.config.Settings.Peers.Suspect {
			c.holders[claim.Right] = claimSeen{
				host:  from.Host,
				epoch: claim.Epoch,
				at:    at,
			}
		}
	}
	if from.Zone == c.config.Self.Zone {
		c.takeClaims(known)
	}
	if known.AsOf.IsZero() {
		return // it has not heard us yet: nothing it says can be dated
	}
	c.takeDated(known)
}

// takeClaims tells every rival what a zone-mate claims of its right.
func (c *Control) takeClaims(known *member.Peer) {
	claims := map[string]uint64{}
	for _, claim := range known.Heartbeat.Held {
		claims[claim.Right] = claim.Epoch
	}
	now := c.config.Clock()
	for name, rival := range c.rivals {
		_, held := rival.Holds(now)
		rival.ObserveClaim(member.SeatOf(known.Info), claims[name], known.AsOf)
		if _, holds := rival.Holds(now); holds && !held {
			c.began(name)
		}
	}
}

// began makes a new holding known at once.
func (c *Control) began(name string) {
	klog.InfoS("right held", "right", name)
	c.stepLenders(c.config.Clock())
	c.publish(c.config.Clock())
	c.announce = true
	c.announceSoon(c.config.Clock())
}

// takeDated takes in what counts only with a time after which it was said.
func (c *Control) takeDated(known *member.Peer) {
	heartbeat := known.Heartbeat
	for _, claim := range heartbeat.Promised {
		if rival := c.rivals[claim.Right]; rival != nil {
			rival.Abstained(member.SeatOf(known.Info), claim.Epoch, known.AsOf)
		}
	}
	for _, claim := range heartbeat.Gifted {
		if rival := c.rivals[claim.Right]; rival != nil {
			rival.HandedOver(claim.Epoch, known.AsOf)
			c.kickPoll()
		}
	}
	if heartbeat.ConfirmedAge > 0 {
		c.permit.Confirmed(heartbeat.ReleaseVersion, known.AsOf.Add(-heartbeat.ConfirmedAge))
	}
	if heartbeat.Quiet {
		c.permit.NotAccepting(known.Info.Host, heartbeat.ReleaseVersion, known.AsOf)
	} else {
		c.permit.MayAccept(known.Info.Host)
	}
}

func (c *Control) kickPoll() {
	select {
	case c.poller.kick <- struct{}{}:
	default:
	}
}

// takeVersion asks for a release that a peer has and this host has not.
func (c *Control) takeVersion(known *member.Peer, at time.Time) {
	version := known.Heartbeat.ReleaseVersion
	if c.versions[known.Info.Host].version != version {
		c.versions[known.Info.Host] = versionSeen{
			version: version,
			at:      at,
		}
	}
	mine := uint64(0)
	if c.state != nil {
		mine = c.state.Version
	}
	if version > mine {
		_ = c.config.Hub.Send(known.Info.Host, message.KindStateAsk, message.StateAsk{
			Above: mine,
		})
	}
}

// sendHeartbeats tells every known peer how this host stands.
func (c *Control) sendHeartbeats() {
	now := c.config.Clock()
	common := message.Heartbeat{
		Held:     c.claims(now),
		Promised: c.promises(now),
		Doubted:  c.view.Doubted(),
		Leaving:  c.leaving,
		Quiet:    !c.storeUp && c.accepting == 0,
		Asking:   c.asking(now),
	}
	if c.state != nil {
		common.ReleaseVersion = c.state.Version
	}
	confirmed := c.permit.ConfirmedAt()
	if age := now.Sub(confirmed); !confirmed.IsZero() && age < c.config.Settings.Rights.Permit {
		common.ConfirmedAge = max(age, 1)
	}
	if _, holds := c.rivalHolds(dispatchRight, now); holds {
		room := c.config.FreeCapacity()
		common.Room = []int64{room.MilliCores, room.MemoryBytes, room.Accelerators}
	}
	for _, known := range c.view.All() {
		if known.Status == member.StatusDead || known.Status == member.StatusLeft {
			continue
		}
		heartbeat := common
		heartbeat.Seq, heartbeat.Echo = c.view.Sending(known.Info.Host, now)
		heartbeat.Gifted = c.gifts[known.Info.Host]
		if known.Info.Zone != c.config.Self.Zone {
			heartbeat.Promised = nil
		}
		_ = c.config.Hub.Send(known.Info.Host, message.KindHeartbeat, heartbeat)
	}
}

// asking tells whether some right only waits for mates to be heard.
func (c *Control) asking(now time.Time) bool {
	for _, rival := range c.rivals {
		if rival.Unconfirmed(now) {
			return true
		}
	}
	return false
}

func (c *Control) rivalHolds(duty string, now time.Time) (uint64, bool) {
	rival := c.rivals[rightName(c.config.Self.Zone, duty)]
	if rival == nil {
		return 0, false
	}
	return rival.Holds(now)
}

// promises lists the rights that this host will not take for one term.
func (c *Control) promises(now time.Time) []message.Claim {
	var promises []message.Claim
	for name, rival := range c.rivals {
		if epoch, ok := rival.Abstain(now); ok {
			promises = append(promises, message.Claim{
				Right: name,
				Epoch: epoch,
			})
		}
	}
	return promises
}
