package inquiry

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/request/work"
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startClient returns a running Client and how other hosts reach it.
func startClient(t *testing.T, host string, answer leader.Answer) (*Client, leader.Member) {
	t.Helper()
	self := leader.Member{
		Host:        host,
		Incarnation: host,
		Peers:       freeAddress(t),
	}
	inbox := make(chan peer.Event, 100)
	hub, err := peer.NewHub(peer.Config{
		Self: message.Info{
			Host:        self.Host,
			Zone:        "recife",
			Incarnation: self.Incarnation,
			Peers:       self.Peers,
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
	client := New(Config{
		Host:     host,
		Shards:   1,
		Hub:      hub,
		Inbox:    inbox,
		Answer:   func(_ leader.Question, reply func(leader.Answer)) { reply(answer) },
		Report:   func() leader.HostReport { return leader.HostReport{} },
		Reported: func(string, leader.HostReport) {},
	})
	go client.Run(t.Context())
	return client, self
}

// The same answer must reach a caller whether its host leads or asks another one.
// Guards against an owner that is lost on the way, after which the host reads the
// store for each query, or takes the job for one of no organisation.
func TestAnswerCarriesOwner(t *testing.T) {
	answer := leader.Answer{
		Known:        true,
		State:        work.Running,
		OwnerKnown:   true,
		Organisation: "paper",
	}
	leading, member := startClient(t, "recife-1", answer)
	asking, _ := startClient(t, "olinda-1", leader.Answer{})
	for name, client := range map[string]*Client{
		"leading host": leading,
		"another host": asking,
	} {
		t.Run(name, func(t *testing.T) {
			client.SetLeader(0, member)
			var got leader.Answer
			require.Eventually(t, func() bool {
				got = client.Ask(t.Context(), leader.Question{
					Job: "a",
				})
				return got.Known
			}, 10*time.Second, 10*time.Millisecond)
			assert.Equal(t, answer, got)
		})
	}
}

// Guards against hosts that wait for a leader which is gone or cut off.
func TestLeaderThatLeavesAQuestionUnansweredIsSilent(t *testing.T) {
	leading, member := startClient(t, "recife-1", leader.Answer{
		Known: true,
	})
	mute := atomic.Bool{}
	leading.config.Answer = func(_ leader.Question, reply func(leader.Answer)) {
		if !mute.Load() {
			reply(leader.Answer{
				Known: true,
			})
		}
	}
	asking, _ := startClient(t, "olinda-1", leader.Answer{})
	assert.False(t, asking.Answers("recife-1"), "there is no link")
	asking.SetLeader(0, member)
	ask := func() bool {
		return asking.Ask(t.Context(), leader.Question{
			Job: "a",
		}).Known
	}
	require.Eventually(t, ask, 10*time.Second, 10*time.Millisecond)
	assert.True(t, asking.Answers("recife-1"))
	mute.Store(true)
	assert.False(t, ask())
	assert.False(t, asking.Answers("recife-1"))
	mute.Store(false)
	require.Eventually(t, ask, 10*time.Second, 10*time.Millisecond)
	assert.True(t, asking.Answers("recife-1"))
}
