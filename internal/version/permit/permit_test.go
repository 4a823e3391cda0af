package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

const term = 2 * time.Second

var start = time.Unix(100, 0)

func TestMain(m *testing.M) {
	golden.Main(m, 100)
}

func TestPermit(t *testing.T) {
	hosts := []string{"a", "b"}
	tests := map[string]struct {
		arrange func(p *Permit)
		// until is when the permit expires, after start; negative means never
		// granted.
		until time.Duration
	}{
		"no start is allowed before a version is known": {
			arrange: func(p *Permit) { p.Confirmed(0, start) },
			until:   -1,
		},
		"a confirmation is valid for one term": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.Confirmed(3, start)
			},
			until: term,
		},
		"a confirmation of an older version does not count": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.Confirmed(2, start)
			},
			until: -1,
		},
		"a newer version ends the confirmation of the old one": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.Confirmed(3, start)
				p.InForce(4)
			},
			until: -1,
		},
		"in a store outage every host must report that it accepts no note": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.NotAccepting("a", 3, start.Add(time.Second))
			},
			until: -1,
		},
		"the earliest of these reports counts": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.NotAccepting("a", 3, start.Add(time.Second))
				p.NotAccepting("b", 3, start.Add(2*time.Second))
			},
			until: time.Second + term,
		},
		"a host that may accept a note ends the permit": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.NotAccepting("a", 3, start)
				p.NotAccepting("b", 3, start)
				p.MayAccept("b")
			},
			until: -1,
		},
		"a report from a host with another version does not count": {
			arrange: func(p *Permit) {
				p.InForce(3)
				p.NotAccepting("a", 3, start)
				p.NotAccepting("b", 3, start)
				p.NotAccepting("b", 4, start.Add(time.Second))
			},
			until: -1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Config{
				Term: term,
			})
			test.arrange(p)
			if test.until < 0 {
				assert.True(t, p.Until(hosts).IsZero())
				return
			}
			assert.Equal(t, start.Add(test.until), p.Until(hosts))
		})
	}
}

// TestNeverLaterThanATerm guards against tasks that start under an outdated
// version. It draws schedules of accepted release notes, confirmations and
// reports of hosts that accept none. The permit must expire within a term after
// a newer note was accepted, even if this host has not received it.
func TestNeverLaterThanATerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{
			Term: term,
		})
		p.InForce(1)
		now, acceptedAt := start, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"confirm", "a accepts none", "b accepts none", "accept", "peer"}).Draw(t, "event") {
			case "confirm":
				if acceptedAt.IsZero() {
					p.Confirmed(1, now)
				}
			case "peer":
				age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
				if asOf := now.Add(-age); acceptedAt.IsZero() || asOf.Before(acceptedAt) {
					p.Confirmed(1, asOf)
				}
			case "a accepts none":
				p.NotAccepting("a", 1, now)
			case "b accepts none":
				if acceptedAt.IsZero() {
					p.NotAccepting("b", 1, now)
				}
			case "accept":
				if acceptedAt.IsZero() {
					acceptedAt = now // by b, which stops reporting; a does not learn of it
				}
			}
			if !acceptedAt.IsZero() {
				require.False(t, p.Until([]string{"a", "b"}).After(acceptedAt.Add(term)))
			}
		}
	})
}
