package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A bound that is off by one case either keeps a slow leader or changes the leader
// because of a load that its successor has as well. Each case differs in one input
// from a leader whose orders wait, and which carries out more of them than ever.
func TestLeaderStaysInARush(t *testing.T) {
	const perSample = 50
	at := lagStart.Add(time.Minute)
	tests := map[string]struct {
		change func(sample *lagSample, host *knownHost)
		// inTime is what the leader carried out in time, per sample.
		inTime   int
		during   time.Duration
		withheld withheld
	}{
		"more orders than ever": {
			withheld: withheldLoad,
		},
		"at the share of what it carried out in time": {
			inTime:   perSample * 4 / 3,
			withheld: withheldLoad,
		},
		"has carried out more in time": {
			inTime: perSample * 2,
		},
		"carries out nothing": {
			change: func(sample *lagSample, _ *knownHost) { sample.carried = 0 },
		},
		"its loop is late": {
			change: func(sample *lagSample, _ *knownHost) { sample.loop = maxDelay/2 + 1 },
		},
		"its events are late": {
			change: func(sample *lagSample, _ *knownHost) { sample.events = maxDelay/2 + 1 },
		},
		"its lease is renewed late": {
			change: func(sample *lagSample, _ *knownHost) { sample.renewal = maxRenewalDelay/2 + 1 },
		},
		"another host is much larger": {
			change: func(_ *lagSample, host *knownHost) { host.milliCores *= largerHost },
		},
		"another host is larger": {
			change:   func(_ *lagSample, host *knownHost) { host.milliCores = host.milliCores*largerHost - 1 },
			withheld: withheldLoad,
		},
		"the rush goes on": {
			during:   rushTime,
			withheld: withheldLoad,
		},
		"the rush does not end": {
			during: rushTime + 2*lagTime,
		},
		"slow, and another shard's leader is as late": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop = maxDelay
				sample.otherDelay = sample.delay()
			},
			withheld: withheldLater,
		},
		"slow, and another shard's leader stays later as no host is better for it": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop = maxDelay
				sample.otherDelay = 2 * sample.delay()
			},
			during: laterTime + 2*lagTime,
		},
		"slow, and another shard's leader is less late": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop = maxDelay
				sample.otherDelay = sample.delay() - 1
			},
		},
		"slow, and another shard's leader is in time": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop, sample.orders, sample.renewal = 0, 0, maxRenewalDelay+1
				sample.otherDelay = maxDelay
			},
		},
		"about to lose its lease, and another shard's leader is later": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.renewal = maxRenewalDelay + 1
				sample.otherDelay = 2 * sample.delay()
			},
		},
		"slow, and another shard's leader has just changed": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop = maxDelay
				sample.otherEndedAt = at.Add(-apartTime + 1)
			},
			withheld: withheldApart,
		},
		"slow, and another shard's leader changed before": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop = maxDelay
				sample.otherEndedAt = at.Add(-apartTime)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			host := goodHost(at)
			sample := lagSample{
				began:      lagStart,
				orders:     maxDelay + 1,
				carried:    perSample,
				milliCores: 800,
			}
			if tt.change != nil {
				tt.change(&sample, &host)
			}
			sample.hosts = []knownHost{host}
			during := max(tt.during, 2*rateTime)
			calm := lagSample{
				began:   lagStart,
				carried: tt.inTime,
			}
			judge := &lagJudge{
				sampledAt: lagStart,
			}
			feed(judge, calm, at.Add(-during-tick), 3*rateTime)
			verdict := feed(judge, sample, at, during)
			require.Equal(t, causeLag, verdict.cause)
			assert.Equal(t, tt.withheld, verdict.withheld)
		})
	}
}

// orderReplay is a leader in virtual time that carries out orders one after the
// other.
type orderReplay struct {
	// demand and capacity are in orders a second, at a time since the start.
	demand, capacity func(after time.Duration) float64
	// hidden keeps the number of orders from the judge, which then never finds that
	// the load rose.
	hidden bool
}

// resignsAfter returns when the leader resigns first, zero if it does not.
func (r *orderReplay) resignsAfter(during time.Duration) time.Duration {
	judge := &lagJudge{
		sampledAt: lagStart,
	}
	var queue []time.Time
	var backlog, carrying float64
	sample := lagSample{
		began:      lagStart,
		milliCores: 800,
	}
	for after := time.Duration(0); after < during; after += replayStep {
		now := lagStart.Add(after)
		backlog += r.demand(after) * replayStep.Seconds()
		for ; backlog >= 1 && len(queue) < maxOrders; backlog-- {
			queue = append(queue, now)
		}
		for carrying += r.capacity(after) * replayStep.Seconds(); carrying >= 1; carrying-- {
			if len(queue) == 0 {
				carrying = 0
				break
			}
			sample.orders = max(sample.orders, now.Sub(queue[0]))
			queue = queue[1:]
			if !r.hidden {
				sample.carried++
			}
		}
		if after%tick != 0 {
			continue
		}
		if len(queue) > 0 {
			sample.orders = max(sample.orders, now.Sub(queue[0]))
		}
		sample.at = now
		sample.hosts = []knownHost{goodHost(now)}
		if verdict := judge.judge(&sample); verdict.resigns() {
			return after
		}
		sample.orders, sample.carried = 0, 0
	}
	return 0
}

// A host that is slowed to a fifth loses its leadership as fast as without the
// decisions on rushes, whatever part of its capacity was in use before.
func TestRushesDoNotKeepASlowedLeader(t *testing.T) {
	const slowedAt, normal = 8 * time.Second, 200.0
	for _, used := range []float64{0.3, 0.4, 0.5, 0.7, 0.9} {
		resigned := func(hidden bool) time.Duration {
			replay := &orderReplay{
				demand: func(time.Duration) float64 { return used * normal },
				capacity: func(after time.Duration) float64 {
					if after >= slowedAt {
						return normal / 5
					}
					return normal
				},
				hidden: hidden,
			}
			return replay.resignsAfter(slowedAt + 10*time.Second)
		}
		before := resigned(true)
		require.Greater(t, before, slowedAt)
		assert.Equal(t, before, resigned(false), "%.1f of the capacity in use", used)
	}
}

// Load pattern: hundreds of long-running jobs arrive within 1.5 s at a leader that
// had nothing to do, and are worked off in 3 s. The only host that could help is as
// large.
func TestLeaderIsNotReplacedInARush(t *testing.T) {
	const rushAt, normal = 3 * time.Second, 200.0
	replay := &orderReplay{
		demand: func(after time.Duration) float64 {
			if after >= rushAt && after < rushAt+1500*time.Millisecond {
				return 2 * normal
			}
			return 0
		},
		capacity: func(time.Duration) float64 { return normal },
		hidden:   true,
	}
	assert.NotZero(t, replay.resignsAfter(15*time.Second), "the load pattern does not need the decision")
	replay.hidden = false
	assert.Zero(t, replay.resignsAfter(15*time.Second))
}

// The leaders of two shards lag for a cause of their own. If they resigned at the
// same time, nobody would know where the tasks of most of the fleet run.
func TestShardsDoNotChangeLeadersTogether(t *testing.T) {
	s := newSite(t)
	group := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	other := group.leaders[1]
	ended := func() time.Time {
		at := make(chan time.Time, 1)
		other.post(func(time.Time) { at <- other.term.moves.otherEndedAt })
		return <-at
	}
	delay := func() time.Duration {
		worst := make(chan time.Duration, 1)
		other.post(func(now time.Time) { worst <- other.term.moves.otherDelay(now) })
		return <-worst
	}
	require.Zero(t, ended())
	require.Eventually(t, func() bool {
		known := make(chan bool, 1)
		other.post(func(time.Time) { known <- len(other.term.moves.loads[0].services) > 0 })
		return <-known
	}, waitTimeout, time.Millisecond)
	group.leaders[0].post(func(now time.Time) {
		group.leaders[0].lag.judge.behind, group.leaders[0].lag.judge.delay = lagTime, time.Second
		group.leaders[0].term.moves.publishLate(now)
	})
	require.Eventually(t, func() bool { return delay() == time.Second }, waitTimeout, time.Millisecond)
	resignForLag(t, group.leaders[0])
	resignedAt := time.Now()
	require.Eventually(t, func() bool { return !ended().IsZero() }, waitTimeout, time.Millisecond)
	assert.Less(t, time.Since(resignedAt), lagTime, "the other leader would resign before it knows")
	assert.Zero(t, delay())
}
