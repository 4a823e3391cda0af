package leader

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// submitLabelled submits a job to shard 0 that only a worker of shard 1 may run.
func (s *site) submitLabelled(id string) {
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count: 1,
			Label: "r1",
		}},
		Accepted: time.Now(),
	})
	require.NoError(s.t, err)
	s.put(KeysOf(0, 2).Job(id), value)
}

// relabel gives a worker another label.
func (s *site) relabel(id, label string) {
	item, err := s.store.Client().Get(s.t.Context(), "workers/"+id)
	require.NoError(s.t, err)
	var listing schedule.Listing
	require.NoError(s.t, cbor.Unmarshal(item.Value, &listing))
	listing.Labels = []string{label}
	value, err := cbor.Marshal(listing)
	require.NoError(s.t, err)
	s.put(item.Key, value)
}

// A job that moves is in one shard at any time, and runs once, whatever becomes
// of the answer to the commit that moves it.
func TestMovedJobRunsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		// err is what commits that move a job fail with at first; with delayed,
		// they take effect only later.
		err     error
		delayed bool
	}{
		"answered": {},
		"answer lost, done": {
			err: store.ErrUnknown,
		},
		"answer lost, not done": {
			err:     store.ErrUnknown,
			delayed: true,
		},
		"refused": {
			err: store.ErrUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			group := s.startGroup(t.Context(), "recife-1", twoShards)
			require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
			time.Sleep(2 * balanceInterval) // the loads of both shards are published
			s.submitLabelled("a")
			time.Sleep(balanceInterval / 4)
			s.store.SetFault(func(call string) error {
				if call == "commit" {
					return test.err
				}
				return nil
			}, test.delayed)
			time.Sleep(2 * balanceInterval)
			s.store.SetFault(func(string) error { return nil }, false)
			s.relabel("w0", "r1") // shard 0 could run the job now
			require.Eventually(t, func() bool {
				return groupState(group, 0, "a").State == work.Completed || groupState(group, 1, "a").State == work.Completed
			}, waitTimeout, 5*time.Millisecond)
			s.store.ApplyDelayed()
			time.Sleep(balanceInterval)
			assert.Equal(t, 1, s.workers.started(work.TaskKey{
				Job: "a",
			}))
			records := 0
			for number := range 2 {
				if _, err := s.store.Client().Get(t.Context(), KeysOf(number, 2).Job("a")); err == nil {
					records++
				}
			}
			assert.Equal(t, 1, records)
		})
	}
}

// A cancellation that is accepted while its job is about to move must not stay
// behind: the move is not made.
func TestCancelledJobDoesNotMove(t *testing.T) {
	s := newSite(t)
	s.submitLabelled("a")
	s.put(KeysOf(0, 2).Cancel("a"), nil)
	group := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool { return groupState(group, 0, "a").State == work.Cancelled }, waitTimeout, 5*time.Millisecond)
	time.Sleep(3 * balanceInterval)
	_, err := s.store.Client().Get(t.Context(), MovedKey("a"))
	require.ErrorIs(t, err, store.ErrAbsent)
	assert.Zero(t, s.workers.started(work.TaskKey{
		Job: "a",
	}))
}
