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

// reign is one leadership of this host. It belongs to the loop.
type reign struct {
	leader *Leader
	ctx    context.Context
	cancel context.CancelFunc
	token  int64
	lease  int64
	ready  bool
	// vacant says that the lead key is gone, though nobody else has taken it.
	vacant bool
	// actUntil bounds new starts: the last confirmation and ActTerm.
	actUntil time.Time
	renewed  time.Time
	renewing bool

	listings map[string]schedule.Listing
	// listed is when the list was last known to be current, listBroken when
	// it last was not.
	listed, listBroken time.Time
	links              map[string]*link
	// waiting orders have no free call yet.
	waiting []*call

	// asks wait for a call for tickets, asking counts those under way.
	asks   []schedule.Ask
	asking int

	recording   bool
	recordedAt  time.Time
	forgottenAt time.Time
	roster      rosterState
	learned     learnedState
	writer      writer
	summarised  time.Time
	waking      bool
}

// begin starts a reign with what the store has.
func (l *Leader) begin(ctx context.Context, got *taken, now time.Time) {
	inner, cancel := context.WithCancel(ctx)
	r := &reign{
		leader:     l,
		ctx:        inner,
		cancel:     cancel,
		token:      got.token,
		lease:      got.lease,
		ready:      true,
		actUntil:   got.sent.Add(ActTerm),
		renewed:    now,
		listings:   map[string]schedule.Listing{},
		listBroken: now,
		links:      map[string]*link{},
	}
	r.writer = writer{
		reign:    r,
		sequence: got.sequence,
	}
	l.reign = r
	l.board = schedule.NewBoard(l.config.Board)
	l.board.SetCatalog(l.catalog)
	l.board.Evacuate(l.evacuated)
	l.board.Begin(got.token, now)
	l.board.Recall(got.learned, now)
	l.board.Remember(got.roster, now)
	r.roster.stored = rosterKeys(got.roster)
	for _, one := range got.jobs {
		inherited := got.created[one.ID] < got.token
		l.board.AddJob(one, got.progress[one.ID], inherited, now, l.config.TimeOfDay())
	}
	for _, id := range got.cancels {
		l.board.Cancel(id, now)
	}
	l.leading.Store(true)
	r.follow(got.revision)
	r.keepLinks(now)
}

func (r *reign) end() {
	r.cancel()
	r.ready = false
}

// resume goes on under a new token: nobody led in between.
func (r *reign) resume(got *taken) {
	r.token, r.lease, r.vacant = got.token, got.lease, false
	r.actUntil = got.sent.Add(ActTerm)
}

// follow watches the work and the workers.
func (r *reign) follow(revision int64) {
	l := r.leader
	jobs := store.NewWatcher(store.WatcherConfig{
		Client:  l.config.Store,
		Prefix:  prefixWork,
		Wait:    workWait,
		Gap:     jobGap,
		Timeout: callTimeout,
		Clock:   l.config.Clock,
		View:    func(view store.View) { r.post(func(now time.Time) { r.seeWork(view, now) }) },
	})
	jobs.From(revision)
	go jobs.Run(r.ctx)
	workers := store.NewWatcher(store.WatcherConfig{
		Client:  l.config.Store,
		Prefix:  l.config.WorkersPrefix,
		Wait:    workWait,
		Gap:     listGap,
		Timeout: callTimeout,
		Clock:   l.config.Clock,
		View:    func(view store.View) { r.post(func(now time.Time) { r.seeWorkers(view, now) }) },
	})
	go workers.Run(r.ctx)
}

// post hands an event to the loop unless the reign has ended meanwhile.
func (r *reign) post(event func(now time.Time)) {
	r.leader.post(func(now time.Time) {
		if r.leader.reign == r {
			event(now)
		}
	})
}

// seeWork takes in new jobs and cancellations, in the order of the store. The
// lead key lies under the same prefix: a job that came after this reign was
// ended is never seen before its end.
func (r *reign) seeWork(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	for _, item := range view.Items {
		r.seeItem(item, now)
	}
	for _, event := range view.Events {
		if event.Key == keyLead && event.Revision > r.token {
			r.seeLead(memberOf(event), leadRevision(event), now)
			if r.leader.reign != r {
				return
			}
		}
		if !event.Removed {
			r.seeItem(event.Item, now)
		}
	}
}

// memberOf is who an event on the lead key names; nobody if it was removed.
func memberOf(event store.Event) Member {
	var member Member
	if event.Removed {
		return member
	}
	if err := cbor.Unmarshal(event.Value, &member); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "revision", event.Revision)
	}
	return member
}

// leadRevision is the lead key's revision after an event, zero if it is gone.
func leadRevision(event store.Event) int64 {
	if event.Removed {
		return 0
	}
	return event.Revision
}

// seeLead compares the lead key with this reign. A key that names this process
// is of a takeover whose answer is still on its way.
func (r *reign) seeLead(member Member, revision int64, now time.Time) {
	switch {
	case revision == 0 && !r.vacant:
		klog.InfoS("leadership lapsed", "token", r.token)
		r.vacant = true
		r.actUntil = now
		r.leader.knownRevision, r.leader.takeAt = 0, now
	case revision > r.token && member.Incarnation != r.leader.config.Self.Incarnation:
		r.leader.lose("another host leads")
	}
}

func (r *reign) seeItem(item store.Item, now time.Time) {
	one, cancelled := decodeItem(item)
	if cancelled != "" {
		klog.InfoS("job cancelled", "job", cancelled, "revision", item.Revision)
		r.leader.board.Cancel(cancelled, now)
		return
	}
	if one == nil {
		return
	}
	klog.InfoS("job seen", "job", one.ID, "queue", one.Queue, "revision", item.Revision)
	r.leader.board.AddJob(one, nil, item.Created < r.token, now, r.leader.config.TimeOfDay())
}

// seeWorkers takes in the list of workers.
func (r *reign) seeWorkers(view store.View, now time.Time) {
	if view.Err != nil {
		r.listBroken = now
		return
	}
	if view.Whole {
		r.listings = make(map[string]schedule.Listing, len(view.Items))
	}
	for _, item := range view.Items {
		r.seeWorker(item)
	}
	for _, event := range view.Events {
		if event.Removed {
			id := strings.TrimPrefix(event.Key, r.leader.config.WorkersPrefix)
			klog.InfoS("worker left the list", "worker", id, "revision", event.Revision)
			delete(r.listings, id)
			continue
		}
		r.seeWorker(event.Item)
	}
	r.listed = now
	r.keepLinks(now)
}

func (r *reign) seeWorker(item store.Item) {
	listing, err := r.leader.config.Worker(item)
	id := strings.TrimPrefix(item.Key, r.leader.config.WorkersPrefix)
	if err != nil {
		klog.InfoS("worker entry cannot be used", "worker", id, "revision", item.Revision, "err", err)
		delete(r.listings, id)
		return
	}
	if before, ok := r.listings[id]; !ok || before.Draining != listing.Draining || before.Address != listing.Address || !before.Born.Equal(listing.Born) {
		klog.InfoS("worker listed", "worker", id, "address", listing.Address, "zone", listing.Zone,
			"draining", listing.Draining, "born", listing.Born, "revision", item.Revision)
	}
	r.listings[id] = listing
}

// renew keeps the store's lease; its answer confirms the leadership.
func (r *reign) renew(ctx context.Context, now time.Time) {
	if r.renewing || r.vacant || now.Sub(r.renewed) < renewal {
		return
	}
	r.renewing = true
	one := &renewalCall{
		reign: r,
		lease: r.lease,
		token: r.token,
		sent:  now,
	}
	go one.run(ctx)
}

// renewalCall is one renewal under way.
type renewalCall struct {
	reign        *reign
	lease, token int64
	sent         time.Time
}

func (c *renewalCall) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.reign.leader.config.Store.Keep(limited, c.lease)
	c.reign.post(func(now time.Time) { c.reign.kept(c, err, now) })
}

func (r *reign) kept(c *renewalCall, err error, now time.Time) {
	r.renewing, r.renewed = false, c.sent
	if c.token != r.token {
		return
	}
	switch {
	case err == nil:
		r.actUntil = c.sent.Add(ActTerm)
	case errors.Is(err, store.ErrNoLease):
		klog.InfoS("leadership lease lapsed", "token", r.token, "lease", r.lease)
		r.vacant = true
		r.leader.knownRevision, r.leader.takeAt = 0, now
	default:
		klog.InfoS("leadership not renewed", "token", r.token, "act_left", r.actUntil.Sub(now), "err", err)
	}
}

// wakeIn makes the loop take another step soon.
func (r *reign) wakeIn(wait time.Duration) {
	if r.waking {
		return
	}
	r.waking = true
	time.AfterFunc(wait, func() {
		r.leader.post(func(time.Time) { r.waking = false })
	})
}

// summarise logs the state of the schedule now and then.
func (r *reign) summarise(now time.Time) {
	if now.Sub(r.summarised) < summaryInterval {
		return
	}
	r.summarised = now
	sum := r.leader.board.Summary(now)
	klog.InfoS("schedule", "token", r.token, "open", sum.Open, "waiting", sum.Waiting, "running", sum.Running,
		"fillers", sum.Fillers, "serving", sum.Serving, "workers", sum.Workers, "capacity", sum.Capacity,
		"booked", sum.Booked, "unused", sum.Unused, "paced", sum.Paced, "memory_share", sum.MemoryShare,
		"events", len(r.leader.events), "orders", len(r.waiting))
}
