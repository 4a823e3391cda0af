// Package quota decides how much of the fleet each organisation may use: how
// many tasks of a size may start now without bringing it above its limit, and in
// which order organisations are served when capacity is short.
//
// Load pattern: 20 to 380 organisations share one fleet, and one of them sends
// 20 times its usual load, or a leader changes while another runs at its limit.
package quota

import (
	"math"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Unlimited is the bound of a resource without a limit.
const Unlimited = math.MaxInt64

// Bound returns the bound that a configured limit sets. Zero in a resource of a
// configured limit means no limit, while zero in a bound admits nothing.
func Bound(limit worker.Size) worker.Size {
	return worker.Size{
		MilliCores:   boundOf(limit.MilliCores),
		MemoryBytes:  boundOf(limit.MemoryBytes),
		Accelerators: boundOf(limit.Accelerators),
	}
}

func boundOf(limit int64) int64 {
	if limit == 0 {
		return Unlimited
	}
	return limit
}

// count returns how many tasks that ask for need fit below the bound beside what
// is used. A task that asks for nothing is not limited.
func count(need, used, bound int64) int64 {
	if need <= 0 || bound == Unlimited {
		return Unlimited
	}
	return max(0, bound-used) / need
}

// exceeds reports whether one more task would bring the use above the bound.
func exceeds(need, used, bound int64) bool {
	return need > 0 && used > bound-need
}

// Times returns what a number of tasks of a size ask for.
func Times(size worker.Size, tasks int) worker.Size {
	return worker.Size{
		MilliCores:   size.MilliCores * int64(tasks),
		MemoryBytes:  size.MemoryBytes * int64(tasks),
		Accelerators: size.Accelerators * int64(tasks),
	}
}
