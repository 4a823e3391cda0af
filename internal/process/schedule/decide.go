package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Decide starts what may be started and returns all orders that are due.
// allowed is false while leadership is in doubt: then nothing is started.
func (b *Board) Decide(now time.Time, allowed bool) Effects {
	b.now = now
	b.startsAllowed = allowed
	b.ticketRequestsWaiting = 0
	b.Expire(now)
	if allowed && !b.fenced {
		b.retryStarts()
		b.sendRecordedStarts(now)
	}
	b.measureUtilization()
	b.drain(now)
	if now.Sub(b.lastScan) >= scanInterval {
		b.lastScan = now
		b.retryStops()
		b.stopStalled(now)
		b.measureCapacity(now)
	}
	b.dropReservations(now)
	b.settleInherited(now)
	b.countPossible(now)
	if allowed && !b.fenced {
		b.place(now)
	}
	b.control(now)
	out := b.effects
	b.effects = Effects{}
	// Map order is random: sorting gives the same orders for the same inputs.
	slices.SortFunc(out.Stops, func(a, c Stop) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key), cmp.Compare(a.Run, c.Run))
	})
	slices.SortFunc(out.Throttles, func(a, c Throttle) int {
		return cmp.Or(cmp.Compare(a.Worker, c.Worker), compareKeys(a.Key, c.Key))
	})
	return out
}

// scanInterval is the least time between two scans of all runs. It is well
// below the stop grace and the timeouts of stalled tasks.
const scanInterval = 100 * time.Millisecond

func compareKeys(a, c work.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, c.Job), cmp.Compare(a.Occurrence, c.Occurrence),
		cmp.Compare(a.Step, c.Step), cmp.Compare(a.Index, c.Index))
}

// utilization is what is claimed of the cores of a service's reachable workers.
type utilization struct {
	claimed, capacity int64
	low               bool
	// interferedAt is when a filler was last placed where it interferes.
	interferedAt time.Time
}

// measureUtilization measures the utilization of each service.
func (b *Board) measureUtilization() {
	for _, use := range b.utilization {
		*use = utilization{
			interferedAt: use.interferedAt,
		}
	}
	last, use := "", (*utilization)(nil)
	for _, w := range b.workers {
		if !w.reachable || !w.listed || w.Draining {
			continue
		}
		if use == nil || w.Service != last {
			last, use = w.Service, b.utilization[w.Service]
			if use == nil {
				use = &utilization{}
				b.utilization[w.Service] = use
			}
		}
		use.claimed += w.used.MilliCores
		use.capacity += w.Capacity.MilliCores
	}
	b.anyLowUtilization = false
	for _, use := range b.utilization {
		use.low = ratio(use.claimed, use.capacity) < lowUtilizationBound
		b.anyLowUtilization = b.anyLowUtilization || use.low
	}
}

// hasLowUtilization reports whether much of a service's capacity is free: then users
// expect its work to progress.
func (b *Board) hasLowUtilization(service string) bool {
	use := b.utilization[service]
	return use != nil && use.low
}

// retryStarts repeats starts that got no answer. A claim may have ended since
// because the worker restarted: then the task may already run elsewhere.
func (b *Board) retryStarts() {
	var later []Start
	for _, start := range b.pendingRetries {
		w := b.workers[start.Worker]
		if w == nil {
			continue
		}
		held := w.claims[start.Key]
		if held == nil || held.run != start.Run {
			continue
		}
		if !held.stopping.IsZero() || !b.isOpen(start.Key) || w.Draining || b.evacuated[w.Zone] || b.overcommitted(w) {
			held.startDue = false
			b.stop(w.ID, start.Key, start.Run, "no_answer")
			continue
		}
		if !held.stillAdmits() {
			if held.startDue = b.withholdRetry(w, held, start); held.startDue {
				later = append(later, start)
			}
			continue
		}
		if !b.mayOrder(w) {
			// Sending it would extend the leases of the worker's runs, or reach a
			// worker that knows no token.
			later = append(later, start)
			continue
		}
		held.unanswered++
		b.effects.Starts = append(b.effects.Starts, start)
	}
	b.pendingRetries = later
}

// overcommitted reports whether a worker that accepts more than its capacity has
// claims for more: its capacity has shrunk since they were made.
func (b *Board) overcommitted(w *workerState) bool {
	return !b.catalog.Services[w.Service].EnforcesCapacity && !w.used.FitsIn(w.Capacity)
}

// retryStops repeats the stops of runs that must end, unless one is pending or
// was answered.
func (b *Board) retryStops() {
	for _, w := range b.workers {
		if !w.reachable {
			continue
		}
		for key, held := range w.claims {
			if held.needsStop(b.jobs[key.Job]) {
				b.stop(w.ID, key, held.run, "over")
			}
		}
	}
}
