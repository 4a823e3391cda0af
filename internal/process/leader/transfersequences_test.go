package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	sequenceShards = 3
	sequenceSteps  = 12
	sequenceTasks  = 2
)

// transferSequence is a site of three shards with one worker each, in which two tasks of
// a job are passed around while random faults happen.
type transferSequence struct {
	*transferSite
	random *rand.Rand
	// mu guards random and faulty, which returns what the next commit fails with, if at
	// all. It is nil while there are no faults.
	mu     sync.Mutex
	faulty func() error
	// hosts are those that run, the newest last, and made counts all.
	hosts []*sequenceHost
	made  int
	// happened lists what was done.
	happened []string
}

type sequenceHost struct {
	group *Group
	kill  context.CancelFunc
}

func newTransferSequence(t *testing.T, seed uint64) *transferSequence {
	s := &transferSequence{
		transferSite: newTransferSite(t),
		random:       rand.New(rand.NewPCG(seed, 1)),
	}
	s.addWorker(sequenceShards - 1)
	s.submitTasks(KeysOf(0, sequenceShards), sequenceTasks)
	return s
}

func (s *transferSequence) workerOf(number int) string {
	return fmt.Sprintf("w%d", number)
}

func (s *transferSequence) startHost() {
	s.made++
	layout := shard.Layout{
		Shards: sequenceShards,
		Racks:  map[string]int{},
	}
	for number := range sequenceShards {
		layout.Racks[fmt.Sprintf("r%d", number)] = number
	}
	config := s.leaderConfig(fmt.Sprintf("host-%d", s.made))
	config.Calls, config.Store = s.running.calls(), s.store.Client()
	config.Store.Commit = s.commit
	ctx, kill := context.WithCancel(s.t.Context())
	s.hosts = append(s.hosts, &sequenceHost{
		group: s.startConfigured(ctx, config, layout),
		kill:  kill,
	})
}

// commit commits with a random outcome while there are faults.
func (s *transferSequence) commit(ctx context.Context, commit store.Commit) (int64, error) {
	s.mu.Lock()
	var fault error
	if s.faulty != nil {
		fault = s.faulty()
	}
	s.mu.Unlock()
	switch {
	case errors.Is(fault, errAnswerLost):
		_, _ = s.store.Client().Commit(ctx, commit)
		return 0, store.ErrUnknown
	case errors.Is(fault, store.ErrUnknown):
		// Takes effect later, if its conditions hold then.
		time.AfterFunc(s.between(50*time.Millisecond, 2*time.Second), func() {
			_, _ = s.store.Client().Commit(context.WithoutCancel(ctx), commit)
		})
		return 0, fault
	case fault != nil:
		return 0, fault
	}
	return s.store.Client().Commit(ctx, commit)
}

// errAnswerLost is the outcome of a commit that takes effect without an answer.
var errAnswerLost = errors.New("answer lost")

func (s *transferSequence) between(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *transferSequence) pick(count int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(count)
}

// setFaults makes one commit in so many fail, in a random way, or none if that is zero.
func (s *transferSequence) setFaults(oneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = nil
	if oneIn == 0 {
		return
	}
	outcomes := []error{errAnswerLost, store.ErrUnknown, store.ErrUnavailable}
	s.faulty = func() error {
		if s.random.IntN(oneIn) > 0 {
			return nil
		}
		return outcomes[s.random.IntN(len(outcomes))]
	}
}

// step does one random thing.
func (s *transferSequence) step() string {
	newest := s.hosts[len(s.hosts)-1]
	switch s.pick(12) {
	case 0, 1, 2, 3, 4:
		key := s.tasks()[s.pick(sequenceTasks)]
		free := s.workerOf(s.pick(sequenceShards))
		s.drain(free, false)
		from := s.running.placeOf(key)
		if from != "" && from != free {
			s.drain(from, true)
		}
		return fmt.Sprintf("%q drains, %s does not", from, free)
	case 5, 6, 7:
		oneIn := 1 + s.pick(4)
		s.setFaults(oneIn)
		return fmt.Sprintf("one commit in %d fails", oneIn)
	case 8:
		s.store.SetPageSize(1 + s.pick(3))
		s.store.Compact()
		return "the store drops its history"
	case 9:
		s.store.ExpireLeases()
		return "leases lapse"
	case 10:
		s.startHost()
		newest.group.Resign(s.t.Context())
		return "a host resigns"
	}
	s.startHost()
	newest.kill()
	s.hosts = slices.DeleteFunc(s.hosts, func(host *sequenceHost) bool { return host == newest })
	return "a host is killed"
}

func (s *transferSequence) tasks() (keys []work.TaskKey) {
	for index := range sequenceTasks {
		keys = append(keys, work.TaskKey{
			Job:   s.task.Job,
			Index: index,
		})
	}
	return keys
}

// awaitRuns waits until all tasks run, and their records say where.
func (s *transferSequence) awaitRuns() {
	s.t.Helper()
	for _, key := range s.tasks() {
		require.Eventually(s.t, func() bool { return s.running.placeOf(key) != "" }, 2*waitTimeout, 5*time.Millisecond,
			"task %s does not run; its shards by the records: %v", key, s.shardsOf(key))
		require.Eventually(s.t, func() bool {
			found := s.shardsOf(key)
			return len(found) == 1 && s.workerOf(found[0]) == s.running.placeOf(key)
		}, waitTimeout, 5*time.Millisecond, "the records of task %s name the shards %v, it runs on %q", key, s.shardsOf(key), s.running.placeOf(key))
	}
}

// shardsOf returns the shards that a task belongs to by the records: that of its job
// unless there is a location, and each that has a record of the task.
func (s *transferSequence) shardsOf(key work.TaskKey) []int {
	var out []int
	for number := range sequenceShards {
		keys := KeysOf(number, sequenceShards)
		if s.has(keys.Transferred(key)) || s.has(keys.Job(key.Job)) && !s.has(keys.Location(key)) {
			out = append(out, number)
		}
	}
	return out
}

func (s *transferSequence) has(key string) bool {
	_, err := s.store.Client().Get(s.t.Context(), key)
	if !errors.Is(err, store.ErrAbsent) {
		require.NoError(s.t, err)
	}
	return err == nil
}

func sequenceSeeds() []uint64 {
	seed, err := strconv.ParseUint(os.Getenv("MUSTARDREACH_TEST_SEED"), 10, 64)
	if err == nil && seed > 0 {
		return []uint64{seed}
	}
	first, out := uint64(1), []uint64{}
	if err == nil {
		first = rand.Uint64N(1 << 40) //nolint:gosec // a random test
	}
	for seed := range uint64(8) {
		out = append(out, first+seed)
	}
	return out
}

// requireStopped checks that no task runs, now and after late commits.
func (s *transferSequence) requireStopped() {
	runs := func() bool {
		return slices.ContainsFunc(s.tasks(), func(key work.TaskKey) bool { return s.running.placeOf(key) != "" })
	}
	require.Eventually(s.t, func() bool { return !runs() }, 2*waitTimeout, 5*time.Millisecond, "the cancelled job runs on")
	require.Never(s.t, runs, 3*time.Second, 20*time.Millisecond, "the cancelled job runs again")
}

// Guards against transferred tasks that are in two shards or in none, or run after their
// job was cancelled: random sequences of drains, commits without an answer or with a late
// effect, histories that are dropped, and hosts that resign, are killed or lose leases.
func TestTransfersUnderSequencesOfFaults(t *testing.T) {
	for _, seed := range sequenceSeeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newTransferSequence(t, seed)
			s.startHost()
			s.awaitRuns()
			cancelAt := s.pick(3 * sequenceSteps) // in a third of the sequences
			for step := range sequenceSteps {
				if step == cancelAt {
					s.cancelAmong(sequenceShards, s.task.Job)
					s.happened = append(s.happened, "the job is cancelled")
				}
				s.happened = append(s.happened, s.step())
				time.Sleep(s.between(100*time.Millisecond, 2500*time.Millisecond))
			}
			s.setFaults(0)
			for number := range sequenceShards {
				s.drain(s.workerOf(number), false)
			}
			t.Log(s.happened)
			if cancelAt < sequenceSteps {
				s.requireStopped()
			} else {
				s.awaitRuns()
				time.Sleep(2 * time.Second) // late commits have taken effect
				s.awaitRuns()
			}
			s.running.mu.Lock()
			defer s.running.mu.Unlock()
			assert.Empty(t, s.running.faults)
		})
	}
}
