package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// limitedCatalog has an organisation with a limit of four cores.
func limitedCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 2,
		Queues: map[string]catalog.Queue{
			"quotes": {
				Name:        "quotes",
				Service:     "workshop",
				MaxAttempts: 3,
				Stretch:     2,
			},
		},
		Organisations: map[string]catalog.Organisation{
			"mill": {
				Name:   "mill",
				Weight: 1,
				Limit: worker.Size{
					MilliCores: 4000,
				},
			},
		},
	}
}

// submitLimited submits a task of organisation "mill" to a shard, the only one that may
// run it.
func (s *site) submitLimited(number int, id string, milliCores int64) {
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count: 1,
			Size: worker.Size{
				MilliCores: milliCores,
			},
			Label: fmt.Sprintf("r%d", number),
		}},
		Accepted:     time.Now(),
		Organisation: "mill",
	})
	require.NoError(s.t, err)
	s.put(KeysOf(number, 2).Job(id), value)
}

// startLimited starts two shards that divide a limit of four cores.
func (s *site) startLimited() []*Group {
	first := s.startGroup(s.t.Context(), "recife-1", twoShards)
	second := s.startGroup(s.t.Context(), "olinda-1", twoShards)
	require.Eventually(s.t, func() bool { return leads(first)+leads(second) == 2 }, waitTimeout, 5*time.Millisecond)
	first.SetCatalog(limitedCatalog())
	second.SetCatalog(limitedCatalog())
	require.Eventually(s.t, func() bool {
		_, err := s.store.Client().Get(s.t.Context(), keyQuotaParts)
		return err == nil
	}, waitTimeout, 5*time.Millisecond)
	return []*Group{first, second}
}

// failCommits lets the commits of some rounds fail.
func (s *site) failCommits(err error, delayed bool) {
	s.store.SetFault(func(call string) error {
		if call == "commit" {
			return err
		}
		return nil
	}, delayed)
	time.Sleep(2 * quotaInterval)
	s.store.SetFault(func(string) error { return nil }, false)
}

// Guards against a part that stays with a shard that does not need it: 90 % of a
// limit can be used by one shard within two seconds, also after commits without an
// answer: the record is read back.
func TestShardUsesLimitOfOthers(t *testing.T) {
	const most = 2 * time.Second
	for name, fault := range moveFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			groups := s.startLimited()
			s.submitLimited(0, "a", 3600)
			submitted := time.Now()
			if fault.err != nil {
				s.failCommits(fault.err, fault.delayed)
				submitted = time.Now()
			}
			s.waitCompletedIn(groups, 0, "a")
			took := time.Since(submitted)
			t.Logf("completed after %s", took)
			assert.Less(t, took, most)
		})
	}
}

// Guards against shards that hold each other back with parts that are too small for
// their tasks: of a limit of four cores, each waits for three. Both run, one after the
// other, also after commits without an answer.
func TestShardsRunWideTasksOneAfterTheOther(t *testing.T) {
	const most = 3 * time.Second
	for name, fault := range moveFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			groups := s.startLimited()
			s.submitLimited(0, "a", 3000)
			s.submitLimited(1, "b", 3000)
			submitted := time.Now()
			if fault.err != nil {
				s.failCommits(fault.err, fault.delayed)
				submitted = time.Now()
			}
			s.waitCompletedIn(groups, 0, "a")
			s.waitCompletedIn(groups, 1, "b")
			took := time.Since(submitted)
			t.Logf("completed after %s", took)
			assert.Less(t, took, most)
		})
	}
}
