package rank

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// worstZone returns the lowest share of a zone, as a part of the mean of the
// others.
func worstZone(shares []float64) float64 {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	worst := 1.0
	for _, share := range shares {
		if others := (sum - share) / float64(len(shares)-1); others > 0 {
			worst = min(worst, share/others)
		}
	}
	return worst
}

// Load pattern: the callers of one zone send larger jobs than the others, or
// more of them, while capacity is short. None may be served below 0.8 of the mean
// of the others. Jobs of earlier releases have no zone.
func TestNoZoneIsBehindTheOthers(t *testing.T) {
	tests := map[string]struct {
		zones []string
		// tasks is the mean of the last zone, the others have meanTasks.
		tasks float64
		// rate of the last zone, relative to the others.
		rate int
		load float64
	}{
		"larger jobs": {
			zones: []string{"b", "c", "a"},
			tasks: 16,
			rate:  1,
			load:  1.5,
		},
		"larger jobs of an unknown zone": {
			zones: []string{"a", "b", ""},
			tasks: 16,
			rate:  1,
			load:  1.5,
		},
		"burst of larger jobs in one of two zones": {
			zones: []string{"a", "b"},
			tasks: 12,
			rate:  4,
			load:  2,
		},
		"twice the capacity": {
			zones: []string{"a", "b", "c", "d"},
			tasks: 16,
			rate:  1,
			load:  2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			replayed := func(rules Rules) float64 {
				r := newReplay(rules, 8)
				random := seeded()
				last := len(tt.zones) - 1
				const meanTasks, length = 6.0, 60 * time.Second
				perJob := 0.5 * (meanTasks*float64(last) + tt.tasks*float64(tt.rate)) / float64(last+tt.rate)
				interval := perJob / (tt.load * 64) * float64(time.Second)
				for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * interval) {
					zone, mean := min(last, random.IntN(last+tt.rate)), meanTasks
					if zone == last {
						mean = tt.tasks
					}
					r.add(&replayJob{
						zone:      tt.zones[zone],
						arrived:   at,
						tasks:     1 + int(random.ExpFloat64()*(mean-1)),
						cores:     1,
						runTime:   500 * time.Millisecond,
						objective: 3 * time.Second,
					})
				}
				r.run(length + 5*time.Second)
				var shares []float64
				for _, zone := range tt.zones {
					shares = append(shares, r.met(1, func(j *replayJob) bool { return j.zone == zone }))
				}
				t.Logf("shares %.2f", shares)
				return worstZone(shares)
			}
			without := AllRules()
			without.Zones = false
			assert.GreaterOrEqual(t, replayed(AllRules()), 0.8)
			assert.Less(t, replayed(without), 0.8, "the load does not show the fault")
		})
	}
}
