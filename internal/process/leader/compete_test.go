package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
)

// slowWatch delivers the changes of a client one at a time, and none while held.
type slowWatch struct {
	client store.Client
	mu     sync.Mutex
	held   bool
}

func (w *slowWatch) hold(held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = held
}

func (w *slowWatch) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	changes, err := w.client.Watch(ctx, prefix, after, wait)
	for {
		w.mu.Lock()
		held := w.held
		w.mu.Unlock()
		if !held || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if len(changes.Events) > 1 {
		changes.Events = changes.Events[:1]
		changes.Revision = changes.Events[0].Revision
	}
	return changes, err
}

// Guards against a leader that gives up its own new term: it had taken its lead
// again before its watch told of the removal of the former key. All starts ceased,
// and another host led two seconds later.
func TestLateRemovalOfTheFormerKeyEndsNoTerm(t *testing.T) {
	s := newSite(t)
	config := s.leaderConfig("recife-1")
	slow := &slowWatch{
		client: s.store.Client(),
	}
	config.Store.Watch = slow.watch
	leading := s.startConfigured(t.Context(), config, shard.Solo()).leaders[0]
	s.submit("a")
	s.waitCompleted(leading, "a")
	slow.hold(true)
	former := s.token(leading)
	s.store.ExpireLeases()
	require.Eventually(t, func() bool { return s.token(leading) > former }, waitTimeout, time.Millisecond)
	slow.hold(false)
	time.Sleep(leaseTTL / 2) // both changes have been delivered, and the lease was renewed
	unoccupied := make(chan bool, 1)
	leading.post(func(time.Time) { unoccupied <- leading.term == nil || leading.term.unoccupied })
	assert.False(t, <-unoccupied, "the newer term goes on")
	assert.Equal(t, "2", config.Counts.Get("leadership_taken").String())
	s.submit("b")
	s.waitCompleted(leading, "b")
}

// Guards against a successor that waits for crashed workers though the leader
// before it knows better: the lead key lapsed in an outage of the store, and
// another host took the lead before the former leader had noticed its end.
func TestFormerLeaderGoesFirstAfterAnOutage(t *testing.T) {
	const acquireDelay = 100 * time.Millisecond
	now := time.Now()
	tests := map[string]struct {
		former   string
		silent   bool
		failedAt time.Time
		want     time.Duration
	}{
		"outage just over": {
			former:   "olinda-1",
			failedAt: now.Add(-200 * time.Millisecond),
			want:     resumeTime + outageDelayFactor*acquireDelay,
		},
		"former leader does not answer": {
			former:   "olinda-1",
			silent:   true,
			failedAt: now.Add(-200 * time.Millisecond),
			want:     acquireDelay,
		},
		"outage long ago": {
			former:   "olinda-1",
			failedAt: now.Add(-time.Minute),
			want:     acquireDelay,
		},
		"no outage": {
			former: "olinda-1",
			want:   acquireDelay,
		},
		"lead key of this host": {
			former:   "recife-1",
			failedAt: now,
			want:     acquireDelay,
		},
		"leader before not heard of": {
			failedAt: now,
			want:     resumeTime + outageDelayFactor*acquireDelay,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			host := New(Config{
				Self: Member{
					Host: "recife-1",
				},
				Keys:          soloKeys,
				AcquireDelay:  acquireDelay,
				LeaderChanged: func(Member) {},
				Answers:       func(string) bool { return !tt.silent },
			})
			if tt.former != "" {
				host.leadKeySet(Member{
					Host: tt.former,
				}, 5)
			}
			if !tt.failedAt.IsZero() {
				host.observeLeadKey(store.View{
					Seen: tt.failedAt,
					Err:  store.ErrUnavailable,
				}, tt.failedAt)
			}
			host.observeLeadKey(store.View{
				Events: []store.Event{
					{
						Item: store.Item{
							Key:      soloKeys.Lead,
							Revision: 7,
						},
						Removed: true,
					},
				},
			}, now)
			assert.Equal(t, tt.want, host.acquireAt.Sub(now))
		})
	}
}

// token returns the token of the leader's term, zero without one.
func (s *site) token(l *Leader) int64 {
	token := make(chan int64, 1)
	l.post(func(time.Time) {
		if l.term == nil {
			token <- 0
			return
		}
		token <- l.term.token
	})
	return <-token
}

// Guards against a leader that gives up its resumed term because of a commit that
// it sent before: the commit failed while there was no lead key, and its answer
// came late.
func TestLateConflictOfAFormerTokenEndsNoTerm(t *testing.T) {
	resumed := &term{
		leader: New(Config{}),
		token:  9,
	}
	resumed.checkConflict(7, &store.ConflictError{}, time.Now())
	assert.False(t, resumed.unoccupied)
	resumed.checkConflict(9, &store.ConflictError{}, time.Now())
	assert.True(t, resumed.unoccupied)
}

// Guards against jobs that a former leader takes for its own: the store had dropped
// its history, and the listing with the next leader's key also had a job that was
// submitted after it.
func TestListingWithANewerTermEndsTheTermBeforeItsJobs(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	former := make(chan *term, 1)
	leading.post(func(time.Time) { former <- leading.term })
	ended := <-former
	done := make(chan bool, 1)
	leading.post(func(now time.Time) {
		ended.observeWork(store.View{
			Snapshot: true,
			Items: []store.Item{
				{
					Key:            soloKeys.Job("b"),
					Revision:       ended.token + 1001,
					CreateRevision: ended.token + 1001,
				},
				{
					Key:      soloKeys.Lead,
					Revision: ended.token + 1000,
				},
			},
			Revision: ended.token + 1001,
		}, now)
		done <- leading.term == nil
	})
	assert.True(t, <-done, "another host leads")
}

// Guards against reckoning with less than ActTerm for a leader beside its successor:
// the store may take its key away at once and turn it away, so that nothing tells it.
func TestLeaderWithoutAWordActsForActTerm(t *testing.T) {
	s := newSite(t)
	config := s.leaderConfig("recife-1")
	down := atomic.Bool{}
	client := s.store.Client()
	config.Store.Renew = func(ctx context.Context, lease int64) error {
		if down.Load() {
			return store.ErrUnavailable
		}
		return client.Renew(ctx, lease)
	}
	config.Store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
		changes, err := client.Watch(ctx, prefix, after, wait)
		if down.Load() {
			return store.Changes{}, store.ErrUnavailable
		}
		return changes, err
	}
	config.Store.Commit = func(ctx context.Context, commit store.Commit) (int64, error) {
		revision, err := client.Commit(ctx, commit)
		if down.Load() {
			return 0, store.ErrUnavailable
		}
		return revision, err
	}
	config.Calls.Poll = func(ctx context.Context, _ Target, _ Poll) (schedule.Inventory, time.Duration, error) {
		<-ctx.Done() // no worker tells it either
		return schedule.Inventory{}, 0, ctx.Err()
	}
	former := s.startConfigured(t.Context(), config, shard.Solo()).leaders[0]
	require.Eventually(t, func() bool { return s.token(former) != 0 }, waitTimeout, time.Millisecond)
	down.Store(true)
	_, err := client.Commit(t.Context(), store.Commit{
		Delete: []string{soloKeys.Lead},
	})
	require.NoError(t, err)
	successor, _ := s.startLeader("olinda-1")
	require.Eventually(t, func() bool { return s.token(successor) != 0 }, waitTimeout, time.Millisecond)
	left := make(chan time.Duration, 1)
	former.post(func(now time.Time) { left <- former.term.actUntil.Sub(now) })
	beside := <-left
	t.Logf("the former leader may act for %v beside its successor", beside)
	assert.Greater(t, beside, ActTerm-leaseTTL)
	assert.LessOrEqual(t, beside, ActTerm)
}
