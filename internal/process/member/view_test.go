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

var begin = time.Unix(100, 0)

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
		Self:    info("self", "1"),
		Suspect: 2 * time.Second,
		Forget:  time.Minute,
	})
}

func TestStatus(t *testing.T) {
	tests := map[string]struct {
		arrange func(v *View)
		status  Status
		live    right.Liveness
	}{
		"heard lately": {
			arrange: func(v *View) { v.Heard(info("a", "1"), message.Heartbeat{Seq: 1}, begin.Add(9*time.Second)) },
			status:  StatusAlive,
			live:    right.Alive,
		},
		"silent for all": {
			arrange: func(v *View) {
				v.Heard(info("a", "1"), message.Heartbeat{Seq: 1}, begin)
				v.Heard(info("b", "1"), message.Heartbeat{Seq: 1, Doubted: []string{"a"}}, begin.Add(9*time.Second))
			},
			status: StatusLost,
			live:   right.Unresponsive,
		},
		"silent here, but heard by another": {
			arrange: func(v *View) {
				v.Heard(info("a", "1"), message.Heartbeat{Seq: 1}, begin)
				v.Heard(info("b", "1"), message.Heartbeat{Seq: 1}, begin.Add(9*time.Second))
			},
			status: StatusDoubted,
			live:   right.Unresponsive,
		},
		"nobody listens at its address": {
			arrange: func(v *View) {
				v.Heard(info("a", "1"), message.Heartbeat{Seq: 1}, begin.Add(9*time.Second))
				v.Refused(info("a", "1").Peers, begin.Add(9*time.Second))
			},
			status: StatusDead,
			live:   right.Dead,
		},
		"it announced that it leaves, and left": {
			arrange: func(v *View) {
				v.Heard(info("a", "1"), message.Heartbeat{Seq: 1, Leaving: true}, begin.Add(9*time.Second))
				v.Refused(info("a", "1").Peers, begin.Add(9*time.Second))
			},
			status: StatusLeft,
			live:   right.Dead,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView()
			test.arrange(v)
			v.Tick(begin.Add(10 * time.Second))
			require.NotNil(t, v.Peer("a"))
			assert.Equal(t, test.status, v.Peer("a").Status)
			assert.Equal(t, test.live, v.Liveness(SeatOf(info("a", "1"))))
		})
	}
}

func TestRestartedHostIsAnotherSeat(t *testing.T) {
	v := newView()
	v.Heard(info("a", "1"), message.Heartbeat{Seq: 50}, begin)
	v.Heard(info("a", "2"), message.Heartbeat{Seq: 1}, begin)
	assert.Equal(t, right.Dead, v.Liveness(SeatOf(info("a", "1"))))
	assert.Nil(t, v.Heard(info("a", "1"), message.Heartbeat{Seq: 51}, begin), "a late message of a run that ended")
	assert.Len(t, v.Mates(), 1)
}

// TestReplacedHostIsDead has a host come back under another name at the same
// address, as replaced hosts do, for a view that never met the one before.
func TestReplacedHostIsDead(t *testing.T) {
	v := newView()
	before := info("a", "1")
	after := info("b", "2")
	after.Peers = before.Peers
	v.Met(after, begin)
	assert.Equal(t, right.Dead, v.Liveness(SeatOf(before)))
	assert.Equal(t, right.Alive, v.Liveness(SeatOf(after)))
}

func TestEchoDatesWhatWasSaid(t *testing.T) {
	v := newView()
	v.Heard(info("a", "1"), message.Heartbeat{Seq: 1}, begin)
	assert.True(t, v.Peer("a").AsOf.IsZero(), "it has not heard us yet")
	seq, echo := v.Sending("a", begin.Add(time.Second))
	assert.Equal(t, uint64(1), echo)
	v.Heard(info("a", "1"), message.Heartbeat{Seq: 2, Echo: seq}, begin.Add(5*time.Second))
	assert.Equal(t, begin.Add(time.Second), v.Peer("a").AsOf)
	v.Heard(info("a", "1"), message.Heartbeat{Seq: 1, Echo: seq}, begin.Add(6*time.Second))
	assert.Equal(t, uint64(2), v.Peer("a").Heartbeat.Seq, "late heartbeats change nothing")
}

// BenchmarkHeartbeat is the cost of taking one heartbeat in and judging
// silence, by the size of the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{9, 27, 63} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v := newView()
			for i := range hosts {
				v.Heard(info(fmt.Sprintf("h%d", i), "1"), message.Heartbeat{Seq: 1}, begin)
			}
			b.ResetTimer()
			for i := range b.N {
				v.Heard(info("h0", "1"), message.Heartbeat{Seq: uint64(i + 2)}, begin)
				v.Tick(begin)
				v.Sending("h0", begin)
			}
		})
	}
}
