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

// Budgets returns how many millicores of waiting work a shard should pass to
// each other shard, so that all of them have the same demand for their capacity.
// Load pattern: jobs differ in size by a factor of ten, so that chance fills one
// shard while another has room. All leaders compute from the same loads, so that
// what arrives at a shard is what it lacks, whoever sends it.
func Budgets(loads map[int]Load, own int, filler bool) map[int]int64 {
	capacity, demand := 0.0, 0.0
	for _, load := range loads {
		capacity += float64(load.Capacity)
		demand += load.demand(filler)
	}
	if capacity == 0 {
		return nil
	}
	mean := demand / capacity
	surplus := func(load Load) float64 { return load.demand(filler) - mean*float64(load.Capacity) }
	ownLoad := loads[own]
	if surplus(ownLoad) <= minSurplus*float64(ownLoad.Capacity) {
		return nil
	}
	lacking := 0.0
	for _, load := range loads {
		lacking += max(0, -surplus(load))
	}
	budgets := map[int]int64{}
	for number, load := range loads {
		if lacks := -surplus(load); lacks > 0 {
			budgets[number] = int64(surplus(ownLoad) * lacks / lacking)
		}
	}
	return budgets
}
