// Package host assembles one entry host: it runs the loops that connect the
// packages that decide to sockets, clocks and the platform's store.
package host

import (
	"context"
	"expvar"
	"net/netip"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/dispatch"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/process/right"
	"mustardreach.example/mustardreach/internal/process/settings"
	"mustardreach.example/mustardreach/internal/request/credit"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/version/permit"
	"mustardreach.example/mustardreach/internal/version/release"
)

// ControlConfig configures a Control.
type ControlConfig struct {
	Self     message.Info
	Settings *settings.Settings
	Store    *platform.Client
	Hub      *peer.Hub
	// Inbox delivers the hub's events.
	Inbox <-chan peer.Event
	// SetBackends and SetWorkers pass on the platform's discovery list.
	SetBackends func(gate.Backends)
	SetWorkers  func([]dispatch.Entry)
	// Grant passes a credit grant to this host's admission loop.
	Grant func(message.CreditGrant)
	// ReadNow makes the dispatcher read the job records without waiting for its
	// next poll.
	ReadNow func()
	// FencedBy returns the highest epoch that a worker has reported.
	FencedBy func() uint64
	// FreeCapacity returns the free capacity of this host's zone; it is valid
	// while this host dispatches.
	FreeCapacity func() worker.Size
	// Clock returns the current time.
	Clock func() time.Time
	// Counts counts decisions by kind.
	Counts *expvar.Map
}

// controlQueueSize bounds the results of right writes and the credit reports
// that are queued for the control loop, each.
const controlQueueSize = 1024

// Control owns the membership view, rights, permit, release and lenders of a
// host. Only its loop touches them.
type Control struct {
	config     ControlConfig
	view       *member.View
	candidates map[string]*right.Candidate
	permit     *permit.Permit
	lenders    map[string]*credit.Lender
	// lendingEpochs holds, by lender, the epoch in which this host lends; 0
	// while it does not.
	lendingEpochs map[string]uint64
	// receivedAccounts holds, by right, the accounts that the previous lender
	// handed over.
	receivedAccounts map[string]*message.Handover
	// handovers holds, by host, the rights that this host gave up in its
	// favour.
	handovers map[string][]message.Claim
	backends  *backends
	poller    *poller

	state     *release.State
	inForceAt time.Time
	// versions holds, by host, when a heartbeat first reported the peer's
	// present version.
	versions map[string]peerVersion
	// storeUp means that the newest poll of the store succeeded.
	storeUp bool
	// accepting is the number of release notes being accepted on this host.
	accepting int
	// leaving means that this host is shutting down.
	leaving bool
	// heartbeatRequested means that heartbeats are to be sent ahead of the
	// interval; requestedHeartbeatAt is when such heartbeats were last sent.
	heartbeatRequested   bool
	requestedHeartbeatAt time.Time
	// holders holds, by right, the newest claim received from a peer.
	holders map[string]peerClaim

	snapshot     atomic.Pointer[Snapshot]
	polls        chan pollResult
	writeResults chan rightWriteResult
	reports      chan message.CreditReport
	calls        chan func()
}

// peerVersion is a peer's release version and when it was first received.
type peerVersion struct {
	version uint64
	at      time.Time
}

// peerClaim is a peer's claim to hold a right and when it was received.
type peerClaim struct {
	host  string
	epoch uint64
	at    time.Time
}

// rightWriteResult is the outcome of a write of a right.
type rightWriteResult struct {
	name    string
	write   *right.Write
	outcome right.Outcome
	// revision is set if the write was applied.
	revision int64
}

// deadRetention is how long a dead host stays in the membership view.
const deadRetention = 10 * time.Minute

// controlTick is the interval of the decisions that depend on time alone, and
// the shortest time between two requested heartbeats.
const controlTick = 100 * time.Millisecond

// NewControl returns a Control. Run starts its loop.
func NewControl(config ControlConfig) *Control {
	control := &Control{
		config: config,
		view: member.NewView(member.Config{
			Self:         config.Self,
			SuspectAfter: config.Settings.Peers.Suspect,
			ForgetAfter:  deadRetention,
		}),
		candidates: map[string]*right.Candidate{},
		permit: permit.New(permit.Config{
			Term: config.Settings.Rights.Permit,
		}),
		lenders:          map[string]*credit.Lender{},
		lendingEpochs:    map[string]uint64{},
		receivedAccounts: map[string]*message.Handover{},
		handovers:        map[string][]message.Claim{},
		backends:         &backends{},
		versions:         map[string]peerVersion{},
		holders:          map[string]peerClaim{},
		polls:            make(chan pollResult, 1),
		writeResults:     make(chan rightWriteResult, controlQueueSize),
		reports:          make(chan message.CreditReport, controlQueueSize),
		calls:            make(chan func(), 1),
	}
	control.poller = &poller{
		zone:           config.Self.Zone,
		interval:       config.Settings.Platform.Poll,
		txn:            config.Store.Txn,
		clock:          config.Clock,
		results:        control.polls,
		since:          make(chan int64, 1),
		wake:           make(chan struct{}, 1),
		inForceVersion: control.inForceVersion,
	}
	control.addCandidates()
	control.publish(config.Clock())
	return control
}

// addCandidates makes this host a candidate for the rights that its settings
// allow: dispatching in its zone, and lending the slots of each shard.
func (c *Control) addCandidates() {
	zone := c.config.Self.Zone
	if c.config.Settings.Host.Dispatch {
		c.addCandidate(rightName(zone, dispatchRight))
	}
	if !c.config.Settings.Host.Gate {
		return
	}
	for shard := range lenderShards {
		name := lenderName(zone, shard)
		c.addCandidate(name)
		c.lenders[name] = credit.NewLender(credit.LenderConfig{
			Name:           name,
			Term:           c.config.Settings.Requests.CreditTerm,
			MaxRequestTime: c.config.Settings.Requests.Timeout,
		})
	}
}

// maxPollGap is the time without a successful poll, in poll intervals, after
// which the watch of a right counts as broken.
const maxPollGap = 3

func (c *Control) addCandidate(name string) {
	rights := c.config.Settings.Rights
	c.candidates[name] = right.NewCandidate(right.Config{
		Name:      name,
		Self:      member.InstanceOf(c.config.Self),
		Term:      rights.Term,
		Margin:    rights.Margin,
		Isolation: rights.Isolation,
		Gap:       maxPollGap * c.config.Settings.Platform.Poll,
	})
}

// inForceVersion returns the version in force on this host; 0 for none.
func (c *Control) inForceVersion() uint64 {
	if state := c.Snapshot().State; state != nil {
		return state.Version
	}
	return 0
}

// Snapshot returns the newest published snapshot.
func (c *Control) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Report passes a credit report of this host's admission loop to the host that
// holds the lender's right, this one or another. It never blocks; the report is
// dropped if the holder is unknown or the queue is full.
func (c *Control) Report(report message.CreditReport) {
	snapshot := c.Snapshot()
	holder := snapshot.Holders[report.Lender]
	report.LenderEpoch = snapshot.Epochs[report.Lender]
	if holder == c.config.Self.Host {
		select {
		case c.reports <- report:
		default:
		}
		return
	}
	if holder != "" {
		_ = c.config.Hub.Send(holder, message.KindCreditReport, report)
	}
}

// RunInLoop runs a function in the control loop. It returns when the function
// has finished or the context ends.
func (c *Control) RunInLoop(ctx context.Context, call func()) {
	done := make(chan struct{})
	select {
	case c.calls <- func() {
		call()
		close(done)
	}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run runs the control loop until the context ends.
func (c *Control) Run(ctx context.Context) {
	go c.poller.run(ctx)
	for _, seed := range c.config.Settings.Peers.Seeds {
		c.config.Hub.Ensure(seed)
	}
	tick := time.NewTicker(controlTick)
	heartbeat := time.NewTicker(c.config.Settings.Peers.Heartbeat)
	defer tick.Stop()
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.config.Inbox:
			c.handleEvent(event)
		case result := <-c.polls:
			c.handlePoll(result)
		case result := <-c.writeResults:
			c.handleRightWrite(result)
		case report := <-c.reports:
			c.lend(c.config.Self, report, c.config.Clock())
		case call := <-c.calls:
			call()
		case <-heartbeat.C:
			c.sendHeartbeats()
		case <-tick.C:
			c.tick(ctx)
		}
	}
}

// tick takes the decisions that depend on time alone.
func (c *Control) tick(ctx context.Context) {
	now := c.config.Clock()
	c.view.Tick(now)
	if !c.storeUp && c.accepting == 0 && c.state != nil {
		c.permit.NotAccepting(c.config.Self.Host, c.state.Version, now)
	} else {
		c.permit.MayAccept(c.config.Self.Host)
	}
	c.stepRights(ctx, now)
	c.stepLenders(now)
	c.publish(now)
	c.sendRequestedHeartbeats(now)
}

// sendRequestedHeartbeats sends heartbeats ahead of the interval if an event
// requested it that other hosts should learn of at once. It does so at most
// once each controlTick.
func (c *Control) sendRequestedHeartbeats(now time.Time) {
	if !c.heartbeatRequested || now.Sub(c.requestedHeartbeatAt) < controlTick {
		return
	}
	c.heartbeatRequested, c.requestedHeartbeatAt = false, now
	c.sendHeartbeats()
}

// adopt brings a release into force if it is newer than the one in force.
func (c *Control) adopt(state *release.State, from string) {
	if state == nil || c.state != nil && state.Version <= c.state.Version {
		return
	}
	now := c.config.Clock()
	c.state, c.inForceAt = state, now
	c.permit.InForce(state.Version)
	klog.InfoS("release in force", "version", state.Version, "note", state.NoteID, "from", from)
	c.config.Counts.Add("releases_adopted", 1)
	for shard := range lenderShards {
		if lender := c.lenders[lenderName(c.config.Self.Zone, shard)]; lender != nil {
			lender.SetLimits(c.limits(shard))
		}
	}
	c.publish(now)
}

// hostsThatMayAccept lists all hosts that could accept a release note: this
// host and every known peer that is not proved dead or left.
func (c *Control) hostsThatMayAccept() []string {
	hosts := []string{c.config.Self.Host}
	for _, remote := range c.view.All() {
		if remote.EndedAt.IsZero() {
			hosts = append(hosts, remote.Info.Host)
		}
	}
	return hosts
}

// publish replaces the snapshot that other goroutines read.
func (c *Control) publish(now time.Time) {
	snapshot := &Snapshot{
		At:           now,
		State:        c.state,
		InForceAt:    c.inForceAt,
		Holders:      map[string]string{},
		Epochs:       map[string]uint64{},
		Rights:       c.claims(now),
		StoreUp:      c.storeUp,
		ConfirmedAt:  c.permit.ConfirmedAt(),
		FreeCapacity: c.zoneCapacity(),
		Lent:         map[string]int{},
	}
	for name, observed := range c.holders {
		if now.Sub(observed.at) <= c.config.Settings.Peers.Suspect {
			snapshot.Holders[name] = observed.host
			snapshot.Epochs[name] = observed.epoch
		}
	}
	for _, claim := range snapshot.Rights {
		snapshot.Holders[claim.Right] = c.config.Self.Host
		snapshot.Epochs[claim.Right] = claim.Epoch
	}
	for _, remote := range c.view.All() {
		snapshot.Peers = append(snapshot.Peers, PeerStatus{
			Info:           remote.Info,
			Status:         remote.Status,
			LastSeenAt:     remote.LastSeenAt,
			ReleaseVersion: remote.Heartbeat.ReleaseVersion,
			InForceAt:      c.versions[remote.Info.Host].at,
			NotAccepting:   remote.Heartbeat.NotAccepting,
		})
	}
	snapshot.Authority = c.authority(now, snapshot)
	c.snapshot.Store(snapshot)
}

// authority returns this host's authority to dispatch; its epoch is 0 while the
// host does not hold the right.
func (c *Control) authority(now time.Time, snapshot *Snapshot) dispatch.Authority {
	authority := dispatch.Authority{
		State:        c.state,
		StoreUp:      c.storeUp,
		FreeCapacity: snapshot.FreeCapacity,
	}
	name := rightName(c.config.Self.Zone, dispatchRight)
	candidate := c.candidates[name]
	if candidate == nil {
		return authority
	}
	epoch, holds := candidate.Holds(now)
	if !holds {
		return authority
	}
	authority.Epoch = epoch
	authority.FenceKey, authority.Fence = fenceKey(name), candidate.Fence()
	authority.HoldsUntil = candidate.Until()
	authority.PermitUntil = c.permit.Until(c.hostsThatMayAccept())
	return authority
}

// zoneCapacity returns the free capacity of every zone whose dispatcher reports
// it in its heartbeats, by zone name.
func (c *Control) zoneCapacity() map[string]worker.Size {
	zoneCapacity := map[string]worker.Size{}
	for _, remote := range c.view.Alive() {
		const parts = 3
		if capacity := remote.Heartbeat.FreeCapacity; len(capacity) == parts {
			zoneCapacity[remote.Info.Zone] = worker.Size{
				MilliCores:   capacity[0],
				MemoryBytes:  capacity[1],
				Accelerators: capacity[2],
			}
		}
	}
	return zoneCapacity
}

// learnAddress connects to a host whose address is known only from its own
// messages.
func (c *Control) learnAddress(info message.Info) {
	if c.config.Settings.Peers.Discover && info.Peers != (netip.AddrPort{}) && !c.config.Hub.Connected(info.Host) {
		c.config.Hub.Ensure(info.Peers)
	}
}
