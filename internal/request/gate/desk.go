package gate

import (
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/request/admission"
	"mustardreach.example/mustardreach/internal/request/credit"
	"mustardreach.example/mustardreach/internal/request/retry"
	"mustardreach.example/mustardreach/internal/request/runner"
)

// Slot is permission to send one request to one runner.
type Slot struct {
	Runner  string
	Service string
	Address netip.AddrPort
	// Until is when the permission lapses.
	Until time.Time
	// Attempt is unique in the process.
	Attempt uint64
	// Refused says why there is no slot; empty if there is one.
	Refused string
}

// want asks for a slot.
type want struct {
	service string
	ticket  admission.Ticket
	// extra means a retry or a hedge, which the budget must allow.
	extra bool
	reply chan<- Slot
}

// ending is how a request to a runner ended.
type ending struct {
	slot    Slot
	verdict runner.Verdict
	leaving bool
	// freed means that the runner is certainly done.
	freed bool
}

// Lender names who lends a runner's slots.
type Lender struct {
	// Name is zone and shard.
	Name string
	Zone string
}

// Backends is the platform's list as the desk needs it.
type Backends struct {
	Entries []runner.Entry
	// Lenders is by runner.
	Lenders map[string]Lender
}

// DeskConfig sets up a Desk.
type DeskConfig struct {
	Runners  runner.Config
	Borrower credit.BorrowerConfig
	Queue    admission.Config
	// Report sends a report to whoever holds the lender's right.
	Report func(report message.CreditReport)
	// Clock tells the time.
	Clock func() time.Time
	// ReportEvery is the interval of reports while there is demand.
	ReportEvery time.Duration
}

// ring is how many events may wait for a desk.
const ring = 4096

// shortestReport is the least time between two reports.
const shortestReport = 5 * time.Millisecond

// lane is one service's waiting line and budget.
type lane struct {
	queue  *admission.Queue
	budget *retry.Budget
	wants  map[uint64]want
	// busy is requests in progress.
	busy int
	// usual is how many are in progress when nothing is wrong: the peak,
	// falling slowly. Waits are reckoned with it, since slots that are missing
	// for a moment come back together.
	usual float64
	// since is when the first request came; before warmUp has passed, nothing
	// is known of how many slots there will be.
	since time.Time
}

// warmUp is how long a fresh lane takes to get its share of the slots.
const warmUp = 3 * time.Second

// expected is how many requests are reckoned to be in progress while others
// wait.
func (l *lane) expected(now time.Time) int {
	if now.Sub(l.since) < warmUp {
		return max(int(l.usual), l.queue.Length()+1)
	}
	return max(int(l.usual), 1)
}

// Desk owns routing, limits and queues of a host; its loop is the only one to
// touch them.
type Desk struct {
	config   DeskConfig
	table    *runner.Table
	borrower *credit.Borrower
	lanes    map[string]*lane
	lenders  map[string]Lender
	attempts uint64
	// demand is how many slots could be used, falling slowly.
	demand     float64
	reportedAt time.Time
	short      bool

	wants   chan want
	leaves  chan uint64
	endings chan ending
	freed   chan Slot
	granted chan message.CreditGrant
	lists   chan Backends
	asks    chan func()
}

// NewDesk returns a desk whose loop is not yet running.
func NewDesk(config DeskConfig) *Desk {
	return &Desk{
		config:   config,
		table:    runner.NewTable(config.Runners),
		borrower: credit.NewBorrower(config.Borrower),
		lanes:    map[string]*lane{},
		wants:    make(chan want, ring),
		leaves:   make(chan uint64, ring),
		endings:  make(chan ending, ring),
		freed:    make(chan Slot, ring),
		granted:  make(chan message.CreditGrant, ring),
		lists:    make(chan Backends, 1),
		asks:     make(chan func(), 1),
	}
}

// SetBackends passes a new list in.
func (d *Desk) SetBackends(backends Backends) {
	select {
	case <-d.lists:
	default:
	}
	d.lists <- backends
}

// Grant passes a grant in; dropped when the desk is overrun.
func (d *Desk) Grant(granted message.CreditGrant) {
	select {
	case d.granted <- granted:
	default:
	}
}

// Ask runs a function inside the loop and waits for it.
func (d *Desk) Ask(question func()) {
	done := make(chan struct{})
	d.asks <- func() {
		question()
		close(done)
	}
	<-done
}

func (d *Desk) ended(end ending) {
	d.endings <- end
}

func (d *Desk) free(slot Slot) {
	d.freed <- slot
}

// Run is the loop; it ends with the process.
func (d *Desk) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(d.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case asked := <-d.wants:
			d.want(asked)
		case id := <-d.leaves:
			d.leave(id)
		case end := <-d.endings:
			d.end(end)
		case slot := <-d.freed:
			d.release(slot)
		case granted := <-d.granted:
			if d.borrower.Grant(granted) {
				d.serveAll()
			}
		case list := <-d.lists:
			d.setList(list)
		case question := <-d.asks:
			question()
		case <-ticker.C:
			d.serveAll()
			d.report()
		}
		d.reportIfShort()
	}
}

func (d *Desk) setList(list Backends) {
	d.table.Set(list.Entries, d.config.Clock())
	d.lenders = list.Lenders
	names := make(map[string]string, len(list.Lenders))
	for id, lender := range list.Lenders {
		names[id] = lender.Name
	}
	d.borrower.SetLenders(names)
}

func (d *Desk) lane(service string) *lane {
	found := d.lanes[service]
	if found == nil {
		found = &lane{
			queue:  admission.NewQueue(d.config.Queue),
			budget: retry.NewBudget(),
			wants:  map[uint64]want{},
			since:  d.config.Clock(),
		}
		d.lanes[service] = found
	}
	return found
}

func (d *Desk) want(asked want) {
	now := d.config.Clock()
	one := d.lane(asked.service)
	if asked.extra {
		d.wantExtra(one, asked, now)
		return
	}
	one.budget.RecordRequest()
	if one.queue.Length() == 0 {
		if slot, ok := d.choose(asked, now); ok {
			asked.reply <- slot
			return
		}
	}
	d.short = true
	if !one.queue.Push(asked.ticket, one.expected(now), now) {
		asked.reply <- Slot{
			Refused: "overloaded",
		}
		return
	}
	one.wants[asked.ticket.ID] = asked
}

// wantExtra never waits: a retry or hedge that must queue is not worth it.
func (d *Desk) wantExtra(one *lane, asked want, now time.Time) {
	refused := Slot{
		Refused: "retry budget spent",
	}
	if one.queue.Length() > 0 || !one.budget.Spend() {
		asked.reply <- refused
		return
	}
	slot, ok := d.choose(asked, now)
	if !ok {
		slot = refused
	}
	asked.reply <- slot
}

func (d *Desk) choose(asked want, now time.Time) (Slot, bool) {
	id, ok := d.table.Choose(runner.Criteria{
		Service: asked.service,
		Free:    func(id string) int { return d.borrower.Free(id, now) },
		Avoid:   asked.ticket.Avoid,
	}, now)
	if !ok {
		return Slot{}, false
	}
	entry, _ := d.table.Entry(id)
	d.attempts++
	d.borrower.Use(id)
	d.table.RecordSend(id, d.attempts, now)
	one := d.lane(asked.service)
	one.busy++
	one.usual = max(one.usual, float64(one.busy))
	return Slot{
		Runner:  id,
		Service: asked.service,
		Address: entry.Address,
		Until:   d.borrower.Until(id),
		Attempt: d.attempts,
	}, true
}

func (d *Desk) leave(id uint64) {
	for _, one := range d.lanes {
		if asked, ok := one.wants[id]; ok {
			one.queue.Remove(id)
			delete(one.wants, id)
			asked.reply <- Slot{
				Refused: "caller left",
			}
			return
		}
	}
}

func (d *Desk) end(end ending) {
	now := d.config.Clock()
	d.table.RecordEnd(end.slot.Runner, end.slot.Attempt, end.verdict, now)
	if end.leaving {
		d.table.Leaving(end.slot.Runner, now)
	}
	if end.freed {
		d.release(end.slot)
	}
}

func (d *Desk) answered(service string, took time.Duration) {
	one := d.lane(service)
	one.queue.RecordServiceTime(took)
	one.budget.RecordLatency(took, d.config.Clock())
}

func (d *Desk) release(slot Slot) {
	d.borrower.Return(slot.Runner)
	one := d.lane(slot.Service)
	one.busy--
	d.serve(one)
}

func (d *Desk) serveAll() {
	for _, one := range d.lanes {
		d.serve(one)
	}
}

// serve gives free slots to those who wait.
func (d *Desk) serve(one *lane) {
	now := d.config.Clock()
	for {
		ticket, found, late := one.queue.Peek(now)
		for _, ended := range late {
			one.wants[ended.ID].reply <- Slot{
				Refused: "no slot in time",
			}
			delete(one.wants, ended.ID)
		}
		if !found {
			return
		}
		asked := one.wants[ticket.ID]
		slot, ok := d.choose(asked, now)
		if !ok {
			return
		}
		one.queue.Pop()
		delete(one.wants, ticket.ID)
		asked.reply <- slot
	}
}
