package dispatch

import (
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

// usage is the capacity allocated to the open attempts known to the dispatcher.
type usage struct {
	jobs map[string]allocation
	// customers is the sum of the allocations by customer.
	customers map[string]worker.Size
}

// allocation is the capacity of one job's open attempt.
type allocation struct {
	customer string
	size     worker.Size
}

func newUsage() usage {
	return usage{
		jobs:      map[string]allocation{},
		customers: map[string]worker.Size{},
	}
}

// remove subtracts the allocation of a job.
func (u usage) remove(id string) {
	removed, ok := u.jobs[id]
	if !ok {
		return
	}
	delete(u.jobs, id)
	u.customers[removed.customer] = subtract(u.customers[removed.customer], removed.size)
}

// set replaces the allocation of a job by that of its current record.
func (u usage) set(record *job.Record) {
	u.remove(record.ID)
	open := record.Open()
	if open == nil {
		return
	}
	u.jobs[record.ID] = allocation{
		customer: record.Customer,
		size:     open.Size,
	}
	u.customers[record.Customer] = add(u.customers[record.Customer], open.Size)
}

// dominantShare is the largest of a customer's shares of the single resources,
// relative to its quota or, without one, to the capacity.
func (p *Planner) dominantShare(customer string, capacity worker.Size) float64 {
	sum := p.usage.customers[customer]
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

// withDefaults returns a with its zero fields, which set no limit, taken from
// b.
func withDefaults(a, b worker.Size) worker.Size {
	if a.MilliCores == 0 {
		a.MilliCores = b.MilliCores
	}
	if a.MemoryBytes == 0 {
		a.MemoryBytes = b.MemoryBytes
	}
	if a.Accelerators == 0 {
		a.Accelerators = b.Accelerators
	}
	return a
}

// overQuota reports whether one more attempt would exceed the customer's quota.
func (p *Planner) overQuota(customer string, size worker.Size) bool {
	quota, ok := p.state.Quotas[customer]
	if !ok {
		return false
	}
	after := add(p.usage.customers[customer], size)
	return !fits(after, withDefaults(p.zoneQuota(quota.Size), after))
}

// zoneQuota is one zone's equal part of a quota, rounded up. The quota is
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
