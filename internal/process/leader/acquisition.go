package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// acquisition is one attempt to acquire the leadership and to load the state
// that a term starts from.
type acquisition struct {
	leader *Leader
	// replace is the revision of the lead key to replace; zero if there is no
	// lead key.
	replace int64
	// vacatedBy is the token of the last leader whose lead key was seen to be
	// removed, vacantSince when.
	vacatedBy   int64
	vacantSince time.Time
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
	// placements is set if the progress records have the placements of all
	// long-running tasks.
	placements bool
	// earlierToken is the token of the leader before, zero if there was none, and
	// earlierEnd when it is known to have lost the leadership.
	earlierToken int64
	earlierEnd   time.Time
	// unreachable is, by worker, the time from unreachableAt until every run there
	// is over, as far as that leader has recorded it.
	unreachable   map[string]time.Duration
	unreachableAt time.Time
	// handover is what that leader wrote when it resigned, nil if it did not.
	handover *schedule.Handover
	// resignations are the last ones in favour of a better host, by cause, as far
	// as an earlier leader has recorded them.
	resignations map[resignCause]pastResignation
	jobs         []*work.Job
	// createRevisions holds the create revision of each job's record, which is
	// never written again.
	createRevisions map[string]int64
	progress        map[string]*work.Progress
	cancels         []string
	bars            map[string]storedBar
	// transferred and locations hold the transferred tasks by key.
	transferred map[string]storedTask
	locations   map[string]storedLocation
	roster      []schedule.Listing
	learned     schedule.Learned
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

// termKeys are the keys that an acquisition reads before it writes the lead key.
type termKeys struct {
	epoch, placements, unreachable store.Item
	// at is when all of them had been read.
	at time.Time
}

// readTermKeys reads the keys at the same time: each call counts while nobody
// leads. Errors: those of the store.
func (a *acquisition) readTermKeys(ctx context.Context) (termKeys, error) {
	keys := &a.leader.config.Keys
	read := termKeys{}
	items := map[string]*store.Item{
		keys.Epoch:       &read.epoch,
		keys.Placements:  &read.placements,
		keys.Unreachable: &read.unreachable,
	}
	failed := make(chan error, len(items))
	for key, item := range items {
		go func() {
			var err error
			if *item, err = absentItem(a.leader.config.Store.Get(ctx, key)); err != nil {
				err = fmt.Errorf("read key %s: %w", key, err)
			}
			failed <- err
		}()
	}
	var err error
	for range items {
		err = errors.Join(err, <-failed)
	}
	read.at = a.leader.config.Clock()
	return read, err
}

// writeLeadKey writes the lead key and the epoch under a new lease. Errors:
// those of the store, such as a conflict if the lead key has changed.
func (a *acquisition) writeLeadKey(ctx context.Context) (*acquisitionResult, error) {
	limited, cancel := context.WithTimeout(ctx, leaseTTL)
	defer cancel()
	client := a.leader.config.Store
	keys := &a.leader.config.Keys
	read, err := a.readTermKeys(limited)
	if err != nil {
		return nil, err
	}
	epoch, placements := read.epoch, placementsComplete(read.placements, read.epoch)
	waits := unreachableWaits(read.unreachable, epoch.Revision)
	unreachable, err := keys.unreachableWrite(0, waits)
	if err != nil {
		return nil, err
	}
	lease, err := client.Grant(limited, leaseTTL)
	if err != nil {
		return nil, fmt.Errorf("grant a lease for key %s: %w", keys.Lead, err)
	}
	value, err := cbor.Marshal(a.leader.config.Self)
	if err != nil {
		return nil, err
	}
	commit := store.Commit{
		If: []store.Condition{
			{
				Key:      keys.Lead,
				Revision: a.replace,
			},
			{
				Key:      keys.Epoch,
				Revision: epoch.Revision,
			},
			{
				Key:      keys.Unreachable,
				Revision: read.unreachable.Revision,
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
			unreachable,
		},
	}
	if placements {
		write, err := placementsWrite(keys, 0)
		if err != nil {
			return nil, err
		}
		commit.Set = append(commit.Set, write)
	}
	result := &acquisitionResult{
		lease:      lease,
		sent:       a.leader.config.Clock(),
		resumed:    a.formerToken != 0 && epoch.Revision == a.formerToken,
		placements: placements,

		earlierToken:  epoch.Revision,
		unreachable:   waits,
		unreachableAt: read.at,
	}
	result.token, err = client.Commit(limited, commit)
	result.earlierEnd = a.earlierEnd(epoch.Revision)
	if errors.Is(err, store.ErrUnknown) {
		return a.readBack(ctx, result, err)
	}
	return result, err
}

// earlierEnd returns when the leader with the token is known to have lost the
// leadership. It has now, as there was no lead key, or one of an earlier process
// of this host, which acts no more.
func (a *acquisition) earlierEnd(token int64) time.Time {
	switch {
	case a.replace != 0:
		return a.leader.createdAt.Add(-ActTerm)
	case a.vacatedBy != 0 && a.vacatedBy == token:
		return a.vacantSince
	}
	return a.leader.config.Clock()
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
	result.earlierEnd = a.earlierEnd(result.earlierToken)
	return result, nil
}

// load reads the roster, the learned state, the jobs and their progress.
func (a *acquisition) load(ctx context.Context, result *acquisitionResult) error {
	keys := &a.leader.config.Keys
	roster, err := a.read(ctx, keys.Roster)
	if err == nil {
		err = cbor.Unmarshal(roster.Value, &result.roster)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Roster, err)
	}
	sequence, err := a.read(ctx, keys.Sequence)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Sequence, err)
	}
	result.sequence = sequence.Revision
	learned, err := a.read(ctx, keys.Learned)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read key %s: %w", keys.Learned, err)
	}
	result.learned = decodeLearned(learned.Value)
	if err := a.loadHandover(ctx, result); err != nil {
		return err
	}
	if err := a.loadWork(ctx, result); err != nil {
		return err
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
			result.placements, result.handover = false, nil
			continue
		}
		result.progress[item.Key[len(keys.state):]] = progress
	}
	return a.catchUp(ctx, result)
}

// loadWork reads the jobs and cancellations.
func (a *acquisition) loadWork(ctx context.Context, result *acquisitionResult) error {
	keys := &a.leader.config.Keys
	listing, err := a.readAll(ctx, keys.work)
	if err != nil {
		return err
	}
	result.revision = listing.Revision
	result.jobs, result.cancels, result.createRevisions = nil, nil, map[string]int64{}
	result.bars = map[string]storedBar{}
	result.transferred, result.locations = map[string]storedTask{}, map[string]storedLocation{}
	for _, item := range listing.Items {
		result.addItem(keys, item)
	}
	return nil
}

// catchUp applies the jobs and cancellations that came while the state was loaded,
// which takes seconds on a small host. Without it the term would start with jobs
// that were cancelled meanwhile. Errors: store.ErrNoLease if the leadership has
// been lost; others of the store once the context has ended.
func (a *acquisition) catchUp(ctx context.Context, result *acquisitionResult) error {
	config := &a.leader.config
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		changes, err := config.Store.Watch(limited, config.Keys.work, result.revision, catchUpWait)
		cancel()
		if errors.Is(err, store.ErrCompacted) {
			if err := a.loadWork(ctx, result); err != nil {
				return err
			}
			continue
		}
		if err == nil {
			return result.addChanges(&config.Keys, changes)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("watch keys under %s: %w", config.Keys.work, err)
		case <-time.After(pageRetryGap):
		}
	}
}

// addChanges adds the jobs and cancellations of changes.
func (r *acquisitionResult) addChanges(keys *Keys, changes store.Changes) error {
	for _, event := range changes.Events {
		if event.Revision > r.token && (event.Key == keys.Lead || event.Key == keys.Epoch) {
			return fmt.Errorf("%w: key %s has changed at revision %d", store.ErrNoLease, event.Key, event.Revision)
		}
		if !event.Removed {
			r.addItem(keys, event.Item)
		}
	}
	r.revision = max(r.revision, changes.Revision)
	return nil
}

// read reads one key, again after a failure until the context ends. Errors:
// store.ErrAbsent, and other errors of the store once the context has ended.
func (a *acquisition) read(ctx context.Context, key string) (store.Item, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		item, err := a.leader.config.Store.Get(limited, key)
		cancel()
		if err == nil || errors.Is(err, store.ErrAbsent) {
			return item, err
		}
		select {
		case <-ctx.Done():
			return item, err
		case <-time.After(pageRetryGap):
		}
	}
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

// addItem adds what an item holds; other items are ignored.
func (r *acquisitionResult) addItem(keys *Keys, item store.Item) {
	found := keys.decodeItem(item)
	switch {
	case found.bar != nil:
		r.bars[found.cancelled] = storedBar{
			bar:      found.bar,
			revision: item.Revision,
		}
	case found.cancelled != "":
		r.cancels = append(r.cancels, found.cancelled)
	case found.job != nil:
		r.jobs = append(r.jobs, found.job)
		r.createRevisions[found.job.ID] = item.CreateRevision
	case found.transferred != nil:
		r.transferred[item.Key] = storedTask{
			task:     found.transferred,
			revision: item.Revision,
		}
	case found.location != nil:
		r.locations[item.Key] = storedLocation{
			location: found.location,
			revision: item.Revision,
		}
	}
}
