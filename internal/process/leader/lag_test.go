package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var lagStart = time.Unix(1000, 0)

// feed gives the judge a sample per tick for the duration, up to and including
// at, and returns the last verdict.
func feed(judge *lagJudge, sample lagSample, at time.Time, during time.Duration) lagVerdict {
	verdict := lagVerdict{}
	for now := at.Add(-during); !now.After(at); now = now.Add(tick) {
		sample.at = now
		verdict = judge.judge(&sample)
	}
	return verdict
}

// goodHost returns a host that reported at the time and keeps up.
func goodHost(reportedAt time.Time) knownHost {
	return knownHost{
		name:        "olinda-1",
		milliCores:  800,
		lag:         maxHostLag,
		reportedAt:  reportedAt,
		steadySince: reportedAt.Add(-steadyTime),
	}
}

// A bound that is off by one case either keeps a slow leader or changes the
// leader for nothing. Each case differs from a lagging leader beside a good host
// in one input.
func TestLeaderResignsAtItsBounds(t *testing.T) {
	at := lagStart.Add(time.Minute)
	tests := map[string]struct {
		change   func(sample *lagSample, host *knownHost)
		during   time.Duration
		last     map[resignCause]lastResignation
		alone    bool
		cause    resignCause
		withheld withheld
	}{
		"late": {
			cause: causeLag,
		},
		"at the bound of the delay": {
			change: func(sample *lagSample, _ *knownHost) { sample.events = maxDelay },
		},
		"late in several places": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.loop, sample.events, sample.orders = maxDelay/3, maxDelay/3, maxDelay/2
			},
			cause: causeLag,
		},
		"renewals late": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.events, sample.renewal = 0, maxRenewalDelay+1
			},
			cause: causeLag,
		},
		"renewals at the bound": {
			change: func(sample *lagSample, _ *knownHost) {
				sample.events, sample.renewal = 0, maxRenewalDelay
			},
		},
		"not for long enough": {
			during: lagTime - tick,
		},
		"just long enough": {
			during: lagTime,
			cause:  causeLag,
		},
		"term has not settled": {
			change: func(sample *lagSample, _ *knownHost) { sample.began = at.Add(-settleTime - lagTime + 2*tick) },
		},
		"no other host": {
			alone:    true,
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"other host smaller": {
			change:   func(_ *lagSample, host *knownHost) { host.milliCores-- },
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"processor share not reported": {
			change:   func(sample *lagSample, host *knownHost) { sample.milliCores, host.milliCores = 0, 0 },
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"other host lags": {
			change:   func(_ *lagSample, host *knownHost) { host.steadySince = time.Time{} },
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"other host lagged a moment ago": {
			change:   func(_ *lagSample, host *knownHost) { host.steadySince = host.steadySince.Add(1) },
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"report at the bound of its age": {
			change: func(_ *lagSample, host *knownHost) { *host = goodHost(at.Add(-reportAge)) },
			cause:  causeLag,
		},
		"report too old": {
			change:   func(_ *lagSample, host *knownHost) { *host = goodHost(at.Add(-reportAge - 1)) },
			cause:    causeLag,
			withheld: withheldNoHost,
		},
		"resigned within the minimum time": {
			last: map[resignCause]lastResignation{
				causeLag: {
					at:    at.Add(-minResignGap + 1),
					count: 1,
				},
			},
			cause:    causeLag,
			withheld: withheldRecent,
		},
		"resigned the minimum time ago": {
			last: map[resignCause]lastResignation{
				causeLag: {
					at:    at.Add(-minResignGap),
					count: 1,
				},
			},
			cause: causeLag,
		},
		"second resignation within twice the minimum time": {
			last: map[resignCause]lastResignation{
				causeLag: {
					at:    at.Add(-2*minResignGap + 1),
					count: 2,
				},
			},
			cause:    causeLag,
			withheld: withheldRecent,
		},
		"resigned recently for another cause": {
			last: map[resignCause]lastResignation{
				"another": {
					at:    at,
					count: 1,
				},
			},
			cause: causeLag,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			host := goodHost(at)
			sample := lagSample{
				began:      lagStart,
				events:     maxDelay + 1,
				milliCores: 800,
			}
			if tt.change != nil {
				tt.change(&sample, &host)
			}
			if !tt.alone {
				sample.hosts = []knownHost{host}
			}
			judge := &lagJudge{
				sampledAt: lagStart,
				last:      tt.last,
			}
			during := tt.during
			if during == 0 {
				during = 2 * lagTime
			}
			calm := sample
			calm.loop, calm.events, calm.orders, calm.renewal = 0, 0, 0, 0
			feed(judge, calm, at.Add(-during), tick)
			verdict := feed(judge, sample, at, during-tick)
			assert.Equal(t, tt.cause, verdict.cause)
			assert.Equal(t, tt.withheld, verdict.withheld)
			assert.Equal(t, tt.cause != "" && tt.withheld == "", verdict.resigns())
		})
	}
}

// A process that is paused once has a bad sample and goes on at its normal
// speed; a change of the leader would only add to the interruption.
func TestOnePauseIsNoLastingLag(t *testing.T) {
	judge := &lagJudge{}
	sample := lagSample{
		began: lagStart,
		hosts: []knownHost{goodHost(lagStart)},
	}
	feed(judge, sample, lagStart.Add(10*time.Second), 8*time.Second)
	sample.at, sample.events = lagStart.Add(15*time.Second), 5*time.Second
	verdict := judge.judge(&sample)
	assert.Empty(t, verdict.cause)
	assert.LessOrEqual(t, judge.behind, maxSampleGap)
}

// A host that is paused and resumed in turn is late only part of the time; it is
// as slow as one that is always a little late.
func TestLagWithInterruptionsCounts(t *testing.T) {
	tests := map[string]struct {
		// late is how many of ten samples are late.
		late  int
		cause resignCause
	}{
		"nearly all": {
			late:  9,
			cause: causeLag,
		},
		"most": {
			late:  7,
			cause: causeLag,
		},
		"few": {
			late: 4,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seen, judge := resignCause(""), &lagJudge{
				sampledAt: lagStart.Add(settleTime - tick),
			}
			for index := range 100 {
				sample := lagSample{
					at:    lagStart.Add(settleTime + time.Duration(index)*tick),
					began: lagStart,
				}
				if index%10 < tt.late {
					sample.events = maxDelay + 1
				}
				if verdict := judge.judge(&sample); verdict.cause != "" {
					seen = verdict.cause
				}
			}
			assert.Equal(t, tt.cause, seen)
		})
	}
}

// Among several hosts the one with the least lag is named as the better one.
func TestBetterHostIsTheOneWithTheLeastLag(t *testing.T) {
	busy, idle := goodHost(lagStart), goodHost(lagStart)
	idle.name, idle.lag = "jaboatao-1", 0
	better, found := betterHost(&lagSample{
		at:         lagStart,
		milliCores: 800,
		hosts:      []knownHost{busy, idle},
	}, causeLag)
	assert.True(t, found)
	assert.Equal(t, idle, better)
}
