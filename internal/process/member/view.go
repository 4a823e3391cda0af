// Package member maintains a host's view of the other entry hosts from their
// heartbeats. The view is advisory: it decides which hosts to contact. For
// decisions about exclusive rights a peer counts as dead only on proof that its
// process has ended, never because its heartbeats are missing.
package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/right"
)

// Config sets up a View.
type Config struct {
	Self message.Info
	// SuspectAfter is how long a host may be unresponsive before it is
	// suspected.
	SuspectAfter time.Duration
	// ForgetAfter is how long a host that has ended stays listed.
	ForgetAfter time.Duration
}

// Status is the state of a host in the view.
type Status string

// The statuses of a host. An unresponsive host is suspected if another peer
// still receives its heartbeats, and lost if none does; a host that announces
// its shutdown is suspected too. Dead and left require proof that the process
// has ended.
const (
	StatusAlive     Status = "alive"
	StatusSuspected Status = "doubted"
	StatusLost      Status = "lost"
	StatusDead      Status = "dead"
	StatusLeft      Status = "left"
)

// Peer is what is known about one run of one host.
type Peer struct {
	Info message.Info
	// LastSeenAt is when the newest heartbeat arrived or, before the first one,
	// when the host authenticated.
	LastSeenAt time.Time
	// Heartbeat is the newest heartbeat; zero before the first one.
	Heartbeat message.Heartbeat
	// AsOf is a time, by this host's clock, after which Heartbeat was sent: the
	// time at which this host sent the heartbeat that it echoes. It is zero
	// until the peer has echoed one.
	AsOf   time.Time
	Status Status
	// EndedAt is when the status became dead or left.
	EndedAt time.Time
}

// View is the set of known peers. It is not safe for concurrent use.
type View struct {
	config Config
	peers  map[string]*Peer
	// ended maps the runs that are proved to have ended to when that was seen.
	ended map[right.Instance]time.Time
	// sent are the times of this host's heartbeats to each host, by sequence
	// number.
	sent map[string]map[uint64]time.Time
	// lastSeqs is the newest sequence number sent to each host.
	lastSeqs map[string]uint64
	// latestRun is the newest run that has answered at each address. Only one
	// process can listen at an address, so earlier runs there have ended.
	latestRun map[netip.AddrPort]right.Instance
	// refused maps the addresses where no process listens to when that was
	// seen.
	refused map[netip.AddrPort]time.Time
}

// maxRecordedSends is the number of newest heartbeats per host whose send times
// are kept. An echo of an older heartbeat is ignored.
const maxRecordedSends = 64

// NewView returns an empty view.
func NewView(config Config) *View {
	return &View{
		config:   config,
		peers:    map[string]*Peer{},
		ended:    map[right.Instance]time.Time{},
		sent:     map[string]map[uint64]time.Time{},
		lastSeqs: map[string]uint64{},

		latestRun: map[netip.AddrPort]right.Instance{},
		refused:   map[netip.AddrPort]time.Time{},
	}
}

// InstanceOf returns the instance, one run of one host, that an Info describes.
func InstanceOf(info message.Info) right.Instance {
	return right.Instance{
		Host:        info.Host,
		Incarnation: info.Incarnation,
		Address:     info.Peers,
	}
}

// RecordAuthenticated records that a host, known or new, has authenticated. It
// returns nil for this host itself and for a run that has ended.
func (v *View) RecordAuthenticated(info message.Info, now time.Time) *Peer {
	if info.Host == v.config.Self.Host {
		return nil
	}
	known := v.peers[info.Host]
	if known != nil && known.Info.Incarnation == info.Incarnation && known.EndedAt.IsZero() {
		delete(v.refused, info.Peers)
		return known
	}
	if _, found := v.ended[InstanceOf(info)]; found {
		return nil // a delayed message of a run that has ended
	}
	v.replaceEarlierRuns(info, now)
	if known != nil {
		v.markEnded(known, StatusDead, now)
	}
	known = &Peer{
		Info:       info,
		LastSeenAt: now,
		Status:     StatusAlive,
	}
	v.peers[info.Host] = known
	delete(v.sent, info.Host)
	return known
}

// replaceEarlierRuns records that a new run listens at its address, and marks
// the earlier runs there as ended.
func (v *View) replaceEarlierRuns(info message.Info, now time.Time) {
	delete(v.refused, info.Peers)
	if previous, ok := v.latestRun[info.Peers]; ok {
		v.ended[previous] = now
	}
	v.latestRun[info.Peers] = InstanceOf(info)
	for _, peer := range v.peers {
		if peer.Info.Peers == info.Peers && peer.EndedAt.IsZero() {
			v.markEnded(peer, StatusDead, now)
		}
	}
}

// markEnded sets a final status and records that the run has ended.
func (v *View) markEnded(peer *Peer, status Status, now time.Time) {
	peer.Status, peer.EndedAt = status, now
	v.ended[InstanceOf(peer.Info)] = now
}

// RecordHeartbeat records a heartbeat. It returns nil if the heartbeat is
// ignored: its run has ended, or a newer heartbeat has arrived already.
func (v *View) RecordHeartbeat(info message.Info, heartbeat message.Heartbeat, now time.Time) *Peer {
	peer := v.RecordAuthenticated(info, now)
	if peer == nil || peer.Status == StatusLeft {
		return nil
	}
	if heartbeat.Seq < peer.Heartbeat.Seq {
		return nil
	}
	peer.LastSeenAt, peer.Heartbeat = now, heartbeat
	peer.Status = StatusAlive
	if at, ok := v.sent[info.Host][heartbeat.Echo]; ok {
		peer.AsOf = at
	}
	if heartbeat.Leaving {
		peer.Status = StatusSuspected
	}
	return peer
}

// RecordRefusal records that no process listens at a host's own address any
// more: the process that did has ended.
func (v *View) RecordRefusal(address netip.AddrPort, now time.Time) {
	v.refused[address] = now
	for _, peer := range v.peers {
		if peer.Info.Peers != address || !peer.EndedAt.IsZero() {
			continue
		}
		if peer.Heartbeat.Leaving {
			v.markEnded(peer, StatusLeft, now)
			continue
		}
		v.markEnded(peer, StatusDead, now)
	}
}

// Tick updates the status of unresponsive hosts and forgets those that ended
// long ago. An unresponsive host is lost only if no live peer receives its
// heartbeats either.
func (v *View) Tick(now time.Time) {
	for host, peer := range v.peers {
		if !peer.EndedAt.IsZero() {
			if now.Sub(peer.EndedAt) > v.config.ForgetAfter {
				delete(v.peers, host)
			}
			continue
		}
		if now.Sub(peer.LastSeenAt) <= v.config.SuspectAfter {
			continue
		}
		peer.Status = StatusLost
		if v.reachableByOthers(host, now) {
			peer.Status = StatusSuspected
		}
	}
}

// reachableByOthers reports whether a live peer still receives the host's
// heartbeats.
func (v *View) reachableByOthers(host string, now time.Time) bool {
	for name, other := range v.peers {
		if name == host || other.Status != StatusAlive || now.Sub(other.LastSeenAt) > v.config.SuspectAfter {
			continue
		}
		if !slices.Contains(other.Heartbeat.Suspected, host) {
			return true
		}
	}
	return false
}

// Suspected lists the hosts that are suspected or lost, in order of name.
func (v *View) Suspected() []string {
	var suspected []string
	for _, host := range slices.Sorted(maps.Keys(v.peers)) {
		switch v.peers[host].Status {
		case StatusSuspected, StatusLost:
			suspected = append(suspected, host)
		}
	}
	return suspected
}

// Alive lists live peers in order of name.
func (v *View) Alive() []*Peer {
	var alive []*Peer
	for _, host := range slices.Sorted(maps.Keys(v.peers)) {
		if v.peers[host].Status == StatusAlive {
			alive = append(alive, v.peers[host])
		}
	}
	return alive
}

// All lists every known peer in order of name.
func (v *View) All() []*Peer {
	var all []*Peer
	for _, host := range slices.Sorted(maps.Keys(v.peers)) {
		all = append(all, v.peers[host])
	}
	return all
}

// Peer returns the peer with the given host name; nil if it is not known.
func (v *View) Peer(host string) *Peer {
	return v.peers[host]
}

// ZonePeers lists the instances of live peers in this host's zone.
func (v *View) ZonePeers() []right.Instance {
	var instances []right.Instance
	for _, peer := range v.Alive() {
		if peer.Info.Zone == v.config.Self.Zone {
			instances = append(instances, InstanceOf(peer.Info))
		}
	}
	return instances
}

// Liveness reports what is known of an instance, for package right.
func (v *View) Liveness(instance right.Instance) right.Liveness {
	if _, found := v.ended[instance]; found {
		return right.Dead
	}
	peer := v.peers[instance.Host]
	if _, refused := v.refused[instance.Address]; refused {
		return right.Dead
	}
	if latestRun, ok := v.latestRun[instance.Address]; ok && latestRun != instance {
		return right.Dead
	}
	if peer == nil || InstanceOf(peer.Info) != instance {
		return right.Unresponsive
	}
	if peer.Status == StatusAlive {
		return right.Alive
	}
	return right.Unresponsive
}

// RecordSend records when the next heartbeat to a host is sent, and returns its
// sequence number and echo.
func (v *View) RecordSend(host string, now time.Time) (seq, echo uint64) {
	v.lastSeqs[host]++
	seq = v.lastSeqs[host]
	if v.sent[host] == nil {
		v.sent[host] = map[uint64]time.Time{}
	}
	v.sent[host][seq] = now
	delete(v.sent[host], seq-maxRecordedSends)
	if peer := v.peers[host]; peer != nil {
		echo = peer.Heartbeat.Seq
	}
	return seq, echo
}
