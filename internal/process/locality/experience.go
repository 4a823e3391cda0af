package locality

import "time"

const (
	// learnRate is the weight of one observation in the running means.
	learnRate = 0.05
	// enoughRuns is how many runs of each kind replace the configured ratio: as
	// many as a running mean covers.
	enoughRuns = 20
	// recoverRate is the weight by which the correction of waits returns to one
	// with each task that starts elsewhere without a wait. Otherwise a few long
	// waits would prevent all later ones, and nothing more would be learned.
	recoverRate = 0.01
)

// Experience is what one queue has shown of its run times and waits. The fields
// are stored, so that the next leader starts from them.
type Experience struct {
	// Near and Far are the mean ratios of actual to estimated run times on the
	// preferred rack and elsewhere, NearRuns and FarRuns the numbers of runs, up
	// to enoughRuns.
	Near     float64 `cbor:"1,keyasint,omitempty"`
	Far      float64 `cbor:"2,keyasint,omitempty"`
	NearRuns int     `cbor:"3,keyasint,omitempty"`
	FarRuns  int     `cbor:"4,keyasint,omitempty"`
	// Expected and Actual are the mean waits, in seconds.
	Expected float64 `cbor:"5,keyasint,omitempty"`
	Actual   float64 `cbor:"6,keyasint,omitempty"`
}

// Ran adds a completed run.
func (e *Experience) Ran(near bool, estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	mean, runs := &e.Far, &e.FarRuns
	if near {
		mean, runs = &e.Near, &e.NearRuns
	}
	*runs = min(*runs+1, enoughRuns)
	// The first runs have equal weight, so that the mean does not keep the first.
	*mean += max(learnRate, 1/float64(*runs)) * (float64(actual)/float64(estimated) - *mean)
}

// Factor returns the ratio of run times elsewhere to those on the preferred
// rack, or the configured one until enough runs of both kinds are known.
func (e *Experience) Factor(configured float64) float64 {
	if e == nil || e.NearRuns < enoughRuns || e.FarRuns < enoughRuns || e.Near <= 0 {
		return configured
	}
	return e.Far / e.Near
}

// Waited adds a wait that has ended, whether the task started on its preferred
// rack or elsewhere.
func (e *Experience) Waited(expected, actual time.Duration) {
	if e.Expected <= 0 {
		e.Expected = max(expected, margin).Seconds()
		e.Actual = e.Expected
	}
	e.Expected += learnRate * (max(expected, margin).Seconds() - e.Expected)
	e.Actual += learnRate * (max(actual, margin).Seconds() - e.Actual)
}

// Declined records that a task started elsewhere without a wait.
func (e *Experience) Declined() {
	e.Actual += recoverRate * (e.Expected - e.Actual)
}

// Correct applies the error of earlier waits to an expected one.
func (e *Experience) Correct(expected time.Duration) time.Duration {
	if e == nil || e.Expected <= 0 || expected == Never {
		return expected
	}
	corrected := float64(expected) * e.Actual / e.Expected
	if corrected >= float64(Never) {
		return Never
	}
	return time.Duration(corrected)
}
