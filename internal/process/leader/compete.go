package leader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// observeLeadKey updates the current leader from a view of the lead key.
func (l *Leader) observeLeadKey(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	if view.Snapshot {
		lead := store.Item{}
		for _, item := range view.Items {
			if item.Key == l.config.Keys.Lead {
				lead = item
			}
		}
		if lead.Revision != l.leadKeyRevision || lead.Revision == 0 {
			l.setCurrentLeader(lead.Value, lead.Revision, now)
		}
		return
	}
	for _, event := range view.Events {
		if event.Key != l.config.Keys.Lead {
			continue
		}
		if event.Removed {
			l.setCurrentLeader(nil, 0, now)
		} else {
			l.setCurrentLeader(event.Value, event.Revision, now)
		}
	}
}

func (l *Leader) setCurrentLeader(value []byte, revision int64, now time.Time) {
	l.currentLeader, l.leadKeyRevision = Member{}, revision
	if revision == 0 {
		l.acquireAt = now.Add(l.config.AcquireDelay)
	} else if err := cbor.Unmarshal(value, &l.currentLeader); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "revision", revision)
	}
	if l.term != nil {
		l.term.observeLeadKey(l.currentLeader, revision, now)
	}
	l.config.LeaderChanged(l.currentLeader)
	klog.InfoS("leader changed", "shard", l.config.Shard, "host", l.currentLeader.Host, "token", revision)
}

// compete tries to acquire the leadership when nobody holds it, or when an
// earlier incarnation of this host does.
func (l *Leader) compete(ctx context.Context, now time.Time) {
	if l.term != nil {
		if l.board.Fenced() {
			l.stepDown("fenced by a worker")
		}
		if l.term == nil || !l.term.unoccupied {
			return
		}
	}
	formerIncarnation := l.formerIncarnationLeads()
	others := l.otherDuties()
	unoccupied := l.leadKeyRevision == 0 && !l.acquireAt.IsZero() && !now.Before(l.acquireDue())
	if l.acquiring || l.stopping || l.catalog.Version == 0 || (!unoccupied && !formerIncarnation) {
		return
	}
	if !l.reserveDuty(others) {
		return // the delay has changed
	}
	l.acquiring = true
	attempt := &acquisition{
		leader:  l,
		replace: l.leadKeyRevision,
	}
	if l.term != nil {
		attempt.formerToken = l.term.token
	}
	go attempt.run(ctx)
}

// formerIncarnationLeads reports whether the lead key names an earlier process
// of this host, which no longer exists.
func (l *Leader) formerIncarnationLeads() bool {
	return l.currentLeader.Host == l.config.Self.Host && l.currentLeader.Incarnation != l.config.Self.Incarnation
}

// stepDown ends the term and drops its state.
func (l *Leader) stepDown(reason string) {
	l.dropDuty()
	l.config.Counts.Add("leadership_lost", 1)
	klog.InfoS("leadership lost", "shard", l.config.Shard, "token", l.term.token, "reason", reason)
	l.term.end()
	l.term, l.board = nil, nil
	l.leading.Store(false)
}

// acquisition is one attempt to acquire the leadership and to load the state
// that a term starts from.
type acquisition struct {
	leader *Leader
	// replace is the revision of the lead key to replace; zero if there is no
	// lead key.
	replace int64
	// formerToken is the token of this host's lapsed term, which is resumed if
	// nobody else has led since; zero without such a term.
	formerToken int64
}

// acquisitionResult is the outcome of a successful acquisition.
type acquisitionResult struct {
	token int64
	lease int64
	// sent is when the write that acquired the leadership was sent.
	sent time.Time
	// resumed is set if nobody else has led since formerToken. Nothing is
	// loaded then.
	resumed bool
	jobs    []*work.Job
	// createRevisions holds the create revision of each job's record, which is
	// never written again.
	createRevisions map[string]int64
	progress        map[string]*work.Progress
	cancels         []string
	roster          []schedule.Listing
	learned         schedule.Learned
	// sequence is the revision of keySequence, which orders commits.
	sequence int64
	// revision is the store revision at which the work was listed.
	revision int64
}

func (a *acquisition) run(ctx context.Context) {
	result, err := a.acquire(ctx)
	a.leader.post(func(now time.Time) { a.leader.finishAcquisition(ctx, result, err, now) })
}

func (a *acquisition) acquire(ctx context.Context) (*acquisitionResult, error) {
	result, err := a.writeLeadKey(ctx)
	if err != nil || result.resumed {
		return result, err
	}
	keeper := &leaseKeeper{
		store:   a.leader.config.Store,
		clock:   a.leader.config.Clock,
		lease:   result.lease,
		renewed: result.sent,
	}
	held, release := context.WithCancel(ctx)
	defer release()
	go keeper.run(held, release)
	err = a.load(held, result)
	result.sent = keeper.lastRenewal()
	return result, err
}

// leaseKeeper renews the lease of the lead key while a new leader reads its
// state, which takes longer than the lease if there are many records or the
// link to the store is slow.
type leaseKeeper struct {
	store store.Client
	clock func() time.Time
	lease int64

	mu sync.Mutex
	// renewed is when the newest successful renewal was sent.
	renewed time.Time
}

func (k *leaseKeeper) lastRenewal() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.renewed
}

// run renews until the context ends. It calls lapsed if the lease has expired,
// or may have.
func (k *leaseKeeper) run(ctx context.Context, lapsed func()) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent := k.clock()
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.store.Renew(limited, k.lease)
		cancel()
		switch {
		case err == nil:
			k.mu.Lock()
			k.renewed = sent
			k.mu.Unlock()
		case errors.Is(err, store.ErrNoLease) || k.clock().Sub(k.lastRenewal()) > ActTerm:
			lapsed()
			return
		}
	}
}

// writeLeadKey writes the lead key and the epoch under a new lease. Errors:
// those of the store, such as a conflict if the lead key has changed.
func (a *acquisition) writeLeadKey(ctx context.Context) (*acquisitionResult, error) {
	limited, cancel := context.WithTimeout(ctx, leaseTTL)
	defer cancel()
	client := a.leader.config.Store
	keys := &a.leader.config.Keys
	epoch, err := client.Get(limited, keys.Epoch)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return nil, fmt.Errorf("read key %s: %w", keys.Epoch, err)
	}
	lease, err := client.Grant(limited, leaseTTL)
	if err != nil {
		return nil, fmt.Errorf("grant a lease for key %s: %w", keys.Lead, err)
	}
	value, err := cbor.Marshal(a.leader.config.Self)
	if err != nil {
		return nil, err
	}
	result := &acquisitionResult{
		lease:   lease,
		sent:    a.leader.config.Clock(),
		resumed: a.formerToken != 0 && epoch.Revision == a.formerToken,
	}
	result.token, err = client.Commit(limited, store.Commit{
		If: []store.Condition{
			{
				Key:      keys.Lead,
				Revision: a.replace,
			},
			{
				Key:      keys.Epoch,
				Revision: epoch.Revision,
			},
		},
		Set: []store.Write{
			{
				Key:   keys.Lead,
				Value: value,
				Lease: lease,
			},
			{
				Key:   keys.Epoch,
				Value: value,
			},
		},
	})
	if errors.Is(err, store.ErrUnknown) {
		return a.readBack(ctx, result, err)
	}
	return result, err
}

// readBack finds out whether a write whose answer was lost has taken effect:
// the lead key then has the lease that only this attempt was granted. Errors:
// unknown if it has not, or if the store cannot tell.
func (a *acquisition) readBack(ctx context.Context, result *acquisitionResult, unknown error) (*acquisitionResult, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := a.leader.config.Store.Get(limited, a.leader.config.Keys.Lead)
	if err != nil || item.Lease != result.lease {
		return nil, unknown
	}
	result.token = item.Revision
	return result, nil
}

// load reads the roster, the learned state, the jobs and their progress.
func (a *acquisition) load(ctx context.Context, result *acquisitionResult) error {
	client, keys := a.leader.config.Store, &a.leader.config.Keys
	roster, err := client.Get(ctx, keys.Roster)
	if err == nil {
		err = cbor.Unmarshal(roster.Value, &result.roster)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Roster, err)
	}
	sequence, err := client.Get(ctx, keys.Sequence)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Sequence, err)
	}
	result.sequence = sequence.Revision
	learned, err := client.Get(ctx, keys.Learned)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Learned, err)
	}
	result.learned = decodeLearned(learned.Value)
	listing, err := a.readAll(ctx, keys.work)
	if err != nil {
		return err
	}
	result.revision = listing.Revision
	result.jobs, result.cancels, result.createRevisions = nil, nil, map[string]int64{}
	for _, item := range listing.Items {
		result.addItem(keys, item)
	}
	states, err := a.readAll(ctx, keys.state)
	if err != nil {
		return err
	}
	result.progress = make(map[string]*work.Progress, len(states.Items))
	for _, item := range states.Items {
		progress, err := work.DecodeProgress(item.Value)
		if err != nil {
			klog.ErrorS(err, "progress record cannot be read", "key", item.Key, "revision", item.Revision)
			continue
		}
		result.progress[item.Key[len(keys.state):]] = progress
	}
	return nil
}

// readAll reads all keys under a prefix. A failed page is read again until the
// context ends.
func (a *acquisition) readAll(ctx context.Context, prefix string) (store.Listing, error) {
	reader := store.NewReader(a.leader.config.Store, prefix)
	for {
		listing, err := reader.Read(ctx)
		if err == nil {
			return listing, nil
		}
		select {
		case <-ctx.Done():
			return listing, fmt.Errorf("list keys under %s: %w", prefix, err)
		case <-time.After(pageRetryGap):
		}
	}
}

// addItem adds the job or cancellation that an item holds; other items are
// ignored.
func (r *acquisitionResult) addItem(keys *Keys, item store.Item) {
	job, cancelled := keys.decodeItem(item)
	switch {
	case cancelled != "":
		r.cancels = append(r.cancels, cancelled)
	case job != nil:
		r.jobs = append(r.jobs, job)
		r.createRevisions[job.ID] = item.CreateRevision
	}
}

// finishAcquisition begins or resumes the term, or schedules the next attempt
// if the acquisition failed.
func (l *Leader) finishAcquisition(ctx context.Context, result *acquisitionResult, err error, now time.Time) {
	l.acquiring = false
	if err != nil {
		if l.term == nil {
			l.dropDuty()
		}
		klog.InfoS("leadership not taken", "shard", l.config.Shard, "err", err)
		l.acquireAt = now.Add(l.config.AcquireDelay + renewInterval/2)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && l.term != nil && l.term.unoccupied {
			l.stepDown("another host acquired the leadership first")
		}
		return
	}
	l.config.Counts.Add("leadership_taken", 1)
	klog.InfoS("leadership taken", "shard", l.config.Shard, "token", result.token, "resumed", result.resumed, "jobs", len(result.jobs))
	if result.resumed && l.term != nil {
		l.term.resume(result)
		l.board.Begin(result.token, now)
		return
	}
	if l.term != nil {
		l.stepDown("replaced by a new term")
	}
	l.begin(ctx, result, now)
}
