package schedule

import (
	"net/netip"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Listing is what the list of workers says of one.
type Listing struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Zone    string         `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
	// Capacity is what its tasks may ask for together.
	Capacity worker.Size `cbor:"5,keyasint"`
	// Labels are its kind and its rack.
	Labels []string `cbor:"6,keyasint,omitempty"`
	// Born is when this life of the worker began; zero if it does not say.
	Born time.Time `cbor:"7,keyasint,omitempty"`
	// Draining workers get nothing new and leave.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration `cbor:"9,keyasint,omitempty"`
}

// workerState is one worker, known by its id.
type workerState struct {
	Listing
	// listed tells whether the list has it; unlisted is since when it has not.
	listed   bool
	unlisted time.Time
	// life is the born of the last answer.
	life time.Time
	// heardUnder is the token under which it answered last.
	heardUnder int64
	heard      time.Time
	reachable  bool
	// leaseEnd bounds when everything there is over if nothing more is sent.
	leaseEnd time.Time
	claims   map[work.TaskKey]*claim
	used     worker.Size
	// idle are the thousandths of cores that nothing is reckoned to use.
	idle int64
	// serving counts serving runs by image, steps runs by step.
	serving map[string]int
	steps   map[stepKey]int
	// fillers sums the thousandths of cores that fillers want, by image.
	fillers map[string]int64
	// seen is the highest end that was processed; ends wait until durable.
	seen int64
	ends []pendingEnd
	// lastSeen is the highest end whose effect is in the store.
	lastSeen int64
	health   health
	// blockedUntil keeps new tasks away after a refusal.
	blockedUntil time.Time
	// reserved is room kept for tasks that others make way for.
	reserved worker.Size
	// drainSeen is when it was first known to drain; closed that it has ended
	// the connection since it was heard.
	drainSeen time.Time
	closed    bool
	// paced is when the pace of a filler was last raised, controlled when all
	// were last reckoned.
	paced, controlled time.Time
	// slacks are reckoned when they are needed, nil after a change of the runs.
	slacks []slack
}

// SetWorkers takes the list in, whole. Steady says that the list is current:
// a worker that is missing from it although it lives would be back by now.
func (b *Board) SetWorkers(listings map[string]Listing, steady bool, now time.Time) {
	for id, listing := range listings {
		w := b.workers[id]
		if w == nil {
			w = b.addWorker(listing, now)
		}
		if !listing.Born.IsZero() && !w.life.IsZero() && listing.Born.After(w.life) {
			b.reborn(w, listing.Born, now)
		}
		w.idle += listing.Capacity.MilliCores - w.Capacity.MilliCores
		w.Listing = listing
		w.listed = true
	}
	for id, w := range b.workers {
		if _, ok := listings[id]; ok {
			continue
		}
		if w.listed || !steady {
			w.listed, w.unlisted = false, now
		}
		if b.left(w) {
			b.lost(w, now)
			delete(b.workers, id)
			continue
		}
		if now.After(w.leaseEnd) && now.Sub(w.unlisted) > b.config.ListGrace && !w.reachable {
			b.lost(w, now)
			delete(b.workers, id)
		}
	}
}

func (b *Board) addWorker(listing Listing, now time.Time) *workerState {
	w := &workerState{
		Listing:  listing,
		unlisted: now,
		claims:   map[work.TaskKey]*claim{},
		idle:     listing.Capacity.MilliCores,
		serving:  map[string]int{},
		steps:    map[stepKey]int{},
		fillers:  map[string]int64{},
		leaseEnd: b.doubtEnd(),
	}
	b.workers[listing.ID] = w
	return w
}

// Remember adds workers that an earlier leadership has used: they may run its
// tasks although the list no longer has them.
func (b *Board) Remember(roster []Listing, now time.Time) {
	for _, listing := range roster {
		if b.workers[listing.ID] == nil {
			b.addWorker(listing, now)
		}
	}
}

// Roster lists the workers that may run something, by id.
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

// clockDrift is how much slower than ours a worker's steady clock may run,
// with as much again for reckoning.
const clockDrift = 0.04

// doubtEnd bounds when everything that an earlier holder may have started or
// extended is over on a worker that this one does not hear.
func (b *Board) doubtEnd() time.Time {
	return b.begun.Add(b.config.ActTerm).Add(b.longestLease())
}

func (b *Board) longestLease() time.Duration {
	return b.config.LeaseTerm + time.Duration(float64(b.config.LeaseTerm)*clockDrift) + b.config.StopGrace
}

// Extended tells that a call which extends the worker's leases is being sent.
func (b *Board) Extended(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		end := now.Add(b.longestLease())
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
}

// reborn takes note that a worker started again: it runs nothing of before.
func (b *Board) reborn(w *workerState, born time.Time, now time.Time) {
	b.lost(w, now)
	w.life = born
	w.seen, w.lastSeen, w.ends = 0, 0, nil
	w.health = health{}
	w.blockedUntil = time.Time{}
	w.reachable = false
}

// lost releases every claim of a worker that certainly runs nothing any more.
func (b *Board) lost(w *workerState, now time.Time) {
	for key := range w.claims {
		b.release(w, key, now)
	}
}

// Unheard tells that a worker did not answer.
func (b *Board) Unheard(id string, now time.Time) {
	if w := b.workers[id]; w != nil {
		w.reachable = false
	}
}

// Expire frees what ran on workers whose leases are certainly over.
func (b *Board) Expire(now time.Time) {
	for _, w := range b.workers {
		if len(w.claims) > 0 && !w.reachable && (now.After(w.leaseEnd) || b.left(w)) {
			b.lost(w, now)
		}
	}
}

// settled tells whether nothing of an earlier leadership can be running on the
// workers of a service without our knowing.
func (b *Board) settled(service string, now time.Time) bool {
	for _, w := range b.workers {
		if w.Service == service && w.heardUnder != b.token && now.Before(w.leaseEnd) && !b.left(w) {
			return false
		}
	}
	return true
}
