package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Resignations that do not help, since the load and not the host is the cause,
// would stop the starts for a tenth of the time if they did not get rarer.
func TestResignationsInARowGetRarer(t *testing.T) {
	judge, at := &lagJudge{}, lagStart
	for _, wait := range []time.Duration{1, 2, 4, 8, 16, 16} {
		judge.resigned(causeLag, at)
		next := judge.last[causeLag].nextAt()
		assert.Equal(t, wait*minResignGap, next.Sub(at))
		at = next
	}
	judge.resigned(causeLag, at.Add(32*minResignGap))
	assert.Equal(t, 1, judge.last[causeLag].count, "the series is over")
}

// The minimum time must hold for the successor too, whose clock has another
// origin, and must not be lost by a second, planned change.
func TestResignationIsKnownToSuccessors(t *testing.T) {
	first := &lagJudge{}
	first.resigned(causeLag, lagStart)
	second := &lagJudge{}
	secondStart := lagStart.Add(1000 * time.Hour)
	second.restore(first.past(lagStart), secondStart)
	third := &lagJudge{}
	third.restore(second.past(secondStart.Add(4*time.Second)), lagStart)
	assert.Equal(t, lagStart.Add(-4*time.Second), third.last[causeLag].at)
	assert.Equal(t, 1, third.last[causeLag].count)

	own := lagStart.Add(time.Second)
	third.resigned(causeLag, own)
	third.restore(first.past(lagStart.Add(time.Hour)), own)
	assert.Equal(t, own, third.last[causeLag].at, "an older record does not replace what this host knows")
	third.restore(map[resignCause]pastResignation{
		causeLag: {
			Age:   -time.Hour,
			Count: 1000,
		},
	}, own)
	assert.LessOrEqual(t, third.last[causeLag].nextAt().Sub(own), minResignGap<<maxGapDoublings,
		"a malformed record delays the next resignation by a bounded time")
}
