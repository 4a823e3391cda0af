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

// takePoll takes in one combined read of the platform.
func (c *Control) takePoll(result polled) {
	if result.err != nil {
		if c.storeUp {
			klog.InfoS("store out of reach", "err", result.err)
		}
		c.storeUp = false
		for _, rival := range c.rivals {
			rival.StoreFailed()
		}
		return
	}
	if !c.storeUp {
		klog.InfoS("store in reach", "revision", result.revision)
	}
	c.storeUp = true
	c.takeCurrent(result)
	c.takeRights(result)
	c.takeList(result)
}

// takeCurrent adopts a newer release and confirms the one in force. A store
// that holds an older one has gone back in time and is put right.
func (c *Control) takeCurrent(result polled) {
	mine := c.inForce()
	switch {
	case result.version < mine:
		c.restoreCurrent(result)
		return
	case result.version > mine && len(result.current.Kvs) > 0:
		state, err := release.Decode(result.current.Kvs[0].Value)
		if err != nil {
			klog.ErrorS(err, "release in the store")
			return
		}
		c.adopt(state, "store")
	}
	c.permit.Confirmed(result.version, result.sentAt)
}

// restoring writes the release in force back to a store that lost it.
type restoring struct {
	control  *Control
	revision int64
	state    *release.State
}

func (c *Control) restoreCurrent(result polled) {
	klog.InfoS("store has lost the release in force", "in_force", c.state.Version, "in_store", result.version)
	writer := &restoring{
		control: c,
		state:   c.state,
	}
	if len(result.current.Kvs) > 0 {
		writer.revision = int64(result.current.Kvs[0].ModRevision)
	}
	go writer.run()
}

func (r *restoring) run() {
	_, _ = r.control.config.Store.Txn(context.Background(), "restore", platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(currentKey, r.revision)},
		Success: putRelease(r.state),
	})
}

// putRelease writes a release and its number together.
func putRelease(state *release.State) []platform.Op {
	return []platform.Op{
		platform.Put(currentKey, state.Encode()),
		platform.Put(versionKey, []byte(strconv.FormatUint(state.Version, 10))),
	}
}

func (c *Control) takeRights(result polled) {
	found := map[string]platform.KeyValue{}
	for _, pair := range result.rights.Kvs {
		found[strings.TrimPrefix(string(pair.Key), rightsPrefix)] = pair
	}
	for name, rival := range c.rivals {
		observed := right.Observation{
			SentAt:        result.sentAt,
			ReceivedAt:    result.receivedAt,
			StoreRevision: result.revision,
		}
		if pair, ok := found[name]; ok {
			record, err := right.DecodeRecord(pair.Value)
			if err != nil {
				klog.ErrorS(err, "right in the store", "right", name)
				continue
			}
			observed.Revision, observed.Record = int64(pair.ModRevision), record
		}
		rival.Observe(observed)
	}
}

// takeList keeps up with the platform's list of back ends.
func (c *Control) takeList(result polled) {
	changed := result.whole || len(result.list.Kvs) > 0
	complete := c.backends.take(&result.list, result.whole)
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
	for shard := range stewardShards {
		if lender := c.lenders[stewardName(c.config.Self.Zone, shard)]; lender != nil {
			lender.SetLimits(c.limits(shard))
		}
	}
}

// stepRights sends the writes that the rivals decide on, in one call.
func (c *Control) stepRights(ctx context.Context, now time.Time) {
	mates := c.view.Mates()
	if rival := c.rivals[rightName(c.config.Self.Zone, dispatchRight)]; rival != nil {
		rival.ObserveEpoch(c.config.FencedBy())
	}
	var batch rightBatch
	for name, rival := range c.rivals {
		rival.SetPeers(mates, c.view.Liveness)
		for _, seat := range rival.Roster() {
			if c.config.Settings.Peers.Discover && c.view.Peer(seat.Host) == nil {
				c.config.Hub.Ensure(seat.Address)
			}
		}
		write := rival.Step(now)
		if write == nil {
			continue
		}
		if write.Acquire {
			klog.InfoS("taking right", "right", name, "epoch", write.Record.Epoch)
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

// rightBatch is the writes of one step, sent as one call.
type rightBatch struct {
	control *Control
	names   []string
	writes  []*right.Write
	txn     platform.TxnRequest
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

func (b *rightBatch) run(ctx context.Context) {
	response, err := b.control.config.Store.Txn(ctx, "rights", b.txn)
	for i, name := range b.names {
		result := rightWritten{
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
		b.control.written <- result
	}
}

func (c *Control) takeRightWritten(result rightWritten) {
	rival := c.rivals[result.name]
	rival.Written(result.write, result.outcome, result.revision, c.config.Clock())
	handedOver := result.write.Record.Holder == (right.Instance{})
	if result.outcome == right.Applied && (result.write.Acquire || handedOver) {
		klog.InfoS("right written", "right", result.name, "epoch", result.write.Record.Epoch, "handed_over", handedOver)
		c.announce = true
		c.announceSoon(c.config.Clock())
	}
}

// claims lists the rights held now.
func (c *Control) claims(now time.Time) []message.Claim {
	var claims []message.Claim
	for name, rival := range c.rivals {
		if epoch, holds := rival.Holds(now); holds {
			claims = append(claims, message.Claim{
				Right: name,
				Epoch: epoch,
			})
		}
	}
	return claims
}

// stepLenders starts and ends lending as rights come and go.
func (c *Control) stepLenders(now time.Time) {
	for name, lender := range c.lenders {
		epoch, holds := c.rivals[name].Holds(now)
		switch {
		case !holds && c.lending[name] != 0:
			lender.Close(now)
			c.lending[name] = 0
		case holds && c.lending[name] != epoch:
			book := c.books[name]
			if book != nil && book.Epoch+1 != epoch {
				book = nil
			}
			delete(c.books, name)
			lender.Begin(epoch, book, now)
			c.lending[name] = epoch
			klog.InfoS("lending slots", "lender", name, "epoch", epoch, "book", book != nil)
		}
	}
}

// lend answers a credit report if this host holds the lender's right, checked
// now, after whatever pause there was.
func (c *Control) lend(from message.Info, report message.CreditReport, now time.Time) {
	lender, rival := c.lenders[report.Lender], c.rivals[report.Lender]
	if lender == nil {
		return
	}
	if epoch, holds := rival.Holds(now); !holds || c.lending[report.Lender] != epoch {
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

// Yield hands every right to a zone-mate that is alive, or leaves it to lapse.
// The heirs are told once the records say so, and can take them at once.
func (c *Control) Yield(ctx context.Context) {
	now := c.config.Clock()
	c.leaving = true
	mates := c.view.Mates()
	turn := 0
	for name, rival := range c.rivals {
		epoch, held := rival.Yield(now)
		lender := c.lenders[name]
		if !held || len(mates) == 0 {
			continue
		}
		heir := mates[turn%len(mates)].Host
		turn++
		if lender != nil {
			c.sendBook(heir, name, lender.Close(now))
			c.lending[name] = 0
		}
		c.gifts[heir] = append(c.gifts[heir], message.Claim{
			Right: name,
			Epoch: epoch,
		})
		klog.InfoS("handing over right", "right", name, "epoch", epoch, "to", heir)
	}
	c.stepRights(ctx, now)
}

func (c *Control) sendBook(heir, name string, book *message.Book) {
	if book == nil {
		return
	}
	book.Right = name
	_ = c.config.Hub.Send(heir, message.KindBook, book)
}
