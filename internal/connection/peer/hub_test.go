package peer

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/golden"
)

const testKey = "a-key-of-sixteen-bytes-or-more"

func TestMain(m *testing.M) {
	golden.Main(m, 100)
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// testPeer is a hub with its inbox and counters.
type testPeer struct {
	hub    *Hub
	inbox  chan Event
	counts *expvar.Map
	self   message.Info
}

func newTestPeer(t *testing.T, name string, keys ...string) testPeer {
	t.Helper()
	created := testPeer{
		inbox:  make(chan Event, 100),
		counts: &expvar.Map{},
		self: message.Info{
			Host:        name,
			Zone:        "z",
			Incarnation: name + "-run",
			Peers:       freeAddress(t),
		},
	}
	hub, err := NewHub(Config{
		Self:       created.self,
		Keys:       keys,
		FrameBytes: 1 << 16,
		Inbox:      created.inbox,
		Counts:     created.counts,
		Clock:      time.Now,
	})
	require.NoError(t, err)
	created.hub = hub
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		hub.Close(ctx)
	})
	return created
}

// awaitEvent returns the first event that matches, and fails after 20 seconds.
func (p testPeer) awaitEvent(t *testing.T, matches func(Event) bool) Event {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case event := <-p.inbox:
			if matches(event) {
				return event
			}
		case <-limit:
			require.Fail(t, "no such event")
		}
	}
}

// TestMessagesArriveWithTheirSender guards against messages that are attributed
// to the wrong host, and against sending on a connection that was accepted.
func TestMessagesArriveWithTheirSender(t *testing.T) {
	a, b := newTestPeer(t, "a", testKey), newTestPeer(t, "b", testKey)
	a.hub.Ensure(b.self.Peers)
	up := a.awaitEvent(t, func(event Event) bool { return event.Up })
	assert.Equal(t, "b", up.From.Host)
	require.NoError(t, a.hub.Send("b", message.KindHeartbeat, message.Heartbeat{
		Seq: 42,
	}))
	got := b.awaitEvent(t, func(event Event) bool { return event.Envelope.Kind == message.KindHeartbeat })
	assert.Equal(t, "a", got.From.Host)
	heartbeat, err := message.Open[message.Heartbeat](got.Envelope)
	require.NoError(t, err)
	assert.Equal(t, uint64(42), heartbeat.Seq)
	require.ErrorIs(t, b.hub.Send("a", message.KindHeartbeat, heartbeat), ErrNoLink, "a link works in one direction")
}

// TestPeerWithOtherKeyIsRefused guards against a process with another key
// getting a link to a host of the fleet.
func TestPeerWithOtherKeyIsRefused(t *testing.T) {
	a, b := newTestPeer(t, "a", "another-key-of-some-length"), newTestPeer(t, "b", testKey)
	a.hub.Ensure(b.self.Peers)
	require.Eventually(t, func() bool { return b.counts.Get("refused_stranger") != nil }, 20*time.Second, 10*time.Millisecond)
	assert.False(t, a.hub.Connected("b"))
}

// TestKeysCanBeRotated guards against a key change that cuts off the hosts that
// still dial with the previous key.
func TestKeysCanBeRotated(t *testing.T) {
	old := newTestPeer(t, "old", testKey)
	rotated := newTestPeer(t, "new", "the-next-key-of-the-fleet", testKey)
	old.hub.Ensure(rotated.self.Peers)
	up := old.awaitEvent(t, func(event Event) bool { return event.Up })
	assert.Equal(t, "new", up.From.Host)
}

// TestRefusedAddressIsReported guards against a stopped process being noticed
// only by its missing heartbeats: a refused connection must be reported as an
// event.
func TestRefusedAddressIsReported(t *testing.T) {
	a := newTestPeer(t, "a", testKey)
	unusedAddress := freeAddress(t)
	a.hub.Ensure(unusedAddress)
	event := a.awaitEvent(t, func(event Event) bool { return event.Refused.IsValid() })
	assert.Equal(t, unusedAddress, event.Refused)
}

// TestMalformedHandshakeIsRefused guards against connections that send invalid
// or endless upgrade requests and are kept open.
func TestMalformedHandshakeIsRefused(t *testing.T) {
	tests := map[string]struct {
		bytes   string
		counter string
	}{
		"not HTTP": {
			bytes:   "hello there\r\n\r\n",
			counter: "refused_handshake_bad",
		},
		"an endless header": {
			bytes:   "GET / HTTP/1.1\r\nX: " + string(make([]byte, 2*maxUpgradeBytes)),
			counter: "refused_handshake_long",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestPeer(t, "b", testKey)
			conn, err := net.Dial("tcp", b.self.Peers.String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte(test.bytes))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return b.counts.Get(test.counter) != nil }, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// TestPartialFramesAreIncomplete guards against misreading a frame that arrives
// in several reads: any prefix must be reported as incomplete, and bytes after
// the frame must not be consumed.
func TestPartialFramesAreIncomplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")
		frame := encodeFrame(payload, rapid.Bool().Draw(t, "masked"))
		cut := rapid.IntRange(0, len(frame)-1).Draw(t, "cut")
		_, _, err := cutFrame(frame[:cut], 1<<16)
		require.ErrorIs(t, err, errIncomplete)
		whole, consumed, err := cutFrame(append(frame, 1, 2, 3), 1<<16)
		require.NoError(t, err)
		require.Equal(t, len(frame), consumed)
		require.Equal(t, len(payload), len(whole))
	})
}

func FuzzCutFrame(f *testing.F) {
	f.Add(encodeFrame([]byte("payload"), true))
	f.Add([]byte{0x82, 0x7f, 0xff})
	f.Fuzz(func(t *testing.T, buffer []byte) {
		payload, consumed, err := cutFrame(buffer, 1<<12)
		if err == nil && (consumed > len(buffer) || len(payload) > 1<<12) {
			t.Fatalf("consumed %d of %d bytes, payload of %d bytes", consumed, len(buffer), len(payload))
		}
	})
}

// TestSlowHandshakeIsClosed guards against clients that hold connections open
// by never finishing the handshake.
func TestSlowHandshakeIsClosed(t *testing.T) {
	b := newTestPeer(t, "b", testKey)
	conn, err := net.Dial("tcp", b.self.Peers.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HT"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err, "the hub closes the connection")
	assert.NotNil(t, b.counts.Get("refused_slow"))
}

// TestHandshakesAreLimited guards against clients without the key that use up the
// descriptors: those beyond the limit are refused at once, and peers are served
// when the others have run into their timeout.
func TestHandshakesAreLimited(t *testing.T) {
	a, b := newTestPeer(t, "a", testKey), newTestPeer(t, "b", testKey)
	for range maxUnauthenticated + 1 {
		conn, err := net.Dial("tcp", b.self.Peers.String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return b.counts.Get("refused_too_many") != nil }, 20*time.Second, 10*time.Millisecond)
	a.hub.Ensure(b.self.Peers)
	a.awaitEvent(t, func(event Event) bool { return event.Up })
}
