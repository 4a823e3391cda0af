package host

import (
	"context"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/process/right"
	"mustardreach.example/mustardreach/internal/version/release"
)

// handlePoll records the result of one poll of the store.
func (c *Control) handlePoll(result pollResult) {
	if result.err != nil {
		if c.storeUp {
			klog.InfoS("store out of reach", "err", result.err)
		}
		c.storeUp = false
		for _, candidate := range c.candidates {
			candidate.StoreFailed()
		}
		return
	}
	if !c.storeUp {
		klog.InfoS("store in reach", "revision", result.revision)
	}
	c.storeUp = true
	c.updateRelease(result)
	c.observeRights(result)
	c.updateList(result)
}

// updateRelease adopts a newer release from the store, or confirms the one in
// force. A store that holds an older release has been rolled back: the release
// in force is written to it again.
func (c *Control) updateRelease(result pollResult) {
	inForce := c.inForceVersion()
	switch {
	case result.version < inForce:
		c.restoreRelease(result)
		return
	case result.version > inForce && len(result.current.Kvs) > 0:
		state, err := release.Decode(result.current.Kvs[0].Value)
		if err != nil {
			klog.ErrorS(err, "release record cannot be decoded")
			return
		}
		c.adopt(state, "store")
	}
	c.permit.Confirmed(result.version, result.sentAt)
}

// releaseRestore writes the release in force back to a store that lost it.
type releaseRestore struct {
	control *Control
	// revision is the revision of the older release in the store, which the
	// write requires; 0 if there is none.
	revision int64
	state    *release.State
}

// restoreRelease starts a write of the release in force to a store that holds
// an older one or none. The next polls show whether it was applied.
func (c *Control) restoreRelease(result pollResult) {
	klog.InfoS("store has lost the release in force", "in_force", c.state.Version, "in_store", result.version)
	restore := &releaseRestore{
		control: c,
		state:   c.state,
	}
	if len(result.current.Kvs) > 0 {
		restore.revision = int64(result.current.Kvs[0].ModRevision)
	}
	go restore.run()
}

func (r *releaseRestore) run() {
	_, _ = r.control.config.Store.Txn(context.Background(), "restore", platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(currentKey, r.revision)},
		Success: putRelease(r.state),
	})
}

// putRelease returns the writes of a release and of its version, which must be
// applied together.
func putRelease(state *release.State) []platform.Op {
	return []platform.Op{
		platform.Put(currentKey, state.Encode()),
		platform.Put(versionKey, []byte(strconv.FormatUint(state.Version, 10))),
	}
}

// observeRights passes the rights in a poll's result to their candidates.
func (c *Control) observeRights(result pollResult) {
	found := map[string]platform.KeyValue{}
	for _, pair := range result.rights.Kvs {
		found[strings.TrimPrefix(string(pair.Key), rightsPrefix)] = pair
	}
	for name, candidate := range c.candidates {
		observed := right.Observation{
			SentAt:        result.sentAt,
			ReceivedAt:    result.receivedAt,
			StoreRevision: result.revision,
		}
		if pair, ok := found[name]; ok {
			record, err := right.DecodeRecord(pair.Value)
			if err != nil {
				klog.ErrorS(err, "right record cannot be decoded", "right", name)
				continue
			}
			observed.Revision, observed.Record = int64(pair.ModRevision), record
		}
		candidate.Observe(observed)
	}
}

// updateList applies the changes of the discovery list, passes on the back ends
// and sets from which revision the poller reads next.
func (c *Control) updateList(result pollResult) {
	changed := result.whole || len(result.list.Kvs) > 0
	complete := c.backends.apply(&result.list, result.whole)
	since := result.revision + 1
	if !complete {
		since = 0
	}
	select {
	case <-c.poller.since:
	default:
	}
	c.poller.since <- since
	if !changed || !complete {
		return
	}
	c.config.SetBackends(c.backends.runners())
	c.config.SetWorkers(c.backends.workers())
	if c.state == nil {
		return
	}
	for shard := range lenderShards {
		if lender := c.lenders[lenderName(c.config.Self.Zone, shard)]; lender != nil {
			lender.SetLimits(c.limits(shard))
		}
	}
}

// stepRights sends, in one call, the writes that the candidates decide on.
func (c *Control) stepRights(ctx context.Context, now time.Time) {
	zonePeers := c.view.ZonePeers()
	if candidate := c.candidates[rightName(c.config.Self.Zone, dispatchRight)]; candidate != nil {
		candidate.ObserveEpoch(c.config.FencedBy())
	}
	var batch rightBatch
	for name, candidate := range c.candidates {
		candidate.SetPeers(zonePeers, c.view.Liveness)
		for _, instance := range candidate.Roster() {
			if c.config.Settings.Peers.Discover && c.view.Peer(instance.Host) == nil {
				c.config.Hub.Ensure(instance.Address)
			}
		}
		write := candidate.Step(now)
		if write == nil {
			continue
		}
		if write.Acquire {
			klog.InfoS("acquiring right", "right", name, "epoch", write.Record.Epoch)
			c.config.Counts.Add("rights_taken", 1)
		}
		batch.add(name, write)
	}
	if len(batch.names) == 0 {
		return
	}
	batch.control = c
	go batch.run(ctx)
}

// rightBatch holds the writes of one step, which are sent in one call.
type rightBatch struct {
	control *Control
	// names and writes have the same order as the nested transactions of txn.
	names  []string
	writes []*right.Write
	txn    platform.TxnRequest
}

func (b *rightBatch) add(name string, write *right.Write) {
	b.names = append(b.names, name)
	b.writes = append(b.writes, write)
	nested := platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(rightKey(name), write.Expect)},
		Success: []platform.Op{platform.Put(rightKey(name), write.Record.Encode())},
	}
	if write.Acquire {
		nested.Success = append(nested.Success, platform.Put(fenceKey(name), []byte(write.Record.Fence())))
	}
	b.txn.Success = append(b.txn.Success, platform.Nested(nested))
}

// run sends the batch and reports the outcome of each write to the control
// loop.
func (b *rightBatch) run(ctx context.Context) {
	response, err := b.control.config.Store.Txn(ctx, "rights", b.txn)
	for i, name := range b.names {
		result := rightWriteResult{
			name:    name,
			write:   b.writes[i],
			outcome: right.Unknown,
		}
		if err == nil && i < len(response.Responses) && response.Responses[i].Txn != nil {
			result.outcome = right.Refused
			if response.Responses[i].Txn.Succeeded {
				result.outcome = right.Applied
				result.revision = int64(response.Header.Revision)
			}
		}
		b.control.writeResults <- result
	}
}

// handleRightWrite passes the outcome of a write to its candidate. An
// acquisition or a handover is reported to the peers at once.
func (c *Control) handleRightWrite(result rightWriteResult) {
	candidate := c.candidates[result.name]
	candidate.Written(result.write, result.outcome, result.revision, c.config.Clock())
	handedOver := result.write.Record.Holder == (right.Instance{})
	if result.outcome == right.Applied && (result.write.Acquire || handedOver) {
		klog.InfoS("right written", "right", result.name, "epoch", result.write.Record.Epoch, "handed_over", handedOver)
		c.heartbeatRequested = true
		c.sendRequestedHeartbeats(c.config.Clock())
	}
}

// claims lists the rights that this host holds now.
func (c *Control) claims(now time.Time) []message.Claim {
	var claims []message.Claim
	for name, candidate := range c.candidates {
		if epoch, holds := candidate.Holds(now); holds {
			claims = append(claims, message.Claim{
				Right: name,
				Epoch: epoch,
			})
		}
	}
	return claims
}

// stepLenders starts and ends lending as this host gains and loses the rights.
// The accounts received in a handover count only for the epoch that follows the
// one given up.
func (c *Control) stepLenders(now time.Time) {
	for name, lender := range c.lenders {
		epoch, holds := c.candidates[name].Holds(now)
		switch {
		case !holds && c.lendingEpochs[name] != 0:
			lender.Close(now)
			c.lendingEpochs[name] = 0
		case holds && c.lendingEpochs[name] != epoch:
			accounts := c.receivedAccounts[name]
			if accounts != nil && accounts.Epoch+1 != epoch {
				accounts = nil
			}
			delete(c.receivedAccounts, name)
			lender.Begin(epoch, accounts, now)
			c.lendingEpochs[name] = epoch
			klog.InfoS("lending slots", "lender", name, "epoch", epoch, "book", accounts != nil)
		}
	}
}

// lend replies to a credit report with a grant if this host holds the lender's
// right. It checks that again, since the process may have been paused since the
// last tick.
func (c *Control) lend(from message.Info, report message.CreditReport, now time.Time) {
	lender, candidate := c.lenders[report.Lender], c.candidates[report.Lender]
	if lender == nil {
		return
	}
	if epoch, holds := candidate.Holds(now); !holds || c.lendingEpochs[report.Lender] != epoch {
		return
	}
	grant, ok := lender.Report(from.Host, from.Zone == c.config.Self.Zone, report, now)
	if !ok {
		return
	}
	if from.Host == c.config.Self.Host {
		c.config.Grant(grant)
		return
	}
	_ = c.config.Hub.Send(from.Host, message.KindCreditGrant, grant)
}

// Yield gives up every right held here, and assigns each to one of the live
// zone peers in turn; without live zone peers a right is left without a
// successor. Heartbeats report the handovers to the successors, at the latest
// as soon as the records are written, so that they can acquire the rights at
// once.
func (c *Control) Yield(ctx context.Context) {
	now := c.config.Clock()
	c.leaving = true
	zonePeers := c.view.ZonePeers()
	turn := 0
	for name, candidate := range c.candidates {
		epoch, held := candidate.Yield(now)
		lender := c.lenders[name]
		if !held || len(zonePeers) == 0 {
			continue
		}
		successor := zonePeers[turn%len(zonePeers)].Host
		turn++
		if lender != nil {
			c.sendAccounts(successor, name, lender.Close(now))
			c.lendingEpochs[name] = 0
		}
		c.handovers[successor] = append(c.handovers[successor], message.Claim{
			Right: name,
			Epoch: epoch,
		})
		klog.InfoS("handing over right", "right", name, "epoch", epoch, "to", successor)
	}
	c.stepRights(ctx, now)
}

// sendAccounts sends the accounts of a closed lender to its successor.
func (c *Control) sendAccounts(successor, name string, accounts *message.Handover) {
	if accounts == nil {
		return
	}
	accounts.Right = name
	_ = c.config.Hub.Send(successor, message.KindHandover, accounts)
}
