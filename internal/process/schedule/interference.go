package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// interference learns which filler images lengthen the tails of which serving
// images. Load pattern: most pairs get along, a few take a tail over its target
// with a tenth of the cores, which ones is not declared, and the serving tasks'
// own load swings at the same time.
//
// Like waiting in a queue, a tail grows with the reciprocal of what the load
// leaves free, so that the headroom of a tail (its target over it, 1 at the
// target) is linear in all load:
//
//	headroom = own - sum over fillers of press x share
//
// where own is the headroom without fillers and share the part of the worker's
// cores that the fillers of an image use. Own is followed for each serving task
// and press for each pair, by a Kalman filter with a diagonal covariance.
type interference struct {
	presses map[pair]*belief
	// typical is the running mean of own by serving image.
	typical map[string]float64
}

type pair struct {
	serving, filler string
}

// belief is an estimate with its variance.
type belief struct {
	value, variance float64
	// at is when the variance was last brought up to date.
	at time.Time
}

// age makes a belief less certain as time goes by.
func (b *belief) age(perSecond float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.variance += perSecond * elapsed.Seconds()
	}
	b.at = now
}

// share is the part of a worker's cores that the fillers of an image use.
type share struct {
	image string
	part  float64
}

const (
	// firstPress, in headrooms for all cores, is assumed for a pair that has not
	// been seen: between the two groups that one day of figures showed (1 and
	// 8). Its variance lets one clear sample of a bad pair raise it several
	// times.
	firstPress         = 2.0
	firstPressVariance = 16.0
	// pressDrift is the variance that a press gains in a second: in a minute it
	// may have changed by a third.
	pressDrift = 0.002
	// swing is the standard deviation of a press about its mean, as a share of
	// it: what a filler takes comes and goes within seconds.
	swing = 0.6
	// mostPress bounds an estimate: three times the worst press that was seen.
	mostPress = 40.0
	// typicalOwn is assumed for an image that has not been seen: a tail of half
	// its target.
	typicalOwn = 2.0
	// typicalRate is the weight of one sample in the running mean of own.
	typicalRate = 0.02
	// ownVariance is the variance of own headroom after a first sample, ownDrift
	// what it gains in a second: a load that swings by half within ten seconds.
	ownVariance = 0.5
	ownDrift    = 0.4
	// noiseBase and noiseShare make up the standard deviation of a reported
	// headroom, as a constant and as a share of it. noiseLag is the share of a
	// change of the fillers that the tail may not show yet: the two figures lag
	// by different times.
	noiseBase  = 0.05
	noiseShare = 0.08
	noiseLag   = 0.3
	// saturated is the headroom below which a tail says only that there is too
	// much load, not how much.
	saturated = 0.35
	// outlier bounds what one sample may teach, in standard deviations.
	outlier = 3.0
)

func newInterference() *interference {
	return &interference{
		presses: map[pair]*belief{},
		typical: map[string]float64{},
	}
}

// press is what a filler image takes of a serving image's headroom, for all of
// a worker's cores.
func (f *interference) press(serving, filler string) float64 {
	if known := f.presses[pair{
		serving: serving,
		filler:  filler,
	}]; known != nil {
		return known.value
	}
	return firstPress
}

// belief returns the estimate of a pair, to be updated; it begins one for a pair
// that has not been seen.
func (f *interference) belief(serving, filler string, now time.Time) *belief {
	key := pair{
		serving: serving,
		filler:  filler,
	}
	known := f.presses[key]
	if known == nil {
		known = &belief{
			value:    firstPress,
			variance: firstPressVariance,
			at:       now,
		}
		f.presses[key] = known
	}
	return known
}

// effect is what fillers take of a serving image's headroom.
func (f *interference) effect(serving string, shares []share) float64 {
	sum := 0.0
	for _, one := range shares {
		sum += f.press(serving, one.image) * one.part
	}
	return sum
}

// ownOf is the headroom that an image's tasks usually have without fillers.
func (f *interference) ownOf(serving string) float64 {
	if own, ok := f.typical[serving]; ok {
		return own
	}
	return typicalOwn
}

// tail is what is known of the tail latency of one serving task.
type tail struct {
	// headroom is by the newest figure, effect what fillers took of it then.
	headroom, effect float64
	// own is the headroom without fillers; its time is that of the newest
	// sample, zero without any.
	own belief
}

// learn takes in the newest figure of a serving task beside fillers.
func (f *interference) learn(t *tail, serving string, headroom float64, shares []share, now time.Time) {
	effect := f.effect(serving, shares)
	changed := math.Abs(effect - t.effect)
	rising := headroom > t.headroom
	t.headroom, t.effect = headroom, effect
	if t.own.at.IsZero() {
		t.own = belief{
			value:    headroom + effect,
			variance: ownVariance,
			at:       now,
		}
		return
	}
	t.own.age(ownDrift, now)
	miss := headroom - (t.own.value - effect)
	if headroom < saturated && miss > 0 || rising && miss < 0 && headroom < 1 {
		return // too much load by any account, or a queue that is still being worked off
	}
	noise := noiseBase + noiseShare*headroom
	variance := noise*noise + noiseLag*noiseLag*changed*changed + t.own.variance
	beliefs := make([]*belief, len(shares))
	for i, one := range shares {
		beliefs[i] = f.belief(serving, one.image, now)
		beliefs[i].age(pressDrift, now)
		swings := swing * beliefs[i].value
		variance += (beliefs[i].variance + swings*swings) * one.part * one.part
	}
	bound := outlier * math.Sqrt(variance)
	lesson := max(-bound, min(bound, miss))
	for i, one := range shares {
		b := beliefs[i]
		gain := b.variance * one.part / variance
		b.value = max(0, min(mostPress, b.value-gain*lesson))
		b.variance -= gain * one.part * b.variance
	}
	gain := t.own.variance / variance
	t.own.value += gain * miss
	t.own.variance -= gain * t.own.variance
	f.typical[serving] = f.ownOf(serving) + typicalRate*(t.own.value-f.ownOf(serving))
}

// fillerShares is the part of the worker's cores in use by filler image.
func (w *workerState) fillerShares() []share {
	var shares []share
	for _, held := range w.claims {
		if !held.filler || held.inUse == 0 {
			continue
		}
		at := slices.IndexFunc(shares, func(one share) bool { return one.image == held.image })
		if at < 0 {
			at = len(shares)
			shares = append(shares, share{
				image: held.image,
			})
		}
		shares[at].part += ratio(held.inUse, w.Capacity.MilliCores)
	}
	slices.SortFunc(shares, func(a, c share) int { return cmp.Compare(a.image, c.image) })
	return shares
}

// observeTails learns from the newest figures of a worker.
func (b *Board) observeTails(w *workerState) {
	var shares []share
	for _, held := range w.claims {
		if !held.servesNow() {
			continue
		}
		if shares == nil {
			shares = w.fillerShares()
		}
		headroom := float64(held.target) / float64(held.latency)
		if headroom == held.tail.headroom {
			continue // the figure that is known already
		}
		b.interference.learn(&held.tail, held.image, headroom, shares, b.now)
	}
	w.slacks = nil
}

// servingPercent is the progress at which a lasting task serves.
const servingPercent = 100

// servesNow tells whether there is a figure of a serving task's users.
func (c *claim) servesNow() bool {
	return c.serving && c.progress >= servingPercent && c.latency > 0 && c.target > 0
}

// slack is the least headroom that a serving image of a worker is reckoned to
// have beside the fillers that are booked there.
type slack struct {
	image string
	left  float64
}

// usualUse is the part of the cores asked for that a filler uses on average.
const usualUse = 0.8

// slacksOf reckons the slacks of a worker, once for each change of its runs.
func (b *Board) slacksOf(w *workerState) []slack {
	if w.slacks != nil || len(w.serving) == 0 {
		return w.slacks
	}
	for image := range w.serving {
		left := b.interference.ownOf(image)
		for _, held := range w.claims {
			if held.image == image && held.servesNow() {
				left = min(left, b.forecast(held))
			}
		}
		for filler, wants := range w.fillers {
			left -= b.interference.press(image, filler) * usualUse * ratio(wants, w.Capacity.MilliCores)
		}
		w.slacks = append(w.slacks, slack{
			image: image,
			left:  left,
		})
	}
	return w.slacks
}

// Watched tells whether a worker's figures are wanted soon: its fillers may
// have to be slowed before one of its runs ends.
func (b *Board) Watched(id string) bool {
	w := b.workers[id]
	return w != nil && len(w.fillers) > 0 && len(w.serving) > 0
}

// forecast is the own headroom of a serving task for the time of a filler: it
// swings back towards what is usual, and may well come from above.
func (b *Board) forecast(held *claim) float64 {
	own := held.tail.own.value
	return min(own, (own+b.interference.ownOf(held.image))/2)
}

// clash is the part of the headroom above the target that a filler takes at
// most of a serving image of the worker; above 1 it takes more than there is.
func (b *Board) clash(w *workerState, image string, milliCores int64) float64 {
	worst := 0.0
	for _, one := range b.slacksOf(w) {
		takes := b.interference.press(one.image, image) * usualUse * ratio(milliCores, w.Capacity.MilliCores)
		worst = max(worst, takes/max(leastSlack, one.left-1))
	}
	return worst
}

// leastSlack is reckoned with where there is no headroom left: fillers without
// any effect may still go there.
const leastSlack = 0.05
