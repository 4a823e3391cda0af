package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Control of the fillers beside tasks that serve users. The tail is known with
// half a second of lag, so that the effect of a change is awaited before the
// next on the same worker.
const (
	fullPace = 100
	// unknownPace makes the pace be set again.
	unknownPace = -1
	// paceInterval is how long the effect of a change takes to be seen: the
	// worker's half second of figures and a look.
	paceInterval = 700 * time.Millisecond
	// tailHigh and tailLow are shares of the target: above the first fillers
	// are slowed, below the second they are let go, between them kept.
	tailHigh = 0.9
	tailLow  = 0.65
	// paceCut multiplies the pace when tails are too long, paceStep is added
	// when they are short again. Below paceFloor fillers stand still.
	paceCut   = 0.5
	paceStep  = 25
	paceFloor = 15
	// blame is the share of the worst pressure on a tail from which on a filler
	// is slowed with the one that presses most.
	blame = 0.5
	// knownPressure is the least pressure that explains a long tail; below it
	// nobody is known to be at fault, and all fillers are slowed.
	knownPressure = 0.15
)

// stillPatience is how long a filler stands still where it disturbs before it
// is stopped, to go on where it does not.
const stillPatience = 1200 * time.Millisecond

// moveStill stops fillers that may not work where they are and keep their
// progress, one at a time.
func (b *Board) moveStill(w *workerState, now time.Time) {
	for key, held := range w.claims {
		if !held.filler || held.still.IsZero() || now.Sub(held.still) < stillPatience || !held.stopping.IsZero() {
			continue
		}
		j := b.open[key.Job]
		if j != nil && j.work.Steps[key.Step].Checkpoints {
			b.stop(w.ID, key, held.run, "disturbs")
			return
		}
	}
}

// control slows fillers where serving tasks are near their target.
func (b *Board) control(now time.Time) {
	for _, w := range b.workers {
		if w.reachable && w.heardUnder == b.token && now.Sub(w.paced) >= paceInterval && w.heard.After(w.paced) {
			b.controlWorker(w, now)
			b.moveStill(w, now)
		}
	}
}

// controlWorker looks at every tail: the longest may be the doing of its own
// load while fillers keep another above its target.
func (b *Board) controlWorker(w *workerState, now time.Time) {
	worst := 0.0
	for _, held := range w.claims {
		if !held.serving || held.progress < servingPercent {
			continue
		}
		part := float64(held.tail) / float64(held.target)
		worst = max(worst, part)
		if part > tailHigh {
			b.slow(w, held, now)
		}
	}
	if worst < tailLow {
		b.speed(w, now)
	}
}

// slow paces the fillers that press on a tail, or all that may if nobody is
// known to. After half of the time for which a tail may be over its target, all
// fillers stand still, whoever is to blame.
func (b *Board) slow(w *workerState, tail *claim, now time.Time) {
	over := tail.tail > tail.target
	urgent := over && !tail.over.IsZero() && now.Sub(tail.over) > b.config.HarmTerm/2
	most := 0.0
	for _, held := range w.claims {
		if held.filler {
			most = max(most, b.presses(w, tail, held))
		}
	}
	for key, held := range w.claims {
		if !held.filler || !held.sure || held.percent == 0 || !urgent && b.spared(w, tail, held, most) {
			continue
		}
		percent := int(paceCut * float64(held.percent))
		if percent < paceFloor || over {
			percent = 0
		}
		b.pace(w, key, held, percent, now)
	}
}

// spared tells whether a filler is not to blame for a tail on which the loudest
// filler presses that much.
func (b *Board) spared(w *workerState, tail, filler *claim, most float64) bool {
	if most >= knownPressure {
		return b.presses(w, tail, filler) < blame*most
	}
	return b.interference.harmless(tail.image, filler.image)
}

// presses is the pressure of one filler on one serving task at its present
// use, or at full pace while it stands still.
func (b *Board) presses(w *workerState, tail, filler *claim) float64 {
	use := max(filler.inUse, filler.wants/4)
	return b.interference.press[pair{
		serving: tail.image,
		filler:  filler.image,
	}] * ratio(use, w.Capacity.MilliCores)
}

// speed lets fillers go again, those that press least first: one step at a time.
func (b *Board) speed(w *workerState, now time.Time) {
	for key, held := range w.claims {
		if !held.filler || !held.sure || held.percent >= fullPace {
			continue
		}
		if b.loudness(w, held.image, held.wants*int64(held.percent+paceStep)/fullPace) > mostClash {
			continue
		}
		b.pace(w, key, held, min(fullPace, held.percent+paceStep), now)
	}
}

func (b *Board) pace(w *workerState, key work.TaskKey, held *claim, percent int, now time.Time) {
	held.percent = percent
	w.paced = now
	if percent > 0 {
		held.still = time.Time{}
	} else if held.still.IsZero() {
		held.still = now
	}
	b.effects.Paces = append(b.effects.Paces, Pace{
		Worker:  w.ID,
		Key:     key,
		Run:     held.run,
		Percent: percent,
	})
}
