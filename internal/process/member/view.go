// Package member keeps a host's view of the other entry hosts from their
// heartbeats. The view is advice: it chooses whom to talk to. Only proofs of
// death, never silence, enter into decisions about exclusive rights.
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
	// Suspect is how long a host may be silent before it is doubted.
	Suspect time.Duration
	// Forget is how long a dead host stays listed.
	Forget time.Duration
}

// Status is what the view says of a host.
type Status string

// The statuses of a host. A silent host that somebody else hears is doubted
// only; one that nobody hears is lost; dead and left need proof.
const (
	StatusAlive   Status = "alive"
	StatusDoubted Status = "doubted"
	StatusLost    Status = "lost"
	StatusDead    Status = "dead"
	StatusLeft    Status = "left"
)

// Peer is what is known of one run of one host.
type Peer struct {
	Info message.Info
	// HeardAt is when the newest heartbeat arrived.
	HeardAt time.Time
	// Heartbeat is that heartbeat.
	Heartbeat message.Heartbeat
	// AsOf is a time, by this host's clock, after which it was sent; zero if
	// the sender had heard nothing from here yet.
	AsOf   time.Time
	Status Status
	// EndedAt is when the status became dead or left.
	EndedAt time.Time
}

// View is the set of known peers. It is not safe for concurrent use.
type View struct {
	config Config
	peers  map[string]*Peer
	// ended are runs proved dead, by when.
	ended map[right.Instance]time.Time
	// sent are the times of our heartbeats to each host, by sequence number.
	sent map[string]map[uint64]time.Time
	seqs map[string]uint64
	// serving is the newest run that has answered at each address; whoever
	// listened there before is dead, since one process at a time can.
	serving map[netip.AddrPort]right.Instance
	// refused are addresses where nothing listens, by when that was seen.
	refused map[netip.AddrPort]time.Time
}

// keptSends is how many sent heartbeats to a host can still be echoed.
const keptSends = 64

// NewView returns an empty view.
func NewView(config Config) *View {
	return &View{
		config: config,
		peers:  map[string]*Peer{},
		ended:  map[right.Instance]time.Time{},
		sent:   map[string]map[uint64]time.Time{},
		seqs:   map[string]uint64{},

		serving: map[netip.AddrPort]right.Instance{},
		refused: map[netip.AddrPort]time.Time{},
	}
}

// SeatOf names the run that an Info describes.
func SeatOf(info message.Info) right.Instance {
	return right.Instance{
		Host:        info.Host,
		Incarnation: info.Incarnation,
		Address:     info.Peers,
	}
}

// Met takes in that a host has proved who it is; it may be new.
func (v *View) Met(info message.Info, now time.Time) *Peer {
	if info.Host == v.config.Self.Host {
		return nil
	}
	known := v.peers[info.Host]
	if known != nil && known.Info.Incarnation == info.Incarnation && known.EndedAt.IsZero() {
		delete(v.refused, info.Peers)
		return known
	}
	if _, over := v.ended[SeatOf(info)]; over {
		return nil // a late message of a run that has ended
	}
	v.succeed(info, now)
	if known != nil {
		v.end(known, StatusDead, now)
	}
	known = &Peer{
		Info:    info,
		HeardAt: now,
		Status:  StatusAlive,
	}
	v.peers[info.Host] = known
	delete(v.sent, info.Host)
	return known
}

// succeed notes that a new run listens at its address, and ends those before.
func (v *View) succeed(info message.Info, now time.Time) {
	delete(v.refused, info.Peers)
	if before, ok := v.serving[info.Peers]; ok {
		v.ended[before] = now
	}
	v.serving[info.Peers] = SeatOf(info)
	for _, peer := range v.peers {
		if peer.Info.Peers == info.Peers && peer.EndedAt.IsZero() {
			v.end(peer, StatusDead, now)
		}
	}
}

func (v *View) end(peer *Peer, status Status, now time.Time) {
	peer.Status, peer.EndedAt = status, now
	v.ended[SeatOf(peer.Info)] = now
}

// Heard takes in a heartbeat.
func (v *View) Heard(info message.Info, heartbeat message.Heartbeat, now time.Time) *Peer {
	peer := v.Met(info, now)
	if peer == nil || peer.Status == StatusLeft {
		return nil
	}
	if heartbeat.Seq < peer.Heartbeat.Seq {
		return nil
	}
	peer.HeardAt, peer.Heartbeat = now, heartbeat
	peer.Status = StatusAlive
	if at, ok := v.sent[info.Host][heartbeat.Echo]; ok {
		peer.AsOf = at
	}
	if heartbeat.Leaving {
		peer.Status = StatusDoubted
	}
	return peer
}

// Refused takes in that nothing listens any more at a host's own address:
// the process that used to is dead.
func (v *View) Refused(address netip.AddrPort, now time.Time) {
	v.refused[address] = now
	for _, peer := range v.peers {
		if peer.Info.Peers != address || !peer.EndedAt.IsZero() {
			continue
		}
		if peer.Heartbeat.Leaving {
			v.end(peer, StatusLeft, now)
			continue
		}
		v.end(peer, StatusDead, now)
	}
}

// Tick judges silence. A silent host counts as lost only when no live peer
// hears it either.
func (v *View) Tick(now time.Time) {
	for host, peer := range v.peers {
		if !peer.EndedAt.IsZero() {
			if now.Sub(peer.EndedAt) > v.config.Forget {
				delete(v.peers, host)
			}
			continue
		}
		if now.Sub(peer.HeardAt) <= v.config.Suspect {
			continue
		}
		peer.Status = StatusLost
		if v.heardByOthers(host, now) {
			peer.Status = StatusDoubted
		}
	}
}

func (v *View) heardByOthers(host string, now time.Time) bool {
	for name, other := range v.peers {
		if name == host || other.Status != StatusAlive || now.Sub(other.HeardAt) > v.config.Suspect {
			continue
		}
		if !slices.Contains(other.Heartbeat.Doubted, host) {
			return true
		}
	}
	return false
}

// Doubted lists the hosts that are not heard here.
func (v *View) Doubted() []string {
	var doubted []string
	for _, host := range slices.Sorted(maps.Keys(v.peers)) {
		switch v.peers[host].Status {
		case StatusDoubted, StatusLost:
			doubted = append(doubted, host)
		}
	}
	return doubted
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

// Peer finds a host; nil if it is not known.
func (v *View) Peer(host string) *Peer {
	return v.peers[host]
}

// Mates lists the seats of live peers in this host's zone.
func (v *View) Mates() []right.Instance {
	var mates []right.Instance
	for _, peer := range v.Alive() {
		if peer.Info.Zone == v.config.Self.Zone {
			mates = append(mates, SeatOf(peer.Info))
		}
	}
	return mates
}

// Liveness judges a seat for package right.
func (v *View) Liveness(seat right.Instance) right.Liveness {
	if _, over := v.ended[seat]; over {
		return right.Dead
	}
	peer := v.peers[seat.Host]
	if _, refused := v.refused[seat.Address]; refused {
		return right.Dead
	}
	if serving, ok := v.serving[seat.Address]; ok && serving != seat {
		return right.Dead
	}
	if peer == nil || SeatOf(peer.Info) != seat {
		return right.Unresponsive
	}
	if peer.Status == StatusAlive {
		return right.Alive
	}
	return right.Unresponsive
}

// Sending numbers a heartbeat to a host and remembers when it left.
func (v *View) Sending(host string, now time.Time) (seq, echo uint64) {
	v.seqs[host]++
	seq = v.seqs[host]
	if v.sent[host] == nil {
		v.sent[host] = map[uint64]time.Time{}
	}
	v.sent[host][seq] = now
	delete(v.sent[host], seq-keptSends)
	if peer := v.peers[host]; peer != nil {
		echo = peer.Heartbeat.Seq
	}
	return seq, echo
}
