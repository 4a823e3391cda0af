package leader

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// link polls one worker, one call at a time.
type link struct {
	term   *term
	target Target
	polls  chan Poll
	// busy is set while a poll is in flight.
	busy bool
	// due is when the next poll may start.
	due time.Time
	// withoutAck makes the next poll acknowledge no run ends: the worker may
	// have restarted since its last report and number ends from one again.
	withoutAck bool
	// lost is set while the worker does not answer.
	lost bool
	// incarnation is when the one began whose report was used last, zero before the
	// first report.
	incarnation time.Time
	// restarted is set while another incarnation answers whose reports cannot be used
	// yet: copies of earlier calls could still act there.
	restarted bool
	// clock is the worker's steady clock at the time clockAt; zero if unknown.
	clock   time.Duration
	clockAt time.Time
}

// updateLinks opens a link to each worker on the list or in the roster, and
// closes the links to others.
func (t *term) updateLinks(now time.Time) {
	board := t.leader.board
	listReliable := now.Sub(t.listFailedAt) > t.leader.config.Board.ListGrace
	board.SetWorkers(t.usableListings(), listReliable, now)
	current := map[string]bool{}
	for _, listing := range board.Roster() {
		current[listing.ID] = true
		old := t.links[listing.ID]
		if old != nil && old.target.Address == listing.Address {
			continue
		}
		if old != nil {
			close(old.polls)
		}
		t.links[listing.ID] = t.openLink(listing)
	}
	for id, workerLink := range t.links {
		if !current[id] {
			close(workerLink.polls)
			delete(t.links, id)
		}
	}
}

// usableListings returns the entries of the list that name workers to use: not those of
// services that nobody has named.
func (t *term) usableListings() map[string]schedule.Listing {
	usable := make(map[string]schedule.Listing, len(t.listings))
	for id, listing := range t.listings {
		if t.leader.board.KnowsService(listing.Service) {
			usable[id] = listing
		}
	}
	return usable
}

func (t *term) openLink(listing schedule.Listing) *link {
	workerLink := &link{
		term: t,
		target: Target{
			ID:      listing.ID,
			Address: listing.Address,
		},
		polls:      make(chan Poll, 1),
		withoutAck: true,
	}
	go workerLink.run(t.ctx)
	return workerLink
}

// pollWorkers sends the polls that are due, to workers in the stored roster.
func (t *term) pollWorkers(now time.Time) {
	t.saveRoster(now)
	servingWait := min(pollWait, max(servingPollWait, time.Duration(len(t.links))*time.Second/maxServingPolls))
	for id, workerLink := range t.links {
		if workerLink.busy || now.Before(workerLink.due) || !t.roster.contains(workerLink.target) {
			continue
		}
		if workerLink.lost || workerLink.restarted {
			t.raiseToken(id, now)
		}
		token := t.tokenOf(id)
		if workerLink.restarted && !t.fences.barsEarlier(id, token) {
			continue
		}
		lastSeen, _ := t.leader.board.LastSeen(id)
		wait := pollWait
		if t.leader.board.NeedsFrequentPolls(id) {
			wait = servingWait
		}
		wait = t.leader.board.PollWait(id, wait, now)
		if workerLink.withoutAck {
			lastSeen, wait = 0, 0
		}
		lease := Lease{
			Token: token,
		}
		if !workerLink.lost && !workerLink.restarted {
			lease = t.leaseFor(workerLink, now)
		}
		if lastSeen > 0 || lease.Until > 0 {
			t.fences.sent(id, token)
		}
		workerLink.busy = true
		workerLink.polls <- Poll{
			Lease:    lease,
			LastSeen: lastSeen,
			Wait:     wait,
		}
	}
}

// leaseFor returns the longest lease that may be requested of a worker now.
// None is requested while the worker's clock is unknown or once the leader may
// no longer act unconfirmed: a successor that cannot reach the worker assumes
// that no later lease was granted. Nor do polls of a worker that does not answer
// request one, or those of a worker in the record of unreachable workers, so that
// its runs end in bounded time.
func (t *term) leaseFor(workerLink *link, now time.Time) Lease {
	lease := Lease{
		Token: t.tokenOf(workerLink.target.ID),
	}
	if workerLink.clock > 0 && now.Before(t.actUntil) && t.leader.board.MayRequestLease(workerLink.target.ID) {
		lease.Until = workerLink.clock + now.Sub(workerLink.clockAt) + t.leader.config.Board.LeaseTerm
		t.leader.board.LeaseExtended(workerLink.target.ID, now)
	}
	return lease
}

// run makes the calls until polls is closed or the context ends.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case poll, ok := <-k.polls:
			if !ok {
				return
			}
			k.call(ctx, poll)
		}
	}
}

func (k *link) call(ctx context.Context, poll Poll) {
	limited, cancel := context.WithTimeout(ctx, poll.Wait+callTimeout)
	defer cancel()
	config := &k.term.leader.config
	sent := config.Clock()
	inventory, clock, err := config.Calls.Poll(limited, k.target, poll)
	config.RecordDuration("look", config.Clock().Sub(sent))
	inventory.Renewed = poll.Until > 0
	inventory.Sent, inventory.Received = sent, config.Clock()
	k.term.post(func(now time.Time) { k.handleReport(poll, inventory, clock, err, now) })
}

// handleReport processes the answer to a poll.
func (k *link) handleReport(poll Poll, inventory schedule.Inventory, clock time.Duration, err error, now time.Time) {
	k.busy = false
	if k.term.links[k.target.ID] != k {
		return // the link was closed or replaced meanwhile
	}
	board := k.term.leader.board
	if errors.Is(err, ErrFenced) && poll.Token >= k.term.tokenOf(k.target.ID) {
		k.term.leader.stepDown("fenced by a worker")
		return
	}
	if err != nil {
		if !k.lost {
			klog.InfoS("worker lost", "worker", k.target.ID, "err", err)
		}
		k.lost, k.withoutAck = true, true
		k.due = now.Add(pollRetryGap)
		if errors.Is(err, ErrBroken) {
			board.ConnectionBroken(k.target.ID, now)
		}
		board.MarkUnreachable(k.target.ID, now)
		return
	}
	if poll.Token < k.term.token {
		return // sent under an earlier token of this term; the next poll raises it
	}
	if !k.admit(poll, inventory.Born) {
		k.withoutAck, k.due = true, now
		board.MarkUnreachable(k.target.ID, now)
		return
	}
	if k.lost {
		klog.InfoS("worker regained", "worker", k.target.ID, "born", inventory.Born)
	}
	k.lost, k.withoutAck = false, false
	k.clock, k.clockAt = clock, inventory.Received
	for _, end := range board.ApplyReport(k.target.ID, inventory, now) {
		k.term.leader.config.Counts.Add("ended_"+end.Ending.String(), 1)
		klog.InfoS("run ended", "job", end.Key.Job, "task", end.Key, "run", end.Run, "worker", k.target.ID,
			"ending", end.Ending, "number", end.Number)
	}
	gap := pollGap
	switch {
	case k.term.listings[k.target.ID].Draining:
		gap = drainPollGap
		time.AfterFunc(gap, func() { k.term.post(func(time.Time) {}) }) // wakes the loop
	case board.HasUnsavedEnds(k.target.ID):
		gap = unsavedPollGap
	}
	k.due = now.Add(gap)
}

// admit reports whether a report can be used: it is from the same incarnation as the
// one before, or from one that refuses the copies of all earlier calls that act.
func (k *link) admit(poll Poll, born time.Time) bool {
	if !k.incarnation.Equal(born) && !k.term.fences.barsEarlier(k.target.ID, poll.Token) {
		if !k.restarted {
			klog.InfoS("worker restarted, raising its token", "worker", k.target.ID, "born", born, "token", poll.Token)
		}
		k.restarted = true
		return false
	}
	k.incarnation, k.restarted = born, false
	return true
}
