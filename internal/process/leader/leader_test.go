package leader

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// soloKeys are the keys of a fleet of one shard.
var soloKeys = KeysOf(0, 1)

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 10 * time.Second

// fakeWorkers answers the calls to all workers. Every run ends at once as done.
type fakeWorkers struct {
	mu sync.Mutex
	// tokens holds the highest token that each worker has seen.
	tokens map[string]int64
	number int64
	ended  map[string][]schedule.EndedTask
	starts map[work.TaskKey]int
	// startedAt holds the workers of the starts.
	startedAt map[work.TaskKey]string
	// forgotten counts the run ends that were acknowledged.
	forgotten int
	// gone workers answer no poll.
	gone map[string]bool
	// polledAt is when the last poll came, leasedAt when the last one that
	// requested a lease did.
	polledAt, leasedAt time.Time
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{
		tokens: map[string]int64{},
		ended:  map[string][]schedule.EndedTask{},
		starts: map[work.TaskKey]int{},
		gone:   map[string]bool{},

		startedAt: map[work.TaskKey]string{},
	}
}

func (f *fakeWorkers) calls() Calls {
	return Calls{
		Poll:  f.poll,
		Start: f.start,
		Stop: func(context.Context, Target, Lease, schedule.Stop) (schedule.Verdict, time.Duration) {
			return schedule.Accepted, time.Second
		},
		Throttle: func(context.Context, Target, Lease, schedule.Throttle) (schedule.Verdict, time.Duration) {
			return schedule.Accepted, time.Second
		},
	}
}

func (f *fakeWorkers) poll(_ context.Context, target Target, poll Poll) (schedule.Inventory, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone[target.ID] {
		return schedule.Inventory{}, 0, errors.New("no route to worker")
	}
	if poll.Token < f.tokens[target.ID] {
		return schedule.Inventory{}, 0, ErrFenced
	}
	f.tokens[target.ID] = poll.Token
	f.polledAt = time.Now()
	if poll.Until > 0 {
		f.leasedAt = f.polledAt
	}
	var kept []schedule.EndedTask
	for _, end := range f.ended[target.ID] {
		if end.Number > poll.LastSeen {
			kept = append(kept, end)
		} else {
			f.forgotten++
		}
	}
	f.ended[target.ID] = kept
	return schedule.Inventory{
		Born:  time.UnixMilli(1),
		Ended: kept,
	}, time.Second, nil
}

func (f *fakeWorkers) start(_ context.Context, target Target, lease Lease, start schedule.Start) (schedule.Verdict, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lease.Token < f.tokens[target.ID] {
		return schedule.Fenced, time.Second
	}
	f.starts[start.Key]++
	f.startedAt[start.Key] = target.ID
	f.number++
	f.ended[target.ID] = append(f.ended[target.ID], schedule.EndedTask{
		Number: f.number,
		Key:    start.Key,
		Run:    start.Run,
		Ending: schedule.EndedDone,
	})
	return schedule.Accepted, time.Second
}

// placeOf returns the worker of the last start of a task, empty without one.
func (f *fakeWorkers) placeOf(key work.TaskKey) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedAt[key]
}

func (f *fakeWorkers) started(key work.TaskKey) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[key]
}

// site is a store and fake workers that the leaders of a test share.
type site struct {
	t       *testing.T
	store   *standin.Memory
	workers *fakeWorkers
}

func newSite(t *testing.T) *site {
	s := &site{
		t:       t,
		store:   standin.NewMemory(time.Now),
		workers: newFakeWorkers(),
	}
	s.addWorker(0)
	s.addWorker(1)
	return s
}

// addWorker lists a worker, each in a rack of its own.
func (s *site) addWorker(index int) {
	value, err := cbor.Marshal(schedule.Listing{
		ID:      fmt.Sprintf("w%d", index),
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Zone:    "recife",
		Rack:    fmt.Sprintf("r%d", index),
		Labels:  []string{fmt.Sprintf("r%d", index)},
		Service: "workshop",
		Capacity: worker.Size{
			MilliCores: 4000,
		},
	})
	require.NoError(s.t, err)
	s.put(fmt.Sprintf("workers/w%d", index), value)
}

func (s *site) put(key string, value []byte) {
	_, err := s.store.Client().Commit(context.Background(), store.Commit{
		Set: []store.Write{
			{
				Key:   key,
				Value: value,
			},
		},
	})
	require.NoError(s.t, err)
}

func (s *site) submit(id string) {
	s.submitTo(soloKeys, id)
}

// submitTo submits a job to the shard with the keys.
func (s *site) submitTo(keys Keys, id string) {
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{
			{
				Count: 2,
				Size: worker.Size{
					MilliCores: 1000,
				},
			},
			{
				Count: 1,
				After: []int{0},
			},
		},
		Accepted: time.Now(),
	})
	require.NoError(s.t, err)
	s.put(keys.Job(id), value)
}

// startLeader starts a leader that runs until the returned function is called.
func (s *site) startLeader(host string) (*Leader, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	group := s.startGroup(ctx, host, shard.Solo())
	return group.leaders[0], cancel
}

// startGroup starts a host of a fleet with the layout.
func (s *site) startGroup(ctx context.Context, host string, layout shard.Layout) *Group {
	return s.startConfigured(ctx, s.leaderConfig(host), layout)
}

// startConfigured starts a host with a configuration.
func (s *site) startConfigured(ctx context.Context, config Config, layout shard.Layout) *Group {
	group := NewGroup(GroupConfig{
		Leader:        config,
		Layout:        layout,
		LeaderChanged: func(int, Member) {},
	})
	go group.Run(ctx)
	group.SetCatalog(&catalog.Catalog{
		Version: 1,
		Queues: map[string]catalog.Queue{
			"quotes": {
				Name:        "quotes",
				Service:     "workshop",
				MaxAttempts: 3,
				Stretch:     2,
			},
		},
	})
	return group
}

func (s *site) leaderConfig(host string) Config {
	return Config{
		Self: Member{
			Host:        host,
			Incarnation: host,
		},
		Store: s.store.Client(),
		Calls: s.workers.calls(),
		Board: schedule.Config{
			LeaseTerm: 6 * time.Second,
			StopGrace: 200 * time.Millisecond,
			ActTerm:   ActTerm,
			ListGrace: time.Second,
			KeepEnded: time.Minute,
		},
		WorkersPrefix: "workers/",
		Worker: func(item store.Item) (schedule.Listing, error) {
			var listing schedule.Listing
			return listing, cbor.Unmarshal(item.Value, &listing)
		},
		MilliCores:     800,
		Clock:          time.Now,
		TimeOfDay:      time.Now,
		Counts:         new(expvar.Map).Init(),
		RecordDuration: func(string, time.Duration) {},
	}
}

// state returns the leader's answer about a job.
func state(l *Leader, id string) Answer {
	answers := make(chan Answer, 1)
	l.Ask(Question{
		Job: id,
	}, func(answer Answer) { answers <- answer })
	return <-answers
}

// waitCompleted returns once the leader reports the job as completed.
func (s *site) waitCompleted(l *Leader, id string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		answer := state(l, id)
		return answer.Known && answer.State == work.Completed
	}, waitTimeout, 5*time.Millisecond)
}

// A job is reported as completed only after its progress is saved: a state that
// a caller has seen must survive the leader.
func TestJobCompletes(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	item, err := s.store.Client().Get(context.Background(), soloKeys.State("a"))
	require.NoError(t, err)
	progress, err := work.DecodeProgress(item.Value)
	require.NoError(t, err)
	assert.Equal(t, work.Completed, progress.State, "completed is reported only once it is in the store")
}

// A successor reads jobs and progress from the store. If it missed the
// progress, it would run finished tasks again.
func TestSuccessorContinues(t *testing.T) {
	s := newSite(t)
	first, stop := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	stop()
	second, _ := s.startLeader("olinda-1")
	s.submit("b")
	s.waitCompleted(second, "b")
	s.waitCompleted(second, "a")
	for index := range 2 {
		assert.Equal(t, 1, s.workers.started(work.TaskKey{
			Job:   "a",
			Index: index,
		}))
	}
}

// A leader that resigns removes the lead key, so that no job waits for its
// lease to expire.
func TestResignedLeadershipIsAcquiredAtOnce(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	second, _ := s.startLeader("olinda-1")
	resignedAt := time.Now()
	first.Resign(context.Background())
	require.Eventually(t, func() bool { return state(second, "a").Known }, waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(resignedAt), leaseTTL, "the successor does not wait for the lease to expire")
	assert.False(t, state(first, "a").Known)
}

// A commit whose answer is lost can take effect late. If it overwrote a newer
// progress record, the next leader would run finished tasks again.
func TestDelayedCommitDoesNotOverwriteNewerOne(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")

	s.store.SetFault(func(call string) error {
		if call == "commit" {
			return store.ErrUnknown
		}
		return nil
	}, true)
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
	_, _ = s.store.Client().Commit(context.Background(), store.Commit{
		Set: []store.Write{
			{
				Key:   soloKeys.Job("b"),
				Value: value,
			},
		},
	})
	s.store.ApplyDelayed() // the job itself
	require.Eventually(t, func() bool {
		return s.workers.started(work.TaskKey{
			Job: "b",
		}) == 1
	}, waitTimeout, time.Millisecond)
	time.Sleep(3 * progressBatchDelay) // commits of progress are held back meanwhile
	s.store.SetFault(func(string) error { return nil }, false)
	s.waitCompleted(leading, "b")
	before, err := s.store.Client().Get(context.Background(), soloKeys.State("b"))
	require.NoError(t, err)
	s.store.ApplyDelayed()
	after, err := s.store.Client().Get(context.Background(), soloKeys.State("b"))
	require.NoError(t, err)
	assert.Equal(t, before.Revision, after.Revision, "a late commit took effect after a newer one")
}

// A leader whose lease expires during a store outage resumes its term under a
// new token if nobody else led in between. Jobs submitted before and after
// complete.
func TestLapsedLeadershipIsResumed(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	s.store.ExpireLeases()
	s.submit("b")
	s.waitCompleted(leading, "b")
	s.waitCompleted(leading, "a")
}

// A leader that cannot reach the store learns of its successor from a worker
// that refuses its token, and must step down at once. Without that it went on
// answering for jobs for five seconds more.
func TestFencedLeaderStepsDownAtOnce(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	s.store.SetFault(func(string) error { return store.ErrUnavailable }, false)
	s.workers.mu.Lock()
	for id := range s.workers.tokens {
		s.workers.tokens[id]++ // as a poll of another leader does
	}
	s.workers.mu.Unlock()
	require.Eventually(t, func() bool { return !state(leading, "a").Known }, ActTerm/2, 10*time.Millisecond)
}

// Load pattern: a zone is partitioned with its leader and its workers. A
// successor waits for the longest lease that the leader may have requested
// while it could not confirm its leadership. A lease requested later would let
// a task run twice.
func TestNoLeaseAfterActTerm(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	s.store.SetFault(func(string) error { return store.ErrUnavailable }, false)
	cutAt := time.Now()
	time.Sleep(ActTerm + 2*pollGap)
	pastActTerm := time.Now()
	require.Eventually(t, func() bool {
		s.workers.mu.Lock()
		defer s.workers.mu.Unlock()
		return s.workers.polledAt.After(pastActTerm.Add(10 * pollGap))
	}, waitTimeout, pollGap, "the leader goes on polling")
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	assert.LessOrEqual(t, s.workers.leasedAt.Sub(cutAt), ActTerm)
}

// Load pattern: leaders are stopped one after the other. Each starts from the
// learned state that its predecessor saved; otherwise it would be learned
// again.
func TestSuccessorLoadsLearnedState(t *testing.T) {
	s := newSite(t)
	known := schedule.Learned{
		Coefficients: []schedule.LearnedCoefficient{{
			Serving:     "quotes",
			Filler:      "plans",
			Coefficient: 9,
			Variance:    0.5,
		}},
	}
	value, err := cbor.Marshal(known)
	require.NoError(t, err)
	s.put(soloKeys.Learned, value)
	first, stop := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	written := schedule.Learned{}
	require.Eventually(t, func() bool {
		item, err := s.store.Client().Get(context.Background(), soloKeys.Learned)
		return err == nil && cbor.Unmarshal(item.Value, &written) == nil && len(written.Work) > 0
	}, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, known.Coefficients, written.Coefficients)
	stop()
	second, _ := s.startLeader("olinda-1")
	s.waitCompleted(second, "a")
	restored := make(chan schedule.Learned, 1)
	second.post(func(time.Time) { restored <- second.board.Learned() })
	assert.Equal(t, known.Coefficients, (<-restored).Coefficients)
}

// A learned state that cannot be decoded must not keep a host from leading.
func TestUnreadableLearnedStateIsIgnored(t *testing.T) {
	assert.Empty(t, decodeLearned([]byte("not cbor")).Coefficients)
}
