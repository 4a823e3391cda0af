package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Control of the fillers beside tasks that serve users. What a filler takes of
// a tail's headroom is known, so that its pace is reckoned from the headroom
// without fillers rather than tried out from the tail, which lags.
const (
	fullPace = 100
	// unknownPace makes the pace be set again.
	unknownPace = -1
	// paceInterval is the least time between two rises of pace on a worker: the
	// worker's half second of figures and a look.
	paceInterval = 700 * time.Millisecond
	// keptHeadroom is left of a tail's headroom by fillers: a tail of seven
	// eighths of its target, as its own load may rise until the next look.
	keptHeadroom = 1.15
	// shortHeadroom is that of a tail which is near its target, whatever was
	// reckoned.
	shortHeadroom = 1.1
	// paceStep is the least rise of pace that is worth an order. Below paceFloor
	// fillers stand still.
	paceStep  = 15
	paceFloor = 15
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
		if w.reachable && w.heardUnder == b.token && w.heard.After(w.controlled) && len(w.fillers) > 0 {
			w.controlled = now
			b.controlWorker(w, now)
			b.moveStill(w, now)
		}
	}
}

// paced is a filler with the pace that it should have.
type paced struct {
	key  work.TaskKey
	held *claim
	// part is the share of the worker's cores that it uses at full pace.
	part    float64
	percent float64
}

// controlWorker gives each filler the pace that all tails of the worker bear.
func (b *Board) controlWorker(w *workerState, now time.Time) {
	var fillers []*paced
	for key, held := range w.claims {
		if held.filler && held.sure && held.stopping.IsZero() {
			fillers = append(fillers, &paced{
				key:     key,
				held:    held,
				part:    ratio(held.fullUse(), w.Capacity.MilliCores),
				percent: fullPace,
			})
		}
	}
	slices.SortFunc(fillers, func(a, c *paced) int { return compareKeys(a.key, c.key) })
	for _, serving := range w.claims {
		if serving.servesNow() {
			b.fitTo(serving, fillers, now)
		}
	}
	rise := now.Sub(w.paced) >= paceInterval
	for _, one := range fillers {
		percent := int(one.percent)
		if percent < paceFloor {
			percent = 0
		}
		had := one.held.percent
		if percent < had || had == unknownPace || rise && (percent >= had+paceStep || percent == fullPace && had < fullPace) {
			b.pace(w, one.key, one.held, percent, now)
		}
	}
}

// fitTo lowers the pace of fillers until a tail keeps its headroom, those first
// that take most of it for each core. A tail that has been over its target for
// half of the time that it may be makes all of them stand still, whoever is to
// blame.
func (b *Board) fitTo(serving *claim, fillers []*paced, now time.Time) {
	if !serving.over.IsZero() && now.Sub(serving.over) > b.config.HarmTerm/2 {
		for _, one := range fillers {
			one.percent = 0
		}
		return
	}
	excess := keptHeadroom - serving.tail.own.value
	for _, one := range fillers {
		excess += b.interference.press(serving.image, one.held.image) * one.part * one.percent / fullPace
	}
	if serving.tail.headroom < shortHeadroom {
		excess = max(excess, keptHeadroom-serving.tail.headroom)
	}
	order := slices.Clone(fillers)
	slices.SortStableFunc(order, func(a, c *paced) int {
		return cmp.Compare(b.interference.press(serving.image, c.held.image), b.interference.press(serving.image, a.held.image))
	})
	for _, one := range order {
		if excess <= 0 {
			return
		}
		press := b.interference.press(serving.image, one.held.image)
		if press < harmlessPress {
			return // standing still would not help the tail
		}
		takes := press * one.part * one.percent / fullPace
		if takes <= excess {
			one.percent = 0
		} else {
			one.percent *= 1 - excess/takes
		}
		excess -= takes
	}
}

// harmlessPress is the press below which a filler of a tenth of the cores takes
// less than a tenth of a target.
const harmlessPress = 1.0

// fullUse is the processor time, in thousandths of a core, that a filler uses
// at full pace.
func (c *claim) fullUse() int64 {
	if c.inUse > 0 && c.percent == fullPace {
		return c.inUse
	}
	return c.wants
}

func (b *Board) pace(w *workerState, key work.TaskKey, held *claim, percent int, now time.Time) {
	if percent > held.percent {
		w.paced = now
	}
	held.percent = percent
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
