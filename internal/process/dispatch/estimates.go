package dispatch

import (
	"math"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

const (
	// minSamples is the number of jobs that must have been sampled before
	// declared sizes are corrected.
	minSamples = 5
	// maxSamples bounds the samples kept per class and customer.
	maxSamples = 64
	// sizeQuantile is the quantile of the samples that the estimate covers.
	sizeQuantile = 0.98
	// firstMargin is the safety margin with one sample, as a fraction of the
	// quantile; it shrinks with the square root of the number of samples.
	firstMargin = 0.5
	// minRatio and maxRatio bound the correction factor.
	minRatio = 0.2
	maxRatio = 6.0
)

// sampleKey identifies jobs that are expected to use similar parts of their
// declared sizes.
type sampleKey struct {
	class, customer string
}

// samples are the ratios of used to declared size of running and finished jobs.
type samples struct {
	cores, memory []float64
	// oldest is the index of the oldest sample once maxSamples are kept; it is
	// overwritten next.
	oldest int
}

// estimates corrects declared sizes by the measured usage of jobs of the same
// class and customer.
type estimates struct {
	byKey map[sampleKey]*samples
	// sampled holds the IDs of the unfinished jobs that have been sampled.
	sampled map[string]bool
}

func newEstimates() *estimates {
	return &estimates{
		byKey:   map[sampleKey]*samples{},
		sampled: map[string]bool{},
	}
}

// minRunMS is how long a task must have run, in milliseconds, for its usage to
// count.
const minRunMS = 200

// learn records a task's usage, once per job.
func (e *estimates) learn(record *job.Record, task worker.Task) {
	if task.RanMS < minRunMS || e.sampled[record.ID] || record.Size.MilliCores == 0 || record.Size.MemoryBytes == 0 {
		return
	}
	e.sampled[record.ID] = true
	key := sampleKey{
		class:    record.Class,
		customer: record.Customer,
	}
	observed := e.byKey[key]
	if observed == nil {
		observed = &samples{}
		e.byKey[key] = observed
	}
	observed.add(ratio(task.Used.MilliCores, record.Size.MilliCores), ratio(task.Used.MemoryBytes, record.Size.MemoryBytes))
}

func (s *samples) add(cores, memory float64) {
	if len(s.cores) < maxSamples {
		s.cores = append(s.cores, cores)
		s.memory = append(s.memory, memory)
		return
	}
	s.cores[s.oldest], s.memory[s.oldest] = cores, memory
	s.oldest = (s.oldest + 1) % maxSamples
}

// sizeFor returns the size to commit for the next attempt of a job: the
// declared size, corrected once there are enough samples.
func (e *estimates) sizeFor(record *job.Record) worker.Size {
	observed := e.byKey[sampleKey{
		class:    record.Class,
		customer: record.Customer,
	}]
	size := record.Size
	if observed == nil || len(observed.cores) < minSamples {
		return size
	}
	size.MilliCores = scale(size.MilliCores, observed.cores)
	size.MemoryBytes = scale(size.MemoryBytes, observed.memory)
	return size
}

// scale multiplies a declared size by the sizeQuantile of the ratios plus the
// safety margin.
func scale(declared int64, ratios []float64) int64 {
	sorted := slices.Sorted(slices.Values(ratios))
	at := int(math.Ceil(sizeQuantile*float64(len(sorted)))) - 1
	margin := 1 + firstMargin/math.Sqrt(float64(len(sorted)))
	factor := min(max(sorted[at]*margin, minRatio), maxRatio)
	return int64(math.Ceil(float64(declared) * factor))
}
