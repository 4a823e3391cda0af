package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestBudgets(t *testing.T) {
	for name, test := range map[string]struct {
		loads  map[int]Load
		filler bool
		want   map[int]int64
	}{
		"even": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Free:     500,
				},
				1: {
					Capacity: 1000,
					Free:     500,
				},
			},
		},
		"one has work waiting, the other room": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Waiting:  400,
				},
				1: {
					Capacity: 1000,
					Free:     400,
				},
			},
			want: map[int]int64{
				1: 400,
			},
		},
		"the emptier one gets more": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Waiting:  600,
				},
				1: {
					Capacity: 1000,
					Free:     600,
				},
				2: {
					Capacity: 1000,
					Free:     300,
				},
			},
			want: map[int]int64{
				1: 500,
				2: 200,
			},
		},
		"all are full alike": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Waiting:  900,
				},
				1: {
					Capacity: 1000,
					Waiting:  900,
				},
			},
		},
		"fillers go where cores are idle": {
			loads: map[int]Load{
				0: {
					Capacity:       1000,
					WaitingFillers: 300,
				},
				1: {
					Capacity: 1000,
					Unused:   300,
				},
			},
			filler: true,
			want: map[int]int64{
				1: 300,
			},
		},
		"fillers do not displace other work": {
			loads: map[int]Load{
				0: {
					Capacity:       1000,
					WaitingFillers: 300,
				},
				1: {
					Capacity: 1000,
					Unused:   300,
				},
			},
		},
		"a shard without workers passes all on": {
			loads: map[int]Load{
				0: {
					Waiting: 100,
				},
				1: {
					Capacity: 1000,
					Free:     400,
				},
			},
			want: map[int]int64{
				1: 100,
			},
		},
		"nobody has workers": {
			loads: map[int]Load{
				0: {
					Waiting: 100,
				},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, Budgets(test.loads, 0, test.filler))
		})
	}
}

// What all shards send to one of them together never exceeds what it lacks.
func TestBudgetsNeverOverfill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := map[int]Load{}
		for number := range rapid.IntRange(2, 8).Draw(t, "shards") {
			capacity := rapid.Int64Range(0, 1_000_000).Draw(t, "capacity")
			loads[number] = Load{
				Capacity: capacity,
				Free:     rapid.Int64Range(0, capacity).Draw(t, "free"),
				Waiting:  rapid.Int64Range(0, 2_000_000).Draw(t, "waiting"),
			}
		}
		received := map[int]int64{}
		for own := range loads {
			for target, budget := range Budgets(loads, own, false) {
				assert.NotEqual(t, own, target)
				received[target] += budget
			}
		}
		capacity, demand := 0.0, 0.0
		for _, load := range loads {
			capacity += float64(load.Capacity)
			demand += load.demand(false)
		}
		for target, amount := range received {
			load := loads[target]
			assert.LessOrEqual(t, float64(amount)+load.demand(false), demand/capacity*float64(load.Capacity)+1)
		}
	})
}
