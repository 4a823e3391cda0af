package schedule

import (
	"maps"
	"time"
)

const (
	// unreachableGap is the least time between two records of unreachable workers.
	// unreachableRetryGap replaces it after a write that failed.
	unreachableGap      = 200 * time.Millisecond
	unreachableRetryGap = 500 * time.Millisecond
	// unreachableDelay is how long a worker is not recorded whose polls only time
	// out: the leader itself may be late.
	unreachableDelay = time.Second
	// unreachableInterval is how often the record is written while runs of its
	// workers may go on. A successor waits that much longer at most.
	unreachableInterval = time.Second
)

// unreachable is the state of the record of unreachable workers. Load pattern:
// workers crash, and leaders are lost before the leases of the workers' runs are
// over. Without the record each successor has to assume that the leader before it
// reached the workers until its end, and waits for the longest lease anew.
type unreachable struct {
	// withheld holds the workers in the record in the store, or in one that may
	// still get there. No lease is requested of them: what the record says of the
	// end of their runs stays true whenever it is read, and under later leaders.
	withheld map[string]bool
	// triedAt is when the record was last written, and failed is set if that was
	// in vain.
	triedAt time.Time
	failed  bool
	// runsGoOn is set if the last record said that runs may go on.
	runsGoOn bool
	// removed holds the workers that were removed and may still be in the roster in
	// the store. Every run of theirs is over: without a word of it in the record, a
	// successor waits for them anew.
	removed map[string]bool
}

// MayRequestLease reports whether a lease may be requested of a worker.
func (b *Board) MayRequestLease(id string) bool {
	return !b.unreachable.withheld[id]
}

// UnreachableWorkers returns, by worker, the time until every run is over on the
// workers that do not answer, are about to shut down or were removed, if that has to be
// written to the store. From here on no lease is requested of them.
func (b *Board) UnreachableWorkers(now time.Time) (waits map[string]time.Duration, due bool) {
	state := &b.unreachable
	waits = map[string]time.Duration{}
	added, runsGoOn := false, false
	for id, w := range b.workers {
		if !b.isRecorded(w, now) && (!state.withheld[id] || w.reachable) {
			continue
		}
		waits[id] = max(0, b.runsOverAt(w).Sub(now))
		added = added || !state.withheld[id]
		runsGoOn = runsGoOn || waits[id] > 0
	}
	for id := range state.removed {
		waits[id] = 0
		added = added || !state.withheld[id]
	}
	answered := false
	for id := range state.withheld {
		if _, ok := waits[id]; !ok {
			answered = true
		}
	}
	passed := now.Sub(state.triedAt)
	switch {
	case state.failed:
		due = passed >= unreachableRetryGap
	default:
		due = (answered || added) && passed >= unreachableGap || state.runsGoOn && passed >= unreachableInterval
	}
	if !due {
		return nil, false
	}
	state.triedAt, state.runsGoOn = now, runsGoOn
	for id := range waits {
		state.withheld[id] = true
	}
	return waits, true
}

// isRecorded reports whether a worker is recorded as unreachable: its connection
// broke, it has not answered for unreachableDelay, or it is about to shut down.
func (b *Board) isRecorded(w *workerState, now time.Time) bool {
	lost := w.lost && (!w.brokenAt.Before(w.lostSince) || now.Sub(w.lostSince) >= unreachableDelay)
	return lost || b.needsNoLease(w, now)
}

// needsNoLease reports whether the lease of a draining worker lasts until it may shut
// down. Load pattern: workers shut down while leaders are replaced. A later lease would
// only delay the restart of what such a worker takes along.
func (b *Board) needsNoLease(w *workerState, now time.Time) bool {
	if !w.Draining || w.reportedToken != b.token {
		return false
	}
	return !w.renewedAt.Add(b.config.LeaseTerm).Before(w.shutdownAt) || !now.Before(w.shutdownAt)
}

// UnreachableWritten records the outcome of a write. One that failed may still
// take effect.
func (b *Board) UnreachableWritten(waits map[string]time.Duration, ok bool) {
	b.unreachable.failed = !ok
	if !ok {
		return
	}
	for id := range b.unreachable.withheld {
		if _, listed := waits[id]; !listed {
			delete(b.unreachable.withheld, id)
		}
	}
}

// ApplyUnreachable applies the record that the leaders before have left, as it
// was in the store at a time.
func (b *Board) ApplyUnreachable(waits map[string]time.Duration, at time.Time) {
	b.WithholdLeases(waits)
	for id, wait := range waits {
		b.unreachable.runsGoOn = b.unreachable.runsGoOn || wait > 0
		if w := b.workers[id]; w != nil && w.reportedToken != b.token {
			w.leaseEnd = earlier(w.leaseEnd, at.Add(wait))
		}
	}
}

// WithholdLeases records which workers are in the record in the store.
func (b *Board) WithholdLeases(waits map[string]time.Duration) {
	for id := range waits {
		b.unreachable.withheld[id] = true
	}
}

// RosterStored records that the roster in the store has no other workers than these.
func (b *Board) RosterStored(roster []Listing) {
	stored := make(map[string]bool, len(roster))
	for _, listing := range roster {
		stored[listing.ID] = true
	}
	maps.DeleteFunc(b.unreachable.removed, func(id string, _ bool) bool { return !stored[id] })
}
