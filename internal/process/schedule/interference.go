package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// interference learns which filler images lengthen the tail latency of which
// serving images. A filler is a best-effort task that runs on processor time
// that others leave unused. Load pattern: most pairs are harmless, but a few
// exceed the latency target with a tenth of the cores. Which ones is not
// declared, and the serving tasks' own load varies at the same time.
//
// As in a queue, the tail latency grows with the reciprocal of the capacity
// that the load leaves free. The headroom (target divided by tail latency, 1 at
// the target) is therefore linear in all load:
//
//	headroom = baseline - sum over fillers of coefficient x fraction
//
// where baseline is the headroom without fillers and fraction is the part of
// the worker's cores that the fillers of an image use. The baseline is tracked
// for each serving task and the coefficient for each pair of images, by a
// Kalman filter with a diagonal covariance.
type interference struct {
	coefficients map[pair]*estimate
	// meanBaseline is the running mean of the baseline by serving image.
	meanBaseline map[string]float64
}

type pair struct {
	serving, filler string
}

// estimate is an estimated value with its variance.
type estimate struct {
	value, variance float64
	// at is when the variance was last updated.
	at time.Time
}

// age increases the variance with the time since the last update.
func (e *estimate) age(perSecond float64, now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		e.variance += perSecond * elapsed.Seconds()
	}
	e.at = now
}

// coreShare is the part of a worker's cores that the fillers of an image use.
type coreShare struct {
	image    string
	fraction float64
}

const (
	// defaultCoefficient, in headroom per all cores of a worker, is assumed for
	// an unseen pair. It lies between harmless pairs (about 1) and interfering
	// ones (about 8). The variance lets one clear sample of an interfering pair
	// raise it several times.
	defaultCoefficient         = 2.0
	defaultCoefficientVariance = 16.0
	// coefficientDrift is the variance that a coefficient gains per second: it
	// may change by a third within a minute.
	coefficientDrift = 0.002
	// loadVariation is the standard deviation of a coefficient, relative to its
	// mean: a filler's use of shared resources varies within seconds.
	loadVariation = 0.6
	// maxCoefficient bounds an estimate, at three times the worst known
	// coefficient.
	maxCoefficient = 40.0
	// defaultBaseline is assumed for an unseen image: a tail latency of half
	// its target.
	defaultBaseline = 2.0
	// meanBaselineRate is the weight of one sample in meanBaseline.
	meanBaselineRate = 0.02
	// baselineVariance is the variance of a baseline after a first sample, and
	// baselineDrift what it gains per second: the load may change by half
	// within ten seconds.
	baselineVariance = 0.5
	baselineDrift    = 0.4
	// noiseBase and noiseShare make up the standard deviation of a reported
	// headroom, as a constant and relative to it. noiseLag is the part of a
	// change of the fillers' use that the tail latency may not show yet, as the
	// two reports lag by different times.
	noiseBase  = 0.05
	noiseShare = 0.08
	noiseLag   = 0.3
	// saturatedHeadroom is the headroom below which a tail latency shows that
	// there is too much load, but not how much.
	saturatedHeadroom = 0.35
	// outlierBound limits the effect of one sample, in standard deviations.
	outlierBound = 3.0
)

func newInterference() *interference {
	return &interference{
		coefficients: map[pair]*estimate{},
		meanBaseline: map[string]float64{},
	}
}

// coefficient returns how much headroom of a serving image a filler image would
// take with all of a worker's cores.
func (f *interference) coefficient(serving, filler string) float64 {
	if known := f.coefficients[pair{
		serving: serving,
		filler:  filler,
	}]; known != nil {
		return known.value
	}
	return defaultCoefficient
}

// estimate returns the estimate of a pair for update, and creates it for an
// unseen pair.
func (f *interference) estimate(serving, filler string, now time.Time) *estimate {
	key := pair{
		serving: serving,
		filler:  filler,
	}
	known := f.coefficients[key]
	if known == nil {
		known = &estimate{
			value:    defaultCoefficient,
			variance: defaultCoefficientVariance,
			at:       now,
		}
		f.coefficients[key] = known
	}
	return known
}

// effect is the headroom that fillers take from a serving image.
func (f *interference) effect(serving string, shares []coreShare) float64 {
	sum := 0.0
	for _, share := range shares {
		sum += f.coefficient(serving, share.image) * share.fraction
	}
	return sum
}

// expectedBaseline is the usual headroom of an image's tasks without fillers.
func (f *interference) expectedBaseline(serving string) float64 {
	if baseline, ok := f.meanBaseline[serving]; ok {
		return baseline
	}
	return defaultBaseline
}

// tail is the state of the latency model of one serving task.
type tail struct {
	// headroom is from the newest report, effect the part that fillers took
	// then.
	headroom, effect float64
	// baseline is the headroom without fillers. Its time is that of the newest
	// sample, zero without any.
	baseline estimate
}

// learn updates the model with the newest headroom of a serving task and the
// fillers beside it.
func (f *interference) learn(t *tail, serving string, headroom float64, shares []coreShare, now time.Time) {
	effect := f.effect(serving, shares)
	change := math.Abs(effect - t.effect)
	rising := headroom > t.headroom
	t.headroom, t.effect = headroom, effect
	if t.baseline.at.IsZero() {
		t.baseline = estimate{
			value:    headroom + effect,
			variance: baselineVariance,
			at:       now,
		}
		return
	}
	t.baseline.age(baselineDrift, now)
	residual := headroom - (t.baseline.value - effect)
	if headroom < saturatedHeadroom && residual > 0 || rising && residual < 0 && headroom < 1 {
		return // overload whatever the estimates, or a backlog that is still draining
	}
	noise := noiseBase + noiseShare*headroom
	variance := noise*noise + noiseLag*noiseLag*change*change + t.baseline.variance
	pairEstimates := make([]*estimate, len(shares))
	for i, share := range shares {
		pairEstimates[i] = f.estimate(serving, share.image, now)
		pairEstimates[i].age(coefficientDrift, now)
		variation := loadVariation * pairEstimates[i].value
		variance += (pairEstimates[i].variance + variation*variation) * share.fraction * share.fraction
	}
	bound := outlierBound * math.Sqrt(variance)
	boundedResidual := max(-bound, min(bound, residual))
	for i, share := range shares {
		e := pairEstimates[i]
		gain := e.variance * share.fraction / variance
		e.value = max(0, min(maxCoefficient, e.value-gain*boundedResidual))
		e.variance -= gain * share.fraction * e.variance
	}
	gain := t.baseline.variance / variance
	t.baseline.value += gain * residual
	t.baseline.variance -= gain * t.baseline.variance
	f.meanBaseline[serving] = f.expectedBaseline(serving) + meanBaselineRate*(t.baseline.value-f.expectedBaseline(serving))
}

// fillerShares returns the part of the worker's cores in use, by filler image.
func (w *workerState) fillerShares() []coreShare {
	var shares []coreShare
	for _, held := range w.claims {
		if !held.filler || held.inUse == 0 {
			continue
		}
		at := slices.IndexFunc(shares, func(share coreShare) bool { return share.image == held.image })
		if at < 0 {
			at = len(shares)
			shares = append(shares, coreShare{
				image: held.image,
			})
		}
		shares[at].fraction += ratio(held.inUse, w.Capacity.MilliCores)
	}
	slices.SortFunc(shares, func(a, c coreShare) int { return cmp.Compare(a.image, c.image) })
	return shares
}

// observeTails updates the model with the newest report of a worker.
func (b *Board) observeTails(w *workerState) {
	var shares []coreShare
	for _, held := range w.claims {
		if !held.servesNow() {
			continue
		}
		if shares == nil {
			shares = w.fillerShares()
		}
		headroom := float64(held.target) / float64(held.latency)
		if headroom == held.tail.headroom {
			continue // already applied
		}
		b.interference.learn(&held.tail, held.image, headroom, shares, b.now)
	}
	w.headrooms = nil
}

// servingPercent is the progress at which a long-running task serves.
const servingPercent = 100

// servesNow reports whether there is a latency report of a serving task that
// serves users.
func (c *claim) servesNow() bool {
	return c.serving && c.progress >= servingPercent && c.latency > 0 && c.target > 0
}

// remainingHeadroom is the least headroom that a serving image of a worker is
// estimated to have beside the fillers that are claimed there.
type remainingHeadroom struct {
	image     string
	remaining float64
}

// meanFillerUse is the part of its requested cores that a filler uses on
// average.
const meanFillerUse = 0.8

// headroomsOf estimates the remaining headroom by serving image, once after
// each change of the worker's runs.
func (b *Board) headroomsOf(w *workerState) []remainingHeadroom {
	if w.headrooms != nil || len(w.serving) == 0 {
		return w.headrooms
	}
	for image := range w.serving {
		remaining := b.interference.expectedBaseline(image)
		for _, held := range w.claims {
			if held.image == image && held.servesNow() {
				remaining = min(remaining, b.forecast(held))
			}
		}
		for filler, requested := range w.fillers {
			remaining -= b.interference.coefficient(image, filler) * meanFillerUse * ratio(requested, w.Capacity.MilliCores)
		}
		w.headrooms = append(w.headrooms, remainingHeadroom{
			image:     image,
			remaining: remaining,
		})
	}
	return w.headrooms
}

// NeedsFrequentPolls reports whether a worker should be polled early: its
// fillers may have to be throttled before one of its runs ends.
func (b *Board) NeedsFrequentPolls(id string) bool {
	w := b.workers[id]
	return w != nil && len(w.fillers) > 0 && len(w.serving) > 0
}

// forecast estimates the baseline of a serving task while a filler runs. The
// baseline tends back to its mean, so that a value above the mean is expected
// to fall.
func (b *Board) forecast(held *claim) float64 {
	baseline := held.tail.baseline.value
	return min(baseline, (baseline+b.interference.expectedBaseline(held.image))/2)
}

// interferenceCost is the largest part of a serving image's remaining headroom
// above the target that a filler would take on the worker; above 1 it takes
// more than there is.
func (b *Board) interferenceCost(w *workerState, image string, milliCores int64) float64 {
	worst := 0.0
	for _, serving := range b.headroomsOf(w) {
		reduction := b.interference.coefficient(serving.image, image) * meanFillerUse * ratio(milliCores, w.Capacity.MilliCores)
		worst = max(worst, reduction/max(minRemainingHeadroom, serving.remaining-1))
	}
	return worst
}

// minRemainingHeadroom is assumed where no headroom remains, so that fillers
// without any effect may still be placed there.
const minRemainingHeadroom = 0.05
