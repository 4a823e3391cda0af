package dispatch

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Authority is this host's authority to dispatch, as of now.
type Authority struct {
	// Epoch is zero while this host does not hold the zone's right.
	Epoch uint64
	// FenceKey and Fence guard every record write: it takes effect only while
	// the key has this value.
	FenceKey, Fence string
	// HoldsUntil and PermitUntil are when the right and the permit to start
	// tasks expire.
	HoldsUntil, PermitUntil time.Time
	// StoreUp means that records can be written.
	StoreUp bool
	// State is the release state in force.
	State *release.State
	// FreeCapacity is the free capacity of other zones, by zone name.
	FreeCapacity map[string]worker.Size
}

// LoopConfig configures a Loop.
type LoopConfig struct {
	Host string
	Zone string
	// Tick, Heartbeat and Poll are intervals; Lease is the duration of a task's
	// lease.
	Tick, Heartbeat, Poll, Lease time.Duration
	// Authority returns the current authority; it is called before every action.
	Authority func() Authority
	// Commit queues one write transaction.
	Commit func(commit platform.Commit)
	// Read runs one read transaction.
	Read func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Clock returns the current time.
	Clock func() time.Time
	// Counts counts decisions by kind.
	Counts *expvar.Map
}

// eventQueueSize bounds the events queued for the loop.
const eventQueueSize = 8192

// workerTimeout bounds one request to a worker.
const workerTimeout = time.Second

// writeEvent is the result of a write.
type writeEvent struct {
	write  Write
	epoch  uint64
	result platform.CommitResult
}

// inventoryEvent is a worker's answer to a heartbeat.
type inventoryEvent struct {
	worker    string
	epoch     uint64
	inventory worker.Inventory
}

// replyEvent is a worker's answer to a start or an order.
type replyEvent struct {
	worker, attempt string
	epoch           uint64
	reply           worker.Reply
}

// recordsEvent holds records read from the store at a revision; whole means all
// of them.
type recordsEvent struct {
	epoch    uint64
	records  []storedRecord
	revision int64
	whole    bool
	err      error
}

// storedRecord is a job record at a revision of the store.
type storedRecord struct {
	record   *job.Record
	revision int64
}

// Loop runs a zone's dispatcher while this host holds the zone's right.
type Loop struct {
	config  LoopConfig
	planner *Planner
	client  *worker.Client
	links   map[string]*workerLink
	// epoch is the epoch that the planner works under, zero before the first.
	epoch uint64
	// ready means that all records have been read under this epoch.
	ready bool
	// reading means that a read of records is running.
	reading bool
	// revision is the store revision up to which changes have been read.
	revision int64

	// freeCapacity is the zone's free capacity as of the newest heartbeats.
	freeCapacity atomic.Pointer[worker.Size]
	// fencedBy is Planner.FencedBy after the newest inventory.
	fencedBy atomic.Uint64

	events       chan any
	entries      chan []Entry
	readRequests chan struct{}
	calls        chan func()
}

// NewLoop returns a loop that is not yet running.
func NewLoop(config LoopConfig) *Loop {
	return &Loop{
		config: config,
		planner: NewPlanner(PlannerConfig{
			Zone:  config.Zone,
			Lease: config.Lease,
		}),
		client: worker.NewClient(worker.ClientConfig{
			Timeout: workerTimeout,
		}),
		links:        map[string]*workerLink{},
		events:       make(chan any, eventQueueSize),
		entries:      make(chan []Entry, 1),
		readRequests: make(chan struct{}, 1),
		calls:        make(chan func(), 1),
	}
}

// SetWorkers passes the platform's newest list of workers to the loop; it
// replaces one that the loop has not read yet.
func (l *Loop) SetWorkers(entries []Entry) {
	select {
	case <-l.entries:
	default:
	}
	l.entries <- entries
}

// FencedBy returns the highest epoch by which a worker has fenced this loop,
// zero without one. If it is above the epoch held, the right must be acquired
// again.
func (l *Loop) FencedBy() uint64 {
	return l.fencedBy.Load()
}

// FreeCapacity returns the zone's free capacity as of the newest heartbeats. It
// does not wait for the loop.
func (l *Loop) FreeCapacity() worker.Size {
	if freeCapacity := l.freeCapacity.Load(); freeCapacity != nil {
		return *freeCapacity
	}
	return worker.Size{}
}

// ReadNow makes the loop read changed records now instead of at the next poll.
func (l *Loop) ReadNow() {
	select {
	case l.readRequests <- struct{}{}:
	default:
	}
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) {
	tick := time.NewTicker(l.config.Tick)
	heartbeat := time.NewTicker(l.config.Heartbeat)
	poll := time.NewTicker(l.config.Poll)
	defer tick.Stop()
	defer heartbeat.Stop()
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case entries := <-l.entries:
			l.planner.SetWorkers(entries, l.config.Clock())
			l.syncLinks(ctx)
		case event := <-l.events:
			l.handleEvent(event)
		case fn := <-l.calls:
			fn()
		case <-l.readRequests:
			l.read(ctx)
		case <-poll.C:
			l.read(ctx)
		case <-heartbeat.C:
			l.sendHeartbeats()
		case <-tick.C:
			l.tick(ctx)
		}
	}
}

// Call runs a function in the goroutine of the loop and waits for it. It does
// not run if the context ends first.
func (l *Loop) Call(ctx context.Context, fn func(planner *Planner)) {
	done := make(chan struct{})
	select {
	case l.calls <- func() {
		fn(l.planner)
		close(done)
	}:
	case <-ctx.Done():
		return
	}
	<-done
}

// active returns the current authority and whether the dispatcher may act under
// it; call it immediately before acting.
func (l *Loop) active() (Authority, bool) {
	authority := l.config.Authority()
	holds := authority.Epoch != 0 && authority.Epoch == l.epoch && l.config.Clock().Before(authority.HoldsUntil)
	return authority, holds && !l.planner.Fenced()
}

func (l *Loop) tick(ctx context.Context) {
	authority := l.config.Authority()
	now := l.config.Clock()
	if authority.Epoch != 0 && authority.Epoch != l.epoch && now.Before(authority.HoldsUntil) {
		l.begin(ctx, authority, now)
	}
	authority, active := l.active()
	if !active || !l.ready {
		return
	}
	l.planner.SetState(authority.State)
	l.planner.SetZoneCapacity(authority.FreeCapacity)
	effects := l.planner.Tick(TickInput{
		Now:         now,
		PermitUntil: authority.PermitUntil,
		StoreUp:     authority.StoreUp,
	})
	l.execute(effects, authority)
}

func (l *Loop) begin(ctx context.Context, authority Authority, now time.Time) {
	klog.InfoS("dispatcher started", "zone", l.config.Zone, "epoch", authority.Epoch)
	l.epoch, l.ready, l.reading, l.revision = authority.Epoch, false, false, 0
	l.planner.Begin(authority.Epoch, now)
	l.read(ctx)
}

// execute queues the record writes and sends the orders that the planner
// decided.
func (l *Loop) execute(effects Effects, authority Authority) {
	for _, write := range effects.Writes {
		logWrite(write)
		l.config.Counts.Add("writes", 1)
		l.send(write, authority)
	}
	for _, start := range effects.Starts {
		l.config.Counts.Add("starts", 1)
		l.enqueue(start.Worker, message{
			epoch:   l.epoch,
			attempt: start.Start.Attempt,
			start:   &start.Start,
		})
	}
	for _, order := range effects.Orders {
		klog.InfoS("order", "worker", order.Worker, "attempt", order.Attempt, "verb", order.Verb)
		l.config.Counts.Add("orders", 1)
		l.enqueue(order.Worker, message{
			epoch:   l.epoch,
			attempt: order.Attempt,
			order:   &order,
		})
	}
}

func (l *Loop) handleEvent(event any) {
	now := l.config.Clock()
	switch got := event.(type) {
	case writeEvent:
		if got.epoch == l.epoch {
			l.handleWriteResult(got, now)
		}
	case inventoryEvent:
		if got.epoch == l.epoch && l.ready {
			l.planner.SetState(l.config.Authority().State)
			l.planner.Inventory(got.worker, got.inventory, now)
			l.fencedBy.Store(l.planner.FencedBy())
			l.flush()
		}
	case replyEvent:
		if got.epoch == l.epoch && l.ready {
			l.planner.Replied(got.worker, got.attempt, got.reply, now)
			l.flush()
		}
	case recordsEvent:
		if got.epoch == l.epoch {
			l.handleRecords(got, now)
		}
	}
}

// flush executes what the planner decided outside a tick.
func (l *Loop) flush() {
	effects := l.planner.Flush()
	if authority, active := l.active(); active {
		l.execute(effects, authority)
		return
	}
	l.planner.Discard(effects)
}

// read starts a read of the changed records, or of all records at the start of
// an epoch. At most one read runs at a time.
func (l *Loop) read(ctx context.Context) {
	if _, active := l.active(); !active || l.reading {
		return
	}
	l.reading = true
	reader := &recordReader{
		loop:  l,
		epoch: l.epoch,
		since: l.revision,
		whole: !l.ready,
	}
	go reader.run(ctx)
}

func (l *Loop) handleRecords(got recordsEvent, now time.Time) {
	l.reading = false
	if got.err != nil {
		return
	}
	for _, stored := range got.records {
		l.planner.Load(stored.record, stored.revision, now)
	}
	l.revision = max(l.revision, got.revision)
	if got.whole && !l.ready {
		l.ready = true
		klog.InfoS("dispatcher loaded all records", "zone", l.config.Zone, "records", len(got.records))
		l.sendHeartbeats()
	}
}

// sendHeartbeats sends a heartbeat to every worker of the zone that is due for
// one.
func (l *Loop) sendHeartbeats() {
	if _, active := l.active(); !active || !l.ready {
		return
	}
	freeCapacity := l.planner.FreeCapacity(l.config.Clock())
	l.freeCapacity.Store(&freeCapacity)
	for id := range l.planner.Workers() {
		if l.links[id] == nil || l.links[id].busy() || l.planner.CanSkipHeartbeat(id, l.config.Clock()) {
			continue
		}
		heartbeat := l.planner.Heartbeat(id)
		heartbeat.Dispatcher = l.config.Host
		l.enqueue(id, message{
			epoch:     l.epoch,
			heartbeat: &heartbeat,
		})
	}
}
