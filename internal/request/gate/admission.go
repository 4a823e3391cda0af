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

// Slot is permission to send one request to one runner, or a refusal.
type Slot struct {
	Runner  string
	Service string
	Address netip.AddrPort
	// Until is when the permission expires.
	Until time.Time
	// Attempt is unique within the process.
	Attempt uint64
	// Refused is the reason why there is no slot; empty if there is one.
	Refused string
}

// slotRequest asks the admission loop for a slot. The loop sends exactly one
// Slot to reply.
type slotRequest struct {
	service string
	ticket  admission.Ticket
	// extra marks a retry or a hedge, which the retry budget must allow.
	extra bool
	reply chan<- Slot
}

// completion reports how a request to a runner ended.
type completion struct {
	slot    Slot
	verdict runner.Verdict
	// leaving means that the runner reported that it is leaving.
	leaving bool
	// freed means that the runner has certainly finished: its slot can be used
	// again.
	freed bool
}

// Lender identifies the slot lender of a runner.
type Lender struct {
	// Name names a zone and a shard of its runners, such as a/steward-0.
	Name string
	Zone string
}

// Backends is the platform's discovery list of runners and their lenders.
type Backends struct {
	Entries []runner.Entry
	// Lenders is keyed by runner ID.
	Lenders map[string]Lender
}

// AdmissionConfig holds the settings of the admission loop.
type AdmissionConfig struct {
	Runners  runner.Config
	Borrower credit.BorrowerConfig
	Queue    admission.Config
	// Report sends a report to the host that holds the lender's right.
	Report func(report message.CreditReport)
	// Clock returns the current time.
	Clock func() time.Time
	// ReportEvery is the interval of reports while there is demand.
	ReportEvery time.Duration
}

// eventBuffer is the capacity of each event channel of the admission loop.
const eventBuffer = 4096

// minReportInterval limits how often a shortage of slots triggers a report.
const minReportInterval = 5 * time.Millisecond

// serviceState holds the queue, retry budget and load of one service.
type serviceState struct {
	queue  *admission.Queue
	budget *retry.Budget
	// waiting holds the queued requests by ticket ID.
	waiting map[uint64]slotRequest
	// busy is the number of requests in progress.
	busy int
	// peakBusy is the slowly decaying peak of busy. Waiting times are estimated
	// with it rather than with busy, because slots that are missing for a
	// moment come back together.
	peakBusy float64
	// firstRequestAt is when the first request arrived. Until warmUpPeriod has
	// passed, the number of slots that the service will get is unknown.
	firstRequestAt time.Time
}

// warmUpPeriod is how long a new service takes to obtain its slots.
const warmUpPeriod = 3 * time.Second

// expectedBusy estimates how many requests are in progress while others wait.
// During the warm-up it assumes that the waiting requests and the new one all
// get a slot.
func (s *serviceState) expectedBusy(now time.Time) int {
	if now.Sub(s.firstRequestAt) < warmUpPeriod {
		return max(int(s.peakBusy), s.queue.Length()+1)
	}
	return max(int(s.peakBusy), 1)
}

// Admission admits requests: it owns the routing, limits and queues of a host.
// Only the goroutine of Run accesses them; everything else reaches it over
// channels.
type Admission struct {
	config   AdmissionConfig
	table    *runner.Table
	borrower *credit.Borrower
	services map[string]*serviceState
	lenders  map[string]Lender
	// attempts is the number of the newest attempt.
	attempts uint64
	// demand is how many slots the host could use; it decays slowly.
	demand     float64
	reportedAt time.Time
	// shortOfSlots means that a request had to queue since the last report.
	shortOfSlots bool

	requests       chan slotRequest
	cancellations  chan uint64
	completions    chan completion
	returns        chan Slot
	granted        chan message.CreditGrant
	backendUpdates chan Backends
	functions      chan func()
}

// NewAdmission returns an admission loop that is not running yet.
func NewAdmission(config AdmissionConfig) *Admission {
	return &Admission{
		config:         config,
		table:          runner.NewTable(config.Runners),
		borrower:       credit.NewBorrower(config.Borrower),
		services:       map[string]*serviceState{},
		requests:       make(chan slotRequest, eventBuffer),
		cancellations:  make(chan uint64, eventBuffer),
		completions:    make(chan completion, eventBuffer),
		returns:        make(chan Slot, eventBuffer),
		granted:        make(chan message.CreditGrant, eventBuffer),
		backendUpdates: make(chan Backends, 1),
		functions:      make(chan func(), 1),
	}
}

// SetBackends passes a new discovery list to the loop and replaces one that the
// loop has not read yet.
func (a *Admission) SetBackends(backends Backends) {
	select {
	case <-a.backendUpdates:
	default:
	}
	a.backendUpdates <- backends
}

// Grant passes a grant to the loop. It is dropped if the loop lags behind.
func (a *Admission) Grant(granted message.CreditGrant) {
	select {
	case a.granted <- granted:
	default:
	}
}

// Do runs a function inside the loop and waits for it.
func (a *Admission) Do(function func()) {
	done := make(chan struct{})
	a.functions <- func() {
		function()
		close(done)
	}
	<-done
}

func (a *Admission) sendCompletion(completed completion) {
	a.completions <- completed
}

func (a *Admission) sendReturn(slot Slot) {
	a.returns <- slot
}

// Run handles events until stop is closed.
func (a *Admission) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(a.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case request := <-a.requests:
			a.handleRequest(request)
		case id := <-a.cancellations:
			a.handleCancellation(id)
		case completed := <-a.completions:
			a.handleCompletion(completed)
		case slot := <-a.returns:
			a.handleReturn(slot)
		case granted := <-a.granted:
			if a.borrower.Grant(granted) {
				a.assignAllSlots()
			}
		case backends := <-a.backendUpdates:
			a.applyBackends(backends)
		case function := <-a.functions:
			function()
		case <-ticker.C:
			a.assignAllSlots()
			a.report()
		}
		a.reportIfShort()
	}
}

func (a *Admission) applyBackends(backends Backends) {
	a.table.Set(backends.Entries, a.config.Clock())
	a.lenders = backends.Lenders
	names := make(map[string]string, len(backends.Lenders))
	for id, lender := range backends.Lenders {
		names[id] = lender.Name
	}
	a.borrower.SetLenders(names)
}

// serviceState returns the state of a service and creates it if needed.
func (a *Admission) serviceState(service string) *serviceState {
	state := a.services[service]
	if state == nil {
		state = &serviceState{
			queue:          admission.NewQueue(a.config.Queue),
			budget:         retry.NewBudget(),
			waiting:        map[uint64]slotRequest{},
			firstRequestAt: a.config.Clock(),
		}
		a.services[service] = state
	}
	return state
}

// handleRequest answers a request for a slot at once, or queues or sheds it.
func (a *Admission) handleRequest(request slotRequest) {
	now := a.config.Clock()
	state := a.serviceState(request.service)
	if request.extra {
		a.handleExtraRequest(state, request, now)
		return
	}
	state.budget.RecordRequest()
	if state.queue.Length() == 0 {
		if slot, ok := a.takeSlot(request, now); ok {
			request.reply <- slot
			return
		}
	}
	a.shortOfSlots = true
	if !state.queue.Push(request.ticket, state.expectedBusy(now), now) {
		request.reply <- Slot{
			Refused: "overloaded",
		}
		return
	}
	state.waiting[request.ticket.ID] = request
}

// handleExtraRequest answers at once: a retry or hedge is not worth queueing
// for.
func (a *Admission) handleExtraRequest(state *serviceState, request slotRequest, now time.Time) {
	refused := Slot{
		Refused: "no retry budget or no slot free",
	}
	if state.queue.Length() > 0 || !state.budget.Spend() {
		request.reply <- refused
		return
	}
	slot, ok := a.takeSlot(request, now)
	if !ok {
		slot = refused
	}
	request.reply <- slot
}

// takeSlot chooses a runner and takes one of its slots.
func (a *Admission) takeSlot(request slotRequest, now time.Time) (Slot, bool) {
	id, ok := a.table.Choose(runner.Criteria{
		Service: request.service,
		Free:    func(id string) int { return a.borrower.Free(id, now) },
		Avoid:   request.ticket.Avoid,
	}, now)
	if !ok {
		return Slot{}, false
	}
	entry, _ := a.table.Entry(id)
	a.attempts++
	a.borrower.Use(id)
	a.table.RecordSend(id, a.attempts, now)
	state := a.serviceState(request.service)
	state.busy++
	state.peakBusy = max(state.peakBusy, float64(state.busy))
	return Slot{
		Runner:  id,
		Service: request.service,
		Address: entry.Address,
		Until:   a.borrower.Until(id),
		Attempt: a.attempts,
	}, true
}

// handleCancellation removes a queued request. It does nothing if the request
// has been answered.
func (a *Admission) handleCancellation(id uint64) {
	for _, state := range a.services {
		if request, ok := state.waiting[id]; ok {
			state.queue.Remove(id)
			delete(state.waiting, id)
			request.reply <- Slot{
				Refused: "caller disconnected or deadline passed",
			}
			return
		}
	}
}

func (a *Admission) handleCompletion(completed completion) {
	now := a.config.Clock()
	a.table.RecordEnd(completed.slot.Runner, completed.slot.Attempt, completed.verdict, now)
	if completed.leaving {
		a.table.RecordLeaving(completed.slot.Runner, now)
	}
	if completed.freed {
		a.handleReturn(completed.slot)
	}
}

func (a *Admission) recordAnswer(service string, took time.Duration) {
	state := a.serviceState(service)
	state.queue.RecordServiceTime(took)
	state.budget.RecordLatency(took, a.config.Clock())
}

func (a *Admission) handleReturn(slot Slot) {
	a.borrower.Return(slot.Runner)
	state := a.serviceState(slot.Service)
	state.busy--
	a.assignSlots(state)
}

func (a *Admission) assignAllSlots() {
	for _, state := range a.services {
		a.assignSlots(state)
	}
}

// assignSlots gives free slots to queued requests and sheds expired ones.
func (a *Admission) assignSlots(state *serviceState) {
	now := a.config.Clock()
	for {
		ticket, found, expired := state.queue.Peek(now)
		for _, shed := range expired {
			state.waiting[shed.ID].reply <- Slot{
				Refused: "no slot in time",
			}
			delete(state.waiting, shed.ID)
		}
		if !found {
			return
		}
		request := state.waiting[ticket.ID]
		slot, ok := a.takeSlot(request, now)
		if !ok {
			return
		}
		state.queue.Pop()
		delete(state.waiting, ticket.ID)
		request.reply <- slot
	}
}
