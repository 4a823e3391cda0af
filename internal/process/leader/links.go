package leader

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// link looks at one worker, one call at a time.
type link struct {
	reign  *reign
	target Target
	looks  chan Look
	// busy is true while a look is under way.
	busy bool
	// due is when the next look may start.
	due time.Time
	// anew makes the next look forget nothing: the worker may have started
	// again since it was heard, with ends that count from one.
	anew bool
	// lost is true while the worker does not answer.
	lost bool
	// clock is the worker's steady clock at the time clockAt; zero unknown.
	clock   time.Duration
	clockAt time.Time
}

// keepLinks opens a link to each worker on the list or in the roster.
func (r *reign) keepLinks(now time.Time) {
	board := r.leader.board
	steady := now.Sub(r.listBroken) > r.leader.config.Board.ListGrace
	board.SetWorkers(r.listings, steady, now)
	current := map[string]bool{}
	for _, listing := range board.Roster() {
		current[listing.ID] = true
		old := r.links[listing.ID]
		if old != nil && old.target.Address == listing.Address {
			continue
		}
		if old != nil {
			close(old.looks)
		}
		r.links[listing.ID] = r.open(listing)
	}
	for id, one := range r.links {
		if !current[id] {
			close(one.looks)
			delete(r.links, id)
		}
	}
}

func (r *reign) open(listing schedule.Listing) *link {
	one := &link{
		reign: r,
		target: Target{
			ID:      listing.ID,
			Address: listing.Address,
		},
		looks: make(chan Look, 1),
		anew:  true,
	}
	go one.run(r.ctx)
	return one
}

// look sends looks that are due.
func (r *reign) look(now time.Time) {
	r.keepRoster(now)
	watch := min(lookWait, max(watchWait, time.Duration(len(r.links))*time.Second/mostWatches))
	for id, one := range r.links {
		if one.busy || now.Before(one.due) || !r.roster.holds(one.target) {
			continue
		}
		seen, _ := r.leader.board.LastSeen(id)
		wait := lookWait
		if r.leader.board.Watched(id) {
			wait = watch
		}
		if one.anew {
			seen, wait = 0, 0
		}
		lease := Lease{
			Token: r.token,
		}
		if !one.lost {
			lease = r.leaseFor(one, now)
		}
		one.busy = true
		one.looks <- Look{
			Lease:    lease,
			LastSeen: seen,
			Wait:     wait,
		}
	}
}

// leaseFor is the longest lease that may be asked for now. A look at a worker
// that does not answer asks for none: what runs there has to be over some day.
// Nor does one beyond the time for which a leader may act unconfirmed: a taker
// that cannot hear the worker reckons with no later lease.
func (r *reign) leaseFor(one *link, now time.Time) Lease {
	lease := Lease{
		Token: r.token,
	}
	if one.clock > 0 && now.Before(r.actUntil) {
		lease.Until = one.clock + now.Sub(one.clockAt) + r.leader.config.Board.LeaseTerm
		r.leader.board.Extended(one.target.ID, now)
	}
	return lease
}

// run makes the calls; it ends when the looks are closed.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case look, ok := <-k.looks:
			if !ok {
				return
			}
			k.call(ctx, look)
		}
	}
}

func (k *link) call(ctx context.Context, look Look) {
	limited, cancel := context.WithTimeout(ctx, look.Wait+callTimeout)
	defer cancel()
	config := &k.reign.leader.config
	sent := config.Clock()
	inventory, clock, err := config.Calls.Look(limited, k.target, look)
	config.Took("look", config.Clock().Sub(sent))
	inventory.Sent, inventory.Received = sent, config.Clock()
	k.reign.post(func(now time.Time) { k.heard(look, inventory, clock, err, now) })
}

// heard takes the answer to a look in.
func (k *link) heard(look Look, inventory schedule.Inventory, clock time.Duration, err error, now time.Time) {
	k.busy = false
	if k.reign.links[k.target.ID] != k {
		return // the worker has another address by now
	}
	board := k.reign.leader.board
	if errors.Is(err, ErrFenced) && look.Token == k.reign.token {
		k.reign.leader.lose("fenced by a worker")
		return
	}
	if err != nil {
		if !k.lost {
			klog.InfoS("worker lost", "worker", k.target.ID, "err", err)
		}
		k.lost, k.anew = true, true
		k.due = now.Add(retryGap)
		board.Unheard(k.target.ID, now)
		if errors.Is(err, ErrClosed) {
			board.Closed(k.target.ID)
		}
		return
	}
	if look.Token != k.reign.token {
		return // of the reign's former token; the next look raises it
	}
	if k.lost {
		klog.InfoS("worker regained", "worker", k.target.ID, "born", inventory.Born)
	}
	k.lost, k.anew = false, false
	k.clock, k.clockAt = clock, inventory.Received
	for _, end := range board.Heard(k.target.ID, inventory, now) {
		k.reign.leader.config.Counts.Add("ended_"+end.Ending.String(), 1)
		klog.InfoS("run ended", "job", end.Key.Job, "task", end.Key, "run", end.Run, "worker", k.target.ID,
			"ending", end.Ending, "number", end.Number)
	}
	gap := lookGap
	switch {
	case k.reign.listings[k.target.ID].Draining:
		gap = drainGap
		time.AfterFunc(gap, func() { k.reign.post(func(time.Time) {}) }) // the loop takes a step
	case board.Undurable(k.target.ID):
		gap = undurableGap
	}
	k.due = now.Add(gap)
}
