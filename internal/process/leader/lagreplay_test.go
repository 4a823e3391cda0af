package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Figures of the replay. Half of a leader's processor time is in use at its
// normal speed.
const (
	replayStep     = 5 * time.Millisecond
	replayArrivals = 500.0  // events a second
	replayCapacity = 1000.0 // events a second at normal speed
	slowSpeed      = 1.0 / 7
	// replayChange is for how long nothing is handled during a change of the
	// leader.
	replayChange = 700 * time.Millisecond
	// replaySlack is the time that a quick job with an objective of 2 s and a run
	// time of 0.8 s can wait.
	replaySlack = 1200 * time.Millisecond
)

// replay is a fleet of equal hosts in virtual time. One of them leads and handles
// events in order.
type replay struct {
	// slow reports whether a host has slowSpeed at the time since the start.
	slow func(host int, after time.Duration) bool
	// paused reports whether the leader's host is paused.
	paused func(after time.Duration) bool
	// showsLag makes a slow host without the leadership report lag; its timers
	// may be on time, as it has little to do.
	showsLag bool
	// off keeps the hosts from reporting, so that the leader never resigns.
	off bool
	// hosts is their number.
	hosts int

	now        time.Time
	judges     []*lagJudge
	yieldUntil []time.Time
	reports    *hostReports
	leader     int
	began      time.Time
	// freeUntil is when the successor begins.
	freeUntil time.Time
	// queue holds the arrival times of the events that wait.
	queue []time.Time
	// served and arrived count the events that arrive from countFrom to countTo,
	// and those of them that are handled within replaySlack.
	countFrom, countTo time.Duration
	served, arrived    int
	changes            []time.Duration
}

func (r *replay) run(during time.Duration) {
	r.now, r.began, r.reports = lagStart, lagStart.Add(-time.Minute), newHostReports()
	for range r.hosts {
		r.judges = append(r.judges, &lagJudge{
			sampledAt: lagStart,
		})
	}
	r.yieldUntil = make([]time.Time, r.hosts)
	r.changes = nil
	var arriving, handling float64
	var worst, sampled time.Duration
	for after := time.Duration(0); after < during; after += replayStep {
		r.now = lagStart.Add(after)
		for arriving += replayArrivals * replayStep.Seconds(); arriving >= 1; arriving-- {
			r.queue = append(r.queue, r.now)
			if r.counted(r.now) {
				r.arrived++
			}
		}
		if after%time.Second == 0 {
			r.report(after)
		}
		if r.now.Before(r.freeUntil) || r.paused != nil && r.paused(after) {
			continue
		}
		speed := 1.0
		if r.slow(r.leader, after) {
			speed = slowSpeed
		}
		handling += speed * replayCapacity * replayStep.Seconds()
		for ; handling >= 1; handling-- {
			if len(r.queue) == 0 {
				handling = 0
				break
			}
			worst = max(worst, r.now.Sub(r.queue[0]))
			r.handled(r.queue[0])
			r.queue = r.queue[1:]
		}
		if after-sampled >= tick {
			r.judge(worst, after)
			worst, sampled = 0, after
		}
	}
}

func (r *replay) counted(at time.Time) bool {
	after := at.Sub(lagStart)
	return after >= r.countFrom && after < r.countTo
}

func (r *replay) handled(arrived time.Time) {
	if r.counted(arrived) && r.now.Sub(arrived) <= replaySlack {
		r.served++
	}
}

func (r *replay) report(after time.Duration) {
	for host := range r.hosts {
		if host == r.leader || r.off {
			continue
		}
		lag := time.Millisecond
		if r.showsLag && r.slow(host, after) {
			lag = 3 * maxHostLag
		}
		r.reports.add(string(rune('a'+host)), HostReport{
			MilliCores: 800,
			Lag:        lag,
		}, r.now)
	}
}

func (r *replay) judge(worst, after time.Duration) {
	judge := r.judges[r.leader]
	verdict := judge.judge(&lagSample{
		at:         r.now,
		began:      r.began,
		events:     worst,
		milliCores: 800,
		hosts:      r.reports.recent(r.now),
	})
	if !verdict.resigns() {
		return
	}
	r.changes = append(r.changes, after)
	judge.resigned(causeLag, r.now)
	r.yieldUntil[r.leader] = r.now.Add(resignDelay)
	r.freeUntil = r.now.Add(replayChange)
	past := judge.past(r.now)
	for host := range r.hosts {
		if r.yieldUntil[host].Before(r.freeUntil) {
			r.leader = host
			break
		}
	}
	r.began = r.freeUntil
	r.judges[r.leader].restore(past, r.freeUntil)
}

// slowFrom makes one host slow for a time.
func slowFrom(slowHost int, from, during time.Duration) func(int, time.Duration) bool {
	return func(host int, after time.Duration) bool {
		return host == slowHost && after >= from && after < from+during
	}
}

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
