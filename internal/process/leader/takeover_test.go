package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count:       1,
			Label:       label,
			LongRunning: true,
		}},
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
