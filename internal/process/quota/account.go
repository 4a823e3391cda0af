package quota

import (
	"math"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Account holds the limit of one organisation and what it uses. The nil account
// is that of work without an organisation: it has no limit and counts nothing.
type Account struct {
	Name string
	// Limit is the configured limit, in which zero means none, and Weight the
	// configured weight.
	Limit  worker.Size
	Weight float64
	// Listed is set while the configuration has the organisation.
	Listed bool
	// bound is the most that may be in use here, valid if known is set. An
	// organisation that was in no configuration known so far starts nothing: its
	// limit may be in a version that arrives later.
	bound worker.Size
	known bool
	// running is what runs, starts or is being stopped. possible is what may be
	// running on workers that have not reported to this leader.
	running, possible worker.Size
	// claim is used where limits are divided among shards.
	claim claim
	// waitingSince is when a task was last started, or when work began to wait,
	// and lastWaiting when work was last seen waiting.
	waitingSince, lastWaiting time.Time
	// active is set if the weight counts in the fair shares.
	active bool
	// order is the place at lastWaiting, valid if ordered is set: it is asked for
	// once for each waiting job.
	order   float64
	ordered bool
}

// Add counts a run, and Remove its certain end.
func (a *Account) Add(size worker.Size) {
	if a != nil {
		a.running, a.ordered = a.running.Add(size), false
	}
}

// Remove counts the certain end of a run.
func (a *Account) Remove(size worker.Size) {
	if a != nil {
		a.running, a.ordered = a.running.Sub(size), false
	}
}

// Use returns what the organisation has running, and what it may have running
// beyond that on workers that have not reported.
func (a *Account) Use() (running, possible worker.Size) {
	return a.running, a.possible
}

// Known reports whether the limit is known.
func (a *Account) Known() bool {
	return a.known
}

// MayStart returns how many tasks of a size may start now.
func (a *Account) MayStart(size worker.Size) int {
	switch {
	case a == nil:
		return math.MaxInt
	case !a.known:
		return 0
	}
	used := a.running.Add(a.possible)
	return int(min(
		count(size.MilliCores, used.MilliCores, a.bound.MilliCores),
		count(size.MemoryBytes, used.MemoryBytes, a.bound.MemoryBytes),
		count(size.Accelerators, used.Accelerators, a.bound.Accelerators),
	))
}

// Admits reports whether one more task of a size may start now.
func (a *Account) Admits(size worker.Size) bool {
	if a == nil {
		return true
	}
	used := a.running.Add(a.possible)
	return a.known && !exceeds(size.MilliCores, used.MilliCores, a.bound.MilliCores) &&
		!exceeds(size.MemoryBytes, used.MemoryBytes, a.bound.MemoryBytes) &&
		!exceeds(size.Accelerators, used.Accelerators, a.bound.Accelerators)
}

// StillAdmits reports whether a task of a size that is counted already, but may
// not have begun, may begin now.
func (a *Account) StillAdmits(size worker.Size) bool {
	if a == nil {
		return true
	}
	a.Remove(size)
	defer a.Add(size)
	return a.Admits(size)
}
