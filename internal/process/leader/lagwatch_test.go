package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// slowdown takes six of seven parts of a loop's time, as a processor does that
// runs at a seventh of its speed.
type slowdown struct {
	leader *Leader
}

func (s *slowdown) run(ctx context.Context) {
	const period = 350 * time.Millisecond
	for ctx.Err() == nil {
		paused := make(chan struct{})
		s.leader.post(func(time.Time) {
			time.Sleep(period * 6 / 7)
			close(paused)
		})
		<-paused
		time.Sleep(period / 7)
	}
}

// load submits quick jobs, as many as the callers of K.
type load struct {
	site *site
}

func (l *load) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		l.site.submit(fmt.Sprintf("load-%d", number))
		time.Sleep(70 * time.Millisecond)
	}
}

// reporter reports a good host to a group.
type reporter struct {
	to   *Group
	host string
}

func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.to.Report(r.host, HostReport{
			MilliCores: 800,
		})
		time.Sleep(200 * time.Millisecond)
	}
}

// startPair starts a leader, and a second host that does not lead. The leader's
// term has settled when it returns.
func (s *site) startPair() (first, second *Group) {
	first = s.startGroup(s.t.Context(), "recife-1", shard.Solo())
	s.submit("settled")
	s.waitCompleted(first.leaders[0], "settled")
	second = s.startGroup(s.t.Context(), "olinda-1", shard.Solo())
	time.Sleep(settleTime)
	return first, second
}

// Load pattern: quick jobs arrive while the leader's host has a seventh of its
// normal speed, beside a host at normal speed. Without reports of that host the decision is off and the
// jobs wait for the slow host.
func TestSlowLeaderResigns(t *testing.T) {
	// maxDetection is lagTime, the time of the first late event and samples that
	// are late themselves.
	const maxDetection = lagTime + time.Second
	tests := map[string]struct {
		reports bool
	}{
		"on": {
			reports: true,
		},
		"off": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			first, second := s.startPair()
			if tt.reports {
				good := &reporter{
					to:   first,
					host: "olinda-1",
				}
				go good.run(t.Context())
				time.Sleep(steadyTime + 300*time.Millisecond)
			}
			slow := &slowdown{
				leader: first.leaders[0],
			}
			quick := &load{
				site: s,
			}
			go quick.run(t.Context())
			slowAt := time.Now()
			go slow.run(t.Context())
			if !tt.reports {
				time.Sleep(2 * maxDetection)
				assert.True(t, first.leaders[0].leading.Load(), "no better host is known")
				return
			}
			require.Eventually(t, second.leaders[0].leading.Load, waitTimeout, time.Millisecond)
			t.Logf("another host leads after %v", time.Since(slowAt))
			assert.Less(t, time.Since(slowAt), maxDetection)
			s.submit("a")
			s.waitCompleted(second.leaders[0], "a")
			assert.Less(t, time.Since(slowAt), 2*maxDetection)
			past := make(chan map[resignCause]pastResignation, 1)
			second.leaders[0].post(func(now time.Time) { past <- second.leaders[0].lag.judge.past(now) })
			assert.Equal(t, 1, (<-past)[causeLag].Count, "the successor knows of the resignation")
		})
	}
}

// resignForLag makes the leader resign as if its host lagged.
func resignForLag(t *testing.T, l *Leader) {
	t.Helper()
	resigned := make(chan struct{})
	l.post(func(now time.Time) {
		l.resignFor(t.Context(), &lagSample{
			at: now,
		}, &lagVerdict{
			cause: causeLag,
		})
		close(resigned)
	})
	<-resigned
}

// A host that resigned leaves the leadership to others for a while. If there are
// none, it leads again: a slow leader is better than none.
func TestResignedHostLeadsAgainIfNobodyElseDoes(t *testing.T) {
	s := newSite(t)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	resignForLag(t, leading)
	resignedAt := time.Now()
	s.submit("b")
	s.waitCompleted(leading, "b")
	took := time.Since(resignedAt)
	assert.GreaterOrEqual(t, took, resignDelay)
	assert.Less(t, took, 2*resignDelay)
}

// Another host takes the leadership first, although the one that resigned has
// the shorter delay by its processor time.
func TestResignedHostLeavesTheLeadershipToOthers(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	second := s.leaderConfig("olinda-1")
	second.AcquireDelay = 200 * time.Millisecond
	group := s.startConfigured(t.Context(), second, shard.Solo())
	time.Sleep(2 * tick)
	resignForLag(t, first)
	s.submit("b")
	s.waitCompleted(group.leaders[0], "b")
	assert.False(t, first.leading.Load())
}

// Failure: the write of the resignation is lost or its answer is. The term ends
// by its own lease at the latest, and one host leads.
func TestLostResignationEndsWithTheLease(t *testing.T) {
	tests := map[string]struct {
		err     error
		delayed bool
		within  time.Duration
	}{
		"not written": {
			err:    store.ErrUnavailable,
			within: leaseTTL + time.Second,
		},
		"written late": {
			err:     store.ErrUnknown,
			delayed: true,
			within:  leaseTTL + time.Second,
		},
		"answer lost": {
			err:    store.ErrUnknown,
			within: time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			first, _ := s.startLeader("recife-1")
			s.submit("a")
			s.waitCompleted(first, "a")
			second, _ := s.startLeader("olinda-1")
			time.Sleep(2 * tick)
			s.store.SetFault(func(call string) error {
				if call == "commit" {
					return tt.err
				}
				return nil
			}, tt.delayed)
			resignForLag(t, first)
			resignedAt := time.Now()
			time.Sleep(tick) // the write has failed
			s.store.SetFault(func(string) error { return nil }, false)
			s.submit("b")
			require.Eventually(t, func() bool {
				return state(first, "b").State == work.Completed || state(second, "b").State == work.Completed
			}, waitTimeout, time.Millisecond)
			assert.Less(t, time.Since(resignedAt), tt.within)
			s.store.ApplyDelayed()
			s.submit("c")
			require.Eventually(t, func() bool {
				return state(first, "c").State == work.Completed || state(second, "c").State == work.Completed
			}, waitTimeout, time.Millisecond)
			assert.False(t, first.leading.Load() && second.leading.Load())
			for _, id := range []string{"b", "c"} {
				assert.Equal(t, 1, s.workers.started(work.TaskKey{
					Job: id,
				}), "no task ran twice")
			}
		})
	}
}

// Guards against a leader that forgets where all tasks run for nothing: it lagged
// during an outage of the store, in which nobody can succeed it, and resigned.
func TestLeaderDoesNotResignWithoutTheStore(t *testing.T) {
	tests := map[string]struct {
		renewalFailed bool
		want          bool
	}{
		"renewal failed": {
			renewalFailed: true,
		},
		"store answers": {
			want: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			leading, _ := s.startLeader("recife-1")
			s.submit("a")
			s.waitCompleted(leading, "a")
			resigned := make(chan bool, 1)
			leading.post(func(now time.Time) {
				for _, age := range []time.Duration{reportAge, 0} {
					leading.config.reports.add("olinda-1", HostReport{
						MilliCores: 2 * leading.config.MilliCores,
					}, now.Add(-steadyTime-age))
				}
				leading.config.reports.add("olinda-1", HostReport{
					MilliCores: 2 * leading.config.MilliCores,
				}, now)
				leading.lag.sample = lagSample{
					began:  now.Add(-time.Minute),
					orders: time.Second,
				}
				leading.lag.judge = lagJudge{
					behind: lagTime,
				}
				leading.lag.sampledAt = now.Add(-tick)
				leading.term.renewalFailed = tt.renewalFailed
				resigned <- leading.term.checkLag(t.Context(), now)
			})
			assert.Equal(t, tt.want, <-resigned)
		})
	}
}
