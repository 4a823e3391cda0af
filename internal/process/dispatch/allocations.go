package dispatch

import (
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

// allocations is the capacity allocated to the open attempts known to the
// dispatcher.
type allocations struct {
	jobs map[string]allocation
	// customers is the sum of the allocations by customer.
	customers map[string]worker.Size
}

// allocation is the capacity of one job's open attempt.
type allocation struct {
	customer string
	size     worker.Size
}

func newAllocations() allocations {
	return allocations{
		jobs:      map[string]allocation{},
		customers: map[string]worker.Size{},
	}
}

// remove subtracts the allocation of a job.
func (a allocations) remove(id string) {
	removed, ok := a.jobs[id]
	if !ok {
		return
	}
	delete(a.jobs, id)
	a.customers[removed.customer] = subtract(a.customers[removed.customer], removed.size)
}

// set replaces the allocation of a job by that of its current record.
func (a allocations) set(record *job.Record) {
	a.remove(record.ID)
	open := record.Open()
	if open == nil {
		return
	}
	a.jobs[record.ID] = allocation{
		customer: record.Customer,
		size:     open.Size,
	}
	a.customers[record.Customer] = add(a.customers[record.Customer], open.Size)
}

// dominantShare is the largest of a customer's shares of the single resources,
// relative to its quota or, without one, to the capacity.
func (p *Planner) dominantShare(customer string, capacity worker.Size) float64 {
	sum := p.allocations.customers[customer]
	whole := capacity
	if quota, ok := p.state.Quotas[customer]; ok {
		whole = withDefaults(quota.Size, capacity)
	}
	return max(
		ratio(sum.MilliCores, whole.MilliCores),
		ratio(sum.MemoryBytes, whole.MemoryBytes),
		ratio(sum.Accelerators, whole.Accelerators),
	)
}

// withDefaults returns a limit with its zero fields, which set no limit, taken
// from defaults.
func withDefaults(limit, defaults worker.Size) worker.Size {
	if limit.MilliCores == 0 {
		limit.MilliCores = defaults.MilliCores
	}
	if limit.MemoryBytes == 0 {
		limit.MemoryBytes = defaults.MemoryBytes
	}
	if limit.Accelerators == 0 {
		limit.Accelerators = defaults.Accelerators
	}
	return limit
}

// overQuota reports whether one more attempt would exceed the customer's quota.
func (p *Planner) overQuota(customer string, size worker.Size) bool {
	quota, ok := p.state.Quotas[customer]
	if !ok {
		return false
	}
	after := add(p.allocations.customers[customer], size)
	return !fits(after, withDefaults(p.zoneQuota(quota.Size), after))
}

// zoneQuota returns one zone's equal part of a quota, rounded up. The quota is
// divided so that zones which cannot reach each other do not exceed it
// together.
func (p *Planner) zoneQuota(quota worker.Size) worker.Size {
	zones := int64(0)
	for _, zone := range p.state.Zones {
		if !zone.Out {
			zones++
		}
	}
	zones = max(zones, 1)
	return worker.Size{
		MilliCores:   (quota.MilliCores + zones - 1) / zones,
		MemoryBytes:  (quota.MemoryBytes + zones - 1) / zones,
		Accelerators: (quota.Accelerators + zones - 1) / zones,
	}
}
