package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/process/rank"
)

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
	// Late and Hopeless count the waiting jobs of these classes, Places those
	// that a place is kept for.
	Late, Hopeless, Places int
	// Waits says how long the waiting tasks have waited, since their step was
	// ready.
	Waits Waits
	// MemoryShare is the claimed part of the memory.
	MemoryShare float64
}

// Summary returns the current counts of the board.
func (b *Board) Summary(now time.Time) Summary {
	out := Summary{
		Open: len(b.open),
	}
	largest := b.largestWorker()
	for _, j := range b.open {
		out.countClass(j)
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if !occ.ready(step, now) {
					continue
				}
				if step.waiting == 0 {
					continue
				}
				delayed := b.delayed(j, step, now)
				out.Waiting += step.waiting
				out.Delayed += delayed
				size, waited := waitSize(step.spec.Size.MilliCores, largest), now.Sub(j.readySince(occ, step))
				out.Waits = out.Waits.add(WaitTakeover, size, delayed, waited)
				out.Waits = out.Waits.add(b.waitReason(j, step, now), size, step.waiting-delayed, waited)
			}
		}
	}
	out.Waits.sort()
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

// countClass counts a waiting job by its class at the last decision.
func (s *Summary) countClass(j *job) {
	if j.left == j.claims {
		return
	}
	switch j.rank.Class {
	case rank.OnTime:
	case rank.Late:
		s.Late++
	case rank.Hopeless:
		s.Hopeless++
	}
	if j.rank.Placed {
		s.Places++
	}
}
