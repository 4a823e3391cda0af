package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Control of the fillers beside tasks that serve users. The tail is known with
// half a second of lag, so that one change is awaited before the next.
const (
	fullPace = 100
	// unknownPace makes the pace be set again.
	unknownPace = -1
	// paceInterval is how long the effect of a change takes to be seen: the
	// worker's half second of figures and a look.
	paceInterval = 700 * time.Millisecond
	// tailHigh and tailLow are shares of the target: above the first fillers
	// are slowed, below the second they are let go, between them kept.
	tailHigh = 0.85
	tailLow  = 0.55
	// paceCut multiplies the pace when tails are too long, paceStep is added
	// when they are short again.
	paceCut  = 0.5
	paceStep = 20
	// paceFloor is the pace below which fillers stand still.
	paceFloor = 12
)

// pacing is the control state of one worker.
type pacing struct {
	percent int
	set     bool
	changed time.Time
}

// control slows fillers where serving tasks are near their target.
func (b *Board) control(now time.Time) {
	for _, w := range b.workers {
		if w.reachable && w.heardUnder == b.token {
			b.controlWorker(w, now)
		}
	}
}

func (b *Board) controlWorker(w *workerState, now time.Time) {
	worst, fillers := 0.0, 0
	for _, held := range w.claims {
		if held.filler {
			fillers++
		}
		if held.serving && held.target > 0 {
			worst = max(worst, float64(held.tail)/float64(held.target))
		}
	}
	if !w.pacing.set {
		w.pacing.percent, w.pacing.set = fullPace, true
	}
	if now.Sub(w.pacing.changed) >= paceInterval {
		w.pacing.adjust(worst, fillers, now)
	}
	for key, held := range w.claims {
		if held.filler && held.sure && held.percent != w.pacing.percent && held.stopping.IsZero() {
			b.pace(w, key, held, w.pacing.percent)
		}
	}
}

func (p *pacing) adjust(worst float64, fillers int, now time.Time) {
	before := p.percent
	switch {
	case worst > 1:
		p.percent = 0
	case worst > tailHigh && fillers > 0:
		p.percent = int(paceCut * float64(p.percent))
		if p.percent < paceFloor {
			p.percent = 0
		}
	case worst < tailLow:
		p.percent = min(fullPace, p.percent+paceStep)
	}
	if p.percent != before {
		p.changed = now
	}
}

func (b *Board) pace(w *workerState, key work.TaskKey, held *claim, percent int) {
	held.percent = percent
	b.effects.Paces = append(b.effects.Paces, Pace{
		Worker:  w.ID,
		Key:     key,
		Run:     held.run,
		Percent: percent,
	})
}
