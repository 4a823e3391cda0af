package schedule

import (
	"math"
	"time"
)

// interference learns which filler images lengthen the tails of which serving
// images. Load pattern: most pairs get along, a few multiply the tail by ten,
// and which ones is not declared. Below its target a tail follows its own load,
// so that only what goes beyond is evidence:
//
//	log(tail / threshold), at least 0 = sum over fillers of press x share
//
// where share is the part of the worker's cores that the fillers of an image
// use, and threshold a little below the target. It is fitted by normalised
// least mean squares from every look.
type interference struct {
	press map[pair]float64
	// seen sums the shares of the samples of a pair.
	seen map[pair]float64
	// fadedAt is when unconfirmed knowledge was last made weaker.
	fadedAt time.Time
}

type pair struct {
	serving, filler string
}

const (
	// evidence is the share of the target from which on a tail is held to be
	// lengthened by others; the images' own load swings below it.
	evidence = 0.8
	// learnUp and learnDown are the weights of one sample. A bad pair is known
	// after a few samples, and is forgiven slowly.
	learnUp   = 0.3
	learnDown = 0.1
	// enoughSeen is the sum of shares after which a pair is known: some twenty
	// samples of a filler of three cores on a worker of thirty-two.
	enoughSeen = 2.0
	// harmlessPress is the weight below which a filler of a tenth of the cores
	// lengthens a tail by less than a tenth.
	harmlessPress = 1.0
	// shareFloor damps samples with hardly any filler, in squares of shares.
	shareFloor = 0.01
	// mostPress bounds a weight: at a tenth of the cores it is a tail of
	// twenty times the threshold.
	mostPress = 30.0
	// fade is what is left of a weight after fadeInterval, so that a pair which
	// is kept apart gets another chance after a minute or two.
	fade         = 0.985
	fadeInterval = time.Second
)

func newInterference() *interference {
	return &interference{
		press: map[pair]float64{},
		seen:  map[pair]float64{},
	}
}

// harmless tells whether a pair has been seen often enough, without effect, for
// a long tail to be put down to the serving task's own load.
func (f *interference) harmless(serving, filler string) bool {
	key := pair{
		serving: serving,
		filler:  filler,
	}
	return f.seen[key] > enoughSeen && f.press[key] < harmlessPress
}

// learn takes one sample: a tail beside fillers with their shares by image.
func (f *interference) learn(serving string, tail, target time.Duration, shares map[string]float64) {
	if len(shares) == 0 || target <= 0 {
		return
	}
	excess := max(0, math.Log(float64(tail)/(evidence*float64(target))))
	square := shareFloor
	for _, share := range shares {
		square += share * share
	}
	miss := excess - f.pressure(serving, shares)
	rate := learnUp
	if miss < 0 {
		rate = learnDown
	}
	for filler, share := range shares {
		key := pair{
			serving: serving,
			filler:  filler,
		}
		f.seen[key] += share
		f.press[key] = min(mostPress, max(0, f.press[key]+rate*miss*share/square))
	}
}

// fade makes all weights weaker as time goes by.
func (f *interference) fade(now time.Time) {
	if now.Sub(f.fadedAt) < fadeInterval {
		return
	}
	f.fadedAt = now
	for key, press := range f.press {
		f.press[key] = fade * press
	}
}

// pressure is by how much the fillers take a tail's logarithm beyond.
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
		b.interference.learn(held.image, held.tail, held.target, shares)
	}
}

// servingPercent is the progress at which a lasting task serves.
const servingPercent = 100

// clash is the worst pressure on a tail of the worker once a filler has been
// added to those that are there.
func (b *Board) clash(w *workerState, image string, milliCores int64) float64 {
	worst := 0.0
	for serving := range w.serving {
		sum := b.interference.press[pair{
			serving: serving,
			filler:  image,
		}] * ratio(milliCores, w.Capacity.MilliCores)
		for other, wants := range w.fillers {
			sum += b.interference.press[pair{
				serving: serving,
				filler:  other,
			}] * ratio(wants, w.Capacity.MilliCores)
		}
		worst = max(worst, sum)
	}
	return worst
}

// loudness is the worst pressure of one filler alone on a tail of the worker.
func (b *Board) loudness(w *workerState, image string, milliCores int64) float64 {
	worst := 0.0
	for serving := range w.serving {
		worst = max(worst, b.interference.press[pair{
			serving: serving,
			filler:  image,
		}])
	}
	return worst * ratio(milliCores, w.Capacity.MilliCores)
}
