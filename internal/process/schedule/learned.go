package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Learned is what a holder has found out and the next one need not find out
// again. Load pattern: holders are stopped one after the other; each would try
// every pair of images anew, at the cost of the serving tasks' tails. It is
// advice: nothing goes wrong without it, or with an older one.
type Learned struct {
	Presses []LearnedPress `cbor:"1,keyasint"`
	// Typical is the usual headroom without fillers by serving image.
	Typical map[string]float64 `cbor:"2,keyasint"`
	// Factors correct estimates of run times, Work is the mean work of a job,
	// in thousandths of core-seconds, both by queue.
	Factors map[string]float64 `cbor:"3,keyasint"`
	Work    map[string]float64 `cbor:"4,keyasint"`
}

// LearnedPress is what is known of one pair of images.
type LearnedPress struct {
	Serving  string  `cbor:"1,keyasint"`
	Filler   string  `cbor:"2,keyasint"`
	Press    float64 `cbor:"3,keyasint"`
	Variance float64 `cbor:"4,keyasint"`
}

// Learned returns what is known, in a fixed order.
func (b *Board) Learned() Learned {
	out := Learned{
		Typical: b.interference.typical,
		Factors: b.estimates.factors,
		Work:    b.estimates.work,
	}
	for key, known := range b.interference.presses {
		out.Presses = append(out.Presses, LearnedPress{
			Serving:  key.serving,
			Filler:   key.filler,
			Press:    known.value,
			Variance: known.variance,
		})
	}
	slices.SortFunc(out.Presses, func(a, c LearnedPress) int {
		return cmp.Or(cmp.Compare(a.Serving, c.Serving), cmp.Compare(a.Filler, c.Filler))
	})
	return out
}

// Recall takes over what an earlier holder has learned.
func (b *Board) Recall(learned Learned, now time.Time) {
	for _, one := range learned.Presses {
		b.interference.presses[pair{
			serving: one.Serving,
			filler:  one.Filler,
		}] = &belief{
			value:    max(0, min(mostPress, one.Press)),
			variance: max(0, one.Variance),
			at:       now,
		}
	}
	for image, own := range learned.Typical {
		b.interference.typical[image] = own
	}
	for queue, factor := range learned.Factors {
		b.estimates.factors[queue] = factor
	}
	for queue, mean := range learned.Work {
		b.estimates.work[queue] = mean
	}
}
