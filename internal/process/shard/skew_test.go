package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a skew of shards that have no workers, and of sizes instead of shares.
func TestSkew(t *testing.T) {
	tests := map[string]struct {
		loads map[int]Load
		want  float64
	}{
		"none": {},
		"one shard": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
				},
			},
		},
		"sizes differ, shares do not": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Free:     250,
				},
				1: {
					Capacity: 4000,
					Free:     1000,
				},
			},
		},
		"three shards, one without workers": {
			loads: map[int]Load{
				0: {
					Capacity: 1000,
					Free:     60,
				},
				1: {
					Capacity: 1000,
					Free:     790,
				},
				2: {
					Capacity: 1000,
					Free:     110,
				},
				3: {},
			},
			want: 0.73,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			booked := func(load Load) int64 { return load.Capacity - load.Free }
			assert.InDelta(t, test.want, Skew(test.loads, booked), 1e-9)
		})
	}
}
