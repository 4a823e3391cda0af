package credit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/golden"
)

const (
	testTerm           = 1500 * time.Millisecond
	testMaxRequestTime = time.Second
	limit              = 8 // slots per runner
)

func TestMain(m *testing.M) {
	golden.Main(m, 3000) // schedules are cheap, and those that could fail are rare
}

// borrowerHost is one borrower. The requests that it has sent run at the
// runners until they end, even if the borrower is replaced.
type borrowerHost struct {
	name     string
	borrower *Borrower
	paused   bool
}

// runningRequest is one request at a runner.
type runningRequest struct {
	runner string
	owner  *borrowerHost
	endsAt time.Time
}

// model simulates one lender, some borrowers, and the messages between them,
// which may be lost, repeated and late.
type model struct {
	now          time.Time
	lender       *Lender
	epoch        uint64
	hosts        []*borrowerHost
	running      []runningRequest
	reports      []reportInFlight
	grants       []grantInFlight
	incarnations int
	limits       map[string]int
	lenderUp     bool
}

type reportInFlight struct {
	from   string
	report message.CreditReport
}

type grantInFlight struct {
	to    *borrowerHost
	grant message.CreditGrant
}

func newModel(hosts int) *model {
	m := &model{
		now:      time.Unix(1000, 0),
		limits:   map[string]int{"r1": limit, "r2": limit, "r3": limit},
		lenderUp: true,
	}
	for i := range hosts {
		m.hosts = append(m.hosts, m.newBorrowerHost(i))
	}
	m.newLender(nil)
	m.now = m.now.Add(testTerm + testMaxRequestTime + time.Second)
	return m
}

func (m *model) newBorrowerHost(i int) *borrowerHost {
	m.incarnations++
	host := &borrowerHost{
		name: fmt.Sprintf("host%d", i),
		borrower: NewBorrower(BorrowerConfig{
			Term:        testTerm,
			Incarnation: fmt.Sprintf("run%d", m.incarnations),
		}),
	}
	host.borrower.SetLenders(map[string]string{"r1": "l", "r2": "l", "r3": "l"})
	return host
}

func (m *model) newLender(handover *message.Handover) {
	m.epoch++
	m.lender = NewLender(LenderConfig{
		Name:           "l",
		Term:           testTerm,
		MaxRequestTime: testMaxRequestTime,
	})
	m.lender.SetLimits(m.limits)
	m.lender.Begin(m.epoch, handover, m.now)
}

// finishRequests ends the requests whose time is over.
func (m *model) finishRequests() {
	kept := m.running[:0]
	for _, request := range m.running {
		if request.endsAt.After(m.now) {
			kept = append(kept, request)
			continue
		}
		request.owner.borrower.Return(request.runner)
	}
	m.running = kept
}

func (m *model) atRunner(runner string) int {
	count := 0
	for _, request := range m.running {
		if request.runner == runner {
			count++
		}
	}
	return count
}

// events are the possible events; those listed several times are drawn more
// often.
var events = []string{
	"send", "send", "exchange", "exchange", "exchange", "report", "lend", "grant",
	"lose", "repeat", "wait", "wait", "pause", "resume", "replace", "takeover", "handover",
}

// applyEvent draws one event and applies it.
func (m *model) applyEvent(t *rapid.T) {
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "send":
		m.send(host, rapid.SampledFrom([]time.Duration{testMaxRequestTime / 10, testMaxRequestTime}).Draw(t, "length"))
	case "report":
		m.report(host, rapid.SampledFrom([]int{0, 1, 8, 24}).Draw(t, "demand"))
	case "exchange":
		m.report(host, rapid.SampledFrom([]int{0, 1, 8, 24}).Draw(t, "demand"))
		for len(m.reports) > 0 {
			m.processReport()
		}
		for len(m.grants) > 0 {
			m.deliverGrant()
		}
	case "lend":
		m.processReport()
	case "grant":
		m.deliverGrant()
	case "lose":
		if len(m.grants) > 0 {
			m.grants = m.grants[1:]
		}
	case "repeat":
		if len(m.reports) > 0 {
			m.reports = append(m.reports, m.reports[0])
		}
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 700, 1400}).Draw(t, "ms")) * time.Millisecond)
	case "pause":
		host.paused = true
	case "resume":
		host.paused = false
	case "replace":
		for i := range m.hosts {
			if m.hosts[i] == host {
				m.hosts[i] = m.newBorrowerHost(i)
			}
		}
	case "takeover":
		m.newLender(nil)
	case "handover":
		m.newLender(m.lender.Close(m.now))
	}
}

// send takes every free slot of a host.
func (m *model) send(host *borrowerHost, length time.Duration) {
	for runner := range m.limits {
		for !host.paused && host.borrower.Free(runner, m.now) > 0 {
			host.borrower.Use(runner)
			m.running = append(m.running, runningRequest{
				runner: runner,
				owner:  host,
				endsAt: m.now.Add(length),
			})
		}
	}
}

func (m *model) report(host *borrowerHost, demand int) {
	if host.paused {
		return
	}
	m.reports = append(m.reports, reportInFlight{
		from:   host.name,
		report: m.reportOf(host, demand),
	})
}

// reportOf returns a report addressed to the current lender.
func (m *model) reportOf(host *borrowerHost, demand int) message.CreditReport {
	report := host.borrower.Report("l", demand, m.now)
	report.LenderEpoch = m.epoch
	return report
}

func (m *model) processReport() {
	if len(m.reports) == 0 {
		return
	}
	next := m.reports[0]
	m.reports = m.reports[1:]
	grant, ok := m.lender.Report(next.from, true, next.report, m.now)
	if !ok {
		return
	}
	for _, host := range m.hosts {
		if host.name == next.from {
			m.grants = append(m.grants, grantInFlight{
				to:    host,
				grant: grant,
			})
		}
	}
}

func (m *model) deliverGrant() {
	if len(m.grants) == 0 {
		return
	}
	next := m.grants[0]
	m.grants = m.grants[1:]
	if !next.to.paused {
		next.to.borrower.Grant(next.grant)
	}
}

// TestNeverOverTheLimit guards against more requests at a runner than its
// limit. It draws schedules of requests, lost, repeated and late messages,
// pauses, replaced hosts and changes of lender.
func TestNeverOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		for range rapid.IntRange(10, 300).Draw(t, "events") {
			m.applyEvent(t)
			m.finishRequests()
			for runner := range m.limits {
				require.LessOrEqual(t, m.atRunner(runner), limit, "requests at %s", runner)
			}
		}
	})
}

func TestShares(t *testing.T) {
	tests := map[string]struct {
		demands  map[string]int
		local    map[string]bool
		minSlots map[string]int
	}{
		"one busy host gets nearly all slots": {
			demands:  map[string]int{"a": 24, "b": 0, "c": 0},
			local:    map[string]bool{"a": true, "b": true, "c": true},
			minSlots: map[string]int{"a": 20},
		},
		"equal demands share equally": {
			demands:  map[string]int{"a": 24, "b": 24, "c": 24},
			local:    map[string]bool{"a": true, "b": true, "c": true},
			minSlots: map[string]int{"a": 7, "b": 7, "c": 7},
		},
		"local demand is met before that of other zones": {
			demands:  map[string]int{"a": 24, "b": 24},
			local:    map[string]bool{"a": true},
			minSlots: map[string]int{"a": 23},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(0)
			got := map[string]int{}
			applied := map[string]uint64{}
			for round := range 8 {
				for _, host := range []string{"a", "b", "c"} {
					demand, listed := test.demands[host]
					if !listed {
						continue
					}
					grant, ok := m.lender.Report(host, test.local[host], message.CreditReport{
						Lender:      "l",
						Seq:         uint64(round + 1),
						Epoch:       m.epoch,
						Grant:       applied[host],
						Demand:      demand,
						LenderEpoch: m.epoch,
						Incarnation: "run",
					}, m.now)
					require.True(t, ok)
					applied[host] = grant.Grant
					got[host] = 0
					for _, slots := range grant.Slots {
						got[host] += slots
					}
				}
			}
			for host, minSlots := range test.minSlots {
				assert.GreaterOrEqual(t, got[host], minSlots, "%v", got)
			}
		})
	}
}

func TestLateGrantsChangeNothing(t *testing.T) {
	m := newModel(1)
	host := m.hosts[0]
	first := m.reportOf(host, 8)
	early, ok := m.lender.Report(host.name, true, first, m.now)
	require.True(t, ok)
	require.True(t, host.borrower.Grant(early))
	assert.False(t, host.borrower.Grant(early), "a repeated grant")
	m.now = m.now.Add(testTerm)
	assert.Zero(t, host.borrower.Free("r1", m.now), "the term runs from when the report was sent")
}

// TestOldReportFreesNothing guards against slots that are lent twice. A report
// that was sent before its host received a grant must not release the slots of
// that grant.
func TestOldReportFreesNothing(t *testing.T) {
	m := newModel(2)
	slow, other := m.hosts[0], m.hosts[1]
	first, second := m.reportOf(slow, 24), m.reportOf(slow, 0)
	late, ok := m.lender.Report(slow.name, true, first, m.now)
	require.True(t, ok)
	_, ok = m.lender.Report(other.name, true, m.reportOf(other, 24), m.now)
	require.True(t, ok)
	_, ok = m.lender.Report(slow.name, true, second, m.now)
	require.True(t, ok)
	for range 3 {
		grant, granted := m.lender.Report(other.name, true, m.reportOf(other, 24), m.now)
		require.True(t, granted)
		other.borrower.Grant(grant)
	}
	slow.borrower.Grant(late)
	for runner := range m.limits {
		assert.LessOrEqual(t, slow.borrower.Free(runner, m.now)+other.borrower.Free(runner, m.now), limit, runner)
	}
}

// TestIdleBorrowerComesBack guards against a returning borrower that refuses
// all grants. After its account has expired, the next report must be answered
// with a grant that it accepts as newer.
func TestIdleBorrowerComesBack(t *testing.T) {
	m := newModel(1)
	host := m.hosts[0]
	for range 5 {
		grant, ok := m.lender.Report(host.name, true, m.reportOf(host, 8), m.now)
		require.True(t, ok)
		require.True(t, host.borrower.Grant(grant))
	}
	m.now = m.now.Add(time.Minute)
	grant, ok := m.lender.Report(host.name, true, m.reportOf(host, 8), m.now)
	require.True(t, ok)
	require.True(t, host.borrower.Grant(grant), "the grant is newer than those before")
	assert.Equal(t, limit, host.borrower.Free("r1", m.now))
}
