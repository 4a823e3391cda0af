package shard

import "time"

// Load is what a shard has of a service and what waits for it there, in
// millicores.
type Load struct {
	// Capacity is that of all usable workers. Free is the part that no task has
	// claimed, Unused the part that is estimated to be idle, which fillers may
	// take.
	Capacity int64 `cbor:"1,keyasint,omitempty"`
	Free     int64 `cbor:"2,keyasint,omitempty"`
	Unused   int64 `cbor:"3,keyasint,omitempty"`
	// Waiting and WaitingFillers are requested by tasks that could start.
	Waiting        int64 `cbor:"4,keyasint,omitempty"`
	WaitingFillers int64 `cbor:"5,keyasint,omitempty"`
	// Labels are those of its workers.
	Labels []string `cbor:"6,keyasint,omitempty"`
	// LongRunning is claimed by long-running tasks, or requested by those that wait;
	// an earlier release does not publish it.
	LongRunning int64 `cbor:"7,keyasint,omitempty"`
	// Pieces are those of the usable workers with the most free cores, the largest
	// first, up to MaxPieces.
	Pieces []Piece `cbor:"8,keyasint,omitempty"`
	// Late is how late the shard's leader gives orders, zero while it is not behind.
	Late time.Duration `cbor:"9,keyasint,omitempty"`
}

// demand is the part of the capacity that is in use or asked for.
func (l *Load) demand(filler bool) float64 {
	if filler {
		return float64(l.Capacity - l.Unused + l.Waiting + l.WaitingFillers)
	}
	return float64(l.Capacity - l.Free + l.Waiting)
}

// minSurplus is the part of its capacity by which a shard's demand must exceed
// the mean before jobs move: less evens out by itself while they would be on
// their way.
const minSurplus = 0.04

// minLongRunningSurplus is the same for long-running work, which does not even out
// by itself: the difference lasts for the day.
const minLongRunningSurplus = 0.01

// Budgets returns how many millicores of waiting work a shard should pass to
// each other shard, so that all of them have the same demand for their capacity.
// Load pattern: jobs differ in size by a factor of ten, so that chance fills one
// shard while another has room. All leaders compute from the same loads, so that
// what arrives at a shard is what it lacks, whoever sends it.
func Budgets(loads map[int]Load, own int, filler bool) map[int]int64 {
	return budgets(loads, own, minSurplus, func(load *Load) float64 { return load.demand(filler) })
}

// LongRunningBudgets returns the same for long-running work, compared without the
// quick tasks beside it, which come and go.
func LongRunningBudgets(loads map[int]Load, own int) map[int]int64 {
	return budgets(loads, own, minLongRunningSurplus, func(load *Load) float64 { return float64(load.LongRunning) })
}

func budgets(loads map[int]Load, own int, least float64, demandOf func(load *Load) float64) map[int]int64 {
	capacity, demand := 0.0, 0.0
	for _, load := range loads {
		capacity += float64(load.Capacity)
		demand += demandOf(&load)
	}
	if capacity == 0 {
		return nil
	}
	mean := demand / capacity
	surplus := func(load Load) float64 { return demandOf(&load) - mean*float64(load.Capacity) }
	ownLoad := loads[own]
	if surplus(ownLoad) <= least*float64(ownLoad.Capacity) {
		return nil
	}
	lacking := 0.0
	for _, load := range loads {
		lacking += max(0, -surplus(load))
	}
	out := map[int]int64{}
	for number, load := range loads {
		if lacks := -surplus(load); lacks > 0 {
			out[number] = int64(surplus(ownLoad) * lacks / lacking)
		}
	}
	return out
}
