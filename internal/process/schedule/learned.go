package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/locality"
)

// Learned is what a leader has learned and passes on to its successor. Load
// pattern: leaders are restarted one after the other; each would have to learn
// every pair of images again, at the cost of the serving tasks' latency. It is
// advisory: an old or missing one does no harm.
type Learned struct {
	Coefficients []LearnedCoefficient `cbor:"1,keyasint"`
	// MeanBaseline is the mean headroom without fillers by serving image.
	MeanBaseline map[string]float64 `cbor:"2,keyasint"`
	// Factors correct estimates of run times, Work is the mean work of a job,
	// in millicore-seconds, both by queue.
	Factors map[string]float64 `cbor:"3,keyasint"`
	Work    map[string]float64 `cbor:"4,keyasint"`
	// Limits holds the last known limit of each organisation, which applies to
	// its open jobs after it has left the configuration.
	Limits map[string]worker.Size `cbor:"5,keyasint,omitempty"`
	// Placement is what each queue has shown of its run times on preferred racks
	// and of its waits for them.
	Placement map[string]*locality.Experience `cbor:"8,keyasint,omitempty"`
}

// LearnedCoefficient is the interference coefficient of one pair of images.
type LearnedCoefficient struct {
	Serving     string  `cbor:"1,keyasint"`
	Filler      string  `cbor:"2,keyasint"`
	Coefficient float64 `cbor:"3,keyasint"`
	Variance    float64 `cbor:"4,keyasint"`
}

// Learned returns the learned values in a fixed order. The maps are the board's
// own: they change with its next input.
func (b *Board) Learned() Learned {
	out := Learned{
		MeanBaseline: b.interference.meanBaseline,
		Factors:      b.estimates.factors,
		Work:         b.estimates.work,
		Limits:       b.quotas.Limits(),
		Placement:    b.placement.experience,
	}
	for key, known := range b.interference.coefficients {
		out.Coefficients = append(out.Coefficients, LearnedCoefficient{
			Serving:     key.serving,
			Filler:      key.filler,
			Coefficient: known.value,
			Variance:    known.variance,
		})
	}
	slices.SortFunc(out.Coefficients, func(a, c LearnedCoefficient) int {
		return cmp.Or(cmp.Compare(a.Serving, c.Serving), cmp.Compare(a.Filler, c.Filler))
	})
	return out
}

// RestoreLearned restores what an earlier leader has learned.
func (b *Board) RestoreLearned(learned Learned, now time.Time) {
	for _, entry := range learned.Coefficients {
		b.interference.coefficients[pair{
			serving: entry.Serving,
			filler:  entry.Filler,
		}] = &estimate{
			value:    max(0, min(maxCoefficient, entry.Coefficient)),
			variance: max(0, entry.Variance),
			at:       now,
		}
	}
	for image, baseline := range learned.MeanBaseline {
		b.interference.meanBaseline[image] = baseline
	}
	for queue, factor := range learned.Factors {
		b.estimates.factors[queue] = factor
	}
	for queue, mean := range learned.Work {
		b.estimates.work[queue] = mean
	}
	b.quotas.RestoreLimits(learned.Limits)
	b.placement.restore(learned.Placement)
}
