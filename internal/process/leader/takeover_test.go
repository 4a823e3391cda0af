package leader

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// maxIdleLongRunning is how long a long-running task may be without a run while
// there is capacity for it.
const maxIdleLongRunning = 3 * time.Second

// leave takes a worker off the list; it answers no more calls.
func (s *site) leave(id string) {
	s.workers.mu.Lock()
	s.workers.gone[id] = true
	s.workers.mu.Unlock()
	_, err := s.store.Client().Commit(context.Background(), store.Commit{
		Delete: []string{"workers/" + id},
	})
	require.NoError(s.t, err)
}

// submitLongRunning submits a long-running job for workers with the label.
func (s *site) submitLongRunning(id, label string) {
	s.submitStep(id, work.Step{
		Count:       1,
		Label:       label,
		LongRunning: true,
	})
}

func (s *site) submitStep(id string, step work.Step) {
	value, err := work.EncodeJob(&work.Job{
		ID:       id,
		Queue:    "quotes",
		Service:  "workshop",
		Steps:    []work.Step{step},
		Accepted: time.Now(),
	})
	require.NoError(s.t, err)
	s.put(soloKeys.Job(id), value)
}

// Incident of Cadeira: workers left around a change of the leader, and
// long-running tasks stayed without a run for 9.5 s, with capacity for them.
func TestTakeoverBesideDepartedWorkerKeepsNoLongRunningTaskWaiting(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("settled")
	s.waitCompleted(first, "settled")
	s.submitLongRunning("watcher", "free")
	require.Eventually(t, func() bool { return state(first, "watcher").Known }, waitTimeout, 5*time.Millisecond)
	s.leave("w1")
	second, _ := s.startLeader("olinda-1")
	first.Resign(context.Background())
	require.Eventually(t, func() bool { return state(second, "watcher").Known }, waitTimeout, 5*time.Millisecond)
	s.relabel("w0", "free")
	require.Eventually(t, func() bool {
		return s.workers.started(work.TaskKey{
			Job: "watcher",
		}) > 0
	}, maxIdleLongRunning, 5*time.Millisecond)
}

// Load pattern: hosts are stopped in turn while workers are replaced in turn.
// Jobs waited for the workers that left, 9.5 s after each change of the leader,
// beside unused cores.
func TestJobsWaitForNoDepartedWorkerAfterAResignation(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("settled")
	s.waitCompleted(first, "settled")
	s.submitStep("plan", work.Step{
		Count: 1,
		Label: "free",
	})
	require.Eventually(t, func() bool { return state(first, "plan").Known }, waitTimeout, 5*time.Millisecond)
	s.leave("w0")
	second, _ := s.startLeader("olinda-1")
	first.Resign(context.Background())
	require.Eventually(t, func() bool { return state(second, "plan").Known }, waitTimeout, 5*time.Millisecond)
	s.relabel("w1", "free")
	require.Eventually(t, func() bool { return state(second, "plan").State == work.Completed }, leaseTTL, 5*time.Millisecond)
}

// Guards against a wait for a crashed worker that the successor of a killed leader
// began anew: long-running tasks stayed down for 9.4 s after the takeover.
func TestSuccessorOfAKilledLeaderDoesNotRestartTheWaitForAWorker(t *testing.T) {
	s := newSite(t)
	_, kill := s.startLeader("recife-1")
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
	require.Eventually(t, func() bool {
		item, err := s.store.Client().Get(t.Context(), soloKeys.Unreachable)
		epoch, _ := s.store.Client().Get(t.Context(), soloKeys.Epoch)
		_, listed := unreachableWaits(item, epoch.Revision)["w1"]
		return err == nil && listed
	}, waitTimeout, time.Millisecond)
	kill()
	s.startLeader("olinda-1")
	require.Eventually(t, func() bool { return startedAt() == "w0" }, 2*waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(leftAt), s.leaderConfig("").Board.LeaseTerm+ActTerm, "the successor began the wait anew")
}

// Guards against a record of unreachable workers that a leader of an earlier
// release has not kept up: it has led since, and may have requested leases.
func TestUnreachableRecordOfAnEarlierLeaderIsIgnored(t *testing.T) {
	write, err := soloKeys.unreachableWrite(7, map[string]time.Duration{"w1": time.Second})
	require.NoError(t, err)
	along, err := soloKeys.unreachableWrite(0, map[string]time.Duration{"w1": time.Second})
	require.NoError(t, err)
	tests := map[string]struct {
		item  store.Item
		epoch int64
		want  int
	}{
		"of the leader before": {
			item: store.Item{
				Value:    write.Value,
				Revision: 8,
			},
			epoch: 7,
			want:  1,
		},
		"written along with its lead key": {
			item: store.Item{
				Value:    along.Value,
				Revision: 9,
			},
			epoch: 9,
			want:  1,
		},
		"of one before that": {
			item: store.Item{
				Value:    write.Value,
				Revision: 8,
			},
			epoch: 9,
		},
		"unreadable": {
			item: store.Item{
				Value:    []byte{0xff},
				Revision: 9,
			},
			epoch: 9,
		},
		"absent": {
			epoch: 9,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Len(t, unreachableWaits(tt.item, tt.epoch), tt.want)
		})
	}
}

// A handover says nothing about the starts of a leader that came after it.
func TestHandoverOfAnEarlierLeaderIsIgnored(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	first.Resign(context.Background())
	second, kill := s.startLeader("olinda-1")
	s.submit("b")
	s.waitCompleted(second, "b")
	kill()
	ctx := t.Context()
	item, err := s.store.Client().Get(ctx, soloKeys.Handover)
	require.NoError(t, err)
	var handover schedule.Handover
	require.NoError(t, cbor.Unmarshal(item.Value, &handover))
	epoch, err := s.store.Client().Get(ctx, soloKeys.Epoch)
	require.NoError(t, err)
	config := s.leaderConfig("jaboatao-1")
	config.Keys = soloKeys
	tests := map[string]struct {
		earlierToken int64
		applied      bool
	}{
		"of the leader before": {
			earlierToken: handover.Token,
			applied:      true,
		},
		"of one before that": {
			earlierToken: epoch.Revision,
		},
		"no leader before": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			result := &acquisitionResult{
				earlierToken: tt.earlierToken,
			}
			attempt := &acquisition{
				leader: New(config),
			}
			require.NoError(t, attempt.loadHandover(ctx, result))
			require.Equal(t, tt.applied, result.handover != nil)
		})
	}
}

// A progress record that cannot be read says nothing about where the task was
// placed: it may be running on the worker that does not answer.
func TestUnreadableProgressRecordIsNotTrusted(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("settled")
	s.waitCompleted(first, "settled")
	s.submitLongRunning("watcher", "r1") // only w1 has the label
	key := work.TaskKey{
		Job: "watcher",
	}
	require.Eventually(t, func() bool { return s.workers.started(key) > 0 }, waitTimeout, time.Millisecond)
	first.Resign(context.Background())
	s.leave("w1")
	started := s.workers.started(key)
	s.put(soloKeys.State("watcher"), []byte{0xff})
	s.relabel("w0", "r1")
	second, _ := s.startLeader("olinda-1")
	require.Eventually(t, func() bool { return state(second, "watcher").Known }, waitTimeout, time.Millisecond)
	time.Sleep(2 * time.Second)
	assert.Equal(t, started, s.workers.started(key), "w1 may still run the task")
}

// A build without placements led in between and may have started the task on w1.
func TestPlacementsOfEarlierBuildAreNotTrusted(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("settled")
	s.waitCompleted(first, "settled")
	first.Resign(context.Background())
	s.submitLongRunning("watcher", "r1")
	value, err := cbor.Marshal(Member{
		Host:        "old",
		Incarnation: "old",
	})
	require.NoError(t, err)
	s.put(soloKeys.Epoch, value) // as an acquisition of the earlier build does
	s.leave("w1")
	s.relabel("w0", "r1")
	second, _ := s.startLeader("olinda-1")
	require.Eventually(t, func() bool { return state(second, "watcher").Known }, waitTimeout, time.Millisecond)
	time.Sleep(2 * time.Second)
	assert.Zero(t, s.workers.started(work.TaskKey{
		Job: "watcher",
	}), "w1 may run the task")
	// All records are complete once the runs of w1 are over.
	require.Eventually(t, func() bool {
		item, err := s.store.Client().Get(context.Background(), soloKeys.Placements)
		epoch, _ := s.store.Client().Get(context.Background(), soloKeys.Epoch)
		var token int64
		return err == nil && cbor.Unmarshal(item.Value, &token) == nil && token == epoch.Revision
	}, 15*time.Second, 10*time.Millisecond)
}

// The leadership lapsed, a job was accepted, and the same host acquired the
// leadership again. Nobody can have started the job.
func TestJobAcceptedBetweenResumedTermsWaitsForNoWorker(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("settled")
	s.waitCompleted(leading, "settled")
	s.leave("w1")
	s.store.ExpireLeases()
	s.submit("a")
	require.Eventually(t, func() bool { return state(leading, "a").State == work.Completed }, leaseTTL, 5*time.Millisecond)
}
