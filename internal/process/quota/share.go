package quota

import (
	"math"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

const (
	// shareStep is the part of a fair share within which organisations count as
	// equal, so that the value of their jobs decides. Without it, one task more or
	// less would outweigh a job that is about to miss its objective.
	shareStep = 1.0 / 8
	// agingTime is the wait without a start that makes up for one fair share of
	// use. It is about the run time of a quick task, so that an organisation at
	// several times its fair share still gets a start every few run times.
	agingTime = time.Second
	// idleTime is how long an organisation without waiting work keeps its age.
	idleTime = time.Second
)

// SetCapacity sets the capacity that the organisations share and counts the
// weights of those that use it or wait for it.
func (b *Book) SetCapacity(total worker.Size, now time.Time) {
	b.total, b.activeWeight = total, 0
	for _, account := range b.accounts {
		account.ordered = false
		if account.running != (worker.Size{}) || now.Sub(account.lastWaiting) <= idleTime {
			account.active = true
			b.activeWeight += account.weight()
		} else {
			account.active = false
		}
	}
}

// DominantShare returns the largest part of the capacity of one resource that
// the organisation uses.
func (b *Book) DominantShare(account *Account) float64 {
	used := account.running.Add(account.possible)
	return max(
		shareOf(used.MilliCores, b.total.MilliCores),
		shareOf(used.MemoryBytes, b.total.MemoryBytes),
		shareOf(used.Accelerators, b.total.Accelerators),
	)
}

// Order returns the place of an organisation with waiting work: the lowest goes
// first. It is the dominant share relative to the weighted fair share, less the
// time waited since the last start. Work without an organisation counts as one
// at its fair share.
func (b *Book) Order(account *Account, now time.Time) float64 {
	switch {
	case b.Empty():
		return 0
	case account == nil:
		return 1
	case account.ordered && account.lastWaiting.Equal(now):
		return account.order
	}
	if now.Sub(account.lastWaiting) > idleTime {
		account.waitingSince = now
	}
	account.lastWaiting = now
	weights := b.activeWeight
	if !account.active {
		weights += account.weight()
	}
	fairShares := b.DominantShare(account) * weights / account.weight()
	aged := fairShares - now.Sub(account.waitingSince).Seconds()/agingTime.Seconds()
	account.order, account.ordered = max(0, math.Floor(aged/shareStep)*shareStep), true
	return account.order
}

// Started resets the age of an organisation: a task of it is started.
func (a *Account) Started(now time.Time) {
	if a != nil {
		a.waitingSince, a.ordered = now, false
	}
}

// weight returns the weight, 1 if it is not set.
func (a *Account) weight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

func shareOf(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
