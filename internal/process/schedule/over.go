package schedule

import (
	"net/netip"
	"time"
)

// The functions of this file decide when the runs on a worker are over, or can be none.
// An entry that goes, a connection that is closed, reset or refused, and silence are no
// proof, as each also happens while a worker's process works on:
// docs/design/ends-of-runs.md.

// runsOver reports whether every run on a worker that does not answer is over: its
// leases have expired, or its process has ended.
func (b *Board) runsOver(w *workerState, now time.Time) bool {
	return !w.reachable && (now.After(w.leaseEnd) || b.isReplaced(w))
}

// runsOverAt returns when every run on a worker is over if neither this leader nor a
// later one requests a lease of it.
func (b *Board) runsOverAt(w *workerState) time.Time {
	if b.isEmpty(w) {
		return time.Time{}
	}
	return w.leaseEnd
}

// isEmpty reports whether nothing runs on a worker and nothing can begin there: it has
// reported all of its runs and ends since it refuses the starts of earlier leaders, and
// each start of this one has been answered and has ended, with its end in the store.
func (b *Board) isEmpty(w *workerState) bool {
	return w.settledToken == b.token && len(w.claims) == 0 && len(w.unclaimed) == 0 && !b.HasUnsavedEnds(w.ID)
}

// accountedFor reports whether every run that an earlier leader started on the
// worker is known or has ended. What a worker reports that has started again, and
// the end of its leases, say that only if the leadership was confirmed later: a
// successor may have heard of the runs before.
func (b *Board) accountedFor(w *workerState) bool {
	return w.settledToken == b.token && !w.confirmAfter.After(b.confirmedAt) || !b.confirmedAt.Before(w.leaseEnd)
}

// isReplaced reports whether a younger worker has answered at the address of one that
// does not answer: its process has ended, and its runs with it. An order that is on its
// way names the worker, and the younger one refuses it. An entry with that address
// proves nothing, as anybody may have written it.
func (b *Board) isReplaced(w *workerState) bool {
	if w.reachable || w.Born.IsZero() {
		return false
	}
	for _, other := range b.workers {
		if other.tookOver(w.ID, w.usedAddress(), latestOf(w.Born, w.incarnation)) && other.lastReport.After(w.lastReport) {
			return true
		}
	}
	return false
}

// tookOver reports whether this worker has answered at the address of another one and
// began later than that.
func (w *workerState) tookOver(id string, address netip.AddrPort, incarnation time.Time) bool {
	return w.ID != id && w.answeredAt == address && w.incarnation.After(incarnation)
}

// usedAddress is where the worker last answered, or where an earlier leader has used it.
func (w *workerState) usedAddress() netip.AddrPort {
	if w.answeredAt.IsValid() {
		return w.answeredAt
	}
	return w.Address
}

// removeReplaced removes the workers that are no longer listed and have been replaced.
func (b *Board) removeReplaced(now time.Time) {
	var gone []*workerState
	for _, w := range b.workers {
		if !w.listed && b.isReplaced(w) {
			gone = append(gone, w)
		}
	}
	b.remove(gone, now)
	b.resolveLost(now)
}
