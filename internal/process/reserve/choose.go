package reserve

import (
	"cmp"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Run is a long-running run that may be preempted.
type Run struct {
	Key  work.TaskKey
	Size worker.Size
	// Loss is the value lost by preempting it.
	Loss float64
}

// Place is a worker with runs that may be preempted.
type Place struct {
	// Free is what is neither claimed nor reserved.
	Free worker.Size
	// Crowding is by how much the zone's share of the preempted tasks that are
	// still down exceeds its share of the workers. It spreads preemptions.
	Crowding float64
	// Runs are in the order of SortRuns.
	Runs []Run
}

// SortRuns orders runs by loss, then by size.
func SortRuns(runs []Run) {
	slices.SortStableFunc(runs, func(a, c Run) int {
		return cmp.Or(cmp.Compare(a.Loss, c.Loss), cmp.Compare(a.Size.MilliCores, c.Size.MilliCores))
	})
}

// Choice is a set of runs to preempt on one place.
type Choice struct {
	Runs []Run
	// Gain and Loss are the values that the decision was based on.
	Gain, Loss float64
}

// Choose returns the cheapest runs on the place that free the needed size. It
// returns false if there are none, or if their loss is not below the gain.
// pieces is how many tasks of the size wait, each of them worth the given value.
// The choice refers to the place's runs.
func (p Place) Choose(need worker.Size, pieces int, each float64) (Choice, bool) {
	runs := p.cheapest(need)
	if len(runs) == 0 {
		return Choice{}, false
	}
	freed, choice := p.Free, Choice{
		Runs: runs,
	}
	for _, run := range runs {
		freed = freed.Add(run.Size)
		choice.Loss += run.Loss * (1 + p.Crowding)
	}
	choice.Gain = each * float64(min(pieces, fitting(need, freed)))
	return choice, choice.Gain > choice.Loss
}

// cheapest returns a single run that suffices, if there is one, or else several.
func (p Place) cheapest(need worker.Size) []Run {
	for i, run := range p.Runs {
		if need.FitsIn(p.Free.Add(run.Size)) {
			return p.Runs[i : i+1]
		}
	}
	freed := p.Free
	for i := range slices.Backward(p.Runs) { // the larger ones: fewer suffice
		freed = freed.Add(p.Runs[i].Size)
		if need.FitsIn(freed) {
			return p.Runs[i:]
		}
	}
	return nil
}

// fitting is how many tasks of a size fit into the capacity, at least one.
func fitting(need, capacity worker.Size) int {
	count := int64(1 << 30)
	if need.MilliCores > 0 {
		count = min(count, capacity.MilliCores/need.MilliCores)
	}
	if need.MemoryBytes > 0 {
		count = min(count, capacity.MemoryBytes/need.MemoryBytes)
	}
	if need.Accelerators > 0 {
		count = min(count, capacity.Accelerators/need.Accelerators)
	}
	return int(max(1, count))
}

// Better reports whether the choice has the better ratio of gain to loss. Of
// equal ones, that which frees less is better.
func (c Choice) Better(other Choice) bool {
	mine, others := c.Gain*other.Loss, other.Gain*c.Loss
	if mine != others {
		return mine > others
	}
	return c.cores() < other.cores()
}

func (c Choice) cores() int64 {
	total := int64(0)
	for _, run := range c.Runs {
		total += run.Size.MilliCores
	}
	return total
}
