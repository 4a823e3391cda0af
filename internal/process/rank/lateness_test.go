package rank

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLateness(t *testing.T) {
	tests := map[string]struct {
		age    time.Duration
		none   bool
		want   Class
		chance time.Duration
	}{
		"new": {
			chance: 28 * time.Second,
		},
		"meets its objective exactly": {
			age:    8 * time.Second,
			chance: 20 * time.Second,
		},
		"late": {
			age:    9 * time.Second,
			want:   Late,
			chance: 19 * time.Second,
		},
		"finishes at its last chance": {
			age:  28 * time.Second,
			want: Late,
		},
		"hopeless": {
			age:    29 * time.Second,
			want:   Hopeless,
			chance: -time.Second,
		},
		"no objective": {
			none:   true,
			want:   Late,
			chance: -2 * time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			objective := 10 * time.Second
			if tt.none {
				objective = 0
			}
			class, chance := Lateness(tt.age, objective, 2*time.Second)
			assert.Equal(t, tt.want, class)
			assert.Equal(t, tt.chance, chance)
		})
	}
}

// Load pattern: a burst leaves small jobs that can no longer finish in time,
// while jobs that have missed their objective by little go on waiting. Served by
// value per remaining work, the jobs without a value come first.
func TestHopelessJobsTakeNoCapacity(t *testing.T) {
	met := func(rules Rules) float64 {
		r := newReplay(rules, 4)
		for range 60 {
			r.add(&replayJob{
				arrived:   -20 * time.Second,
				tasks:     8,
				cores:     1,
				runTime:   time.Second,
				objective: 2 * time.Second,
			})
		}
		for range 4 {
			r.add(&replayJob{
				queue:     "useful",
				arrived:   -5 * time.Second,
				tasks:     16,
				cores:     1,
				runTime:   time.Second,
				objective: 4 * time.Second,
			})
		}
		r.run(30 * time.Second)
		return r.met(lastChance, func(j *replayJob) bool { return j.queue == "useful" })
	}
	assert.InDelta(t, 1, met(AllRules()), 0)
	assert.Zero(t, met(Rules{}), "the load does not show the fault")
}

// Load pattern: jobs that can meet their objective arrive as fast as they can be
// served. A job that has just missed its own must still be started before it is
// hopeless. Under overload, this must cost the others no more than a twentieth of
// their share.
func TestLateJobIsNotOvertakenForEver(t *testing.T) {
	const (
		full     = 62500 * time.Microsecond
		overload = 50 * time.Millisecond
	)
	replayed := func(rules Rules, interval time.Duration) (late, others float64) {
		r := newReplay(rules, 4)
		for i := range 800 {
			at := time.Duration(i) * interval
			r.add(&replayJob{
				arrived:   at,
				tasks:     4,
				cores:     1,
				runTime:   500 * time.Millisecond,
				objective: 2 * time.Second,
			})
			if i%100 == 50 {
				r.add(&replayJob{
					queue:     "late",
					arrived:   at - 5*time.Second,
					tasks:     4,
					cores:     1,
					runTime:   500 * time.Millisecond,
					objective: 4 * time.Second,
				})
			}
		}
		r.run(800 * interval)
		isLate := func(j *replayJob) bool { return j.queue == "late" }
		return r.met(lastChance, isLate), r.met(1, func(j *replayJob) bool { return !isLate(j) })
	}
	late, _ := replayed(AllRules(), full)
	without, _ := replayed(Rules{}, full)
	assert.InDelta(t, 1, late, 0)
	assert.Less(t, without, 0.5, "the load does not show the fault")

	_, others := replayed(AllRules(), overload)
	_, withoutOthers := replayed(Rules{}, overload)
	t.Logf("others are served %.3f, without the rule %.3f", others, withoutOthers)
	assert.GreaterOrEqual(t, others, 0.95*withoutOthers)
}
