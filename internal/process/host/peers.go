package host

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/version/release"
)

// handleEvent handles one event of the hub.
func (c *Control) handleEvent(event peer.Event) {
	switch {
	case event.Refused.IsValid():
		c.view.RecordRefusal(event.Refused, event.At)
		return
	case event.Up:
		c.view.RecordAuthenticated(event.From, event.At)
		return
	}
	if err := c.handleMessage(event); err != nil {
		c.config.Counts.Add("messages_malformed", 1)
		klog.InfoS("malformed message", "from", event.From.Host, "err", err)
	}
}

// handleMessage handles a message from a peer. Its error means that the message
// is malformed.
func (c *Control) handleMessage(event peer.Event) error {
	switch event.Envelope.Kind {
	case message.KindHeartbeat:
		heartbeat, err := message.Open[message.Heartbeat](event.Envelope)
		if err != nil {
			return err
		}
		c.handleHeartbeat(event.From, heartbeat, event.At)
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
	case message.KindHandover:
		accounts, err := message.Open[message.Handover](event.Envelope)
		if err != nil {
			return err
		}
		c.receivedAccounts[accounts.Right] = &accounts
	case message.KindJobHint:
		c.config.ReadNow()
	default:
		return c.handleStateMessage(event)
	}
	return nil
}

// handleStateMessage handles the messages that pass the release between hosts.
func (c *Control) handleStateMessage(event peer.Event) error {
	switch event.Envelope.Kind {
	case message.KindStateRequest:
		request, err := message.Open[message.StateRequest](event.Envelope)
		if err != nil {
			return err
		}
		if c.state != nil && c.state.Version > request.Above {
			c.sendState(event.From.Host)
		}
	case message.KindStateResponse:
		reply, err := message.Open[message.StateResponse](event.Envelope)
		if err != nil {
			return err
		}
		state, err := release.Decode(reply.State)
		if err != nil {
			return err
		}
		c.adopt(state, event.From.Host)
	}
	// An unknown kind comes from a newer version of the program and is skipped.
	return nil
}

// sendState sends the release in force to a host.
func (c *Control) sendState(host string) {
	_ = c.config.Hub.Send(host, message.KindStateResponse, message.StateResponse{
		State: c.state.Encode(),
	})
}

// handleHeartbeat records what a peer reports about itself.
func (c *Control) handleHeartbeat(from message.Info, heartbeat message.Heartbeat, at time.Time) {
	remote := c.view.RecordHeartbeat(from, heartbeat, at)
	if remote == nil {
		return
	}
	c.learnAddress(from)
	if heartbeat.AwaitsConfirmation {
		c.heartbeatRequested = true
		c.sendRequestedHeartbeats(at)
	}
	c.handleVersion(remote, at)
	for _, claim := range heartbeat.Held {
		observed := c.holders[claim.Right]
		if claim.Epoch >= observed.epoch || at.Sub(observed.at) > c.config.Settings.Peers.Suspect {
			c.holders[claim.Right] = peerClaim{
				host:  from.Host,
				epoch: claim.Epoch,
				at:    at,
			}
		}
	}
	if from.Zone == c.config.Self.Zone {
		c.handleClaims(remote)
	}
	if remote.AsOf.IsZero() {
		return // the peer has not yet received a heartbeat from this host
	}
	c.handleDatedStatements(remote)
}

// handleClaims passes the claims of a zone peer to the candidate of each right;
// a missing claim counts as a denial.
func (c *Control) handleClaims(remote *member.Peer) {
	claims := map[string]uint64{}
	for _, claim := range remote.Heartbeat.Held {
		claims[claim.Right] = claim.Epoch
	}
	now := c.config.Clock()
	for name, candidate := range c.candidates {
		_, held := candidate.Holds(now)
		candidate.ObserveClaim(member.InstanceOf(remote.Info), claims[name], remote.AsOf)
		if _, holds := candidate.Holds(now); holds && !held {
			c.rightAcquired(name)
		}
	}
}

// rightAcquired reports a right that this host now holds without waiting for
// the next tick.
func (c *Control) rightAcquired(name string) {
	klog.InfoS("right held", "right", name)
	c.stepLenders(c.config.Clock())
	c.publish(c.config.Clock())
	c.heartbeatRequested = true
	c.sendRequestedHeartbeats(c.config.Clock())
}

// handleDatedStatements records the statements of a heartbeat that count only
// with AsOf, a time by this host's clock after which the heartbeat was sent:
// abstentions, handovers and confirmations of the release.
func (c *Control) handleDatedStatements(remote *member.Peer) {
	heartbeat := remote.Heartbeat
	for _, claim := range heartbeat.Abstentions {
		if candidate := c.candidates[claim.Right]; candidate != nil {
			candidate.Abstained(member.InstanceOf(remote.Info), claim.Epoch, remote.AsOf)
		}
	}
	for _, claim := range heartbeat.HandedOver {
		if candidate := c.candidates[claim.Right]; candidate != nil {
			candidate.HandedOver(claim.Epoch, remote.AsOf)
			c.pollNow()
		}
	}
	if heartbeat.ConfirmedAge > 0 {
		c.permit.Confirmed(heartbeat.ReleaseVersion, remote.AsOf.Add(-heartbeat.ConfirmedAge))
	}
	if heartbeat.NotAccepting {
		c.permit.NotAccepting(remote.Info.Host, heartbeat.ReleaseVersion, remote.AsOf)
	} else {
		c.permit.MayAccept(remote.Info.Host)
	}
}

// pollNow starts a poll of the store ahead of its interval.
func (c *Control) pollNow() {
	select {
	case c.poller.wake <- struct{}{}:
	default:
	}
}

// handleVersion records the version in force at a peer, and asks for the
// release if it is newer than the one here.
func (c *Control) handleVersion(remote *member.Peer, at time.Time) {
	version := remote.Heartbeat.ReleaseVersion
	if c.versions[remote.Info.Host].version != version {
		c.versions[remote.Info.Host] = peerVersion{
			version: version,
			at:      at,
		}
	}
	inForce := uint64(0)
	if c.state != nil {
		inForce = c.state.Version
	}
	if version > inForce {
		_ = c.config.Hub.Send(remote.Info.Host, message.KindStateRequest, message.StateRequest{
			Above: inForce,
		})
	}
}

// sendHeartbeats sends a heartbeat to every known peer that is neither dead nor
// left.
func (c *Control) sendHeartbeats() {
	now := c.config.Clock()
	common := message.Heartbeat{
		Held:               c.claims(now),
		Abstentions:        c.abstentions(now),
		Suspected:          c.view.Suspected(),
		Leaving:            c.leaving,
		NotAccepting:       !c.storeUp && c.accepting == 0,
		AwaitsConfirmation: c.awaitsConfirmation(now),
	}
	if c.state != nil {
		common.ReleaseVersion = c.state.Version
	}
	confirmed := c.permit.ConfirmedAt()
	if age := now.Sub(confirmed); !confirmed.IsZero() && age < c.config.Settings.Rights.Permit {
		common.ConfirmedAge = max(age, 1)
	}
	if _, holds := c.candidateHolds(dispatchRight, now); holds {
		capacity := c.config.FreeCapacity()
		common.FreeCapacity = []int64{capacity.MilliCores, capacity.MemoryBytes, capacity.Accelerators}
	}
	for _, remote := range c.view.All() {
		if remote.Status == member.StatusDead || remote.Status == member.StatusLeft {
			continue
		}
		heartbeat := common
		heartbeat.Seq, heartbeat.Echo = c.view.RecordSend(remote.Info.Host, now)
		heartbeat.HandedOver = c.handovers[remote.Info.Host]
		if remote.Info.Zone != c.config.Self.Zone {
			heartbeat.Abstentions = nil
		}
		_ = c.config.Hub.Send(remote.Info.Host, message.KindHeartbeat, heartbeat)
	}
}

// awaitsConfirmation reports whether some right lacks only the confirmation of
// zone peers before this host acts as its holder.
func (c *Control) awaitsConfirmation(now time.Time) bool {
	for _, candidate := range c.candidates {
		if candidate.Unconfirmed(now) {
			return true
		}
	}
	return false
}

// candidateHolds returns the epoch of a right of this host's zone, and whether
// this host holds it.
func (c *Control) candidateHolds(kind string, now time.Time) (uint64, bool) {
	candidate := c.candidates[rightName(c.config.Self.Zone, kind)]
	if candidate == nil {
		return 0, false
	}
	return candidate.Holds(now)
}

// abstentions lists the rights that this host abstains from acquiring for one
// term.
func (c *Control) abstentions(now time.Time) []message.Claim {
	var abstentions []message.Claim
	for name, candidate := range c.candidates {
		if epoch, ok := candidate.Abstain(now); ok {
			abstentions = append(abstentions, message.Claim{
				Right: name,
				Epoch: epoch,
			})
		}
	}
	return abstentions
}
