package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/right"
)

var start = time.Unix(100, 0)

func info(host, run string) message.Info {
	return message.Info{
		Host:        host,
		Zone:        "z",
		Incarnation: run,
		Peers:       netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(host[0])),
	}
}

func newView() *View {
	return NewView(Config{
		Self:         info("self", "1"),
		SuspectAfter: 2 * time.Second,
		ForgetAfter:  time.Minute,
	})
}

// TestStatus guards against declaring a host lost or dead on too little
// evidence, and against missing the proof that it has ended.
func TestStatus(t *testing.T) {
	tests := map[string]struct {
		arrange  func(v *View)
		status   Status
		liveness right.Liveness
	}{
		"heartbeat received recently": {
			arrange:  func(v *View) { v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1}, start.Add(9*time.Second)) },
			status:   StatusAlive,
			liveness: right.Alive,
		},
		"unresponsive to all peers": {
			arrange: func(v *View) {
				v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1}, start)
				v.RecordHeartbeat(info("b", "1"), message.Heartbeat{Seq: 1, Suspected: []string{"a"}}, start.Add(9*time.Second))
			},
			status:   StatusLost,
			liveness: right.Unresponsive,
		},
		"unresponsive here, but not to another peer": {
			arrange: func(v *View) {
				v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1}, start)
				v.RecordHeartbeat(info("b", "1"), message.Heartbeat{Seq: 1}, start.Add(9*time.Second))
			},
			status:   StatusSuspected,
			liveness: right.Unresponsive,
		},
		"no process listens at its address": {
			arrange: func(v *View) {
				v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1}, start.Add(9*time.Second))
				v.RecordRefusal(info("a", "1").Peers, start.Add(9*time.Second))
			},
			status:   StatusDead,
			liveness: right.Dead,
		},
		"announced its shutdown, and ended": {
			arrange: func(v *View) {
				v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1, Leaving: true}, start.Add(9*time.Second))
				v.RecordRefusal(info("a", "1").Peers, start.Add(9*time.Second))
			},
			status:   StatusLeft,
			liveness: right.Dead,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView()
			test.arrange(v)
			v.Tick(start.Add(10 * time.Second))
			require.NotNil(t, v.Peer("a"))
			assert.Equal(t, test.status, v.Peer("a").Status)
			assert.Equal(t, test.liveness, v.Liveness(InstanceOf(info("a", "1"))))
		})
	}
}

// TestRestartedHostIsNewInstance guards against delayed messages of an earlier
// run that bring it back to life after the host has restarted.
func TestRestartedHostIsNewInstance(t *testing.T) {
	v := newView()
	v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 50}, start)
	v.RecordHeartbeat(info("a", "2"), message.Heartbeat{Seq: 1}, start)
	assert.Equal(t, right.Dead, v.Liveness(InstanceOf(info("a", "1"))))
	assert.Nil(t, v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 51}, start), "a delayed message of a run that ended")
	assert.Len(t, v.ZonePeers(), 1)
}

// TestReplacedHostIsDead guards against waiting for a host that was replaced by
// one with another name at the same address: the earlier host is proved dead
// even to a view that never knew it.
func TestReplacedHostIsDead(t *testing.T) {
	v := newView()
	before := info("a", "1")
	after := info("b", "2")
	after.Peers = before.Peers
	v.RecordAuthenticated(after, start)
	assert.Equal(t, right.Dead, v.Liveness(InstanceOf(before)))
	assert.Equal(t, right.Alive, v.Liveness(InstanceOf(after)))
}

// TestEchoDatesHeartbeat guards against dating a peer's claims too late: they
// are known to be true only after the heartbeat that the peer echoes was sent.
func TestEchoDatesHeartbeat(t *testing.T) {
	v := newView()
	v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1}, start)
	assert.True(t, v.Peer("a").AsOf.IsZero(), "the peer has not echoed a heartbeat yet")
	seq, echo := v.RecordSend("a", start.Add(time.Second))
	assert.Equal(t, uint64(1), echo)
	v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 2, Echo: seq}, start.Add(5*time.Second))
	assert.Equal(t, start.Add(time.Second), v.Peer("a").AsOf)
	v.RecordHeartbeat(info("a", "1"), message.Heartbeat{Seq: 1, Echo: seq}, start.Add(6*time.Second))
	assert.Equal(t, uint64(2), v.Peer("a").Heartbeat.Seq, "delayed heartbeats change nothing")
}

// BenchmarkHeartbeat measures the cost of recording one heartbeat and updating
// the statuses, by the number of hosts.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{9, 27, 63} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v := newView()
			for i := range hosts {
				v.RecordHeartbeat(info(fmt.Sprintf("h%d", i), "1"), message.Heartbeat{Seq: 1}, start)
			}
			b.ResetTimer()
			for i := range b.N {
				v.RecordHeartbeat(info("h0", "1"), message.Heartbeat{Seq: uint64(i + 2)}, start)
				v.Tick(start)
				v.RecordSend("h0", start)
			}
		})
	}
}
