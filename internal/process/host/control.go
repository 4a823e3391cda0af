// Package host is one entry host: the loops that join the decisions to
// sockets, clocks and the platform.
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

// ControlConfig sets up a Control.
type ControlConfig struct {
	Self     message.Info
	Settings *settings.Settings
	Store    *platform.Client
	Hub      *peer.Hub
	// Inbox is where the hub's events arrive.
	Inbox <-chan peer.Event
	// SetBackends and SetWorkers pass the platform's list on.
	SetBackends func(gate.Backends)
	SetWorkers  func([]dispatch.Entry)
	// Grant passes a grant to this host's own desk.
	Grant func(message.CreditGrant)
	// ReadNow tells the dispatcher that records have changed.
	ReadNow func()
	// FencedBy returns the highest epoch that a worker has shown.
	FencedBy func() uint64
	// FreeCapacity returns the free room of the zone while dispatching.
	FreeCapacity func() worker.Size
	Clock        func() time.Time
	// Counts counts decisions by kind.
	Counts *expvar.Map
}

// controlRing bounds what waits for the control loop.
const controlRing = 1024

// Control owns membership, rights, permit, release and lenders of a host; its
// loop is the only one to touch them.
type Control struct {
	config   ControlConfig
	view     *member.View
	rivals   map[string]*right.Candidate
	permit   *permit.Permit
	lenders  map[string]*credit.Lender
	lending  map[string]uint64
	books    map[string]*message.Book
	gifts    map[string][]message.Claim
	backends *backends
	poller   *poller

	state     *release.State
	inForceAt time.Time
	// versions is when each peer's present version was first heard.
	versions map[string]versionSeen
	storeUp  bool
	// accepting counts notes that are being accepted here.
	accepting int
	leaving   bool
	// announce means that heartbeats are to be sent without waiting.
	announce    bool
	announcedAt time.Time
	holders     map[string]claimSeen

	snapshot atomic.Pointer[Snapshot]
	polls    chan polled
	written  chan rightWritten
	reports  chan message.CreditReport
	asks     chan func()
}

type versionSeen struct {
	version uint64
	at      time.Time
}

type claimSeen struct {
	host  string
	epoch uint64
	at    time.Time
}

// rightWritten is how a write of a right ended.
type rightWritten struct {
	name     string
	write    *right.Write
	outcome  right.Outcome
	revision int64
}

// forgetDead is how long a dead host stays listed.
const forgetDead = 10 * time.Minute

// controlTick is the interval of decisions that follow from time alone.
const controlTick = 100 * time.Millisecond

// NewControl returns a control whose loop is not yet running.
func NewControl(config ControlConfig) *Control {
	control := &Control{
		config: config,
		view: member.NewView(member.Config{
			Self:    config.Self,
			Suspect: config.Settings.Peers.Suspect,
			Forget:  forgetDead,
		}),
		rivals: map[string]*right.Candidate{},
		permit: permit.New(permit.Config{
			Term: config.Settings.Rights.Permit,
		}),
		lenders:  map[string]*credit.Lender{},
		lending:  map[string]uint64{},
		books:    map[string]*message.Book{},
		gifts:    map[string][]message.Claim{},
		backends: &backends{},
		versions: map[string]versionSeen{},
		holders:  map[string]claimSeen{},
		polls:    make(chan polled, 1),
		written:  make(chan rightWritten, controlRing),
		reports:  make(chan message.CreditReport, controlRing),
		asks:     make(chan func(), 1),
	}
	control.poller = &poller{
		zone:     config.Self.Zone,
		interval: config.Settings.Platform.Poll,
		txn:      config.Store.Txn,
		clock:    config.Clock,
		results:  control.polls,
		since:    make(chan int64, 1),
		kick:     make(chan struct{}, 1),
		inForce:  control.inForce,
	}
	control.addRivals()
	control.publish(config.Clock())
	return control
}

func (c *Control) addRivals() {
	zone := c.config.Self.Zone
	if c.config.Settings.Host.Dispatch {
		c.addRival(rightName(zone, dispatchRight))
	}
	if !c.config.Settings.Host.Gate {
		return
	}
	for shard := range stewardShards {
		name := stewardName(zone, shard)
		c.addRival(name)
		c.lenders[name] = credit.NewLender(credit.LenderConfig{
			Name:           name,
			Term:           c.config.Settings.Requests.CreditTerm,
			MaxRequestTime: c.config.Settings.Requests.Timeout,
		})
	}
}

// pollsPerGap is how many polls may fail before a watch counts as broken.
const pollsPerGap = 3

func (c *Control) addRival(name string) {
	rights := c.config.Settings.Rights
	c.rivals[name] = right.NewCandidate(right.Config{
		Name:      name,
		Self:      member.SeatOf(c.config.Self),
		Term:      rights.Term,
		Margin:    rights.Margin,
		Isolation: rights.Isolation,
		Gap:       pollsPerGap * c.config.Settings.Platform.Poll,
	})
}

// inForce is the version that this host has; 0 for none.
func (c *Control) inForce() uint64 {
	if state := c.Snapshot().State; state != nil {
		return state.Version
	}
	return 0
}

// Snapshot returns the newest published view.
func (c *Control) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Report passes a credit report of this host's own desk to its lender, here or
// at another host. It never blocks.
func (c *Control) Report(report message.CreditReport) {
	snapshot := c.Snapshot()
	holder := snapshot.Holders[report.Lender]
	report.To = snapshot.Epochs[report.Lender]
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

// Ask runs a function inside the loop and waits for it.
func (c *Control) Ask(ctx context.Context, question func()) {
	done := make(chan struct{})
	select {
	case c.asks <- func() {
		question()
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

// Run is the loop; it ends with the context.
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
			c.takeEvent(event)
		case result := <-c.polls:
			c.takePoll(result)
		case result := <-c.written:
			c.takeRightWritten(result)
		case report := <-c.reports:
			c.lend(c.config.Self, report, c.config.Clock())
		case question := <-c.asks:
			question()
		case <-heartbeat.C:
			c.sendHeartbeats()
		case <-tick.C:
			c.tick(ctx)
		}
	}
}

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
	c.announceSoon(now)
}

// announceSoon sends heartbeats ahead of their time when something has
// happened that others should know at once.
func (c *Control) announceSoon(now time.Time) {
	if !c.announce || now.Sub(c.announcedAt) < controlTick {
		return
	}
	c.announce, c.announcedAt = false, now
	c.sendHeartbeats()
}

// adopt brings a release state into force if it is newer than the present.
func (c *Control) adopt(state *release.State, from string) {
	if state == nil || c.state != nil && state.Version <= c.state.Version {
		return
	}
	now := c.config.Clock()
	c.state, c.inForceAt = state, now
	c.permit.InForce(state.Version)
	klog.InfoS("release in force", "version", state.Version, "note", state.NoteID, "from", from)
	c.config.Counts.Add("releases_adopted", 1)
	for shard := range stewardShards {
		if lender := c.lenders[stewardName(c.config.Self.Zone, shard)]; lender != nil {
			lender.SetLimits(c.limits(shard))
		}
	}
	c.publish(now)
}

// hostsThatMayAccept are all hosts that could accept a release note.
func (c *Control) hostsThatMayAccept() []string {
	hosts := []string{c.config.Self.Host}
	for _, known := range c.view.All() {
		if known.EndedAt.IsZero() {
			hosts = append(hosts, known.Info.Host)
		}
	}
	return hosts
}

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
		FreeCapacity: c.rooms(),
		Lent:         map[string]int{},
	}
	for name, seen := range c.holders {
		if now.Sub(seen.at) <= c.config.Settings.Peers.Suspect {
			snapshot.Holders[name] = seen.host
			snapshot.Epochs[name] = seen.epoch
		}
	}
	for _, claim := range snapshot.Rights {
		snapshot.Holders[claim.Right] = c.config.Self.Host
		snapshot.Epochs[claim.Right] = claim.Epoch
	}
	for _, known := range c.view.All() {
		snapshot.Peers = append(snapshot.Peers, PeerStatus{
			Info:           known.Info,
			Status:         known.Status,
			HeardAt:        known.HeardAt,
			ReleaseVersion: known.Heartbeat.ReleaseVersion,
			InForceAt:      c.versions[known.Info.Host].at,
			Quiet:          known.Heartbeat.Quiet,
		})
	}
	snapshot.Authority = c.duty(now, snapshot)
	c.snapshot.Store(snapshot)
}

func (c *Control) duty(now time.Time, snapshot *Snapshot) dispatch.Authority {
	duty := dispatch.Authority{
		State:        c.state,
		StoreUp:      c.storeUp,
		FreeCapacity: snapshot.FreeCapacity,
	}
	name := rightName(c.config.Self.Zone, dispatchRight)
	rival := c.rivals[name]
	if rival == nil {
		return duty
	}
	epoch, holds := rival.Holds(now)
	if !holds {
		return duty
	}
	duty.Epoch = epoch
	duty.FenceKey, duty.Fence = fenceKey(name), rival.Fence()
	duty.HoldsUntil = rival.Until()
	duty.PermitUntil = c.permit.Until(c.hostsThatMayAccept())
	return duty
}

// rooms is the free room of every zone whose dispatcher is heard.
func (c *Control) rooms() map[string]worker.Size {
	rooms := map[string]worker.Size{}
	for _, known := range c.view.Alive() {
		const parts = 3
		if room := known.Heartbeat.Room; len(room) == parts {
			rooms[known.Info.Zone] = worker.Size{
				MilliCores:   room[0],
				MemoryBytes:  room[1],
				Accelerators: room[2],
			}
		}
	}
	return rooms
}

// learnAddress dials a host that is known only from its own messages.
func (c *Control) learnAddress(info message.Info) {
	if c.config.Settings.Peers.Discover && info.Peers != (netip.AddrPort{}) && !c.config.Hub.Reaches(info.Host) {
		c.config.Hub.Ensure(info.Peers)
	}
}
