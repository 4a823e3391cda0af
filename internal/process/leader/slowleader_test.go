package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern of K: the leader's host has a seventh of its normal speed while
// others of its size are at their normal speed. The target is a served share
// during the slow period within 0.1 of that at normal speed; without the
// decision most is lost.
func TestSlowLeaderIsReplacedInTime(t *testing.T) {
	const maxLoss = 0.1
	const from = 5 * time.Second
	for _, during := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second} {
		share := func(off bool) (float64, []time.Duration) {
			fleet := &replay{
				slow:      slowFrom(0, from, during),
				showsLag:  true,
				off:       off,
				hosts:     8,
				countFrom: from,
				countTo:   from + during,
			}
			fleet.run(from + during + 20*time.Second)
			require.NotZero(t, fleet.arrived)
			return float64(fleet.served) / float64(fleet.arrived), fleet.changes
		}
		without, changes := share(true)
		assert.Empty(t, changes)
		with, changes := share(false)
		assert.Len(t, changes, 1)
		t.Logf("slow for %v: served %.3f with the decision, %.3f without", during, with, without)
		assert.GreaterOrEqual(t, with, 1-maxLoss, "slow for %v", during)
		assert.Less(t, without, 1-2*maxLoss, "the load pattern does not need the decision")
	}
}

// A host that is paused once, for less than its lease, catches up in less time
// than a change of the leader takes.
func TestPausedLeaderCatchesUp(t *testing.T) {
	const from = 5 * time.Second
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, leaseTTL - 100*time.Millisecond} {
		fleet := &replay{
			slow:   func(int, time.Duration) bool { return false },
			paused: func(after time.Duration) bool { return after >= from && after < from+length },
			hosts:  4,
		}
		fleet.run(from + 10*time.Second)
		assert.Empty(t, fleet.changes, "paused for %v", length)
	}
}

// A host that is paused for six of seven parts of the time is as slow as one
// whose processor is slower throughout.
func TestLeaderPausedAgainAndAgainIsReplaced(t *testing.T) {
	const from = 5 * time.Second
	for _, period := range []time.Duration{70 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond} {
		fleet := &replay{
			slow:  func(int, time.Duration) bool { return false },
			hosts: 4,
		}
		fleet.paused = func(after time.Duration) bool {
			return fleet.leader == 0 && after >= from && (after-from)%period < period*6/7
		}
		fleet.run(from + 10*time.Second)
		t.Logf("paused with a period of %v: %v", period, fleet.changes)
		if assert.Len(t, fleet.changes, 1, "period %v", period) {
			assert.Less(t, fleet.changes[0], from+2*time.Second, "period %v", period)
		}
	}
}

// Hosts that are slow in turn must not pass the leadership back and forth, also
// if a slow host shows no lag while it does not lead: each change interrupts the
// service of all.
func TestLeadershipDoesNotGoBackAndForth(t *testing.T) {
	const during = 5 * time.Minute
	turn := func(length time.Duration, hosts int) func(int, time.Duration) bool {
		return func(host int, after time.Duration) bool { return int(after/length)%hosts == host }
	}
	tests := map[string]struct {
		slow     func(host int, after time.Duration) bool
		showsLag bool
		hosts    int
		// most is the number of changes allowed.
		most int
	}{
		"all slow at once": {
			slow:     func(int, time.Duration) bool { return true },
			showsLag: true,
			hosts:    4,
		},
		"all slow at once, not shown": {
			slow:  func(int, time.Duration) bool { return true },
			hosts: 4,
			most:  int(during / (4 * minResignGap)),
		},
		"two hosts in short turns": {
			slow:     turn(3*time.Second, 2),
			showsLag: true,
			hosts:    2,
			most:     int(during / minResignGap),
		},
		"four hosts in turns": {
			slow:     turn(6*time.Second, 4),
			showsLag: true,
			hosts:    4,
			most:     int(during / minResignGap),
		},
		"four hosts in turns, not shown": {
			slow:  turn(6*time.Second, 4),
			hosts: 4,
			most:  int(during / minResignGap),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := &replay{
				slow:     tt.slow,
				showsLag: tt.showsLag,
				hosts:    tt.hosts,
			}
			fleet.run(during)
			t.Logf("%d changes: %v", len(fleet.changes), fleet.changes)
			assert.LessOrEqual(t, len(fleet.changes), tt.most)
			for index := 1; index < len(fleet.changes); index++ {
				assert.GreaterOrEqual(t, fleet.changes[index]-fleet.changes[index-1], minResignGap)
			}
		})
	}
}
