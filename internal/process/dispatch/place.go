package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

const (
	// maxPlacementsPerTick bounds the work of one tick.
	maxPlacementsPerTick = 64
	// maxCandidatesPerTick bounds the waiting jobs considered in one tick. Those over
	// their quota do not count: they would hold back all that follow.
	maxCandidatesPerTick = 512
	// handOverDelay is how long a job waits for free capacity before it may be
	// handed over to another zone.
	handOverDelay = 3 * time.Second
	// rackSpreadPenalty is added to the cost of placing a watcher for each
	// attempt of its class in the rack.
	rackSpreadPenalty = 0.5
	// failurePenalty is added to the cost for each job that failed on the
	// worker since its last success.
	failurePenalty = 5.0
	// acceleratorPenalty keeps workers with free accelerators for the jobs that
	// need them.
	acceleratorPenalty = 2.0
	// urgentReserveDivisor: batch jobs leave 1/16 of each worker's cores free
	// for urgent jobs and watchers.
	urgentReserveDivisor = 16
)

// candidate is a waiting job with its sort keys.
type candidate struct {
	view          *jobView
	rank          int
	dominantShare float64 // of its customer
}

// The ranks of waiting jobs, highest priority first.
const (
	rankUrgent = iota
	rankWatcher
	rankBatch
)

func (p *Planner) rank(view *jobView) int {
	class := p.state.Classes[view.record.Class]
	switch {
	case class.Urgent:
		return rankUrgent
	case class.Watcher:
		return rankWatcher
	}
	return rankBatch
}

// waiting lists the jobs that need an attempt, in placement order: urgent jobs,
// watchers, batch jobs; within a rank, customers with the lowest dominant share
// first, then the earliest submission.
func (p *Planner) waiting(now time.Time) []candidate {
	var waiting []candidate
	capacity := p.capacity()
	for _, view := range p.jobs {
		if view.pendingWrite != nil || view.record.Cancel || !view.record.Waiting() ||
			view.record.Zone != p.config.Zone || now.Before(view.notBefore) {
			continue
		}
		waiting = append(waiting, candidate{
			view:          view,
			rank:          p.rank(view),
			dominantShare: p.dominantShare(view.record.Customer, capacity),
		})
	}
	slices.SortFunc(waiting, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(x.rank, y.rank),
			cmp.Compare(x.dominantShare, y.dominantShare),
			x.view.record.SubmittedAt.Compare(y.view.record.SubmittedAt),
			cmp.Compare(x.view.record.ID, y.view.record.ID),
		)
	})
	return waiting
}

func (p *Planner) capacity() worker.Size {
	var sum worker.Size
	for _, w := range p.workers {
		sum = add(sum, w.entry.Total)
	}
	return sum
}

// place commits attempts for waiting jobs. A withdrawn zone hands its waiting
// jobs over instead.
func (p *Planner) place(input TickInput) {
	if !p.state.ZoneActive(p.config.Zone) {
		p.handOverWaiting(input.Now)
		return
	}
	if !input.Now.Before(input.PermitUntil) {
		return
	}
	placed, considered := 0, 0
	var unplaceable []worker.Size
	for _, next := range p.waiting(input.Now) {
		if placed == maxPlacementsPerTick || considered == maxCandidatesPerTick {
			return
		}
		size := p.sizes.sizeFor(next.view.record)
		if next.rank != rankUrgent && exceedsUnplaceable(unplaceable, size) {
			considered++
			p.handOver(next.view, input.Now)
			continue
		}
		if p.overQuota(next.view.record.Customer, size) {
			p.releaseReservation(next.view)
			continue
		}
		considered++
		if p.placeJob(next, size, input.Now) {
			placed++
			continue
		}
		unplaceable = append(unplaceable, size)
		p.handleUnplaced(next, size, input.Now)
	}
}

// exceedsUnplaceable reports whether the size is at least as large as one that
// could not be placed in this tick.
func exceedsUnplaceable(unplaceable []worker.Size, size worker.Size) bool {
	for _, unplaced := range unplaceable {
		if fits(unplaced, size) {
			return true
		}
	}
	return false
}

// placeJob commits an attempt on the cheapest eligible worker. It returns false
// without one.
func (p *Planner) placeJob(next candidate, size worker.Size, now time.Time) bool {
	id := p.chooseWorker(next, size, now)
	if id == "" {
		return false
	}
	record, err := next.view.record.Commit(job.Placement{
		Worker: id,
		Boot:   p.workers[id].boot,
		Zone:   p.config.Zone,
		Epoch:  p.epoch,
		Size:   size,
	}, now)
	if err != nil {
		return false
	}
	w := p.workers[id]
	w.allocated = add(w.allocated, size) // held until the write finishes
	next.view.heldSize = size
	next.view.heldOn = id
	p.countClass(w, next.view.record.Class, 1)
	w.pendingCommits++
	p.write(next.view, record)
	return true
}

// releaseHold releases the capacity held for a finished write, and the
// reservation of the worker on which attempts were evicted for the job.
func (p *Planner) releaseHold(view *jobView) {
	if w := p.workers[view.heldOn]; w != nil {
		w.allocated = subtract(w.allocated, view.heldSize)
		w.pendingCommits--
		p.countClass(w, view.record.Class, -1)
	}
	view.heldSize, view.heldOn = worker.Size{}, ""
	p.releaseReservation(view)
}

// chooseWorker returns the eligible worker with the lowest cost, empty without
// one.
func (p *Planner) chooseWorker(next candidate, size worker.Size, now time.Time) string {
	best, bestCost := "", 0.0
	for id, w := range p.workers {
		if !p.eligible(w, next, now) || !fits(size, p.freeFor(w, next)) {
			continue
		}
		cost := p.cost(w, next, size)
		if best == "" || cost < bestCost || cost == bestCost && id < best {
			best, bestCost = id, cost
		}
	}
	return best
}

func (p *Planner) eligible(w *workerView, next candidate, now time.Time) bool {
	return w.confirmed && !w.entry.Leaving && !p.state.Workers[w.entry.ID].Out &&
		now.Sub(w.clockAt) < maxInventoryAge && w.healthy(now) &&
		(w.reserved == nil || w.reserved == next.view)
}

// freeFor is the free capacity of a worker that a job may use: batch jobs leave
// part of its cores for urgent jobs and watchers.
func (p *Planner) freeFor(w *workerView, next candidate) worker.Size {
	free := w.free()
	if next.rank == rankBatch {
		free.MilliCores -= w.entry.Total.MilliCores / urgentReserveDivisor
	}
	return free
}

// cost returns the cost of placing a job on a worker: lower for a tighter fit,
// higher for recent failures on the worker, for free accelerators that the job
// does not use, and, if it is a watcher, for attempts of its class in the rack.
func (p *Planner) cost(w *workerView, next candidate, size worker.Size) float64 {
	left := subtract(w.free(), size)
	total := w.entry.Total
	cost := ratio(left.MilliCores, total.MilliCores) + ratio(left.MemoryBytes, total.MemoryBytes)
	if size.Accelerators == 0 && w.free().Accelerators > 0 {
		cost += acceleratorPenalty
	}
	cost += failurePenalty * float64(len(w.health.failedJobs))
	if next.rank == rankWatcher {
		cost += rackSpreadPenalty * float64(p.classes[rackClass{
			rack:  w.entry.Rack,
			class: next.view.record.Class,
		}])
	}
	return cost
}

// rackClass is the key of the count of attempts by rack and class.
type rackClass struct {
	rack, class string
}

// countClass adds change to the number of attempts of a class in the worker's
// rack.
func (p *Planner) countClass(w *workerView, class string, change int) {
	p.classes[rackClass{
		rack:  w.entry.Rack,
		class: class,
	}] += change
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// handleUnplaced handles a job that fits on no worker now: it fails the job if
// it can never run, preempts batch attempts for an urgent job, or hands the job
// over to another zone.
func (p *Planner) handleUnplaced(next candidate, size worker.Size, now time.Time) {
	if p.neverFits(size) && p.neverFits(next.view.record.Size) {
		record, err := next.view.record.Refuse("can never run: larger than any worker", now)
		if err == nil {
			p.write(next.view, record)
		}
		return
	}
	if next.rank == rankUrgent && p.preemptFor(next, size, now) {
		return
	}
	p.handOver(next.view, now)
}

// neverFits reports whether the size exceeds every worker of this zone. It is
// false until every worker has answered under the present epoch.
func (p *Planner) neverFits(size worker.Size) bool {
	if len(p.workers) == 0 {
		return false
	}
	for _, w := range p.workers {
		if !w.confirmed || fits(size, w.entry.Total) {
			return false
		}
	}
	return true
}

// handOver reassigns a job that has waited for handOverDelay to another zone.
func (p *Planner) handOver(view *jobView, now time.Time) {
	if view.pendingWrite != nil || now.Sub(view.waitingSince) < handOverDelay {
		return
	}
	p.reassign(view, p.sizes.sizeFor(view.record))
}

// handOverWaiting reassigns the waiting jobs of a withdrawn zone, at most
// maxPlacementsPerTick per tick.
func (p *Planner) handOverWaiting(now time.Time) {
	moved := 0
	for _, next := range p.waiting(now) {
		if moved == maxPlacementsPerTick {
			return
		}
		if p.reassign(next.view, p.sizes.sizeFor(next.view.record)) {
			moved++
		}
	}
}

// reassign moves a waiting job to the zone with the most free cores among those
// where it fits. It returns false without one.
func (p *Planner) reassign(view *jobView, size worker.Size) bool {
	best := ""
	for zone, free := range p.zoneCapacity {
		if zone == p.config.Zone || !p.state.ZoneActive(zone) || !fits(size, free) {
			continue
		}
		if best == "" || free.MilliCores > p.zoneCapacity[best].MilliCores {
			best = zone
		}
	}
	if best == "" {
		return false
	}
	next, err := view.record.MoveTo(best)
	if err != nil {
		return false
	}
	p.zoneCapacity[best] = subtract(p.zoneCapacity[best], size)
	p.write(view, next)
	return true
}

// FreeCapacity is the capacity that the zone's confirmed and healthy workers
// have free for batch jobs, less the declared sizes of its waiting jobs. Other
// zones use it to choose where to hand jobs over.
func (p *Planner) FreeCapacity(now time.Time) worker.Size {
	var sum worker.Size
	for _, w := range p.workers {
		if !w.confirmed || !w.healthy(now) || w.entry.Leaving {
			continue
		}
		free := w.free()
		free.MilliCores -= w.entry.Total.MilliCores / urgentReserveDivisor
		if free.MilliCores > 0 && free.MemoryBytes > 0 {
			sum = add(sum, free)
		}
	}
	for _, view := range p.jobs {
		if view.record.Waiting() && view.record.Zone == p.config.Zone {
			sum = subtract(sum, view.record.Size)
		}
	}
	return sum
}
