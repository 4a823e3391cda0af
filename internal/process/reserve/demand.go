package reserve

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the learned demand. It covers some
	// dozens of quick jobs at one job in 300 ms, and a demand that has ended is
	// forgotten within half a minute.
	demandWindow = 10 * time.Second
	// coveredWork is the part of the quick tasks' work whose tasks fit into a
	// piece. With all of it, one rare large task would decide; with half of it, the
	// replay needs a tenth more preemptions.
	coveredWork = 0.75
	// peakDeviations is how many standard deviations above the mean demand
	// are kept.
	peakDeviations = 2.0
	// leastPieces is the mean demand, in pieces, below which nothing is kept.
	leastPieces = 0.1
)

// Size classes: each is half as large again as the one before.
const (
	sizeClasses    = 20
	smallestClass  = 250.0 // millicores
	classGrowth    = 1.5
	stepsPerWindow = 2 // with fewer steps there is no demand to speak of
)

// Demand learns how much capacity quick tasks need, from their arrivals, sizes
// and run times. Its zero value has learned nothing.
type Demand struct {
	classes [sizeClasses]sizeClass
	// steps counts steps and cores sums their millicores, for the mean step.
	steps, cores float64
	updated      time.Time
}

// sizeClass holds work in millicore-seconds, and sizes weighted by it.
type sizeClass struct {
	work, weighted float64
}

// Arrived counts the tasks of a step of a quick job.
func (d *Demand) Arrived(milliCores int64, count int, runTime time.Duration, now time.Time) {
	if milliCores <= 0 || runTime <= 0 {
		return
	}
	d.decay(now)
	class := 0
	for bound := smallestClass; class < sizeClasses-1 && float64(milliCores) > bound; class++ {
		bound *= classGrowth
	}
	work := float64(milliCores) * float64(count) * runTime.Seconds()
	d.classes[class].work += work
	d.classes[class].weighted += work * float64(milliCores)
	d.steps++
	d.cores += float64(milliCores) * float64(count)
}

func (d *Demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	d.updated = now
	d.steps *= factor
	d.cores *= factor
	for i := range d.classes {
		d.classes[i].work *= factor
		d.classes[i].weighted *= factor
	}
}

// Needed returns the size of the pieces, in millicores, that quick tasks need,
// and how many of them at once. Both are zero if there is no demand.
func (d *Demand) Needed(now time.Time) (piece int64, count int) {
	d.decay(now)
	total := 0.0
	for _, class := range d.classes {
		total += class.work
	}
	if total <= 0 || d.steps < stepsPerWindow {
		return 0, 0
	}
	covered := 0.0
	for _, class := range d.classes {
		covered += class.work
		if covered >= coveredWork*total {
			piece = int64(class.weighted / class.work)
			break
		}
	}
	if piece <= 0 {
		return 0, 0
	}
	// By Little's law the work that arrives per second is what runs at once. The
	// tasks of a step arrive together, so the deviation grows with its cores.
	mean := total / demandWindow.Seconds()
	peak := mean + peakDeviations*math.Sqrt(mean*d.cores/d.steps)
	if mean < leastPieces*float64(piece) {
		return 0, 0
	}
	return piece, int(math.Ceil(peak / float64(piece)))
}

// PiecesLost is how many pieces a placement of the size takes from the free
// capacity of a worker, all in millicores.
func PiecesLost(free, size, piece int64) int64 {
	if piece <= 0 {
		return 0
	}
	return max(0, free)/piece - max(0, free-size)/piece
}
