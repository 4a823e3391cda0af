package leader

import (
	"strings"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

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

// observeWork handles new jobs and cancellations in store order. The lead key or
// the epoch has the same prefix, so that the end of this term is always seen
// before a job that was submitted after the next one began. What is no newer than an
// earlier view is passed over: it may have records that are gone since.
func (t *term) observeWork(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	if view.Snapshot && view.Revision < t.workRevision {
		klog.InfoS("list of jobs is older than one before", "revision", view.Revision, "before", t.workRevision)
		return
	}
	for _, item := range view.Items {
		if t.isTermKey(item.Key) {
			t.leader.leadKeySet(decodeMember(item), item.Revision)
		}
	}
	if t.leader.term != t {
		return
	}
	for _, item := range view.Items {
		t.observeItem(item, now)
	}
	for _, event := range view.Events {
		switch {
		case event.Revision <= t.workRevision:
		case t.isTermKey(event.Key):
			t.leader.observeLeadEvent(event, now)
		case event.Removed:
			t.forgetBar(event.Key)
		default:
			t.observeItem(event.Item, now)
		}
		if t.leader.term != t {
			return
		}
	}
	t.workRevision = max(t.workRevision, view.Revision)
	t.removed.viewed(view.Revision)
	t.transfers.removed.viewed(view.Revision)
}

// isTermKey reports whether each new term writes the key: the epoch has the
// revision and the value of the lead key, and is never removed.
func (t *term) isTermKey(key string) bool {
	return key == t.keys().Lead || key == t.keys().Epoch
}

// lapse ends all acts until the leadership has been acquired again.
func (t *term) lapse(now time.Time) {
	if t.unoccupied {
		return
	}
	klog.InfoS("leadership lapsed", "shard", t.leader.config.Shard, "token", t.token)
	t.unoccupied = true
	t.actUntil = now
	t.leader.leadKey.lapse()
	t.leader.acquireAt = now
}

func (t *term) observeItem(item store.Item, now time.Time) {
	found := t.keys().decodeItem(item)
	switch {
	case found.bar != nil:
		t.observeBar(found.cancelled, found.bar, item.Revision, now)
	case found.cancelled != "":
		klog.InfoS("job cancelled", "job", found.cancelled, "revision", item.Revision)
		t.leader.board.Cancel(found.cancelled, now)
	case found.job != nil:
		t.observeJob(found.job, item, now)
	case found.transferred != nil:
		t.transfers.observeTransferred(found.transferred, item, now)
	case found.location != nil:
		t.transfers.observeLocation(found.location, item, now)
	}
}

func (t *term) observeJob(job *work.Job, item store.Item, now time.Time) {
	if t.removed.covers(job.ID, item.Revision) {
		return
	}
	if known := t.moves.revisions[job.ID]; known != 0 && item.Revision > known && t.leader.board.Ended(job.ID) {
		t.oldJobs.gone(job.ID) // its deletion got no answer, and the id is used again
	}
	t.moves.revisions[job.ID] = item.Revision
	t.owners.add(job)
	klog.InfoS("job seen", "job", job.ID, "queue", job.Queue, "revision", item.Revision)
	before := t.leader.board.Bytes()
	t.leader.board.AddJob(job, nil, item.CreateRevision < t.firstToken, now, t.leader.config.TimeOfDay())
	t.room.seen(t.leader.board.Bytes() - before)
	if t.bars.covers(job) {
		klog.InfoS("job cancelled", "job", job.ID, "revision", item.Revision, "cause", "cancelled_before")
		t.leader.board.Cancel(job.ID, now)
	}
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
