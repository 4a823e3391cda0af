// Package shard decides how a fleet is divided among leaders. A shard is a fixed
// part of the workers with its own leader; a job belongs to one shard at a time.
// A small fleet is one shard.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxWorkers is the most workers that one leader is given unless the
// settings say otherwise. A leader on 0.8 of a core starts 1,200 tasks a second; a
// busy fleet asks for two a second for each worker, and a third of the processor is
// needed for polls. Smaller shards pack worse: a wide job finds less room at once.
const DefaultMaxWorkers = 400

// Worker is what the division of a fleet depends on.
type Worker struct {
	ID string
	// Zone and Rack are where the worker is; Rack may be empty.
	Zone, Rack string
	MilliCores int64
}

// Layout says which shard each worker and job belongs to. It is stored when the
// fleet first starts and never changes, so that all hosts agree on it.
type Layout struct {
	// Shards is the number of shards, at least one.
	Shards int `cbor:"1,keyasint"`
	// Racks holds the shard of each rack known when the layout was made. Racks
	// stay whole, so that a job runs near its data within one shard.
	Racks map[string]int `cbor:"2,keyasint,omitempty"`
}

// Solo is the layout of a fleet with one leader.
func Solo() Layout {
	return Layout{
		Shards: 1,
	}
}

// Plan divides a fleet into shards of at most maxWorkers: the racks of each zone are
// dealt out so that all shards get about the same capacity in every zone. The loss of
// a zone then takes the same part of each shard.
func Plan(workers []Worker, maxWorkers int) Layout {
	if len(workers) <= maxWorkers {
		return Solo()
	}
	layout := Layout{
		Shards: (len(workers) + maxWorkers - 1) / maxWorkers,
		Racks:  map[string]int{},
	}
	type load struct{ inZone, total int64 }
	loads := make([]load, layout.Shards)
	zone := ""
	for _, next := range racksOf(workers) {
		if next.zone != zone {
			zone = next.zone
			for i := range loads {
				loads[i].inZone = 0
			}
		}
		least := 0
		for i := range loads {
			if cmp.Or(cmp.Compare(loads[i].inZone, loads[least].inZone), cmp.Compare(loads[i].total, loads[least].total)) < 0 {
				least = i
			}
		}
		layout.Racks[next.name] = least
		loads[least].inZone += next.milliCores
		loads[least].total += next.milliCores
	}
	return layout
}

type rack struct {
	zone, name string
	milliCores int64
}

// racksOf returns the racks by zone, in each zone the largest first.
func racksOf(workers []Worker) []rack {
	byName := map[string]rack{}
	for _, w := range workers {
		if w.Rack == "" {
			continue
		}
		entry, ok := byName[w.Rack]
		if !ok {
			entry = rack{
				zone: w.Zone,
				name: w.Rack,
			}
		}
		entry.zone = min(entry.zone, w.Zone) // the same whatever the order of the workers
		entry.milliCores += w.MilliCores
		byName[w.Rack] = entry
	}
	racks := make([]rack, 0, len(byName))
	for _, entry := range byName {
		racks = append(racks, entry)
	}
	slices.SortFunc(racks, func(a, c rack) int {
		return cmp.Or(cmp.Compare(a.zone, c.zone), cmp.Compare(c.milliCores, a.milliCores), cmp.Compare(a.name, c.name))
	})
	return racks
}

// OfWorker returns the shard of a worker.
func (l Layout) OfWorker(id, rack string) int {
	if rack == "" {
		return l.hash(id)
	}
	return l.OfRack(rack)
}

// OfRack returns the shard of a rack, also of one that was added later.
func (l Layout) OfRack(rack string) int {
	if number, ok := l.Racks[rack]; ok && number < l.Shards {
		return number
	}
	return l.hash(rack)
}

// OfJob returns the shard that a job belongs to unless its record says
// otherwise.
func (l Layout) OfJob(id string) int {
	return l.hash(id)
}

func (l Layout) hash(text string) int {
	if l.Shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(text) % uint64(l.Shards))
}
