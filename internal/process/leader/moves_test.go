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
	s.changeListing(id, func(listing *schedule.Listing) { listing.Labels = []string{label} })
}

// changeListing changes the entry of a worker.
func (s *site) changeListing(id string, change func(listing *schedule.Listing)) {
	item, err := s.store.Client().Get(s.t.Context(), "workers/"+id)
	require.NoError(s.t, err)
	var listing schedule.Listing
	require.NoError(s.t, cbor.Unmarshal(item.Value, &listing))
	change(&listing)
	value, err := cbor.Marshal(listing)
	require.NoError(s.t, err)
	s.put(item.Key, value)
}

// moveFaults are the outcomes of the commit that moves a job.
var moveFaults = map[string]struct {
	// err is what commits fail with at first; with delayed, they take effect
	// only later.
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
}

// afterMove are the events that follow while the outcome may be unknown.
var afterMove = map[string]func(s *site, first *Group, stop func()) []*Group{
	"goes on": func(_ *site, first *Group, _ func()) []*Group {
		return []*Group{first}
	},
	"host resigns": func(s *site, first *Group, _ func()) []*Group {
		second := s.startGroup(s.t.Context(), "olinda-1", twoShards)
		first.Resign(s.t.Context())
		return []*Group{first, second}
	},
	"host is killed": func(s *site, _ *Group, stop func()) []*Group {
		stop()
		return []*Group{s.startGroup(s.t.Context(), "olinda-1", twoShards)}
	},
	"leases lapse": func(s *site, first *Group, _ func()) []*Group {
		s.store.ExpireLeases()
		return []*Group{first, s.startGroup(s.t.Context(), "olinda-1", twoShards)}
	},
	"job is cancelled": func(s *site, first *Group, _ func()) []*Group {
		s.cancelWhereItIs("a")
		return []*Group{first}
	},
}

// cancelWhereItIs writes a cancellation beside the job's record, as a host does.
func (s *site) cancelWhereItIs(id string) {
	s.cancelAmong(2, id)
}

func (s *site) cancelAmong(shards int, id string) {
	require.Eventually(s.t, func() bool {
		for number := range shards {
			keys := KeysOf(number, shards)
			item, err := s.store.Client().Get(s.t.Context(), keys.Job(id))
			if err != nil {
				continue
			}
			_, err = s.store.Client().Commit(s.t.Context(), store.Commit{
				If: []store.Condition{{
					Key:      item.Key,
					Revision: item.Revision,
				}},
				Set: []store.Write{{
					Key: keys.Cancel(id),
				}},
			})
			return err == nil
		}
		return false
	}, waitTimeout, time.Millisecond)
}

// A job that moves is in one shard at any time, runs at most once and comes to an
// end, whatever becomes of the commit that moves it and whatever happens next. One
// host leads both shards.
func TestMovedJobRunsOnce(t *testing.T) {
	for name, fault := range moveFaults {
		for event, happen := range afterMove {
			t.Run(name+", "+event, func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				group := s.startGroup(ctx, "recife-1", twoShards)
				require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
				time.Sleep(2 * balanceInterval) // the loads of both shards are published
				s.submitLabelled("a")
				time.Sleep(balanceInterval / 4)
				s.store.SetFault(func(call string) error {
					if call == "commit" {
						return fault.err
					}
					return nil
				}, fault.delayed)
				time.Sleep(3 * balanceInterval / 2)
				s.store.SetFault(func(string) error { return nil }, false)
				groups := happen(s, group, stop)
				s.relabel("w0", "r1") // shard 0 could run the job now
				s.waitEnded(groups, "a")
				s.store.ApplyDelayed()
				time.Sleep(balanceInterval)
				s.requireOneRecord("a")
				assert.LessOrEqual(t, s.workers.started(work.TaskKey{
					Job: "a",
				}), 1)
			})
		}
	}
}

// A job that its leader accepted and did not start moves after a resignation, is in
// one shard at any time and runs once, whatever becomes of the commit that moves it.
func TestInheritedJobMovesAndRunsOnce(t *testing.T) {
	for name, fault := range moveFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			first := s.startGroup(t.Context(), "recife-1", twoShards)
			require.Eventually(t, func() bool { return leads(first) == 2 }, waitTimeout, 5*time.Millisecond)
			for number := range 2 {
				held := make(chan struct{})
				first.leaders[number].post(func(now time.Time) {
					first.leaders[number].term.moves.rounds.Published(nil, now.Add(time.Hour))
					close(held)
				})
				<-held
			}
			s.submitLabelled("b")
			require.Eventually(t, func() bool { return groupState(first, 0, "b").Known }, waitTimeout, time.Millisecond)
			second := s.startGroup(t.Context(), "olinda-1", twoShards)
			first.Resign(t.Context())
			require.Eventually(t, func() bool { return leads(second) == 2 }, waitTimeout, time.Millisecond)
			require.Equal(t, work.Queued, groupState(second, 0, "b").State)
			time.Sleep(balanceInterval / 4)
			s.store.SetFault(func(call string) error {
				if call == "commit" {
					return fault.err
				}
				return nil
			}, fault.delayed)
			time.Sleep(3 * balanceInterval / 2)
			s.store.SetFault(func(string) error { return nil }, false)
			s.waitEnded([]*Group{second}, "b")
			s.store.ApplyDelayed()
			time.Sleep(balanceInterval)
			s.requireOneRecord("b")
			key := work.TaskKey{
				Job: "b",
			}
			assert.Equal(t, 1, s.workers.started(key))
			assert.Equal(t, "w1", s.workers.placeOf(key))
		})
	}
}

// waitEnded returns once a leader reports the end of the job.
func (s *site) waitEnded(groups []*Group, id string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, group := range groups {
			for number := range 2 {
				if answer := groupState(group, number, id); answer.Known && answer.State.Final() {
					return true
				}
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
}

func (s *site) requireOneRecord(id string) {
	s.t.Helper()
	records := 0
	for number := range 2 {
		if _, err := s.store.Client().Get(s.t.Context(), KeysOf(number, 2).Job(id)); err == nil {
			records++
		}
	}
	require.Equal(s.t, 1, records)
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

// A listing that takes long may hold the record of a job that has moved
// meanwhile, or of one that has ended and was deleted. The job must not run here
// again.
func TestStaleListingBringsNoJobBack(t *testing.T) {
	s := newSite(t)
	group := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	s.submitLabelled("a")
	stale, err := s.store.Client().Get(t.Context(), KeysOf(0, 2).Job("a"))
	require.NoError(t, err)
	s.waitCompletedIn([]*Group{group}, 1, "a")
	s.relabel("w0", "r1") // shard 0 could run the job now
	forgotten := make(chan store.Item, 1)
	source, target := group.leaders[0], group.leaders[1]
	target.post(func(now time.Time) {
		item, err := s.store.Client().Get(t.Context(), KeysOf(1, 2).Job("a"))
		assert.NoError(t, err)
		target.term.oldJobs.delete(now.Add(time.Hour))
		forgotten <- item
	})
	item := <-forgotten
	require.Eventually(t, func() bool { return !groupState(group, 1, "a").Known }, waitTimeout, 5*time.Millisecond)
	source.post(func(now time.Time) {
		source.term.observeWork(store.View{
			Snapshot: true,
			Items:    []store.Item{stale},
		}, now)
	})
	target.post(func(now time.Time) {
		target.term.observeWork(store.View{
			Snapshot: true,
			Items:    []store.Item{item},
		}, now)
	})
	time.Sleep(balanceInterval)
	assert.Equal(t, 1, s.workers.started(work.TaskKey{
		Job: "a",
	}))
	assert.False(t, groupState(group, 0, "a").Known)
	assert.False(t, groupState(group, 1, "a").Known)
}
