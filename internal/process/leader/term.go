package leader

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// term is one period of leadership of this host. It is used only by the loop.
type term struct {
	leader *Leader
	ctx    context.Context
	cancel context.CancelFunc
	token  int64
	lease  int64
	// firstToken is the token that the term began with; token rises if the term
	// is resumed. No earlier leader can have started a job that was created after
	// firstToken.
	firstToken int64
	// ready is set until the term ends.
	ready bool
	// unoccupied is set while the lead key is gone and, as far as is known,
	// nobody else has acquired the leadership.
	unoccupied bool
	// actUntil is when starts and lease requests must cease: ActTerm after the
	// store last confirmed the leadership.
	actUntil  time.Time
	renewedAt time.Time
	renewing  bool

	listings map[string]schedule.Listing
	// listReadAt is when the list of workers was last read, listFailedAt when
	// reading it last failed.
	listReadAt, listFailedAt time.Time
	links                    map[string]*link
	// waiting holds the orders that wait for a call slot.
	waiting []*call

	// ticketRequests holds those not yet sent; ticketRequestsInFlight counts
	// those that are sent and unanswered.
	ticketRequests         []schedule.TicketRequest
	ticketRequestsInFlight int

	savingProgress  bool
	progressSavedAt time.Time
	jobsDeletedAt   time.Time
	roster          rosterState
	placements      placementsState
	learned         learnedState
	writer          writer
	summarisedAt    time.Time
	waking          bool
	moves           moves
	removed         removedJobs
}

func (t *term) keys() *Keys {
	return &t.leader.config.Keys
}

// begin starts a term from the state that the acquisition loaded.
func (l *Leader) begin(ctx context.Context, result *acquisitionResult, now time.Time) {
	termCtx, cancel := context.WithCancel(ctx)
	t := &term{
		leader:       l,
		ctx:          termCtx,
		cancel:       cancel,
		token:        result.token,
		firstToken:   result.token,
		lease:        result.lease,
		ready:        true,
		actUntil:     result.sent.Add(ActTerm),
		renewedAt:    now,
		listings:     map[string]schedule.Listing{},
		listFailedAt: now,
		links:        map[string]*link{},
		removed:      removedJobs{},
	}
	t.writer = writer{
		term:     t,
		sequence: result.sequence,
	}
	l.term = t
	l.takeDuty()
	l.board = schedule.NewBoard(l.config.Board)
	l.board.SetCatalog(l.catalog)
	l.board.Evacuate(l.evacuatedZones)
	l.board.Begin(result.token, now)
	l.board.RestoreLearned(result.learned, now)
	l.board.AddRoster(result.roster, now)
	t.roster.stored = rosterTargets(result.roster)
	for _, job := range result.jobs {
		inherited := result.createRevisions[job.ID] < result.token
		l.board.AddJob(job, result.progress[job.ID], inherited, now, l.config.TimeOfDay())
	}
	if result.placements {
		l.board.TrustPlacements()
		t.placements.complete = true
	}
	if result.handover != nil {
		l.board.ApplyHandover(*result.handover)
	}
	for _, id := range result.cancels {
		l.board.Cancel(id, now)
	}
	t.moves = newMoves(t, result)
	l.leading.Store(true)
	t.watchStore(result.revision)
	t.updateLinks(now)
}

func (t *term) end() {
	t.cancel()
	t.ready = false
}

// resume continues the term under a new token, if nobody else led in between.
func (t *term) resume(result *acquisitionResult) {
	t.token, t.lease, t.unoccupied = result.token, result.lease, false
	t.placements = placementsState{
		complete: result.placements,
	}
	t.actUntil = result.sent.Add(ActTerm)
}

// watchStore watches the jobs, from a revision on, and the list of workers.
func (t *term) watchStore(revision int64) {
	l := t.leader
	jobs := store.NewWatcher(store.WatcherConfig{
		Client:  l.config.Store,
		Prefix:  t.keys().work,
		Wait:    workWatchWait,
		Gap:     jobsReadGap,
		Timeout: callTimeout,
		Clock:   l.config.Clock,
		OnView:  func(view store.View) { t.post(func(now time.Time) { t.observeWork(view, now) }) },
	})
	jobs.ResumeFrom(revision)
	go jobs.Run(t.ctx)
	workers := store.NewWatcher(store.WatcherConfig{
		Client:  l.config.Store,
		Prefix:  l.config.WorkersPrefix,
		Wait:    workWatchWait,
		Gap:     workersReadGap,
		Timeout: callTimeout,
		Clock:   l.config.Clock,
		OnView:  func(view store.View) { t.post(func(now time.Time) { t.observeWorkers(view, now) }) },
	})
	go workers.Run(t.ctx)
	if l.config.Shards > 1 {
		loads := store.NewWatcher(store.WatcherConfig{
			Client:  l.config.Store,
			Prefix:  prefixLoads,
			Wait:    workWatchWait,
			Gap:     loadsReadGap,
			Timeout: callTimeout,
			Clock:   l.config.Clock,
			OnView:  func(view store.View) { t.post(func(now time.Time) { t.moves.observeLoads(view, now) }) },
		})
		go loads.Run(t.ctx)
	}
}

// post sends an event to the loop, which drops it if the term has ended
// meanwhile.
func (t *term) post(event func(now time.Time)) {
	t.leader.post(func(now time.Time) {
		if t.leader.term == t {
			event(now)
		}
	})
}

// observeWork handles new jobs and cancellations in store order. The lead key or
// the epoch has the same prefix, so that the end of this term is always seen
// before a job that was submitted after the next one began.
func (t *term) observeWork(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	for _, item := range view.Items {
		t.observeItem(item, now)
	}
	for _, event := range view.Events {
		if (event.Key == t.keys().Lead || event.Key == t.keys().Epoch) && event.Revision > t.token {
			t.observeLeadKey(decodeMember(event), leadRevision(event), now)
			if t.leader.term != t {
				return
			}
		}
		if !event.Removed {
			t.observeItem(event.Item, now)
		}
	}
}

// decodeMember returns the leader that an event on the lead key names, the zero
// Member if the key was removed.
func decodeMember(event store.Event) Member {
	var member Member
	if event.Removed {
		return member
	}
	if err := cbor.Unmarshal(event.Value, &member); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "revision", event.Revision)
	}
	return member
}

// leadRevision returns the lead key's revision after an event, zero if the key
// was removed.
func leadRevision(event store.Event) int64 {
	if event.Removed {
		return 0
	}
	return event.Revision
}

// observeLeadKey compares the lead key with this term and steps down if another
// host leads. A newer key that names this process was written by an acquisition
// whose answer is still outstanding.
func (t *term) observeLeadKey(member Member, revision int64, now time.Time) {
	switch {
	case revision == 0 && !t.unoccupied:
		klog.InfoS("leadership lapsed", "shard", t.leader.config.Shard, "token", t.token)
		t.unoccupied = true
		t.actUntil = now
		t.leader.leadKeyRevision, t.leader.acquireAt = 0, now
	case revision > t.token && member.Incarnation != t.leader.config.Self.Incarnation:
		t.leader.stepDown("another host leads")
	}
}

func (t *term) observeItem(item store.Item, now time.Time) {
	job, cancelled := t.keys().decodeItem(item)
	if cancelled != "" {
		klog.InfoS("job cancelled", "job", cancelled, "revision", item.Revision)
		t.leader.board.Cancel(cancelled, now)
		return
	}
	if job == nil {
		return
	}
	if t.removed.covers(job.ID, item.Revision) {
		return
	}
	t.moves.revisions[job.ID] = item.Revision
	klog.InfoS("job seen", "job", job.ID, "queue", job.Queue, "revision", item.Revision)
	t.leader.board.AddJob(job, nil, item.CreateRevision < t.firstToken, now, t.leader.config.TimeOfDay())
	if t.leader.config.UsualShard(job.ID) != t.leader.config.Shard {
		t.leader.board.Arrived(job.ID)
	}
}

// observeWorkers updates the list of workers from a view.
func (t *term) observeWorkers(view store.View, now time.Time) {
	if view.Err != nil {
		t.listFailedAt = now
		return
	}
	if view.Snapshot {
		t.listings = make(map[string]schedule.Listing, len(view.Items))
	}
	for _, item := range view.Items {
		t.observeWorker(item)
	}
	for _, event := range view.Events {
		if event.Removed {
			id := strings.TrimPrefix(event.Key, t.leader.config.WorkersPrefix)
			klog.InfoS("worker left the list", "worker", id, "revision", event.Revision)
			delete(t.listings, id)
			continue
		}
		t.observeWorker(event.Item)
	}
	t.listReadAt = now
	t.updateLinks(now)
}

func (t *term) observeWorker(item store.Item) {
	listing, err := t.leader.config.Worker(item)
	id := strings.TrimPrefix(item.Key, t.leader.config.WorkersPrefix)
	if err != nil {
		klog.InfoS("worker entry cannot be used", "worker", id, "revision", item.Revision, "err", err)
		delete(t.listings, id)
		return
	}
	if !t.leader.config.Owns(listing) {
		delete(t.listings, id)
		return
	}
	if previous, ok := t.listings[id]; !ok || previous.Draining != listing.Draining || previous.Address != listing.Address || !previous.Born.Equal(listing.Born) {
		klog.InfoS("worker listed", "worker", id, "address", listing.Address, "zone", listing.Zone,
			"draining", listing.Draining, "born", listing.Born, "revision", item.Revision)
	}
	t.listings[id] = listing
}

// renew renews the lead key's lease in the store. The answer confirms the
// leadership.
func (t *term) renew(ctx context.Context, now time.Time) {
	if t.renewing || t.unoccupied || now.Sub(t.renewedAt) < renewInterval {
		return
	}
	t.renewing = true
	renewal := &renewalCall{
		term:  t,
		lease: t.lease,
		token: t.token,
		sent:  now,
	}
	go renewal.run(ctx)
}

// renewalCall is one renewal in flight.
type renewalCall struct {
	term         *term
	lease, token int64
	sent         time.Time
}

func (c *renewalCall) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.term.leader.config.Store.Renew(limited, c.lease)
	c.term.post(func(now time.Time) { c.term.handleRenewal(c, err, now) })
}

func (t *term) handleRenewal(c *renewalCall, err error, now time.Time) {
	t.renewing, t.renewedAt = false, c.sent
	if c.token != t.token {
		return
	}
	switch {
	case err == nil:
		t.actUntil = c.sent.Add(ActTerm)
	case errors.Is(err, store.ErrNoLease):
		klog.InfoS("leadership lease lapsed", "shard", t.leader.config.Shard, "token", t.token, "lease", t.lease)
		t.unoccupied = true
		t.leader.leadKeyRevision, t.leader.acquireAt = 0, now
	default:
		klog.InfoS("leadership not renewed", "shard", t.leader.config.Shard, "token", t.token, "act_left", t.actUntil.Sub(now), "err", err)
	}
}

// wakeIn wakes the loop for another step after wait.
func (t *term) wakeIn(wait time.Duration) {
	if t.waking {
		return
	}
	t.waking = true
	time.AfterFunc(wait, func() {
		t.leader.post(func(time.Time) { t.waking = false })
	})
}
