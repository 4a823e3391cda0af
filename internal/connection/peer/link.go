package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
)

const (
	dialTimeout       = time.Second
	maxOutboundBytes  = 4 << 20
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 2 * time.Second
	maxHandshakeBytes = 64 << 10
)

// errProof means that the accepting side did not prove that it knows the key.
var errProof = errors.New("peer did not prove that it knows the fleet's key")

// link maintains one outgoing connection and redials when it is lost.
type link struct {
	hub     *Hub
	address netip.AddrPort
	current atomic.Pointer[gnet.Conn]
	// lost is signalled when the connection closes.
	lost chan struct{}
	stop chan struct{}
	// lastInfo describes the host that answered most recently at the address.
	lastInfo message.Info
}

// outgoing handles the gnet events of dialled connections.
type outgoing struct {
	gnet.BuiltinEventEngine
	hub *Hub
}

// OnClose implements gnet.EventHandler.
func (o *outgoing) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if owner, ok := conn.Context().(*link); ok {
		owner.current.Store(nil)
		select {
		case owner.lost <- struct{}{}:
		default:
		}
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler: it discards everything, since peers
// send only on connections that they dialled.
func (o *outgoing) OnTraffic(conn gnet.Conn) gnet.Action {
	_, _ = conn.Discard(-1)
	return gnet.None
}

func (l *link) conn() gnet.Conn {
	if pointer := l.current.Load(); pointer != nil {
		return *pointer
	}
	return nil
}

func (l *link) send(payload []byte) error {
	conn := l.conn()
	if conn == nil {
		return ErrNoLink
	}
	if conn.OutboundBuffered() > maxOutboundBytes {
		return ErrCongested
	}
	frame := encodeFrame(payload, true)
	l.hub.config.Counts.Add("bytes_out", int64(len(frame)))
	if err := conn.AsyncWrite(frame, nil); err != nil {
		return fmt.Errorf("%w: cannot write to %s: %v", ErrNoLink, l.address, err)
	}
	return nil
}

// run dials with exponential backoff and keeps the connection up until stop is
// closed.
func (l *link) run() {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval = minRedialDelay
	redialBackoff.MaxInterval = maxRedialDelay
	for {
		if err := l.connect(); err != nil {
			l.reportRefusal(err)
		} else {
			redialBackoff.Reset()
			select {
			case <-l.lost:
			case <-l.stop:
				_ = l.closeCurrent()
				return
			}
		}
		select {
		case <-time.After(redialBackoff.NextBackOff()):
		case <-l.stop:
			return
		}
	}
}

func (l *link) closeCurrent() error {
	if conn := l.conn(); conn != nil {
		return conn.Close()
	}
	return nil
}

// reportRefusal counts a failed authentication, and posts an event if no
// process listens at the address.
func (l *link) reportRefusal(err error) {
	if errors.Is(err, errProof) {
		l.hub.config.Counts.Add("refused_proof", 1)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.hub.post(Event{
			From:    l.lastInfo,
			Refused: l.address,
		})
	}
}

// connect dials, authenticates and hands the connection to gnet; it blocks.
func (l *link) connect() error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	info, err := l.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	if info.Host == l.hub.config.Self.Host {
		_ = conn.Close()
		return fmt.Errorf("%w: %s is this host", ErrNoLink, l.address)
	}
	enrolled, err := l.hub.client.EnrollContext(conn, l)
	if err != nil {
		_ = conn.Close()
		return err
	}
	l.lastInfo = info
	l.current.Store(&enrolled)
	l.hub.attach(info.Host, l)
	l.hub.post(Event{
		From: info,
		Up:   true,
	})
	return nil
}

// handshake performs the WebSocket upgrade and the mutual authentication; it
// blocks.
func (l *link) handshake(conn net.Conn) (message.Info, error) {
	target := &url.URL{
		Scheme: "ws",
		Host:   l.address.String(),
		Path:   "/",
	}
	buffered, _, err := ws.Dialer{}.Upgrade(conn, target)
	if err != nil {
		return message.Info{}, err
	}
	var reader io.Reader = conn
	if buffered != nil {
		reader = buffered
	}
	return l.authenticate(conn, bufio.NewReader(reader))
}

// authenticate exchanges challenge, hello and welcome, and returns the
// accepting side's description of itself. Errors: errProof and those of the
// connection.
func (l *link) authenticate(conn net.Conn, reader io.Reader) (message.Info, error) {
	challenge, err := readMessage[message.Challenge](reader, message.KindChallenge)
	if err != nil {
		return message.Info{}, err
	}
	self, key, nonce := l.hub.config.Self, l.hub.config.Keys[0], newNonce()
	hello, err := message.Encode(message.KindHello, message.Hello{
		Info:  self,
		Nonce: nonce,
		Proof: computeProof(key, "dial", self.Host, challenge.Nonce, nonce),
	})
	if err != nil {
		return message.Info{}, err
	}
	if _, err := conn.Write(encodeFrame(hello, true)); err != nil {
		return message.Info{}, err
	}
	welcome, err := readMessage[message.Welcome](reader, message.KindWelcome)
	if err != nil {
		return message.Info{}, err
	}
	if _, ok := verifyProof(l.hub.config.Keys[:1], "accept", welcome.Info.Host, nonce, challenge.Nonce, welcome.Proof); !ok {
		return message.Info{}, errProof
	}
	return welcome.Info, nil
}

// readMessage reads one message of the handshake, which must be of the given
// kind.
func readMessage[T any](reader io.Reader, kind message.Kind) (T, error) {
	var zero T
	header, err := ws.ReadHeader(reader)
	if err != nil {
		return zero, err
	}
	if header.Length > maxHandshakeBytes || header.OpCode != ws.OpBinary {
		return zero, ErrFrame
	}
	payload := make([]byte, header.Length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return zero, err
	}
	envelope, err := message.Decode(payload)
	if err != nil {
		return zero, err
	}
	if envelope.Kind != kind {
		return zero, fmt.Errorf("%w: handshake message of kind %d, expected %d", message.ErrMalformed, envelope.Kind, kind)
	}
	return message.Open[T](envelope)
}
