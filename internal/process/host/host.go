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

// Build names this version of the program.
const Build = "0.1.0"

const (
	inboxRing    = 8192
	commitRing   = 8192
	commitGather = 2 * time.Millisecond
	commitMost   = 100
	commitFlight = 4
	reportEvery  = 200 * time.Millisecond
	// otherConnections are left of a runner's limit after its slots.
	otherConnections = 64 - 8
)

// Host is one entry host, assembled.
type Host struct {
	settings  *settings.Settings
	self      message.Info
	store     *platform.Client
	committer *platform.Committer
	hub       *peer.Hub
	control   *Control
	desk      *gate.Admission
	gate      *gate.Handler
	ledger    *ledger.Handler
	dispatch  *dispatch.Loop
	releases  *releases
	burn      *burnBook
	callers   *server
	operators *server
	ready     atomic.Bool
	stopDesk  chan struct{}
}

// New builds a host and starts listening; nothing else runs before Run.
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
		burn:     newBurnBook(),
		stopDesk: make(chan struct{}),
	}
	host.buildStore()
	inbox := make(chan peer.Event, inboxRing)
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
	host.buildWork(inbox)
	return host, host.listen()
}

// counts returns the expvar map of the name, which lives as long as the
// process.
func counts(name string) *expvar.Map {
	if found, ok := expvar.Get(name).(*expvar.Map); ok {
		return found
	}
	return expvar.NewMap(name)
}

// publishVars adds the figures that are asked for rather than counted.
func (h *Host) publishVars() {
	for name, ask := range map[string]func() any{
		"desk":   func() any { return h.desk.Vars() },
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
			expvar.Publish(name, expvar.Func(ask))
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
		Client: h.store,
		Gather: commitGather,
		Most:   commitMost,
		Ring:   commitRing,
		Flight: commitFlight,

		CallsPerSecond: h.settings.Platform.WritesPerSecond,
	})
}

func (h *Host) buildWork(inbox <-chan peer.Event) {
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
	h.desk = gate.NewAdmission(gate.AdmissionConfig{
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
		ReportEvery: reportEvery,
	})
	h.control = NewControl(ControlConfig{
		Self:         h.self,
		Settings:     config,
		Store:        h.store,
		Hub:          h.hub,
		Inbox:        inbox,
		SetBackends:  h.desk.SetBackends,
		SetWorkers:   h.dispatch.SetWorkers,
		Grant:        h.desk.Grant,
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
		Admission:       h.desk,
		Host:            config.Host.ID,
		State:           h.state,
		Commit:          h.committer.Do,
		Record:          h.burn.add,
		BodyBytes:       int64(config.Requests.BodyBytes),
		Timeout:         config.Requests.Timeout,
		IdleConnections: max(otherConnections/config.Requests.FleetHosts, 1),
		Counts:          counts("requests"),
	})
	h.ledger = ledger.NewHandler(ledger.Config{
		State:            h.state,
		ZoneFor:          h.zoneFor,
		Commit:           h.committer.Do,
		Read:             h.committer.Do,
		Scan:             h.readStore,
		NotifyDispatcher: h.control.hintJob,
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

// zoneFor chooses the zone with the most free room that is in; this host's
// own if none is known to have any.
func (h *Host) zoneFor(size worker.Size) (string, bool) {
	snapshot := h.control.Snapshot()
	best := ""
	rooms := snapshot.FreeCapacity
	if snapshot.Authority.Epoch != 0 {
		rooms = withRoom(rooms, h.self.Zone, h.dispatch.FreeCapacity())
	}
	for _, zone := range snapshot.State.ZoneNames() {
		room, known := rooms[zone]
		if !snapshot.State.ZoneActive(zone) || !known || room.MilliCores < size.MilliCores {
			continue
		}
		if best == "" || room.MilliCores > rooms[best].MilliCores {
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

func withRoom(rooms map[string]worker.Size, zone string, room worker.Size) map[string]worker.Size {
	copied := map[string]worker.Size{
		zone: room,
	}
	for name, size := range rooms {
		if name != zone {
			copied[name] = size
		}
	}
	return copied
}

func (h *Host) listen() error {
	operators, err := newServer("operators", h.settings.Listen.Operators, h.operatorsMux())
	if err != nil {
		return err
	}
	h.operators = operators
	if !h.settings.Host.Gate {
		return nil
	}
	callers, err := newServer("callers", h.settings.Listen.Callers, h.callersMux())
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

// Run serves until the context ends, and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.committer.Run(inner)
	go h.control.Run(inner)
	go h.desk.Run(h.stopDesk)
	go h.burn.run()
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

// handOverWait is how long the heirs of rights get to take them.
const handOverWait = 1200 * time.Millisecond

// stop shuts down without cutting a request in progress.
func (h *Host) stop() error {
	klog.InfoS("stopping: readiness fails from now on", "settle", h.settings.Stop.Settle)
	h.ready.Store(false)
	time.Sleep(h.settings.Stop.Settle)
	var err error
	if h.callers != nil {
		err = h.callers.drain(h.settings.Stop.Drain)
	}
	h.control.Ask(context.Background(), func() { h.control.Yield(context.Background()) })
	time.Sleep(handOverWait)
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
