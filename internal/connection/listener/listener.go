// Package listener serves HTTP to callers at one address, within a budget of
// connections and memory. It bounds the time and the size of everything that a
// caller sends, and the time that it takes to read an answer.
package listener

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/budget"
)

// ErrListen means that the address cannot be used.
var ErrListen = errors.New("cannot listen")

// Limits bound what one connection may send. They may change at any time; a
// connection meets new limits with its next request.
type Limits struct {
	// HeaderBytes is the largest header of a request.
	HeaderBytes int
	// HeaderTimeout is the time from the first byte of a request, or from the
	// start of a connection, to the end of the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Config configures a Listener.
type Config struct {
	// Name is the name of the listener in logs.
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	Budget  *budget.Budget
	Limits  func() Limits
	// Refusals counts the connections and requests that were refused.
	Refusals *Refusals
	// Failures receives the error that ends the listener, unless it is closed.
	Failures chan<- error
}

const (
	// socketBufferBytes bounds what the kernel keeps for a connection in each
	// direction.
	socketBufferBytes = 16 << 10
	// answerTimeout is how long a caller may take to make room for the next part
	// of an answer.
	answerTimeout = 10 * time.Second
)

// Listener serves HTTP at one address.
type Listener struct {
	config Config
	server *http.Server
	// socket is set by Listen.
	socket net.Listener
	// closed is closed when Run has ended, and with it the socket.
	closed chan struct{}
}

// New returns a Listener that does not listen yet.
func New(config Config) *Listener {
	l := &Listener{
		config: config,
		closed: make(chan struct{}),
	}
	l.server = &http.Server{
		Handler:           l,
		MaxHeaderBytes:    math.MaxInt32, // conn bounds the header, by limits that change
		ReadHeaderTimeout: headerMark,
		ConnContext:       withConn,
		ConnState:         connStateChanged,
		ErrorLog: log.New(&errorLog{
			name: config.Name,
		}, "", 0),
	}
	return l
}

// Listen opens the socket. Errors: ErrListen.
func (l *Listener) Listen() error {
	socket, err := (&net.ListenConfig{
		Control: limitBuffers,
	}).Listen(context.Background(), "tcp", l.config.Address.String())
	if err != nil {
		return fmt.Errorf("%w: %s on %s: %v", ErrListen, l.config.Name, l.config.Address, err)
	}
	l.socket = socket
	return nil
}

// limitBuffers limits what the kernel keeps for each connection of a socket that
// is about to listen. A kernel that does not is no reason to fail.
func limitBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
	})
}

// Run serves until the listener is closed. It opens the socket unless Listen has.
func (l *Listener) Run() {
	defer close(l.closed)
	if l.socket == nil {
		if err := l.Listen(); err != nil {
			l.config.Failures <- err
			return
		}
	}
	if err := l.server.Serve(&acceptor{
		Listener: l.socket,
		owner:    l,
	}); !errors.Is(err, http.ErrServerClosed) {
		l.config.Failures <- err
	}
}

// Close closes the socket and all connections, and waits until the address is
// free. Run must have been called.
func (l *Listener) Close() {
	_ = l.server.Close()
	<-l.closed
}

// Drain closes the socket and waits until the deadline for the requests in
// progress, but not for stalled ones. It closes all connections then.
func (l *Listener) Drain(ctx context.Context, deadline time.Time) error {
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stalled := &stalledCloser{
		budget: l.config.Budget,
	}
	go stalled.loop(limited)
	err := l.server.Shutdown(limited)
	_ = l.server.Close()
	return err
}

// stalledCloser closes the connections that would hold up a shutdown: those whose
// request does not arrive and those whose answer is not read.
type stalledCloser struct {
	budget *budget.Budget
}

func (s *stalledCloser) loop(ctx context.Context) {
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.budget.CloseStalled()
		}
	}
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	c := connOf(request)
	c.beginRequest(request.ContentLength != 0)
	defer c.account.EndRequest()
	l.config.Handler.ServeHTTP(writer, request)
}

// acceptor accepts connections within the budget.
type acceptor struct {
	net.Listener
	owner *Listener
}

// Accept implements net.Listener. Connections beyond the budget are closed at once:
// those that are not accepted fill the queue of the kernel, which then drops the
// opening packets of ordinary callers. They get no answer, since a refusal would say
// that their request never runs, and an earlier attempt of it may be running.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, a.owner)
		if c.open() != nil {
			a.owner.config.Refusals.Add("connections", "listener", a.owner.config.Name)
			_ = accepted.Close()
			continue
		}
		return c, nil
	}
}

// errorLog passes the lines of net/http on as structured ones.
type errorLog struct {
	name string
}

// Write implements io.Writer.
func (e *errorLog) Write(line []byte) (int, error) {
	klog.V(1).InfoS("connection of a caller failed", "listener", e.name, "err", string(line))
	return len(line), nil
}
