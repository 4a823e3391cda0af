package rank

import (
	"math"
	"time"
)

// tally counts the recent jobs of a group and how much of them was started
// before they were late. Each job counts by the time of its arrival, with the
// same weight for what was asked for and what was served.
type tally struct {
	asked, served float64
	// deficit is how far the group is behind, zero if it is not. It holds until
	// the next call of Sort.
	deficit float64
}

func (t *tally) share() float64 {
	if t.asked <= 0 {
		return 1
	}
	return t.served / t.asked
}

func (t *tally) scale(factor float64) {
	t.asked *= factor
	t.served *= factor
}

// behind returns how far the tally's share is below a part of another share.
func (t *tally) behind(part, other float64) float64 {
	if other <= 0 {
		return 0
	}
	return max(0, part-t.share()/other)
}

// epoch gives arrivals weights that rise with time, so that the sums of earlier
// ones need no decay.
type epoch struct {
	start time.Time
}

// maxEpoch limits the weights, which are at most e to the power of maxEpoch.
const maxEpoch = 20

// weight returns the weight of a job that arrived at a time, and the factor by
// which the sums so far must be multiplied, which is one but for rare cases.
func (e *epoch) weight(arrived time.Time) (weight, factor float64) {
	factor = 1
	elapsed := float64(arrived.Sub(e.start)) / float64(memory)
	if e.start.IsZero() || elapsed > maxEpoch {
		factor = math.Exp(-elapsed)
		if e.start.IsZero() {
			factor = 0
		}
		e.start, elapsed = arrived, 0
	}
	return math.Exp(min(elapsed, maxEpoch)), factor
}
