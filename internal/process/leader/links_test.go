package leader

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against calls to what somebody else has listed: an entry of a service that no
// configuration names has the address of a worker (review case 6).
func TestEntryOfAnotherServiceIsNotUsed(t *testing.T) {
	s := newSite(t)
	value, err := cbor.Marshal(schedule.Listing{
		ID:      "x",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Service: "inventory",
		Born:    time.Now(),
	})
	require.NoError(t, err)
	s.put("workers/x", value)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	assert.NotContains(t, s.workers.tokens, "x", "it was polled")
	assert.Contains(t, s.workers.tokens, "w0")
}

// Guards against a task that waits for two long polls beside free workers: its start had
// no answer, its stop was accepted, and the report that shows that it does not run was not
// asked for (deploy/days/cuts-at-end.toml, LOST).
func TestReportAfterAnAcceptedStopIsAskedFor(t *testing.T) {
	s := newSite(t)
	config := s.leaderConfig("recife-1")
	poll, start := config.Calls.Poll, config.Calls.Start
	config.Calls.Poll = func(ctx context.Context, target Target, next Poll) (schedule.Inventory, time.Duration, error) {
		inventory, clock, err := poll(ctx, target, next)
		if len(inventory.Ended) == 0 {
			time.Sleep(next.Wait)
		}
		return inventory, clock, err
	}
	var firstRun atomic.Int64
	config.Calls.Start = func(ctx context.Context, target Target, lease Lease, order schedule.Start) (schedule.Verdict, time.Duration) {
		if firstRun.CompareAndSwap(0, order.Run) || firstRun.Load() == order.Run {
			return schedule.Unknown, 0 // and it never arrives
		}
		return start(ctx, target, lease, order)
	}
	s.startConfigured(t.Context(), config, shard.Solo())
	value, err := work.EncodeJob(&work.Job{
		ID:      "b",
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count: 1,
		}},
		Accepted: time.Now(),
	})
	require.NoError(t, err)
	s.put(soloKeys.Job("b"), value)
	require.Eventually(t, func() bool { return firstRun.Load() != 0 }, waitTimeout, time.Millisecond)
	lost := time.Now()
	key := work.TaskKey{
		Job: "b",
	}
	require.Eventually(t, func() bool { return s.workers.started(key) > 0 }, waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(lost), pollWait+time.Second, "it waits for one poll at most")
}
