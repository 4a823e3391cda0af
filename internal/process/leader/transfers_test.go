package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// runningWorkers are workers whose runs go on until they are stopped, fail, or their
// worker is gone.
type runningWorkers struct {
	*fakeWorkers
	mu sync.Mutex
	// runs holds the runs of each worker, highest the highest run of each task, and
	// faults what must not have happened. A stop saves a checkpoint.
	runs    map[string]map[work.TaskKey]int64
	highest map[work.TaskKey]int64
	faults  []string
}

func (r *runningWorkers) calls() Calls {
	calls := r.fakeWorkers.calls()
	calls.Poll, calls.Start, calls.Stop = r.poll, r.start, r.stop
	return calls
}

func (r *runningWorkers) poll(ctx context.Context, target Target, poll Poll) (schedule.Inventory, time.Duration, error) {
	inventory, clock, err := r.fakeWorkers.poll(ctx, target, poll)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs[target.ID] {
		inventory.Running = append(inventory.Running, schedule.RunningTask{
			Key: key,
			Run: run,
		})
	}
	inventory.Sent = time.Now()
	return inventory, clock, err
}

func (r *runningWorkers) start(_ context.Context, target Target, lease Lease, start schedule.Start) (schedule.Verdict, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(target, lease) {
		return schedule.Fenced, time.Second
	}
	if r.runs[target.ID][start.Key] == start.Run {
		return schedule.Accepted, time.Second
	}
	for id, runs := range r.runs {
		if runs[start.Key] != 0 {
			r.faults = append(r.faults, fmt.Sprintf("%s starts on %s while it runs on %s", start.Key, target.ID, id))
		}
	}
	if start.Run <= r.highest[start.Key] {
		r.faults = append(r.faults, fmt.Sprintf("%s starts with run %d after %d", start.Key, start.Run, r.highest[start.Key]))
	}
	if r.runs[target.ID] == nil {
		r.runs[target.ID] = map[work.TaskKey]int64{}
	}
	if last := r.highest[start.Key]; last != 0 && start.Checkpoint != fmt.Sprintf("of run %d", last) {
		r.faults = append(r.faults, fmt.Sprintf("%s starts after run %d with checkpoint %q", start.Key, last, start.Checkpoint))
	}
	r.runs[target.ID][start.Key], r.highest[start.Key] = start.Run, start.Run
	return schedule.Accepted, time.Second
}

func (r *runningWorkers) stop(_ context.Context, target Target, lease Lease, stop schedule.Stop) (schedule.Verdict, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(target, lease) {
		return schedule.Fenced, time.Second
	}
	r.end(target.ID, stop.Key)
	return schedule.Accepted, time.Second
}

// admit notes the token of a call, and refuses a lower one.
func (r *runningWorkers) admit(target Target, lease Lease) bool {
	r.fakeWorkers.mu.Lock()
	defer r.fakeWorkers.mu.Unlock()
	if lease.Token < r.tokens[target.ID] {
		return false
	}
	r.tokens[target.ID] = lease.Token
	return true
}

// end ends a run that is stopped. The caller holds the lock.
func (r *runningWorkers) end(id string, key work.TaskKey) {
	run := r.runs[id][key]
	if run == 0 {
		return
	}
	delete(r.runs[id], key)
	r.fakeWorkers.mu.Lock()
	defer r.fakeWorkers.mu.Unlock()
	r.number++
	r.ended[id] = append(r.ended[id], schedule.EndedTask{
		Number:     r.number,
		Key:        key,
		Run:        run,
		Ending:     schedule.EndedStopped,
		Checkpoint: fmt.Sprintf("of run %d", run),
	})
}

// placeOf returns the worker on which a task runs, empty if it does not.
func (r *runningWorkers) placeOf(key work.TaskKey) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.runs {
		if runs[key] != 0 {
			return id
		}
	}
	return ""
}

// transferSite is a site of two shards with one worker each. Job "a" has a task on the
// worker of shard 0.
type transferSite struct {
	*site
	running *runningWorkers
	task    work.TaskKey
}

func newTransferSite(t *testing.T) *transferSite {
	s := &transferSite{
		site: newSite(t),
		task: work.TaskKey{
			Job: "a",
		},
	}
	s.running = &runningWorkers{
		fakeWorkers: s.workers,
		runs:        map[string]map[work.TaskKey]int64{},
		highest:     map[work.TaskKey]int64{},
	}
	return s
}

func (s *transferSite) startHost(ctx context.Context, host string) *Group {
	return s.startHostWith(ctx, host, s.store.Client())
}

// startHostWith starts a host that uses a client of the store.
func (s *transferSite) startHostWith(ctx context.Context, host string, client store.Client) *Group {
	config := s.leaderConfig(host)
	config.Calls, config.Store = s.running.calls(), client
	return s.startConfigured(ctx, config, twoShards)
}

// submitRunning submits the job of the task to shard 0. It takes a whole worker.
func (s *transferSite) submitRunning() {
	s.submitTasks(KeysOf(0, 2), 1)
}

// submitTasks submits the job with tasks that take a whole worker each.
func (s *transferSite) submitTasks(keys Keys, count int) {
	value, err := work.EncodeJob(&work.Job{
		ID:      s.task.Job,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{
			{
				Count:       count,
				LongRunning: true,
				Checkpoints: true,
				Size: worker.Size{
					MilliCores: 4000,
				},
			},
		},
		Accepted: time.Now(),
	})
	require.NoError(s.t, err)
	s.put(keys.Job(s.task.Job), value)
}

// drain marks a worker as draining or not, so that it is given nothing new.
func (s *transferSite) drain(id string, draining bool) {
	s.changeListing(id, func(listing *schedule.Listing) { listing.Draining = draining })
}

func (s *transferSite) awaitRunOn(worker string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.running.placeOf(s.task) == worker }, waitTimeout, 5*time.Millisecond,
		"task %s does not run on %q", s.task, worker)
}

// requireTransferred checks that the records say that the task is in the other shard, and
// its job in its own.
func (s *transferSite) requireTransferred() {
	s.t.Helper()
	_, errTransferred := s.store.Client().Get(s.t.Context(), KeysOf(1, 2).Transferred(s.task))
	location, errLocation := s.store.Client().Get(s.t.Context(), KeysOf(0, 2).Location(s.task))
	require.NoError(s.t, errTransferred)
	require.NoError(s.t, errLocation)
	found, err := work.DecodeLocation(location.Value)
	require.NoError(s.t, err)
	require.Equal(s.t, 1, found.Shard)
	_, err = s.store.Client().Get(s.t.Context(), KeysOf(0, 2).Job(s.task.Job))
	require.NoError(s.t, err)
}

// A long-running task whose shard has no capacity for it starts in the other shard,
// with its newest checkpoint and a higher run number, and at most one run of it exists,
// whatever becomes of the commit that transfers it and whatever happens next.
func TestTransferredTaskRunsInOnePlace(t *testing.T) {
	for name, fault := range moveFaults {
		for event, happen := range afterTransfer {
			t.Run(name+", "+event, func(t *testing.T) {
				t.Parallel()
				s := newTransferSite(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				group := s.startHost(ctx, "recife-1")
				require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
				s.submitRunning()
				s.awaitRunOn("w0")
				time.Sleep(2 * balanceInterval) // the loads of both shards are published
				s.drain("w0", true)             // the task is stopped there
				s.awaitRunOn("")
				time.Sleep(700 * time.Millisecond)
				s.store.SetFault(func(call string) error {
					if call == "commit" {
						return fault.err
					}
					return nil
				}, fault.delayed)
				time.Sleep(3 * balanceInterval / 2)
				s.store.SetFault(func(string) error { return nil }, false)
				cancelled := happen(s, group, stop)
				if cancelled {
					require.Eventually(t, func() bool { return s.running.placeOf(s.task) == "" }, waitTimeout, 5*time.Millisecond)
					s.store.ApplyDelayed()
					time.Sleep(3 * balanceInterval)
					assert.Empty(t, s.running.placeOf(s.task), "the cancelled task runs")
				} else {
					s.awaitRunOn("w1")
					s.store.ApplyDelayed()
					time.Sleep(balanceInterval)
					s.requireTransferred()
				}
				assert.Empty(t, s.running.faults)
			})
		}
	}
}

// afterTransfer are the events that follow while the outcome may be unknown. They
// report whether the job is cancelled by them.
var afterTransfer = map[string]func(s *transferSite, first *Group, stop func()) bool{
	"goes on": func(*transferSite, *Group, func()) bool {
		return false
	},
	"host resigns": func(s *transferSite, first *Group, _ func()) bool {
		s.startHost(s.t.Context(), "olinda-1")
		first.Resign(s.t.Context())
		return false
	},
	"host is killed": func(s *transferSite, _ *Group, stop func()) bool {
		stop()
		s.startHost(s.t.Context(), "olinda-1")
		return false
	},
	"leases lapse": func(s *transferSite, _ *Group, _ func()) bool {
		s.store.ExpireLeases()
		s.startHost(s.t.Context(), "olinda-1")
		return false
	},
	"store drops its history": func(s *transferSite, _ *Group, _ func()) bool {
		s.store.SetPageSize(2)
		s.store.Compact()
		return false
	},
	"store drops its history, host resigns": func(s *transferSite, first *Group, _ func()) bool {
		s.store.SetPageSize(2)
		s.store.Compact()
		s.startHost(s.t.Context(), "olinda-1")
		first.Resign(s.t.Context())
		return false
	},
	"job is cancelled": func(s *transferSite, _ *Group, _ func()) bool {
		s.cancelWhereItIs(s.task.Job)
		return true
	},
	"job is cancelled, host resigns": func(s *transferSite, first *Group, _ func()) bool {
		s.cancelWhereItIs(s.task.Job)
		s.startHost(s.t.Context(), "olinda-1")
		first.Resign(s.t.Context())
		return true
	},
	"job is cancelled, host is killed": func(s *transferSite, _ *Group, stop func()) bool {
		s.cancelWhereItIs(s.task.Job)
		stop()
		s.startHost(s.t.Context(), "olinda-1")
		return true
	},
}

// A transferred task that is down in its new shard, which is full by then, goes back and
// starts where its job is.
func TestTransferredTaskReturnsFromAFullShard(t *testing.T) {
	for event, happen := range afterTransfer {
		t.Run(event, func(t *testing.T) {
			t.Parallel()
			s := newTransferSite(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			group := s.startHost(ctx, "recife-1")
			require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
			s.submitRunning()
			s.awaitRunOn("w0")
			s.drain("w0", true) // the task is stopped there
			s.awaitRunOn("w1")
			s.drain("w0", false)
			s.drain("w1", true)
			s.awaitRunOn("")
			if happen(s, group, stop) {
				time.Sleep(3 * balanceInterval)
				assert.Empty(t, s.running.placeOf(s.task), "the cancelled task runs")
			} else {
				s.awaitRunOn("w0")
				_, err := s.store.Client().Get(t.Context(), KeysOf(0, 2).Location(s.task))
				assert.True(t, errors.Is(err, store.ErrAbsent), "the location of a task that is at home")
				_, err = s.store.Client().Get(t.Context(), KeysOf(1, 2).State(s.task.Job))
				assert.True(t, errors.Is(err, store.ErrAbsent), "the progress in a shard that has no task of the job")
			}
			assert.Empty(t, s.running.faults)
		})
	}
}

// A commit that deletes the record of a transferred task may fail. Its job's end must stay
// then: without it, a successor starts a task that was cancelled long ago.
func TestTransferredTaskOfADeletedJobStaysEnded(t *testing.T) {
	s := newTransferSite(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	client, there := s.store.Client(), KeysOf(1, 2)
	var failed atomic.Bool
	client.Commit = func(ctx context.Context, commit store.Commit) (int64, error) {
		if slices.Contains(commit.Delete, there.Transferred(s.task)) && failed.CompareAndSwap(false, true) {
			return 0, store.ErrUnavailable
		}
		return s.store.Client().Commit(ctx, commit)
	}
	group := s.startHostWith(ctx, "recife-1", client)
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	s.submitRunning()
	s.awaitRunOn("w0")
	s.drain("w0", true) // the task is stopped there
	s.awaitRunOn("w1")
	s.cancelWhereItIs(s.task.Job)
	s.awaitRunOn("")
	for _, each := range group.leaders {
		require.Eventually(t, func() bool {
			gone := make(chan bool, 1)
			each.post(func(now time.Time) {
				each.term.oldJobs.triedAt = time.Time{}
				each.term.oldJobs.delete(now.Add(time.Hour))
				gone <- len(each.term.transfers.revisions) == 0
			})
			return <-gone
		}, waitTimeout, 5*time.Millisecond)
	}
	require.Eventually(t, failed.Load, waitTimeout, 5*time.Millisecond)
	time.Sleep(balanceInterval) // the commits that follow are done
	stop()
	s.startHost(t.Context(), "olinda-1")
	time.Sleep(8 * balanceInterval)
	assert.Empty(t, s.running.placeOf(s.task), "the cancelled task runs")
	assert.Empty(t, s.running.faults)
}

// The answer to the commit that returns a task may be lost, and the task be transferred to
// the shard again before its leader knows the outcome. It is started there all the same: a
// record that is passed over belongs to no shard for the rest of the term.
func TestTaskIsTransferredAgainBeforeItsReturnIsSettled(t *testing.T) {
	s := newTransferSite(t)
	client, key := s.store.Client(), KeysOf(1, 2).Transferred(s.task)
	var silent, returned atomic.Bool
	client.Commit = func(ctx context.Context, commit store.Commit) (int64, error) {
		concerns := func(condition store.Condition) bool { return condition.Key == key }
		if !silent.Load() || !slices.ContainsFunc(commit.If, concerns) {
			return s.store.Client().Commit(ctx, commit)
		}
		if slices.Contains(commit.Delete, key) {
			_, err := s.store.Client().Commit(ctx, commit)
			returned.Store(err == nil)
		}
		return 0, store.ErrUnknown
	}
	group := s.startHostWith(t.Context(), "recife-1", client)
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	s.submitRunning()
	s.awaitRunOn("w0")
	s.drain("w0", true) // the task is stopped there
	s.awaitRunOn("w1")
	silent.Store(true)
	s.drain("w0", false)
	s.drain("w1", true)
	s.awaitRunOn("w0")
	require.True(t, returned.Load())
	s.drain("w1", false)
	s.drain("w0", true)
	require.Eventually(t, func() bool {
		_, err := s.store.Client().Get(t.Context(), key)
		return err == nil
	}, waitTimeout, 5*time.Millisecond, "the task is not transferred again")
	time.Sleep(balanceInterval)
	silent.Store(false)
	s.awaitRunOn("w1")
	s.requireTransferred()
	assert.Empty(t, s.running.faults)
}

// A round of transfers must not delay the ends of jobs and the placements that starts
// wait for: the term's writer has one commit of them at a time.
func TestTransfersLeaveRoomForOtherCommits(t *testing.T) {
	s := newTransferSite(t)
	group := s.startHost(t.Context(), "recife-1")
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	waiting := make(chan int, 1)
	group.leaders[0].post(func(time.Time) {
		term := group.leaders[0].term
		for range 8 {
			term.transfers.write(&transferCommit{
				done: func(bool, error, time.Time) {},
			})
		}
		waiting <- len(term.writer.waiting)
	})
	assert.LessOrEqual(t, <-waiting, 1)
}
