package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// errSlotExpired means that a request was not sent because its slot had
// expired.
var errSlotExpired = errors.New("slot expired before the request was sent")

// lingerBufferBytes is the size of the buffer for answers that are discarded.
const lingerBufferBytes = 4 << 10

// connGuard ties a connection to the request and slot that use it.
type connGuard struct {
	// until is when the slot expires; no request is begun after it.
	until time.Time
	// deadline is when the runner has certainly stopped working on the request.
	deadline time.Time
	wrote    atomic.Bool
	// returnSlot is called after a request that was sent has been cancelled and
	// the runner has closed its side or the deadline has passed.
	returnSlot func()
}

// conn is a connection to a runner. It refuses to begin a request after its
// slot has expired; the check comes right before the first bytes are written.
// If it is closed before the answer is complete, it waits for the runner to
// close as well, which shows that the work has ended.
type conn struct {
	net.Conn
	current atomic.Pointer[connGuard]
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if current := c.current.Load(); current != nil && !current.wrote.Load() {
		if time.Now().After(current.until) {
			return 0, errSlotExpired
		}
		current.wrote.Store(true)
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	current := c.current.Swap(nil)
	if current == nil || !current.wrote.Load() {
		return c.Conn.Close()
	}
	closing := &lingeringClose{
		conn:      c.Conn,
		connGuard: current,
	}
	go closing.run()
	return nil
}

// lingeringClose closes a connection whose answer is no longer needed and gives
// the slot back once the runner has finished.
type lingeringClose struct {
	conn      net.Conn
	connGuard *connGuard
}

func (l *lingeringClose) run() {
	if tcp, ok := l.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = l.conn.SetReadDeadline(l.connGuard.deadline)
	buffer := make([]byte, lingerBufferBytes)
	for {
		if _, err := l.conn.Read(buffer); err != nil {
			if !errors.Is(err, io.EOF) {
				time.Sleep(time.Until(l.connGuard.deadline))
			}
			break
		}
	}
	_ = l.conn.Close()
	l.connGuard.returnSlot()
}

// dial opens a connection to a runner.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: inner,
	}, nil
}
