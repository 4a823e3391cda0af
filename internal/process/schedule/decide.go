package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Decide starts what may and can be started and returns all orders due.
// Allowed is false while the leadership is in doubt: then nothing is started.
func (b *Board) Decide(now time.Time, allowed bool) Effects {
	b.now = now
	b.Expire(now)
	b.sendAgain()
	b.roomLeft = b.bookedShare() < roomy
	b.drain(now)
	if now.Sub(b.scanned) >= scanGap {
		b.scanned = now
		b.restop()
		b.unstick(now)
	}
	b.dropReservations(now)
	if allowed && !b.fenced {
		b.place(now)
	}
	b.control(now)
	out := b.effects
	b.effects = Effects{}
	// Runs are kept in maps: the same inputs give the same orders all the same.
	slices.SortFunc(out.Stops, func(a, c Stop) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key), cmp.Compare(a.Run, c.Run))
	})
	slices.SortFunc(out.Paces, func(a, c Pace) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key))
	})
	return out
}

// scanGap is the least time between two rounds through all runs: well below the
// stop grace and the patience with tasks that stand still.
const scanGap = 100 * time.Millisecond

func compareKeys(a, c work.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, c.Job), cmp.Compare(a.Occurrence, c.Occurrence),
		cmp.Compare(a.Step, c.Step), cmp.Compare(a.Index, c.Index))
}

// bookedShare is the part of the reachable workers' cores that is booked.
func (b *Board) bookedShare() float64 {
	booked, whole := int64(0), int64(0)
	for _, w := range b.workers {
		if w.reachable && w.listed && !w.Draining {
			booked += w.used.MilliCores
			whole += w.Capacity.MilliCores
		}
	}
	return ratio(booked, whole)
}

// sendAgain repeats starts that got no answer. A claim may have ended since, by
// a worker that started anew: then the task may be elsewhere already.
func (b *Board) sendAgain() {
	var later []Start
	for _, start := range b.again {
		w := b.workers[start.Worker]
		if w == nil {
			continue
		}
		held := w.claims[start.Key]
		if held == nil || held.run != start.Run || !held.stopping.IsZero() {
			continue
		}
		if w.Draining || b.evacuated[w.Zone] {
			b.stop(w.ID, start.Key, start.Run, "no_answer")
			continue
		}
		if !w.reachable {
			// It would extend the leases of what runs there.
			later = append(later, start)
			continue
		}
		b.effects.Starts = append(b.effects.Starts, start)
	}
	b.again = later
}

// restop repeats stops that went unanswered.
func (b *Board) restop() {
	for _, w := range b.workers {
		if !w.reachable {
			continue
		}
		for key, held := range w.claims {
			j := b.jobs[key.Job]
			over := j != nil && j.progress.State.Final()
			if !over && !held.foreign && held.retries <= mostRetries {
				continue
			}
			b.stop(w.ID, key, held.run, "over")
		}
	}
}
