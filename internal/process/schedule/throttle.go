package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Throttling of fillers beside serving tasks. The throttle level is computed
// from the baseline and the learned coefficients rather than found by feedback
// from the tail latency, which lags. A level is a percentage of full speed.
const (
	unthrottled = 100
	// unknownThrottle forces the throttle level to be sent again.
	unknownThrottle = -1
	// throttleRaiseInterval is the least time between two raises on a worker:
	// the half second that a report covers, and one poll.
	throttleRaiseInterval = 700 * time.Millisecond
	// keptHeadroom is the headroom that fillers must leave: a tail latency of
	// seven eighths of its target, as the serving task's own load may rise
	// until the next poll.
	keptHeadroom = 1.15
	// nearTargetHeadroom marks a tail latency as near its target, whatever the
	// model estimates.
	nearTargetHeadroom = 1.1
	// throttleStep is the least raise that is worth an order. Below
	// throttleFloor fillers are halted.
	throttleStep  = 15
	throttleFloor = 15
)

// throttleTimeout is the least time from an order to a report that shows its effect.
const throttleTimeout = time.Second

// contradictsThrottle reports whether a filler runs that was halted, or the other way
// round: an earlier order without an answer was carried out after the newest one.
func (c *claim) contradictsThrottle(sent time.Time) bool {
	return !c.throttleSetAt.IsZero() && c.throttle != unknownThrottle && sent.Sub(c.throttleSetAt) >= throttleTimeout &&
		(c.throttle > 0) != (c.inUse > 0)
}

// haltedTimeout is how long a filler stays halted where it interferes before
// it is stopped, to resume where it does not.
const haltedTimeout = 1200 * time.Millisecond

// evictHaltedFillers stops halted fillers that keep their progress in
// checkpoints, one at a time.
func (b *Board) evictHaltedFillers(w *workerState, now time.Time) {
	for key, held := range w.claims {
		if !held.filler || held.haltedSince.IsZero() || now.Sub(held.haltedSince) < haltedTimeout || !held.stopping.IsZero() {
			continue
		}
		j := b.open[key.Job]
		if j != nil && j.work.Steps[key.Step].Checkpoints {
			b.stop(w.ID, key, held.run, "disturbs")
			return
		}
	}
}

// control throttles fillers where serving tasks are near their target.
func (b *Board) control(now time.Time) {
	for _, w := range b.workers {
		if w.reachable && w.reportedToken == b.token && w.lastReport.After(w.lastControl) && len(w.fillers) > 0 {
			w.lastControl = now
			b.controlWorker(w, now)
			b.evictHaltedFillers(w, now)
		}
	}
}

// throttledFiller is a filler with the throttle level that it should have.
type throttledFiller struct {
	key  work.TaskKey
	held *claim
	// fraction is the part of the worker's cores that it uses at full speed.
	fraction float64
	throttle float64
}

// controlWorker sets each filler to the highest throttle level that leaves all
// serving tasks of the worker their headroom.
func (b *Board) controlWorker(w *workerState, now time.Time) {
	var fillers []*throttledFiller
	for key, held := range w.claims {
		if held.filler && held.confirmed && held.stopping.IsZero() {
			fillers = append(fillers, &throttledFiller{
				key:      key,
				held:     held,
				fraction: ratio(held.unthrottledUse(), w.Capacity.MilliCores),
				throttle: unthrottled,
			})
		}
	}
	slices.SortFunc(fillers, func(a, c *throttledFiller) int { return compareKeys(a.key, c.key) })
	for _, serving := range w.claims {
		if serving.servesNow() {
			b.throttleFor(serving, fillers, now)
		}
	}
	mayRaise := now.Sub(w.lastRaise) >= throttleRaiseInterval
	for _, entry := range fillers {
		throttle := int(entry.throttle)
		if throttle < throttleFloor {
			throttle = 0
		}
		previous := entry.held.throttle
		if throttle < previous || previous == unknownThrottle || mayRaise && (throttle >= previous+throttleStep || throttle == unthrottled && previous < unthrottled) {
			b.setThrottle(w, entry.key, entry.held, throttle, now)
		}
	}
}

// throttleFor lowers the throttle levels until a serving task keeps its
// headroom, starting with the fillers of the highest coefficient. If the tail
// latency has been above its target, or near it, for more than half of
// MaxOverTarget, all fillers are halted, whatever their coefficients.
func (b *Board) throttleFor(serving *claim, fillers []*throttledFiller, now time.Time) {
	if !serving.overTargetSince.IsZero() && now.Sub(serving.overTargetSince) > b.config.MaxOverTarget/2 {
		for _, entry := range fillers {
			entry.throttle = 0
		}
		return
	}
	excess := keptHeadroom - serving.tail.baseline.value
	for _, entry := range fillers {
		excess += b.interference.coefficient(serving.image, entry.held.image) * entry.fraction * entry.throttle / unthrottled
	}
	if serving.tail.headroom < nearTargetHeadroom {
		excess = max(excess, keptHeadroom-serving.tail.headroom)
	}
	order := slices.Clone(fillers)
	slices.SortStableFunc(order, func(a, c *throttledFiller) int {
		return cmp.Compare(b.interference.coefficient(serving.image, c.held.image), b.interference.coefficient(serving.image, a.held.image))
	})
	for _, entry := range order {
		if excess <= 0 {
			return
		}
		coefficient := b.interference.coefficient(serving.image, entry.held.image)
		if coefficient < harmlessCoefficient {
			return // halting the rest would not help this serving task
		}
		reduction := coefficient * entry.fraction * entry.throttle / unthrottled
		if reduction <= excess {
			entry.throttle = 0
		} else {
			entry.throttle *= 1 - excess/reduction
		}
		excess -= reduction
	}
}

// harmlessCoefficient is the coefficient below which a filler on a tenth of the
// cores takes less than 0.1 of headroom.
const harmlessCoefficient = 1.0

// unthrottledUse is the processor time that a filler uses at full speed, in
// millicores.
func (c *claim) unthrottledUse() int64 {
	if c.inUse > 0 && c.throttle == unthrottled {
		return c.inUse
	}
	return c.requested
}

func (b *Board) setThrottle(w *workerState, key work.TaskKey, held *claim, throttle int, now time.Time) {
	if throttle > held.throttle {
		w.lastRaise = now
	}
	held.throttle, held.throttleSetAt = throttle, now
	if throttle > 0 {
		held.haltedSince = time.Time{}
	} else if held.haltedSince.IsZero() {
		held.haltedSince = now
	}
	b.effects.Throttles = append(b.effects.Throttles, Throttle{
		Worker:  w.ID,
		Key:     key,
		Run:     held.run,
		Percent: throttle,
	})
}
