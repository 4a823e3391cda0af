package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/rank"
)

// Load pattern: the callers of one zone send larger jobs than the others while
// capacity is short, and would be served last. After a takeover from a leader of
// an earlier release, these may be jobs of which the zone is unknown, and some
// hosts still accept jobs without one.
func TestNoZoneIsBehindTheOthersOnABoard(t *testing.T) {
	tests := map[string][]string{
		"known zones":  {"olinda", "natal", "recife"},
		"unknown zone": {"olinda", "natal", ""},
	}
	for name, zones := range tests {
		t.Run(name, func(t *testing.T) {
			const (
				load   = 1.5
				length = 60 * time.Second
			)
			replayed := func(rules rank.Rules) (worst, others float64) {
				r := newBoardReplay(rules)
				random := rand.New(rand.NewPCG(3, 5))
				means := []float64{6, 6, 24}
				interval := (6 + 6 + 24) / 3.0 * 0.5 / (32 * load) * float64(time.Second)
				for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * interval) {
					zone := random.IntN(3)
					j := r.addFrom(zones[zone], at, shortStep(1+int(random.ExpFloat64()*(means[zone]-1))))
					j.inherited = zones[zone] == "" && at < length/10
				}
				r.run(length + 5*time.Second)
				var shares []float64
				for _, zone := range zones {
					shares = append(shares, r.met(1, func(j *replayJob) bool { return j.spec.EntryZone == zone }))
				}
				t.Logf("shares %.2f", shares)
				return shares[2], (shares[0] + shares[1]) / 2
			}
			worst, others := replayed(rank.AllRules())
			assert.GreaterOrEqual(t, worst, 0.8*others)
			without := rank.AllRules()
			without.Zones = false
			worst, others = replayed(without)
			assert.Less(t, worst, 0.8*others, "the load does not show the fault")
		})
	}
}
