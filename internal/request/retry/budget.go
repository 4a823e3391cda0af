// Package retry limits how many extra sends (retries and hedges) a service may
// cause, and computes when a hedge is sent. It does no I/O.
package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// earnedPerRequest is the fraction of an extra send that each request adds.
	earnedPerRequest = 0.08
	// maxBalance is the largest number of extra sends that can accumulate.
	maxBalance = 40
	// hedgeQuantile is the latency percentile that the hedge delay is based on.
	hedgeQuantile = 95
	// minHedgeDelay avoids hedging requests to services that answer fast anyway.
	minHedgeDelay = 2 * time.Millisecond
	// maxLatency is the largest latency that the histogram records.
	maxLatency        = time.Minute
	significantDigits = 2
	// latencyWindow is how long a latency is kept. Two histograms, one for each
	// half of it, are rotated.
	latencyWindow = 10 * time.Second
	// minSamples is how many latencies are needed for a quantile.
	minSamples = 50
)

// Budget is the retry budget and the recent latencies of one service. It is not
// safe for concurrent use.
type Budget struct {
	balance           float64
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// NewBudget returns a budget that is a quarter full, so that extra sends are
// possible before the first requests have added to it.
func NewBudget() *Budget {
	return &Budget{
		balance:  maxBalance / 4,
		current:  newHistogram(),
		previous: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// RecordRequest adds the fraction of an extra send that a new request earns,
// whether or not the request is then shed.
func (b *Budget) RecordRequest() {
	b.balance = min(b.balance+earnedPerRequest, maxBalance)
}

// RecordLatency records the time from send to answer.
func (b *Budget) RecordLatency(took time.Duration, at time.Time) {
	if at.Sub(b.rotatedAt) > latencyWindow/2 {
		b.rotatedAt = at
		b.current, b.previous = b.previous, b.current
		b.current.Reset()
	}
	_ = b.current.RecordValue(min(took, maxLatency).Microseconds())
}

// Spend takes one extra send out of the budget and reports whether there was
// one.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// HedgeDelay returns how long to wait for an answer before a second send: a
// quarter longer than the hedgeQuantile. It returns false while there are too
// few latencies.
func (b *Budget) HedgeDelay() (time.Duration, bool) {
	if b.largerHalf().TotalCount() < minSamples {
		return 0, false
	}
	quantile := b.Quantile(hedgeQuantile)
	return max(quantile+quantile/4, minHedgeDelay), true
}

// largerHalf returns the half of the window with more samples.
func (b *Budget) largerHalf() *hdrhistogram.Histogram {
	if b.current.TotalCount() > b.previous.TotalCount() {
		return b.current
	}
	return b.previous
}

// Quantile returns a percentile, 0 to 100, of the recent latencies. It is 0
// without any.
func (b *Budget) Quantile(percent float64) time.Duration {
	return time.Duration(b.largerHalf().ValueAtQuantile(percent)) * time.Microsecond
}

// Balance returns how many extra sends may be spent now.
func (b *Budget) Balance() float64 {
	return b.balance
}
