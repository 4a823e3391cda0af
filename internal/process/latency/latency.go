// Package latency records histograms of latencies and publishes them through
// expvar.
package latency

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The range and the precision of each histogram; durations outside the
	// range count at its ends.
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 2
)

// Latencies is a set of named latency histograms. It implements expvar.Var and
// is safe for concurrent use.
type Latencies struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewLatencies returns an empty set.
func NewLatencies() *Latencies {
	return &Latencies{
		histograms: map[string]*hdrhistogram.Histogram{},
	}
}

// Record records one duration in the named histogram.
func (l *Latencies) Record(name string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	histogram := l.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
		l.histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(maxMicroseconds, max(minMicroseconds, took.Microseconds()))) // cannot fail: the value is within the range
}

// Summary is a histogram as the metrics page shows it, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// String implements expvar.Var: a JSON object of summaries by name.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	summaries := make(map[string]Summary, len(l.histograms))
	const microsecondsPerMillisecond = 1000.0
	for name, histogram := range l.histograms {
		summaries[name] = Summary{
			Count: histogram.TotalCount(),
			P50MS: float64(histogram.ValueAtQuantile(50)) / microsecondsPerMillisecond,
			P95MS: float64(histogram.ValueAtQuantile(95)) / microsecondsPerMillisecond,
			P99MS: float64(histogram.ValueAtQuantile(99)) / microsecondsPerMillisecond,
			MaxMS: float64(histogram.Max()) / microsecondsPerMillisecond,
		}
	}
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}" // finite numbers always marshal
	}
	return string(text)
}
