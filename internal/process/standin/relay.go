package standin

import (
	"errors"
	"net"
	"sync"
	"time"
)

// RelayFault is a set of faults injected into a relay.
type RelayFault struct {
	// Cut closes connections and refuses new ones.
	Cut bool `json:"cut"`
	// Mute reads and discards everything that the dialling side sends.
	Mute bool `json:"mute"`
	// DelayMS is added in each direction, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Relay forwards TCP connections from one zone to an address in another.
type Relay struct {
	From, To string
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault RelayFault
	conns map[net.Conn]bool
}

// NewRelay listens on an address and forwards its connections to the target.
func NewRelay(from, to, listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		From:     from,
		To:       to,
		target:   target,
		listener: listener,
		conns:    map[net.Conn]bool{},
	}
	go relay.run()
	return relay, nil
}

// SetFault replaces the faults in force; Cut closes the open connections.
func (r *Relay) SetFault(fault RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	if fault.Cut {
		for conn := range r.conns {
			_ = conn.Close()
		}
	}
}

func (r *Relay) currentFault() RelayFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) run() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if r.currentFault().Cut {
			_ = conn.Close()
			continue
		}
		link := &relayLink{
			relay:      r,
			downstream: conn,
		}
		go link.run()
	}
}

func (r *Relay) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
		return
	}
	delete(r.conns, conn)
}

// relayLink is one connection through a relay: downstream is the side that
// dialled the relay, upstream the side that the relay dialled.
type relayLink struct {
	relay                *Relay
	downstream, upstream net.Conn
}

func (l *relayLink) run() {
	defer func() { _ = l.downstream.Close() }()
	upstream, err := net.DialTimeout("tcp", l.relay.target, time.Second)
	if err != nil {
		return
	}
	l.upstream = upstream
	defer func() { _ = upstream.Close() }()
	l.relay.track(l.downstream, true)
	defer l.relay.track(l.downstream, false)
	toDownstream := &relayPipe{
		link: l,
		from: upstream,
		to:   l.downstream,
	}
	go toDownstream.run()
	toUpstream := &relayPipe{
		link:           l,
		from:           l.downstream,
		to:             upstream,
		dropsWhenMuted: true,
	}
	toUpstream.run()
}

// relayPipe copies one direction of a relayed connection; dropsWhenMuted marks
// the direction that RelayFault.Mute affects.
type relayPipe struct {
	link           *relayLink
	from, to       net.Conn
	dropsWhenMuted bool
}

func (p *relayPipe) run() {
	defer func() { _ = p.to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := p.from.Read(buffer)
		if err != nil {
			return
		}
		fault := p.link.relay.currentFault()
		if fault.DelayMS > 0 {
			time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
		}
		if fault.Mute && p.dropsWhenMuted {
			continue
		}
		if _, err := p.to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
