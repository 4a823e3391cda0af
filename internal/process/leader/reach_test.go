package leader

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
)

// Many lost links are a cause only together with a host that reaches the
// workers: else the workers are gone, and no leader would reach them.
func TestLeaderWithLostLinksResignsAtItsBounds(t *testing.T) {
	at := lagStart.Add(time.Minute)
	tests := map[string]struct {
		links, lost int
		unreached   bool
		during      time.Duration
		last        map[resignCause]lastResignation
		cause       resignCause
		withheld    withheld
	}{
		"a tenth": {
			links: 350,
			lost:  35,
			cause: causeLinks,
		},
		"fewer": {
			links: 350,
			lost:  34,
		},
		"one of two": {
			links: 2,
			lost:  minLostLinks - 1,
		},
		"no links": {},
		"not for long enough": {
			links:  350,
			lost:   350,
			during: lagTime - tick,
		},
		"no host reaches them": {
			links:     350,
			lost:      350,
			unreached: true,
			cause:     causeLinks,
			withheld:  withheldNoHost,
		},
		"resigned for it recently": {
			links: 350,
			lost:  350,
			last: map[resignCause]lastResignation{
				causeLinks: {
					at:    at.Add(-minResignGap + 1),
					count: 1,
				},
			},
			cause:    causeLinks,
			withheld: withheldRecent,
		},
		"resigned for lag recently": {
			links: 350,
			lost:  350,
			last: map[resignCause]lastResignation{
				causeLag: {
					at:    at.Add(-minResignGap + 1),
					count: 1,
				},
			},
			cause: causeLinks,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			host := goodHost(at)
			host.reaches = !tt.unreached
			sample := lagSample{
				began:      lagStart,
				links:      tt.links,
				milliCores: 800,
				hosts:      []knownHost{host},
			}
			during := tt.during
			if during == 0 {
				during = 2 * lagTime
			}
			judge := &lagJudge{
				last: tt.last,
			}
			feed(judge, sample, at.Add(-during), tick)
			sample.lost = tt.lost
			verdict := feed(judge, sample, at, during-tick)
			assert.Equal(t, tt.cause, verdict.cause)
			assert.Equal(t, tt.withheld, verdict.withheld)
		})
	}
}

// A host that reaches the lost workers but not the others is no better, nor is
// one that reaches what this host could reach as well.
func TestBetterReach(t *testing.T) {
	const lost, kept = 8, 4
	tests := map[string]struct {
		own, reached uint64
		unknown      bool
		better       bool
	}{
		"all": {
			own:     0xf00,
			reached: 0xfff,
			better:  true,
		},
		"most of the lost ones": {
			own:     0xf00,
			reached: 0xf3f,
			better:  true,
		},
		"fewer of the lost ones": {
			own:     0xf00,
			reached: 0xf1f,
		},
		"not all others": {
			own:     0xf00,
			reached: 0x7ff,
		},
		"this host reaches a quarter": {
			own:     0xf03,
			reached: 0xfff,
			better:  true,
		},
		"this host reaches more": {
			own:     0xf07,
			reached: 0xfff,
		},
		"own reach is not known": {
			reached: 0xfff,
			unknown: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			test := &reachTest{
				probe: Probe{
					Number:  1,
					Workers: make([]netip.AddrPort, lost+kept),
				},
				lost:     lost,
				own:      tt.own,
				ownKnown: !tt.unknown,
			}
			assert.Equal(t, tt.better, test.betterReach(tt.reached))
		})
	}
}

// A probe covers workers of the whole list, not only those with the first ids.
func TestProbeIsSpreadOverAllWorkers(t *testing.T) {
	var all []netip.AddrPort
	for port := range 100 {
		all = append(all, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)))
	}
	chosen := spread(all)
	assert.Len(t, chosen, maxProbed)
	assert.Greater(t, chosen[maxProbed-1].Port(), uint16(80))
	assert.Equal(t, all[:3], spread(all[:3]))
	assert.Empty(t, spread(nil))
}

// Failure: the leader's host loses its links to the workers, while another host
// reaches them. If the workers are gone for every host, the leader stays.
func TestLeaderWithoutLinksResigns(t *testing.T) {
	// maxDetection is the timeout of a poll, lagTime, two probes and the change.
	const maxDetection = pollWait + callTimeout + lagTime + 2*probeInterval + time.Second
	tests := map[string]struct {
		othersReach uint64
		resigns     bool
	}{
		"another host reaches the workers": {
			othersReach: 3,
			resigns:     true,
		},
		"no host does": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			config := s.leaderConfig("recife-1")
			cut := make(chan struct{})
			isCut := func() bool {
				select {
				case <-cut:
					return true
				default:
					return false
				}
			}
			poll := config.Calls.Poll
			config.Calls.Poll = func(ctx context.Context, target Target, order Poll) (schedule.Inventory, time.Duration, error) {
				if isCut() {
					return schedule.Inventory{}, 0, errors.New("no route to worker")
				}
				return poll(ctx, target, order)
			}
			var first *Group
			config.Reach = func(context.Context, netip.AddrPort) bool { return false }
			config.SendProbe = func(host string, probe Probe) {
				first.Report(host, HostReport{
					MilliCores: 800,
					Probe:      probe.Number,
					Reached:    tt.othersReach,
				})
			}
			first = s.startConfigured(t.Context(), config, shard.Solo())
			s.submit("settled")
			s.waitCompleted(first.leaders[0], "settled")
			second := s.startGroup(t.Context(), "olinda-1", shard.Solo())
			good := &reporter{
				to:   first,
				host: "olinda-1",
			}
			go good.run(t.Context())
			time.Sleep(settleTime)
			close(cut)
			cutAt := time.Now()
			if !tt.resigns {
				time.Sleep(maxDetection)
				assert.True(t, first.leaders[0].leading.Load())
				return
			}
			require.Eventually(t, second.leaders[0].leading.Load, waitTimeout, time.Millisecond)
			assert.Less(t, time.Since(cutAt), maxDetection)
			s.submit("a")
			s.waitCompleted(second.leaders[0], "a")
		})
	}
}
