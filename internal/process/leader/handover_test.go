package leader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// A leader that lags has orders that wait. Their tasks must not be handed over as
// possibly running: a successor would wait for a worker that never got them.
func TestOrdersNotSentAreNotHandedOver(t *testing.T) {
	const tasks = maxCalls + 8
	s := newSite(t)
	config := s.leaderConfig("recife-1")
	resigned := make(chan struct{})
	config.Calls.Start = func(context.Context, Target, Lease, schedule.Start) (schedule.Verdict, time.Duration) {
		<-resigned // the order is on its way until the term ends
		return schedule.Unknown, 0
	}
	first := s.startConfigured(t.Context(), config, shard.Solo()).leaders[0]
	s.submitStep("wide", work.Step{
		Count: tasks,
		Label: "r1",
		Size: worker.Size{
			MilliCores: 50,
		},
	})
	waiting := func() int {
		count := make(chan int, 1)
		first.post(func(time.Time) {
			if first.term == nil {
				count <- 0
				return
			}
			count <- len(first.term.waiting)
		})
		return <-count
	}
	require.Eventually(t, func() bool { return waiting() == tasks-maxCalls }, waitTimeout, time.Millisecond)
	s.leave("w1")
	resignForLag(t, first)
	close(resigned)
	var record handoverRecord
	require.Eventually(t, func() bool {
		item, err := s.store.Client().Get(t.Context(), soloKeys.Handover)
		return err == nil && cbor.Unmarshal(item.Value, &record) == nil
	}, waitTimeout, time.Millisecond)
	assert.Len(t, record.Claims["w1"], maxCalls)
	assert.Equal(t, 1, record.Resignations[causeLag].Count)
	s.relabel("w0", "r1")
	second, _ := s.startLeader("olinda-1")
	started := func() int {
		count := 0
		for index := range tasks {
			count += min(1, s.workers.started(work.TaskKey{
				Job:   "wide",
				Index: index,
			}))
		}
		return count
	}
	require.Eventually(t, func() bool { return started() == tasks-maxCalls }, leaseTTL, time.Millisecond,
		"tasks whose orders were not sent start at once")
	assert.True(t, state(second, "wide").Known)
}

// A resignation must not make tasks wait anew: jobs that waited for a worker
// which is gone go on waiting only for what is left of its lease, through
// several resignations.
func TestResignationsDoNotRestartTheWaitForAWorker(t *testing.T) {
	s := newSite(t)
	var hosts []*Leader
	for number := range 4 {
		host, _ := s.startLeader(fmt.Sprintf("host-%d", number))
		hosts = append(hosts, host)
	}
	s.submitLongRunning("server", "r1")
	startedAt := func() string {
		return s.workers.placeOf(work.TaskKey{
			Job: "server",
		})
	}
	require.Eventually(t, func() bool { return startedAt() == "w1" }, waitTimeout, time.Millisecond)
	s.leave("w1")
	leftAt := time.Now()
	s.relabel("w0", "r1")
	for range 3 {
		time.Sleep(time.Second)
		index := slices.IndexFunc(hosts, func(host *Leader) bool { return host.leading.Load() })
		require.GreaterOrEqual(t, index, 0)
		resignForLag(t, hosts[index])
		require.Eventually(t, func() bool {
			return slices.ContainsFunc(hosts, func(host *Leader) bool { return host.leading.Load() })
		}, waitTimeout, time.Millisecond)
	}
	require.Eventually(t, func() bool { return startedAt() == "w0" }, waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(leftAt), s.leaderConfig("").Board.LeaseTerm+ActTerm, "each successor began the wait anew")
}

// A handover that is too large for one write must still tell when the leader
// resigned, and must not claim to know where tasks run.
func TestTooLargeHandoverKeepsTheResignations(t *testing.T) {
	claims := map[string][]work.TaskKey{}
	for index := range 20000 {
		claims[fmt.Sprintf("worker-with-a-long-name-%d", index)] = nil
	}
	large := &resignation{
		handover: &handoverRecord{
			Handover: schedule.Handover{
				Token:  7,
				Claims: claims,
			},
			Resignations: map[resignCause]pastResignation{
				causeLag: {
					Count: 1,
				},
			},
		},
	}
	value, err := large.encode()
	require.NoError(t, err)
	assert.LessOrEqual(t, len(value), maxHandoverBytes)
	var read handoverRecord
	require.NoError(t, cbor.Unmarshal(value, &read))
	assert.Equal(t, large.handover.Resignations, read.Resignations)
	assert.Zero(t, read.Token, "no leader has this token, so that the handover is not applied")
}

// Hosts of both releases run side by side: a record of the earlier release has no
// resignations, and the earlier release reads a record of this one.
func TestHandoverRecordIsReadByBothReleases(t *testing.T) {
	earlier := schedule.Handover{
		Token:     7,
		Uncertain: []string{"a"},
		Waits: map[string]time.Duration{
			"w0": time.Second,
		},
	}
	value, err := cbor.Marshal(earlier)
	require.NoError(t, err)
	var record handoverRecord
	require.NoError(t, cbor.Unmarshal(value, &record))
	assert.Equal(t, earlier, record.Handover)
	assert.Empty(t, record.Resignations)
	record.Resignations = map[resignCause]pastResignation{
		causeLag: {
			Age:   time.Second,
			Count: 2,
		},
	}
	value, err = cbor.Marshal(record)
	require.NoError(t, err)
	var again schedule.Handover
	require.NoError(t, cbor.Unmarshal(value, &again))
	assert.Equal(t, earlier, again)
}

// A record that is older than the leader before must not keep a slow leader in
// office for minutes because of a series of resignations long ago.
func TestOldRecordIsNoSeries(t *testing.T) {
	record := &handoverRecord{
		Handover: schedule.Handover{
			Token: 7,
		},
		Resignations: map[resignCause]pastResignation{
			causeLag: {
				Age:   time.Second,
				Count: 4,
			},
		},
	}
	assert.Equal(t, record.Resignations, record.resignationsAfter(7))
	assert.Equal(t, map[resignCause]pastResignation{
		causeLag: {
			Age:   time.Second,
			Count: 1,
		},
	}, record.resignationsAfter(9))
}
