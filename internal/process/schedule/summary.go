package schedule

import "time"

// Summary counts the jobs, runs and capacity of the schedule.
type Summary struct {
	// Open counts jobs, Waiting the tasks of steps that are ready. Running
	// counts runs, Fillers and Serving those of fillers and serving tasks.
	Open, Waiting, Running, Fillers, Serving int
	// Workers is the number of usable workers. Capacity, Allocated and Unused
	// are their cores in total, claimed by runs and estimated unused, in
	// millicores.
	Workers                     int
	Capacity, Allocated, Unused int64
	// Delayed counts the waiting tasks of inherited jobs that may not start until
	// all workers are accounted for; they are part of Waiting.
	Delayed int
	// Throttled is the number of throttled fillers.
	Throttled int
	// MemoryShare is the claimed part of the memory.
	MemoryShare float64
	// Urgent counts decisions about capacity for quick tasks in this term.
	Urgent UrgentCounts
	// Down is the number of preempted long-running tasks that have not started
	// again.
	Down int
	// Placement counts the waits for preferred racks.
	Placement WaitCounts
}

// Summary returns the current counts of the board.
func (b *Board) Summary(now time.Time) Summary {
	out := Summary{
		Open:      len(b.open),
		Urgent:    b.urgentCapacity.counts,
		Down:      len(b.urgentCapacity.preempted),
		Placement: b.placement.counts,
	}
	for _, j := range b.open {
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if !occ.ready(step, now) {
					continue
				}
				out.Waiting += step.waiting
				out.Delayed += b.delayed(j, step)
			}
		}
	}
	memory, allocated := int64(0), int64(0)
	for _, w := range b.workers {
		for _, held := range w.claims {
			out.Running++
			if held.filler {
				out.Fillers++
				if held.throttle < unthrottled {
					out.Throttled++
				}
			}
			if held.serving {
				out.Serving++
			}
		}
		if !b.usable(w, now) {
			continue
		}
		out.Workers++
		out.Capacity += w.Capacity.MilliCores
		out.Allocated += w.used.MilliCores
		out.Unused += w.idle
		memory += w.Capacity.MemoryBytes
		allocated += w.used.MemoryBytes
	}
	out.MemoryShare = ratio(allocated, memory)
	return out
}
