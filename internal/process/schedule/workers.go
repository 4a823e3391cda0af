package schedule

import (
	"net/netip"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Listing is a worker's entry in the discovery list.
type Listing struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Zone    string         `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
	// Capacity is the most that its tasks may request in total.
	Capacity worker.Size `cbor:"5,keyasint"`
	// Labels are its kind and its rack.
	Labels []string `cbor:"6,keyasint,omitempty"`
	// Born is when this incarnation of the worker began; zero if not reported.
	Born time.Time `cbor:"7,keyasint,omitempty"`
	// Draining workers get no new tasks and shut down.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Remaining is the least time until a draining worker shuts down.
	Remaining time.Duration `cbor:"9,keyasint,omitempty"`
	// Rack is where the worker is; empty if it is not known.
	Rack string `cbor:"10,keyasint,omitempty"`
}

// workerState is one worker, known by its id.
type workerState struct {
	Listing
	// listed is set while the discovery list has the worker. unlistedSince is
	// since when it has been missing; it starts again while the list is not
	// reliable.
	listed        bool
	unlistedSince time.Time
	// incarnation is the Born time of the last answer, and answeredAt the address that
	// it came from.
	incarnation time.Time
	answeredAt  netip.AddrPort
	// reportedToken is the token under which it last reported, lastReport when.
	reportedToken int64
	lastReport    time.Time
	// settledToken is the token under which it last reported all its runs and all
	// ends that it has not forgotten.
	settledToken int64
	// firstReport is when this incarnation first reported, lostAt when the
	// worker was last found unreachable.
	firstReport, lostAt time.Time
	reachable           bool
	// bornSeenAt is when its entry first had the Born time that it has.
	bornSeenAt time.Time
	// confirmAfter is when this incarnation was first known of, or when the worker was
	// given up: what follows from that counts once the leadership was confirmed later.
	confirmAfter time.Time
	// brokenAt is when a connection to it broke: its process ran until then.
	brokenAt time.Time
	// lost is set while the worker does not answer this leader, lostSince since when.
	lost      bool
	lostSince time.Time
	// leaseEnd is when every run there is over if nothing more is sent. It is moved
	// forward before each call that requests a lease, and back only by what proves that
	// the leases requested before end sooner.
	leaseEnd time.Time
	// renewedAt is when the newest answered call was sent that requested a lease.
	renewedAt time.Time
	claims    map[work.TaskKey]*claim
	used      worker.Size
	// idle is the number of millicores that no run is estimated to use.
	idle int64
	// serving counts serving runs by image, steps counts runs by step.
	serving map[string]int
	steps   map[stepKey]int
	// suspicion sums the crashes counted against the tasks that run here.
	suspicion int
	// fillers sums the millicores that fillers requested, by image.
	fillers map[string]int64
	// lastProcessed is the highest processed end. ends holds those after lastSeen,
	// in rising order.
	lastProcessed int64
	ends          []pendingEnd
	// lastSeen is the highest end that the worker may forget: the records of it and
	// of all ends before it are in the store.
	lastSeen int64
	health   health
	// blockedUntil delays new tasks after a refusal.
	blockedUntil time.Time
	// reserved is the capacity kept for tasks, and keptForRestarts the part of it that is
	// kept for long-running tasks that are down.
	reserved, keptForRestarts worker.Size
	// shutdownAt is the earliest time at which it may shut down, as far as its entries
	// have said; zero while it does not drain.
	shutdownAt time.Time
	// lastRaise is when the throttle level of a filler was last raised,
	// lastControl when all levels were last computed.
	lastRaise, lastControl time.Time
	// unclaimed holds the runs of the newest report that have no claim, by since when.
	// difference is what has differed for longest in it, and reportedCores the
	// millicores that it lists.
	unclaimed     map[unclaimedRun]time.Time
	difference    Difference
	reportedCores int64
	// headrooms is computed when needed, nil after a change of the runs.
	headrooms []remainingHeadroom
}

// KnowsService reports whether a configuration or a job has named a service. Entries of
// other services are those of another writer.
func (b *Board) KnowsService(name string) bool {
	return b.services[name]
}

// SetWorkers replaces the discovery list. reliable means that the list is
// current: a live worker that is missing from it would have been listed again
// by now.
func (b *Board) SetWorkers(listings map[string]Listing, reliable bool, now time.Time) {
	for id, listing := range listings {
		w := b.workers[id]
		if w == nil {
			w = b.addWorker(listing, now)
		}
		if !listing.Born.IsZero() && !w.incarnation.IsZero() && listing.Born.After(w.incarnation) {
			// Its runs are gone. They are released once it has reported: from
			// then on it refuses delayed starts of earlier leaders.
			w.markLost(now)
			w.reportedToken, w.settledToken = 0, 0
		}
		if !sameTime(listing.Born, w.Born) {
			w.bornSeenAt, w.shutdownAt = now, time.Time{}
		}
		w.idle += listing.Capacity.MilliCores - w.Capacity.MilliCores
		w.Listing = listing
		w.listed = true
		w.noteShutdown(now)
	}
	var gone []*workerState
	for id, w := range b.workers {
		if _, ok := listings[id]; ok {
			continue
		}
		if w.listed || !reliable {
			w.listed, w.unlistedSince = false, now
		}
		if b.runsOver(w, now) && (now.Sub(w.unlistedSince) > b.config.ListGrace || b.isReplaced(w)) {
			gone = append(gone, w)
		}
	}
	b.remove(gone, now)
	b.resolveLost(now)
}

func (b *Board) addWorker(listing Listing, now time.Time) *workerState {
	w := &workerState{
		Listing:       listing,
		unlistedSince: now,
		bornSeenAt:    now,
		claims:        map[work.TaskKey]*claim{},
		idle:          listing.Capacity.MilliCores,
		serving:       map[string]int{},
		steps:         map[stepKey]int{},
		fillers:       map[string]int64{},
		leaseEnd:      b.earlierLeaseEnd(),
	}
	w.noteShutdown(now)
	b.workers[listing.ID] = w
	delete(b.unreachable.removed, listing.ID)
	return w
}

// noteShutdown notes when the worker may shut down by its newest entry. Entries are read
// late, and the time that is left is that of their writing, so that the earliest counts.
func (w *workerState) noteShutdown(now time.Time) {
	if !w.Draining {
		w.shutdownAt = time.Time{}
		return
	}
	at := now.Add(w.Remaining)
	if w.shutdownAt.IsZero() || at.Before(w.shutdownAt) {
		w.shutdownAt = at
	}
}

// AddRoster adds workers that an earlier leader used: they may still run its
// tasks although they are no longer listed.
func (b *Board) AddRoster(roster []Listing, now time.Time) {
	for _, listing := range roster {
		if b.workers[listing.ID] == nil {
			b.addWorker(listing, now)
		}
	}
}

// Roster lists the workers that may have runs, by id.
func (b *Board) Roster() []Listing {
	out := make([]Listing, 0, len(b.workers))
	for _, w := range b.workers {
		out = append(out, w.Listing)
	}
	slices.SortFunc(out, func(a, c Listing) int {
		if a.ID < c.ID {
			return -1
		}
		return 1
	})
	return out
}

// LeaseExtended records that a call which extends the worker's leases is being
// sent.
func (b *Board) LeaseExtended(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		end := now.Add(b.longestLease())
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
}

// handleRestart resets a worker that has restarted: its earlier runs are gone. A
// copy of a start that was not answered may still arrive, and the worker, which
// has seen neither the token nor any stop, would run it. Such runs are stopped,
// so that the new incarnation bars them, before their tasks start elsewhere.
func (b *Board) handleRestart(w *workerState, born time.Time, now time.Time) {
	w.markLost(now)
	suspects := b.suspectsOn(w)
	w.incarnation, w.firstReport = born, now
	b.awaitConfirmation(w, w.knownSince(born, now))
	for key, held := range w.claims {
		if held.unanswered <= 0 {
			b.release(w, key, now)
			continue
		}
		b.noteOver(key, held, now)
		held.confirmed, held.stopping, held.barred = false, time.Time{}, time.Time{}
		b.stop(w.ID, key, held.run, "worker_restarted")
	}
	w.lastProcessed, w.lastSeen, w.ends = 0, 0, nil
	w.health = health{}
	w.blockedUntil = time.Time{}
	w.unclaimed, w.difference = nil, Difference{}
	b.countCrash(w.ID, suspects, now)
}

// awaitConfirmation makes what follows from a worker's first report, or from its
// end, wait for a confirmation of the leadership later than a time.
func (b *Board) awaitConfirmation(w *workerState, after time.Time) {
	w.confirmAfter, b.confirmAfter = after, later(b.confirmAfter, after)
}

// knownSince returns when an incarnation that reports for the first time was known
// to run: it has been since its entry was read, if that says when it began.
func (w *workerState) knownSince(born, now time.Time) time.Time {
	if !born.IsZero() && sameTime(born, w.Born) {
		return w.bornSeenAt
	}
	return now
}

// sameTime compares the times at which incarnations began, which workers give in
// milliseconds and records may round.
func sameTime(a, b time.Time) bool {
	return a.Round(time.Millisecond).Equal(b.Round(time.Millisecond))
}

// releaseAll releases every claim of a worker whose earlier runs are certainly
// over.
func (b *Board) releaseAll(w *workerState, now time.Time) {
	b.lose(w, now)
	b.awaitConfirmation(w, now)
	for key := range w.claims {
		b.release(w, key, now)
	}
}

// remove drops workers whose runs are certainly over.
func (b *Board) remove(gone []*workerState, now time.Time) {
	for _, w := range gone {
		// The other workers of its rack show whether the rack has failed with it: all
		// are still there.
		b.releaseAll(w, now)
	}
	for _, w := range gone {
		for key, held := range b.reservations {
			if held.worker == w.ID {
				b.unreserve(key)
			}
		}
		delete(b.workers, w.ID)
		b.unreachable.removed[w.ID] = true
		b.removedAt, b.confirmAfter = now, later(b.confirmAfter, now)
	}
}

// MarkUnreachable records that a worker did not answer.
func (b *Board) MarkUnreachable(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		if !w.lost {
			w.lost, w.lostSince = true, now
		}
		w.markLost(now)
	}
}

// ConnectionBroken records that the connection of a poll broke, and did not just
// time out: the worker's process has run until now.
func (b *Board) ConnectionBroken(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		w.brokenAt = now
	}
}

func (w *workerState) markLost(now time.Time) {
	if w.reachable {
		w.reachable, w.lostAt = false, now
	}
}

// Expire releases the claims of workers whose leases are certainly over.
func (b *Board) Expire(now time.Time) {
	for _, w := range b.workers {
		if len(w.claims) > 0 && !w.reachable && now.After(w.leaseEnd) {
			b.releaseAll(w, now)
		}
	}
}
