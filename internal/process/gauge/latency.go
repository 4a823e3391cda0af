// Package gauge keeps latency histograms for the metrics page.
package gauge

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The range of a histogram in microseconds, and its precision.
	shortest = 1
	longest  = 60_000_000
	digits   = 2
)

// Latencies are histograms by name. They are an expvar.Var and safe for
// concurrent use.
type Latencies struct {
	mu    sync.Mutex
	named map[string]*hdrhistogram.Histogram
}

// NewLatencies returns an empty set.
func NewLatencies() *Latencies {
	return &Latencies{
		named: map[string]*hdrhistogram.Histogram{},
	}
}

// Note records one duration.
func (l *Latencies) Note(name string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.named[name]
	if one == nil {
		one = hdrhistogram.New(shortest, longest, digits)
		l.named[name] = one
	}
	_ = one.RecordValue(min(longest, max(shortest, took.Microseconds()))) // within its range
}

// Summary is a histogram as the metrics page shows it.
type Summary struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// String implements expvar.Var.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Summary, len(l.named))
	const microseconds = 1000.0
	for name, one := range l.named {
		out[name] = Summary{
			Count: one.TotalCount(),
			P50MS: float64(one.ValueAtQuantile(50)) / microseconds,
			P95MS: float64(one.ValueAtQuantile(95)) / microseconds,
			P99MS: float64(one.ValueAtQuantile(99)) / microseconds,
			MaxMS: float64(one.Max()) / microseconds,
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "{}" // finite numbers always marshal
	}
	return string(text)
}
