package dispatch

import (
	"context"
	"net/netip"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/job"
)

// message is one request to a worker; exactly one of the pointers is set.
type message struct {
	epoch     uint64
	attempt   string
	heartbeat *worker.Heartbeat
	start     *worker.Start
	order     *Order
}

// linkQueueSize bounds the messages queued for one worker.
const linkQueueSize = 256

// workerLink sends queued messages to one worker in order.
type workerLink struct {
	loop    *Loop
	id      string
	address netip.AddrPort
	queue   chan message
	stop    chan struct{}
}

// syncLinks starts a link for each new worker and replaces the links of workers
// whose address has changed.
func (l *Loop) syncLinks(ctx context.Context) {
	for id, entry := range l.planner.Workers() {
		old := l.links[id]
		if old != nil && old.address == entry.Address {
			continue
		}
		if old != nil {
			close(old.stop)
		}
		added := &workerLink{
			loop:    l,
			id:      id,
			address: entry.Address,
			queue:   make(chan message, linkQueueSize),
			stop:    make(chan struct{}),
		}
		l.links[id] = added
		go added.run(ctx)
	}
}

// enqueue queues a message for a worker; it drops the message if the queue is
// full.
func (l *Loop) enqueue(id string, msg message) {
	link := l.links[id]
	if link == nil {
		return
	}
	select {
	case link.queue <- msg:
	default:
		l.config.Counts.Add("worker_queue_full", 1)
	}
}

// busy reports whether over half of the queue is in use.
func (k *workerLink) busy() bool {
	return len(k.queue) > linkQueueSize/2
}

func (k *workerLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.stop:
			return
		case msg := <-k.queue:
			k.exchange(ctx, msg)
		}
	}
}

// exchange sends one message, unless the dispatcher has lost its right since it
// was queued. A missing answer changes no state: starts and orders are
// repeated, and the next inventory shows their effect.
func (k *workerLink) exchange(ctx context.Context, msg message) {
	if authority := k.loop.config.Authority(); authority.Epoch != msg.epoch || !k.loop.config.Clock().Before(authority.HoldsUntil) {
		return
	}
	client, counts := k.loop.client, k.loop.config.Counts
	if msg.heartbeat != nil {
		counts.Add("heartbeats", 1)
		inventory, err := client.Heartbeat(ctx, k.address, *msg.heartbeat)
		if err != nil {
			counts.Add("heartbeats_lost", 1)
			return
		}
		k.loop.events <- inventoryEvent{
			worker:    k.id,
			epoch:     msg.epoch,
			inventory: inventory,
		}
		return
	}
	reply, err := k.send(ctx, msg)
	if err != nil {
		klog.V(1).InfoS("worker did not answer", "worker", k.id, "attempt", msg.attempt, "err", err)
		return
	}
	if reply.Refused != "" {
		klog.InfoS("worker refuses", "worker", k.id, "attempt", msg.attempt, "reason", reply.Refused)
	}
	k.loop.events <- replyEvent{
		worker:  k.id,
		attempt: msg.attempt,
		epoch:   msg.epoch,
		reply:   reply,
	}
}

func (k *workerLink) send(ctx context.Context, msg message) (worker.Reply, error) {
	if msg.start != nil {
		return k.loop.client.Start(ctx, k.address, *msg.start)
	}
	return k.loop.client.Command(ctx, k.address, msg.attempt, string(msg.order.Verb), worker.Command{
		Epoch: msg.epoch,
		Boot:  msg.order.Boot,
	})
}

// recordReader reads job records changed after the revision since, or all of
// them if whole is set.
type recordReader struct {
	loop  *Loop
	epoch uint64
	since int64
	whole bool
}

// pageSize bounds the records returned by one store call.
const pageSize = 1000

func (r *recordReader) run(ctx context.Context) {
	result := recordsEvent{
		epoch: r.epoch,
		whole: r.whole,
	}
	start, end := job.ActivePrefix, prefixEnd(job.ActivePrefix)
	for {
		op := platform.Op{
			Range: &platform.RangeRequest{
				Key:      []byte(start),
				RangeEnd: []byte(end),
				Limit:    pageSize,
			},
		}
		if !r.whole {
			op.Range.MinModRevision = platform.Int64(r.since + 1)
		}
		response, err := r.loop.config.Read(ctx, platform.TxnRequest{
			Success: []platform.Op{op},
		})
		if err != nil || len(response.Responses) == 0 || response.Responses[0].Range == nil {
			result.err = platform.ErrUnknown
			break
		}
		page := response.Responses[0].Range
		if result.revision == 0 {
			result.revision = int64(response.Header.Revision)
		}
		for _, pair := range page.Kvs {
			record, err := job.Decode(pair.Value)
			if err != nil {
				klog.ErrorS(err, "job record cannot be decoded", "key", string(pair.Key))
				continue
			}
			result.records = append(result.records, storedRecord{
				record:   record,
				revision: int64(pair.ModRevision),
			})
		}
		if !page.More {
			break
		}
		start = string(page.Kvs[len(page.Kvs)-1].Key) + "\x00"
	}
	r.loop.events <- result
}

// prefixEnd is the first key after all keys with the prefix.
func prefixEnd(prefix string) string {
	return prefix[:len(prefix)-1] + string(prefix[len(prefix)-1]+1)
}
