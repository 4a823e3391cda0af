package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stats collects answers of one kind of call.
type Stats struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	succeeded int
	total     int
	outcomes  map[string]int
	errors    []string
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		latency:  hdrhistogram.New(1, (30 * time.Second).Microseconds(), 3),
		outcomes: map[string]int{},
	}
}

// Add records one answer.
func (s *Stats) Add(answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if answer.Succeeded() {
		s.succeeded++
		_ = s.latency.RecordValue(answer.Took.Microseconds())
		return
	}
	kind := fmt.Sprintf("%d/%s", answer.Status, answer.Outcome)
	if answer.Err != nil {
		kind = "broken"
	}
	s.outcomes[kind]++
	if len(s.errors) < 3 {
		s.errors = append(s.errors, fmt.Sprintf("%s %v %s", kind, answer.Err, answer.Body))
	}
}

// Quantile returns the latency at a percentile of the successful calls, in
// milliseconds.
func (s *Stats) Quantile(q float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.latency.ValueAtQuantile(q)) / 1000
}

// Success returns the share of successful calls, in percent.
func (s *Stats) Success() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total == 0 {
		return 0
	}
	return 100 * float64(s.succeeded) / float64(s.total)
}

// Report collects violations, figures and notes and prints them, a line each,
// the violations first.
type Report struct {
	out          io.Writer
	violations   []string
	lines        []string
	targetMissed bool
}

// NewReport returns an empty report.
func NewReport(out io.Writer) *Report {
	return &Report{
		out: out,
	}
}

// AddViolations adds violations.
func (r *Report) AddViolations(violations ...string) {
	r.violations = append(r.violations, violations...)
}

// Figure adds a figure without a target.
func (r *Report) Figure(name string, value float64, unit string) {
	r.lines = append(r.lines, fmt.Sprintf("figure %s %.3f %s", name, value, unit))
}

// AtMost adds a figure with an upper bound.
func (r *Report) AtMost(name string, value float64, unit string, bound float64) {
	r.addBounded(name, value, unit, "<=", bound, value <= bound)
}

// AtLeast adds a figure with a lower bound.
func (r *Report) AtLeast(name string, value float64, unit string, bound float64) {
	r.addBounded(name, value, unit, ">=", bound, value >= bound)
}

func (r *Report) addBounded(name string, value float64, unit, relation string, bound float64, met bool) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
		r.targetMissed = true
	}
	r.lines = append(r.lines, fmt.Sprintf("figure %s %.3f %s target %s%.3f %s", name, value, unit, relation, bound, verdict))
}

// Note adds a line of explanation.
func (r *Report) Note(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("note "+format, args...))
}

// maxPrintedViolations bounds the printed violations; further ones are counted.
const maxPrintedViolations = 20

// Finish prints the report and returns the exit status: 1 if there are
// violations or a target is missed.
func (r *Report) Finish() int {
	_, _ = fmt.Fprintf(r.out, "figure violations %d count target 0\n", len(r.violations))
	slices.Sort(r.violations)
	for i, violation := range r.violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(r.out, "violation ... and %d more\n", len(r.violations)-i)
			break
		}
		_, _ = fmt.Fprintln(r.out, "violation", violation)
	}
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(r.out, line)
	}
	if len(r.violations) > 0 || r.targetMissed {
		return 1
	}
	return 0
}

// addOutcomes adds the number of calls, the outcomes of those that failed and
// examples of their errors.
func (r *Report) addOutcomes(name string, s *Stats) {
	r.Figure(name+"_total", float64(s.total), "requests")
	for kind, count := range s.outcomes {
		r.Note("%s ended %s: %d", name, kind, count)
	}
	for _, text := range s.errors {
		r.Note("%s e.g. %s", name, text)
	}
}
