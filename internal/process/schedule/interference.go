package schedule

import (
	"math"
	"time"
)

// interference learns which filler images lengthen the tails of which serving
// images. Load pattern: most pairs get along, a few multiply the tail by ten,
// and which ones is not declared. A tail is modelled as
//
//	log(tail) = base(serving) + sum over fillers of press(serving, filler) x share
//
// where share is the part of the worker's cores that the fillers of an image
// use. It is fitted by normalised least mean squares, from every look.
type interference struct {
	base  map[string]float64
	press map[pair]float64
}

type pair struct {
	serving, filler string
}

const (
	// learnBase and learnPress are the weights of one sample. Some fifty samples
	// a second make a bad pair known within a few seconds, while one tail that
	// its own load has lengthened moves little.
	learnBase  = 0.02
	learnPress = 0.15
	// shareFloor damps samples with hardly any filler, in squares of shares.
	shareFloor = 0.01
	// mostPress bounds a weight: at a tenth of the cores it is a tail of
	// twenty times the usual.
	mostPress = 30.0
	// shortestTail bounds the logarithm.
	shortestTail = time.Millisecond
)

func newInterference() *interference {
	return &interference{
		base:  map[string]float64{},
		press: map[pair]float64{},
	}
}

func logTail(tail time.Duration) float64 {
	return math.Log(float64(max(tail, shortestTail)) / float64(time.Millisecond))
}

// learn takes one sample: a tail beside fillers with their shares by image.
func (f *interference) learn(serving string, tail time.Duration, shares map[string]float64) {
	seen := logTail(tail)
	base, known := f.base[serving]
	if !known {
		f.base[serving], base = seen, seen
	}
	square := shareFloor
	for _, share := range shares {
		square += share * share
	}
	miss := seen - base - f.pressure(serving, shares)
	f.base[serving] = base + learnBase*miss
	for filler, share := range shares {
		key := pair{
			serving: serving,
			filler:  filler,
		}
		f.press[key] = min(mostPress, max(0, f.press[key]+learnPress*miss*share/square))
	}
}

// pressure is by how much the fillers lengthen the logarithm of a tail.
func (f *interference) pressure(serving string, shares map[string]float64) float64 {
	sum := 0.0
	for filler, share := range shares {
		sum += f.press[pair{
			serving: serving,
			filler:  filler,
		}] * share
	}
	return sum
}

// fillerShares is the part of the worker's cores in use by filler image.
func (w *workerState) fillerShares() map[string]float64 {
	var shares map[string]float64
	for _, held := range w.claims {
		if !held.filler {
			continue
		}
		if shares == nil {
			shares = map[string]float64{}
		}
		shares[held.image] += ratio(held.inUse, w.Capacity.MilliCores)
	}
	return shares
}

// observeTails learns from the newest figures of a worker.
func (b *Board) observeTails(w *workerState) {
	var shares map[string]float64
	for _, held := range w.claims {
		if !held.serving || held.progress < servingPercent || held.tail <= 0 {
			continue
		}
		if shares == nil {
			shares = w.fillerShares()
		}
		b.interference.learn(held.image, held.tail, shares)
	}
}

// servingPercent is the progress at which a lasting task serves.
const servingPercent = 100

// clash is the worst pressure that a filler would add on the worker, on top of
// what presses there already.
func (b *Board) clash(w *workerState, image string, milliCores int64) float64 {
	worst := 0.0
	for _, held := range w.claims {
		if !held.serving {
			continue
		}
		added := b.interference.press[pair{
			serving: held.image,
			filler:  image,
		}] * ratio(milliCores, w.Capacity.MilliCores)
		worst = max(worst, added)
	}
	return worst
}
