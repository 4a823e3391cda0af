package shard

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fleet returns workers in racks of eight, spread over the zones in turn.
func fleet(count, zones int) []Worker {
	workers := make([]Worker, count)
	for i := range workers {
		zone, number := i%zones, i/zones
		workers[i] = Worker{
			ID:         fmt.Sprintf("w%04d", i),
			Zone:       fmt.Sprintf("zone%d", zone),
			Rack:       fmt.Sprintf("r%d-%d", zone, number/8),
			MilliCores: int64(32000 + 16000*(i%3/2)),
		}
	}
	return workers
}

func TestPlanCountsShards(t *testing.T) {
	for name, test := range map[string]struct {
		workers, maxWorkers, shards int
	}{
		"no worker": {
			workers: 0,
			shards:  1,
		},
		"small fleet": {
			workers: 48,
			shards:  1,
		},
		"largest solo": {
			workers: DefaultMaxWorkers,
			shards:  1,
		},
		"hundreds": {
			workers: 640,
			shards:  2,
		},
		"eleven hundred": {
			workers: 1100,
			shards:  3,
		},
		"several thousand": {
			workers: 4000,
			shards:  10,
		},
		"small fleet, smaller shards": {
			workers:    48,
			maxWorkers: 16,
			shards:     3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.shards, Plan(fleet(test.workers, 5), cmp.Or(test.maxWorkers, DefaultMaxWorkers)).Shards)
		})
	}
}

// Every shard gets its part of each zone, so that a lost zone or a burst meets
// all leaders alike.
func TestPlanSpreadsZonesEvenly(t *testing.T) {
	workers := fleet(1100, 5)
	layout := Plan(workers, DefaultMaxWorkers)
	capacity, zones := make([]int64, layout.Shards), make([]map[string]int, layout.Shards)
	for _, w := range workers {
		number := layout.OfWorker(w.ID, w.Rack)
		if zones[number] == nil {
			zones[number] = map[string]int{}
		}
		capacity[number] += w.MilliCores
		zones[number][w.Zone]++
	}
	assert.Less(t, float64(slices.Max(capacity))/float64(slices.Min(capacity)), 1.1)
	for _, counts := range zones {
		assert.Len(t, counts, 5)
	}
}

// All hosts must agree on the shard of each worker and job, whatever the order
// in which they read them, and racks must stay whole.
func TestPlanDependsOnNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := fleet(rapid.IntRange(DefaultMaxWorkers+1, 1500).Draw(t, "workers"), rapid.IntRange(1, 7).Draw(t, "zones"))
		layout := Plan(workers, DefaultMaxWorkers)
		assert.Equal(t, layout, Plan(rapid.Permutation(workers).Draw(t, "order"), DefaultMaxWorkers))
		racks := map[string]int{}
		for _, w := range workers {
			number := layout.OfWorker(w.ID, w.Rack)
			if known, ok := racks[w.Rack]; ok {
				assert.Equal(t, known, number)
			}
			racks[w.Rack] = number
			assert.Less(t, number, layout.Shards)
		}
	})
}

func TestUnknownRacksAndWorkersHaveAShard(t *testing.T) {
	layout := Plan(fleet(1100, 5), DefaultMaxWorkers)
	assert.Less(t, layout.OfWorker("w9999", "r9-9"), layout.Shards)
	assert.Less(t, layout.OfWorker("w9999", ""), layout.Shards)
	assert.Equal(t, layout.OfRack("r9-9"), layout.OfWorker("w9999", "r9-9"))
	assert.Zero(t, Solo().OfJob("5c0e7a21d94b36f8"))
}
