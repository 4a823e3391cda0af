package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/connection/budget"
)

const (
	// headerSlack is how far net/http reads ahead of the header.
	headerSlack = 4 << 10
	// headerFactor is the memory of a header as a multiple of its text: the
	// text, its decoded fields and their index.
	headerFactor = 3
	// refusalTimeout bounds the answer to a header that is too large.
	refusalTimeout = 10 * time.Millisecond
)

// conn is one connection of a caller. It bounds the time and the size of headers,
// the time between requests and the time for reading an answer, and tells the
// budget what it is doing.
type conn struct {
	net.Conn
	owner   *Listener
	account *budget.Account

	mu    sync.Mutex
	phase budget.Phase
	// deadline is when the present phase ends; zero while no time is set.
	deadline time.Time
	// headerBytes counts the bytes of the header that is being received.
	headerBytes int
	// idle is set between an answer and the first byte of the next request.
	idle   bool
	closed bool
}

func newConn(accepted net.Conn, owner *Listener) *conn {
	c := &conn{
		Conn:     accepted,
		owner:    owner,
		deadline: time.Now().Add(owner.config.Limits().HeaderTimeout),
	}
	_ = accepted.SetReadDeadline(c.deadline)
	return c
}

// open takes a place in the budget. Errors: budget.ErrFull.
func (c *conn) open() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account, err = c.owner.config.Budget.Open(c.evict)
	return err
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// connOf returns the connection of a request that a Listener serves.
func connOf(request *http.Request) *conn {
	c, _ := request.Context().Value(connKey{}).(*conn)
	return c
}

// connStateChanged is told by net/http that a connection waits for its next
// request.
func connStateChanged(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok && state == http.StateIdle {
		c.enter(budget.Waiting, time.Now().Add(c.owner.config.Limits().IdleTimeout))
		c.mu.Lock()
		c.idle = true
		c.mu.Unlock()
	}
}

// enter begins a phase that ends at a deadline; zero means none.
func (c *conn) enter(phase budget.Phase, deadline time.Time) {
	if c.account == nil {
		return
	}
	c.mu.Lock()
	c.phase, c.deadline, c.headerBytes = phase, deadline, 0
	c.mu.Unlock()
	c.account.SetPhase(phase)
	_ = c.Conn.SetReadDeadline(deadline)
}

// beginRequest notes that a header is complete.
func (c *conn) beginRequest(hasBody bool) {
	c.account.BeginRequest()
	if hasBody {
		c.enter(budget.Receiving, time.Now().Add(c.owner.config.Limits().HeaderTimeout))
		return
	}
	c.enter(budget.Serving, time.Time{})
}

// headerMark is the time-out for headers that net/http is given, by which its call
// of SetReadDeadline at the start of a request is recognised. The limits that
// apply are those of the Listener.
const headerMark = 24 * time.Hour

// SetReadDeadline implements net.Conn. net/http sets and removes deadlines between
// the parts of a request; unless it interrupts a read, that of the phase stays.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if time.Until(deadline) > headerMark/2 {
		c.beginHeader()
		deadline = time.Time{}
	}
	if deadline.IsZero() {
		c.mu.Lock()
		deadline = c.deadline
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// beginHeader notes that net/http reads the header of a request. Its first bytes
// may have been read together with the request before.
func (c *conn) beginHeader() {
	c.mu.Lock()
	begins := c.idle
	c.idle = false
	c.mu.Unlock()
	if begins {
		c.receiveHeader()
	}
}

// receiveHeader begins the phase in which the header of a request arrives.
func (c *conn) receiveHeader() {
	c.enter(budget.Receiving, time.Now().Add(c.owner.config.Limits().HeaderTimeout))
	c.mu.Lock()
	c.headerBytes = 1 // marks that a header is being received
	c.mu.Unlock()
}

// stopReading makes all reads fail from now on, so that net/http sends the answer
// without waiting for the rest of the body.
func (c *conn) stopReading() {
	c.enter(budget.Receiving, time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if c.phase == budget.Waiting {
		c.idle = false
		c.mu.Unlock()
		c.receiveHeader()
		c.mu.Lock()
	}
	inHeader, before := c.headerBytes > 0, c.headerBytes
	if inHeader {
		c.headerBytes += n
	}
	c.mu.Unlock()
	c.account.Progress(n)
	if inHeader && before+n > headerSlack {
		if refused := c.checkHeader(before, n); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// checkHeader takes memory for n more bytes of a header. It closes the connection
// and returns an error if there is none, or if the header is too large, which it
// answers.
func (c *conn) checkHeader(before, n int) error {
	switch limit := c.owner.config.Limits().HeaderBytes; {
	case before+n > limit+headerSlack:
		c.answerTooLarge()
		c.owner.config.Refusals.Add("header_too_large")
	case c.take(headerFactor*n) != nil:
		c.owner.config.Refusals.Add("header_no_memory")
	default:
		return nil
	}
	_ = c.Close()
	return io.ErrUnexpectedEOF
}

// take takes memory, and waits for it at most until the end of the phase.
func (c *conn) take(bytes int) error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return c.account.Take(ctx, int64(bytes), false)
}

// answerTooLarge refuses a header, which net/http has not read to its end. The answer
// fits the send buffer unless earlier ones have not been read.
func (c *conn) answerTooLarge() {
	const status = http.StatusRequestHeaderFieldsTooLarge
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	c.account.SetPhase(budget.Sending)
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	n, err := c.Conn.Write(buffer)
	c.account.SetPhase(phase)
	return n, err
}

// evict closes the connection so that others find room.
func (c *conn) evict() {
	_ = c.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// CloseWrite closes the sending side, so that net/http can wait for the caller to
// read an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
