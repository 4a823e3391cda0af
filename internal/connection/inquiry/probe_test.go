package inquiry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/leader"
)

// A leader that has lost its links learns from another host which workers that
// host reaches. Without the answer it would keep workers that it cannot use.
func TestHostAnswersAProbe(t *testing.T) {
	leading := newTestHost(t, "recife-1", leader.HostReport{})
	other := newTestHost(t, "olinda-1", leader.HostReport{
		MilliCores: 800,
	})
	other.client.SetLeader(0, leading.self)
	require.Eventually(t, func() bool { return len(leading.reportsOf("olinda-1")) > 0 }, waitTimeout, time.Millisecond)
	probe := leader.Probe{
		Number: 7,
		Workers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:1"),
			netip.MustParseAddrPort("127.0.0.1:2"),
			netip.MustParseAddrPort("127.0.0.1:1"),
		},
	}
	var answered leader.HostReport
	require.Eventually(t, func() bool {
		leading.client.Probe("olinda-1", probe) // the link back may not be up yet
		for _, report := range leading.reportsOf("olinda-1") {
			if report.Probe == probe.Number {
				answered = report
			}
		}
		return answered.Probe != 0
	}, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, leader.HostReport{
		MilliCores: 800,
		Probe:      7,
		Reached:    0b101,
	}, answered)
}

// Only a leader may make a host open connections.
func TestProbeOfAnotherHostIsIgnored(t *testing.T) {
	leading := newTestHost(t, "recife-1", leader.HostReport{})
	other := newTestHost(t, "olinda-1", leader.HostReport{})
	other.client.SetLeader(0, leading.self)
	probe := &message.Probe{
		Number:  7,
		Workers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
	}
	other.client.answerProbe(t.Context(), "jaboatao-1", probe)
	other.client.answerProbe(t.Context(), "recife-1", probe)
	require.Eventually(t, func() bool { return other.tried.Load() > 0 && !other.client.probing.Load() }, waitTimeout, time.Millisecond)
	assert.EqualValues(t, 1, other.tried.Load(), "only the leader's probe is answered")
}
