// Package dispatch places a zone's jobs on its workers. The Planner makes the
// decisions without I/O: its inputs are job records, worker inventories and
// write results with their times, its outputs are record writes and orders to
// workers. The Loop drives the Planner and performs the I/O.
package dispatch

import (
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	// Zone is the availability zone whose workers the planner uses.
	Zone string
	// Lease is the duration of a task's lease.
	Lease time.Duration
}

// clockDriftDivisor bounds the drift between two clocks: at most 1/50 of the
// elapsed time.
const clockDriftDivisor = 50

// Entry is a worker as listed by the platform.
type Entry struct {
	ID, Zone, Rack string
	Address        netip.AddrPort
	Leaving        bool
	Total          worker.Size
}

// Write is a change to a job record, applied by compare-and-swap.
type Write struct {
	// From is the stored record at Revision.
	From     *job.Record
	Revision int64
	To       *job.Record
}

// Start is an order to a worker to run an attempt.
type Start struct {
	Worker string
	Start  worker.Start
}

// Verb is the kind of an Order.
type Verb string

// The verbs of orders.
const (
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// Order is a command to a worker about one attempt.
type Order struct {
	Worker  string
	Attempt string
	Verb    Verb
	// Boot identifies the run of the worker that the order is for; another run
	// refuses it.
	Boot string
}

// Effects are the actions that the Loop is to perform.
type Effects struct {
	Writes []Write
	Starts []Start
	Orders []Order
}

// stopReason is why an open attempt is being stopped; it is stored as the
// detail of the attempt.
type stopReason string

const (
	notStopping       stopReason = ""
	stopCancelled     stopReason = "cancelled"
	stopEvicted       stopReason = "evicted"
	stopZoneWithdrawn stopReason = "zone taken out"
	stopDrained       stopReason = "worker leaving"
	stopRefused       stopReason = "refused by the worker"
)

// checkpointTimeout is how long a stopping attempt may take to write a
// checkpoint before it is stopped without one.
const checkpointTimeout = 3 * time.Second

// orderInterval is the minimum time before an order about an attempt is
// repeated; the worker's answer ends it early.
const orderInterval = 300 * time.Millisecond

// jobView is a job record together with the state that this dispatcher keeps
// about it in memory.
type jobView struct {
	record   *job.Record
	revision int64
	// pendingWrite is the record of the unfinished write, nil without one.
	pendingWrite *job.Record
	// acked means that the worker has confirmed the open attempt.
	acked bool
	// sent means that a start order was sent; notAfter is the latest time, by
	// the worker's clock in milliseconds, at which any such order takes effect.
	sent     bool
	notAfter int64
	// orderedAt is when the newest order about the attempt was sent.
	orderedAt  time.Time
	stopping   stopReason
	stoppingAt time.Time
	// notBefore delays the next attempt after a failure.
	notBefore    time.Time
	waitingSince time.Time
	// task is the attempt as last reported by the worker.
	task worker.Task
	// reserved is the worker on which batch attempts are being evicted for this
	// job, empty without one.
	reserved string
	// heldSize is held on the worker heldOn while the commit of an attempt is
	// being written.
	heldSize worker.Size
	heldOn   string
}

// Planner holds the state of one dispatcher. It is not safe for concurrent use.
type Planner struct {
	config    PlannerConfig
	epoch     uint64
	startedAt time.Time
	fenced    bool
	// fencedBy is the highest epoch by which a worker has fenced the planner,
	// zero without one.
	fencedBy    uint64
	state       *release.State
	workers     map[string]*workerView
	jobs        map[string]*jobView
	sizes       *estimates
	allocations allocations
	// classes counts attempts by rack and class.
	classes map[rackClass]int
	// zoneCapacity is the free capacity that other zones' dispatchers report.
	zoneCapacity map[string]worker.Size
	// evictions counts attempts stopped to free capacity for urgent jobs.
	evictions int
	effects   Effects
}

// NewPlanner returns an empty planner.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{
		config:       config,
		workers:      map[string]*workerView{},
		jobs:         map[string]*jobView{},
		sizes:        newEstimates(),
		allocations:  newAllocations(),
		classes:      map[rackClass]int{},
		zoneCapacity: map[string]worker.Size{},
	}
}

// Begin starts dispatching under a new epoch. Everything known about workers
// may be out of date, so a worker receives no work until it has answered a
// heartbeat of this epoch.
func (p *Planner) Begin(epoch uint64, now time.Time) {
	p.epoch, p.startedAt, p.fenced = epoch, now, false
	for _, w := range p.workers {
		w.confirmed = false
		w.leaseBound = now.Add(p.leaseTerm())
		w.allocated, w.open = worker.Size{}, map[string]*jobView{}
		w.reserved, w.pendingCommits = nil, 0
	}
	p.jobs = map[string]*jobView{}
	p.allocations = newAllocations()
	clear(p.classes)
}

func (p *Planner) leaseTerm() time.Duration {
	return p.config.Lease + p.config.Lease/clockDriftDivisor
}

// Fenced reports whether a worker has seen a dispatcher with a higher epoch.
func (p *Planner) Fenced() bool {
	return p.fenced
}

// FencedBy returns the highest epoch above its own that a worker has reported
// to the planner, zero without one.
func (p *Planner) FencedBy() uint64 {
	return p.fencedBy
}

// SetState sets the release state in force.
func (p *Planner) SetState(state *release.State) {
	p.state = state
}

// SetWorkers adds and updates workers of the zone from the platform's list.
// Workers that are no longer listed are kept.
func (p *Planner) SetWorkers(entries []Entry, now time.Time) {
	for _, entry := range entries {
		if entry.Zone != p.config.Zone {
			continue
		}
		w := p.workers[entry.ID]
		if w == nil {
			w = &workerView{
				leaseBound: now.Add(p.leaseTerm()),
				tasks:      map[string]worker.Task{},
				open:       map[string]*jobView{},
			}
			p.workers[entry.ID] = w
		}
		w.entry = entry
	}
}

// SetZoneCapacity sets the free capacity of other zones, by zone name.
func (p *Planner) SetZoneCapacity(zoneCapacity map[string]worker.Size) {
	p.zoneCapacity = zoneCapacity
}

// Load updates a job from its stored record. A revision older than the known
// one is ignored.
func (p *Planner) Load(record *job.Record, revision int64, now time.Time) {
	view := p.jobs[record.ID]
	if view != nil && revision < view.revision {
		return
	}
	if record.State.Final() {
		p.drop(record.ID)
		return
	}
	if record.Zone != p.config.Zone && !p.hasLocalAttempt(record) {
		p.drop(record.ID)
		return
	}
	if view == nil {
		view = &jobView{
			waitingSince: now,
		}
		p.jobs[record.ID] = view
	}
	p.replace(view, record, revision, now)
}

// hasLocalAttempt reports whether the job has an open attempt in this zone.
func (p *Planner) hasLocalAttempt(record *job.Record) bool {
	open := record.Open()
	return open != nil && open.Zone == p.config.Zone
}

func (p *Planner) drop(id string) {
	if view := p.jobs[id]; view != nil {
		p.deallocate(view)
		p.releaseHold(view)
		delete(p.jobs, id)
	}
	delete(p.sizes.sampled, id)
	p.allocations.remove(id)
}

// replace sets the known record of a job and updates the allocated capacity. A
// new attempt resets what is known of the previous one.
func (p *Planner) replace(view *jobView, record *job.Record, revision int64, now time.Time) {
	if view.record != nil {
		p.deallocate(view)
	}
	before := view.record
	view.record, view.revision = record, revision
	p.allocate(view)
	p.allocations.set(record)
	changed := before == nil || before.Total != record.Total
	if changed {
		view.acked, view.notAfter, view.sent = false, 0, false
		view.stopping, view.orderedAt = notStopping, time.Time{}
		view.task = worker.Task{}
	}
	if record.Waiting() && (before == nil || !before.Waiting()) {
		view.waitingSince = now
	}
}

// Written handles a write that has taken effect.
func (p *Planner) Written(write Write, revision int64, now time.Time) {
	view := p.jobs[write.To.ID]
	if view == nil || view.pendingWrite != write.To {
		return
	}
	view.pendingWrite = nil
	if write.To.State.Final() {
		p.drop(write.To.ID)
		return
	}
	p.releaseHold(view)
	p.replace(view, write.To, revision, now)
	if write.To.Zone != p.config.Zone && write.To.Waiting() {
		p.drop(write.To.ID)
	}
}

// Conflicted handles a write that failed its compare. current is the stored
// record, nil without one.
func (p *Planner) Conflicted(write Write, current *job.Record, revision int64, now time.Time) {
	view := p.jobs[write.To.ID]
	if view == nil || view.pendingWrite != write.To {
		return
	}
	view.pendingWrite = nil
	p.releaseHold(view)
	if current == nil {
		p.drop(write.To.ID)
		return
	}
	p.Load(current, revision, now)
}

// write queues a record change; a job has at most one unfinished write.
func (p *Planner) write(view *jobView, to *job.Record) {
	view.pendingWrite = to
	p.effects.Writes = append(p.effects.Writes, Write{
		From:     view.record,
		Revision: view.revision,
		To:       to,
	})
}

func (p *Planner) order(view *jobView, verb Verb, now time.Time) {
	if now.Sub(view.orderedAt) < orderInterval {
		return
	}
	view.orderedAt = now
	open := view.record.Open()
	w := p.workers[open.Worker]
	if w == nil || !w.confirmed {
		return
	}
	p.effects.Orders = append(p.effects.Orders, Order{
		Worker:  open.Worker,
		Attempt: view.record.AttemptID(open.N),
		Verb:    verb,
		Boot:    w.boot,
	})
}

// Flush returns and clears the queued effects, such as those that an inventory
// caused between two ticks.
func (p *Planner) Flush() Effects {
	effects := p.effects
	p.effects = Effects{}
	return effects
}

// Discard drops writes that are not carried out because the dispatcher has lost
// its right.
func (p *Planner) Discard(effects Effects) {
	for _, write := range effects.Writes {
		if view := p.jobs[write.To.ID]; view != nil && view.pendingWrite == write.To {
			view.pendingWrite = nil
			p.releaseHold(view)
		}
	}
}
