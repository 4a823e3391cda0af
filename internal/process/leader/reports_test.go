package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Reports that stop and start again, or that show lag in between, say nothing
// about the time before.
func TestReportsAreSteadyOnlyWithoutGap(t *testing.T) {
	type given struct {
		after time.Duration
		lag   time.Duration
	}
	tests := map[string]struct {
		reports []given
		keepsUp bool
	}{
		"one report": {
			reports: []given{{}},
		},
		"two reports": {
			reports: []given{{}, {
				after: steadyTime,
			}},
			keepsUp: true,
		},
		"a gap": {
			reports: []given{{}, {
				after: reportAge + 1,
			}},
		},
		"lag in between": {
			reports: []given{{}, {
				after: steadyTime / 2,
				lag:   maxHostLag + 1,
			}, {
				after: steadyTime / 2,
			}},
		},
		"lag now": {
			reports: []given{{}, {
				after: steadyTime,
				lag:   maxHostLag + 1,
			}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reports, now := newHostReports(), lagStart
			for _, each := range tt.reports {
				now = now.Add(each.after)
				reports.add("olinda-1", HostReport{
					MilliCores: 800,
					Lag:        each.lag,
				}, now)
			}
			known := reports.recent(now)
			assert.Len(t, known, 1)
			assert.Equal(t, tt.keepsUp, known[0].keepsUp(now))
			assert.Empty(t, reports.recent(now.Add(reportAge+1)), "old reports are forgotten")
		})
	}
}
