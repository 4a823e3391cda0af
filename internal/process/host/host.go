package host

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/budget"
	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/dispatch"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/process/settings"
	"mustardreach.example/mustardreach/internal/request/admission"
	"mustardreach.example/mustardreach/internal/request/credit"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/request/ledger"
	"mustardreach.example/mustardreach/internal/request/runner"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Build is the version of this program.
const Build = "0.1.0"

const (
	inboxSize            = 8192
	commitQueueSize      = 8192
	commitBatchDelay     = 2 * time.Millisecond
	maxCommitBatch       = 100
	maxCommitCalls       = 4
	creditReportInterval = 200 * time.Millisecond
	// spareConnections is a runner's limit of 64 connections less its 8 slots.
	// The hosts of the fleet share them for idle connections.
	spareConnections = 64 - 8
)

// Host is one entry host.
type Host struct {
	settings      *settings.Settings
	self          message.Info
	store         *platform.Client
	committer     *platform.Committer
	hub           *peer.Hub
	control       *Control
	admissionLoop *gate.Admission
	gate          *gate.Handler
	ledger        *ledger.Handler
	dispatch      *dispatch.Loop
	releases      *releases
	slo           *sloCounter
	callers       *server
	operators     *server
	ready         atomic.Bool
	stopAdmission chan struct{}
}

// New builds a host and starts listening. Nothing else runs before Run.
func New(config *settings.Settings) (*Host, error) {
	host := &Host{
		settings: config,
		self: message.Info{
			Host:        config.Host.ID,
			Zone:        config.Host.Zone,
			Region:      config.Host.Region,
			Incarnation: uuid.NewString(),
			Peers:       config.Listen.Peers,
			Operators:   config.Listen.Operators,
			Build:       Build,
		},
		slo:           newSLOCounter(),
		stopAdmission: make(chan struct{}),
	}
	host.buildStore()
	inbox := make(chan peer.Event, inboxSize)
	hub, err := peer.NewHub(peer.Config{
		Self:       host.self,
		Keys:       []string{config.Peers.Key, config.Peers.PreviousKey},
		FrameBytes: config.Peers.FrameBytes,
		Inbox:      inbox,
		Counts:     counts("peers"),
		Clock:      time.Now,
	})
	if err != nil {
		return nil, err
	}
	host.hub = hub
	host.buildLoops(inbox)
	return host, host.listen()
}

// counts returns the expvar map of a name. A published map stays for the life
// of the process, so one that exists is reused.
func counts(name string) *expvar.Map {
	if found, ok := expvar.Get(name).(*expvar.Map); ok {
		return found
	}
	return expvar.NewMap(name)
}

// publishVars publishes the variables that are computed on request.
func (h *Host) publishVars() {
	for name, read := range map[string]func() any{
		"desk":   func() any { return h.admissionLoop.Vars() },
		"rights": func() any { return h.control.Snapshot().Rights },
		"release": func() any {
			snapshot := h.control.Snapshot()
			if snapshot.State == nil {
				return 0
			}
			return snapshot.State.Version
		},
	} {
		if expvar.Get(name) == nil {
			expvar.Publish(name, expvar.Func(read))
		}
	}
}

func (h *Host) buildStore() {
	h.store = platform.NewClient(platform.Config{
		Endpoints:      h.settings.Platform.Endpoints,
		Timeout:        h.settings.Platform.Timeout,
		CallsPerSecond: h.settings.Platform.CallsPerSecond,
		Calls:          counts("store_calls"),
	})
	h.committer = platform.NewCommitter(platform.CommitterConfig{
		Client:      h.store,
		BatchDelay:  commitBatchDelay,
		MaxBatch:    maxCommitBatch,
		QueueSize:   commitQueueSize,
		MaxInFlight: maxCommitCalls,

		CallsPerSecond: h.settings.Platform.WritesPerSecond,
	})
}

func (h *Host) buildLoops(inbox <-chan peer.Event) {
	config := h.settings
	h.dispatch = dispatch.NewLoop(dispatch.LoopConfig{
		Host:      config.Host.ID,
		Zone:      config.Host.Zone,
		Tick:      config.Jobs.Tick,
		Heartbeat: config.Jobs.Heartbeat,
		Poll:      config.Platform.Poll,
		Lease:     config.Jobs.Lease,
		Authority: func() dispatch.Authority { return h.control.Snapshot().Authority },
		Commit:    h.committer.Submit,
		Read:      h.readStore,
		Clock:     time.Now,
		Counts:    counts("dispatch"),
	})
	h.admissionLoop = gate.NewAdmission(gate.AdmissionConfig{
		Runners: runner.Config{
			Zone:   config.Host.Zone,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Borrower: credit.BorrowerConfig{
			Term:        config.Requests.CreditTerm,
			Incarnation: h.self.Incarnation,
		},
		Queue: admission.Config{
			MaxWaiting: config.Requests.Queue,
		},
		Report:      func(report message.CreditReport) { h.control.Report(report) },
		Clock:       time.Now,
		ReportEvery: creditReportInterval,
	})
	h.control = NewControl(ControlConfig{
		Self:         h.self,
		Settings:     config,
		Store:        h.store,
		Hub:          h.hub,
		Inbox:        inbox,
		SetBackends:  h.admissionLoop.SetBackends,
		SetWorkers:   h.dispatch.SetWorkers,
		Grant:        h.admissionLoop.Grant,
		ReadNow:      h.dispatch.ReadNow,
		FencedBy:     h.dispatch.FencedBy,
		FreeCapacity: h.dispatch.FreeCapacity,
		Clock:        time.Now,
		Counts:       counts("control"),
	})
	h.releases = &releases{
		control: h.control,
	}
	h.buildHandlers()
	h.publishVars()
}

func (h *Host) buildHandlers() {
	config := h.settings
	h.gate = gate.NewHandler(gate.Config{
		Admission:       h.admissionLoop,
		Host:            config.Host.ID,
		State:           h.state,
		Commit:          h.committer.Do,
		Record:          h.slo.add,
		BodyBytes:       int64(config.Requests.BodyBytes),
		Timeout:         config.Requests.Timeout,
		IdleConnections: max(spareConnections/config.Requests.FleetHosts, 1),
		Counts:          counts("requests"),
	})
	h.ledger = ledger.NewHandler(ledger.Config{
		State:            h.state,
		ZoneFor:          h.zoneFor,
		Commit:           h.committer.Do,
		Read:             h.committer.Do,
		Scan:             h.readStore,
		NotifyDispatcher: h.control.notifyDispatcher,
		BodyBytes:        int64(config.Requests.BodyBytes),
		Clock:            time.Now,
		Counts:           counts("jobs"),
	})
}

func (h *Host) readStore(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error) {
	return h.store.Txn(ctx, "read", txn)
}

func (h *Host) state() *release.State {
	return h.control.Snapshot().State
}

// zoneFor chooses the zone for a job of a size: of the active zones with enough
// free cores, the one with the most; else this host's zone if it is active;
// else any active zone. It returns false if no zone is active.
func (h *Host) zoneFor(size worker.Size) (string, bool) {
	snapshot := h.control.Snapshot()
	best := ""
	capacities := snapshot.FreeCapacity
	if snapshot.Authority.Epoch != 0 {
		capacities = withZoneCapacity(capacities, h.self.Zone, h.dispatch.FreeCapacity())
	}
	for _, zone := range snapshot.State.ZoneNames() {
		capacity, known := capacities[zone]
		if !snapshot.State.ZoneActive(zone) || !known || capacity.MilliCores < size.MilliCores {
			continue
		}
		if best == "" || capacity.MilliCores > capacities[best].MilliCores {
			best = zone
		}
	}
	if best == "" && snapshot.State.ZoneActive(h.self.Zone) {
		return h.self.Zone, true
	}
	if best != "" {
		return best, true
	}
	for _, zone := range snapshot.State.ZoneNames() {
		if snapshot.State.ZoneActive(zone) {
			return zone, true
		}
	}
	return "", false
}

// withZoneCapacity returns a copy of capacities with the capacity of one zone
// set.
func withZoneCapacity(capacities map[string]worker.Size, zone string, capacity worker.Size) map[string]worker.Size {
	copied := map[string]worker.Size{
		zone: capacity,
	}
	for name, size := range capacities {
		if name != zone {
			copied[name] = size
		}
	}
	return copied
}

func (h *Host) listen() error {
	operators, err := newServer("operators", h.settings.Listen.Operators, h.operatorsMux(), budget.ForProbes())
	if err != nil {
		return err
	}
	h.operators = operators
	if !h.settings.Host.Gate {
		return nil
	}
	callers, err := newServer("callers", h.settings.Listen.Callers, h.callersMux(),
		budget.ForProcess(int64(h.settings.Host.MemoryMB)<<20, h.settings.Host.Descriptors))
	if err != nil {
		return err
	}
	h.callers = callers
	return nil
}

func (h *Host) callersMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", h.gate)
	mux.HandleFunc("POST /v1/jobs", h.ledger.Submit)
	mux.HandleFunc("GET /v1/jobs/{id}", h.ledger.Get)
	mux.HandleFunc("DELETE /v1/jobs/{id}", h.ledger.Cancel)
	mux.HandleFunc("GET /v1/customers/{customer}/ledger", h.ledger.Ledger)
	return mux
}

// Run serves until the context ends, and then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.committer.Run(inner)
	go h.control.Run(inner)
	go h.admissionLoop.Run(h.stopAdmission)
	go h.slo.run()
	if h.settings.Host.Dispatch {
		go h.dispatch.Run(inner)
	}
	go h.operators.run()
	if h.callers != nil {
		go h.callers.run()
	}
	h.ready.Store(true)
	klog.InfoS("serving", "host", h.self.Host, "zone", h.self.Zone, "callers", h.settings.Listen.Callers,
		"operators", h.settings.Listen.Operators, "peers", h.settings.Listen.Peers, "build", Build)
	<-ctx.Done()
	return h.stop()
}

// handoverWait is how long the successors get to acquire the rights that this
// host hands over while it stops.
const handoverWait = 1200 * time.Millisecond

// stop shuts the host down. Readiness fails first, so that callers go
// elsewhere; requests in progress get the drain time to finish, and rights are
// handed over.
func (h *Host) stop() error {
	klog.InfoS("stopping: readiness fails from now on", "settle", h.settings.Stop.Settle)
	h.ready.Store(false)
	time.Sleep(h.settings.Stop.Settle)
	var err error
	if h.callers != nil {
		err = h.callers.drain(h.settings.Stop.Drain)
	}
	h.control.RunInLoop(context.Background(), func() { h.control.Yield(context.Background()) })
	time.Sleep(handoverWait)
	if drained := h.operators.drain(time.Second); drained != nil {
		klog.InfoS("operators' requests cut", "err", drained)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.hub.Close(ctx)
	klog.InfoS("stopped", "err", err)
	klog.Flush()
	return err
}
