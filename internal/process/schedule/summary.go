package schedule

import "time"

// Summary is the state of the schedule at a glance.
type Summary struct {
	Open, Waiting, Running, Fillers, Serving int
	// Workers usable now, and their cores: in all, booked and reckoned unused,
	// in thousandths.
	Workers                  int
	Capacity, Booked, Unused int64
	// Paced is the number of fillers that are slowed.
	Paced int
	// MemoryShare is the part of the memory that is booked.
	MemoryShare float64
}

// Summary counts what the board holds.
func (b *Board) Summary(now time.Time) Summary {
	out := Summary{
		Open: len(b.open),
	}
	for _, j := range b.open {
		for _, one := range j.occurrences {
			for _, step := range one.steps {
				if one.turn(step, now) {
					out.Waiting += step.waiting
				}
			}
		}
	}
	memory, booked := int64(0), int64(0)
	for _, w := range b.workers {
		for _, held := range w.claims {
			out.Running++
			if held.filler {
				out.Fillers++
				if held.percent < fullPace {
					out.Paced++
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
		out.Booked += w.used.MilliCores
		out.Unused += w.idle
		memory += w.Capacity.MemoryBytes
		booked += w.used.MemoryBytes
	}
	out.MemoryShare = ratio(booked, memory)
	return out
}
