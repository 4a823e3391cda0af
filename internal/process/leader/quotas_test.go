package leader

import (
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

// submitLimited submits a task of 90 % of the limit, which only shard 0 may run.
func (s *site) submitLimited(id string) {
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count: 1,
			Size: worker.Size{
				MilliCores: 3600,
			},
			Label: "r0",
		}},
		Accepted:     time.Now(),
		Organisation: "mill",
	})
	require.NoError(s.t, err)
	s.put(KeysOf(0, 2).Job(id), value)
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
			first := s.startGroup(t.Context(), "recife-1", twoShards)
			second := s.startGroup(t.Context(), "olinda-1", twoShards)
			require.Eventually(t, func() bool { return leads(first)+leads(second) == 2 }, waitTimeout, 5*time.Millisecond)
			first.SetCatalog(limitedCatalog())
			second.SetCatalog(limitedCatalog())
			require.Eventually(t, func() bool {
				_, err := s.store.Client().Get(t.Context(), keyQuotaParts)
				return err == nil
			}, waitTimeout, 5*time.Millisecond)
			s.submitLimited("a")
			submitted := time.Now()
			if fault.err != nil {
				s.store.SetFault(func(call string) error {
					if call == "commit" {
						return fault.err
					}
					return nil
				}, fault.delayed)
				time.Sleep(2 * quotaInterval)
				s.store.SetFault(func(string) error { return nil }, false)
				submitted = time.Now()
			}
			s.waitCompletedIn([]*Group{first, second}, 0, "a")
			took := time.Since(submitted)
			t.Logf("completed after %s", took)
			assert.Less(t, took, most)
		})
	}
}
