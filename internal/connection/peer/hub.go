// Package peer carries messages between entry hosts over gnet and WebSocket.
//
// Each host dials every host that it sends to. It sends only on connections
// that it dialled and receives only on connections that it accepted, so that a
// network path that works in one direction only is noticed. Both sides
// authenticate with the fleet's key before any other message is read.
package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"mustardreach.example/mustardreach/internal/connection/message"
)

var (
	// ErrNoLink means that nothing was sent because no link to the host is up.
	ErrNoLink = errors.New("no link to that host")
	// ErrCongested means that nothing was sent because the link's outbound
	// buffer is full.
	ErrCongested = errors.New("link congested")
	// ErrListen means that the hub could not start.
	ErrListen = errors.New("cannot serve peers")
)

// Event is a received message or a change of a link.
type Event struct {
	// At is the time of the event by this host's clock.
	At time.Time
	// From is the peer's description of itself; see Refused for addresses that
	// refused a connection.
	From message.Info
	// Up means that an outgoing link to From has come up.
	Up bool
	// Refused is an address that refused a connection: no process listens
	// there any more. From is then the host that last answered there, if any.
	Refused netip.AddrPort
	// Envelope is the received message; its Kind is zero for other events.
	Envelope message.Envelope
}

// Config sets up a Hub.
type Config struct {
	Self message.Info
	// Keys are the fleet keys accepted from peers; the first is also used to
	// dial.
	Keys []string
	// FrameBytes is the maximum size of one message.
	FrameBytes int
	// Inbox receives events; when full, messages are dropped and counted.
	Inbox chan<- Event
	// Counts counts bytes, refused connections and dropped messages.
	Counts *expvar.Map
	// Clock returns the current time.
	Clock func() time.Time
}

// Hub owns all links of a process. Its methods are safe for concurrent use.
type Hub struct {
	gnet.BuiltinEventEngine
	config Config
	engine gnet.Engine
	client *gnet.Client
	booted chan struct{}

	mu sync.Mutex
	// links is keyed by dialled address, hosts by the name of the host that
	// answered.
	links map[netip.AddrPort]*link
	hosts map[string]*link
	// unauthenticated maps the accepted connections that have not authenticated
	// yet to the time at which they were opened.
	unauthenticated map[gnet.Conn]time.Time
}

// NewHub returns a hub that listens for peers. Errors: ErrListen.
func NewHub(config Config) (*Hub, error) {
	hub := &Hub{
		config: config,
		booted: make(chan struct{}),
		links:  map[netip.AddrPort]*link{},
		hosts:  map[string]*link{},

		unauthenticated: map[gnet.Conn]time.Time{},
	}
	client, err := gnet.NewClient(&outgoing{hub: hub}, gnet.WithLogLevel(logging.FatalLevel))
	if err != nil {
		return nil, fmt.Errorf("%w: cannot create the dialling side: %v", ErrListen, err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("%w: cannot start the dialling side: %v", ErrListen, err)
	}
	hub.client = client
	server := &acceptor{
		hub:    hub,
		failed: make(chan error, 1),
	}
	go server.run()
	select {
	case <-hub.booted:
		return hub, nil
	case err := <-server.failed:
		return nil, fmt.Errorf("%w: %s: %v", ErrListen, config.Self.Peers, err)
	}
}

// acceptor runs the gnet engine of the accepting side.
type acceptor struct {
	hub    *Hub
	failed chan error
}

func (s *acceptor) run() {
	address := "tcp://" + s.hub.config.Self.Peers.String()
	s.failed <- gnet.Run(s.hub, address,
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithTCPKeepAlive(15*time.Second),
		gnet.WithLogLevel(logging.FatalLevel))
}

// OnBoot implements gnet.EventHandler.
func (h *Hub) OnBoot(engine gnet.Engine) gnet.Action {
	h.engine = engine
	close(h.booted)
	return gnet.None
}

// Ensure maintains a link to the address, redialling as needed, until Forget
// or Close.
func (h *Hub) Ensure(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[address] != nil || address == h.config.Self.Peers {
		return
	}
	added := &link{
		hub:     h,
		address: address,
		lost:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	h.links[address] = added
	go added.run()
}

// Forget ends the link to the address.
func (h *Hub) Forget(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.links[address]; old != nil {
		close(old.stop)
		delete(h.links, address)
	}
}

// Connected reports whether an outgoing link to the host is up.
func (h *Hub) Connected(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.hosts[host]
	return found != nil && found.conn() != nil
}

// Send queues one message to a host; delivery is not guaranteed. Errors:
// ErrNoLink, ErrCongested, message.ErrMalformed.
func (h *Hub) Send(host string, kind message.Kind, body any) error {
	h.mu.Lock()
	found := h.hosts[host]
	h.mu.Unlock()
	if found == nil {
		return ErrNoLink
	}
	payload, err := message.Encode(kind, body)
	if err != nil {
		return err
	}
	return found.send(payload)
}

// Close ends all links and stops listening.
func (h *Hub) Close(ctx context.Context) {
	h.mu.Lock()
	for address, dialled := range h.links {
		close(dialled.stop)
		delete(h.links, address)
	}
	h.mu.Unlock()
	_ = h.client.Stop()
	_ = h.engine.Stop(ctx)
}

// post delivers an event to the inbox, or drops and counts it if that is full.
func (h *Hub) post(event Event) {
	event.At = h.config.Clock()
	select {
	case h.config.Inbox <- event:
	default:
		h.config.Counts.Add("inbox_full", 1)
	}
}

// attach makes a link the one that Send uses for the host.
func (h *Hub) attach(host string, answered *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts[host] = answered
}
