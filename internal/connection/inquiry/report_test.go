package inquiry

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/leader"
)

const waitTimeout = 20 * time.Second

// reachablePort is the port of workers that every host reaches.
const reachablePort = 1

// testHost is a host of a fleet of one shard, with the reports that reached it.
type testHost struct {
	client *Client
	self   leader.Member
	report leader.HostReport
	// tried counts the attempts to reach a worker.
	tried atomic.Int64

	mu      sync.Mutex
	reports map[string][]leader.HostReport
}

func (h *testHost) reported(host string, report leader.HostReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[host] = append(h.reports[host], report)
}

func (h *testHost) reportsOf(host string) []leader.HostReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports[host]
}

func newTestHost(t *testing.T, name string, report leader.HostReport) *testHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	host := &testHost{
		report:  report,
		reports: map[string][]leader.HostReport{},
		self: leader.Member{
			Host:        name,
			Incarnation: name,
			Peers:       address,
		},
	}
	inbox := make(chan peer.Event, 100)
	hub, err := peer.NewHub(peer.Config{
		Self: message.Info{
			Host:        name,
			Incarnation: name,
			Peers:       address,
		},
		Keys:       []string{"a-key-of-sixteen-bytes-or-more"},
		FrameBytes: 1 << 16,
		Inbox:      inbox,
		Counts:     new(expvar.Map).Init(),
		Clock:      time.Now,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		hub.Close(ctx)
	})
	host.client = New(Config{
		Host:   name,
		Shards: 1,
		Hub:    hub,
		Inbox:  inbox,
		Answer: func(_ leader.Question, reply func(leader.Answer)) {
			reply(leader.Answer{
				Known: true,
			})
		},
		Report:   func() leader.HostReport { return host.report },
		Reported: host.reported,
		Reach: func(_ context.Context, worker netip.AddrPort) bool {
			host.tried.Add(1)
			return worker.Port() == reachablePort
		},
	})
	go host.client.Run(t.Context())
	return host
}

// A leader that hears from no host keeps the leadership however slow it is: the
// hosts must report without being asked by a caller, and often enough that a
// report is recent.
func TestHostsReportToTheLeader(t *testing.T) {
	const interval = 1200 * time.Millisecond // a report is recent for twice as long
	leading := newTestHost(t, "recife-1", leader.HostReport{})
	other := newTestHost(t, "olinda-1", leader.HostReport{
		MilliCores: 800,
		Lag:        3 * time.Millisecond,
	})
	leading.client.SetLeader(0, leading.self)
	other.client.SetLeader(0, leading.self)
	require.Eventually(t, func() bool { return len(leading.reportsOf("olinda-1")) > 0 }, waitTimeout, time.Millisecond)
	first := time.Now()
	require.Eventually(t, func() bool { return len(leading.reportsOf("olinda-1")) > 3 }, waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(first), 3*interval)
	for _, report := range leading.reportsOf("olinda-1") {
		assert.Equal(t, other.report, report)
	}
	assert.LessOrEqual(t, len(other.reportsOf("recife-1")), 1, "the greeting is all that goes to a host that does not lead")
}

// A host that asks reports along with the question, so that busy links carry no
// further messages.
func TestQuestionsCarryTheReport(t *testing.T) {
	leading := newTestHost(t, "recife-1", leader.HostReport{})
	other := newTestHost(t, "olinda-1", leader.HostReport{
		MilliCores: 800,
	})
	other.client.SetLeader(0, leading.self)
	require.Eventually(t, func() bool {
		return other.client.Ask(t.Context(), leader.Question{
			Job: "a",
		}).Known
	}, waitTimeout, 10*time.Millisecond)
	before := len(leading.reportsOf("olinda-1"))
	require.Positive(t, before)
	require.True(t, other.client.Ask(t.Context(), leader.Question{
		Job: "a",
	}).Known)
	assert.Greater(t, len(leading.reportsOf("olinda-1")), before)
	assert.Empty(t, other.client.unasked(), "no report of its own is due")
	assert.Equal(t, []string{"recife-1"}, other.client.unasked())
}

// A host of an earlier release reports nothing. It must not be taken for one
// that has no lag.
func TestQuestionOfEarlierReleaseIsNoReport(t *testing.T) {
	leading := newTestHost(t, "recife-1", leader.HostReport{})
	frame, err := message.Encode(message.KindQuestion, struct {
		Number uint64 `cbor:"1,keyasint"`
		Job    string `cbor:"2,keyasint,omitempty"`
	}{
		Number: 1,
	})
	require.NoError(t, err)
	envelope, err := message.Decode(frame)
	require.NoError(t, err)
	leading.client.handle(t.Context(), peer.Event{
		From: message.Info{
			Host:  "olinda-1",
			Peers: leading.self.Peers,
		},
		Envelope: envelope,
	})
	assert.Empty(t, leading.reportsOf("olinda-1"))
}
