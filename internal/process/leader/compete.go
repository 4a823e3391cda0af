package leader

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// seeLead takes in who leads.
func (l *Leader) seeLead(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	if view.Whole {
		lead := store.Item{}
		for _, item := range view.Items {
			if item.Key == keyLead {
				lead = item
			}
		}
		if lead.Revision != l.knownRevision || lead.Revision == 0 {
			l.setKnown(lead.Value, lead.Revision, now)
		}
		return
	}
	for _, event := range view.Events {
		if event.Key != keyLead {
			continue
		}
		if event.Removed {
			l.setKnown(nil, 0, now)
		} else {
			l.setKnown(event.Value, event.Revision, now)
		}
	}
}

func (l *Leader) setKnown(value []byte, revision int64, now time.Time) {
	l.known, l.knownRevision = Member{}, revision
	if revision == 0 {
		l.takeAt = now.Add(l.config.Patience)
	} else if err := cbor.Unmarshal(value, &l.known); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "revision", revision)
	}
	if l.reign != nil {
		l.reign.seeLead(l.known, revision, now)
	}
	l.config.Changed(l.known)
	klog.InfoS("leader known", "host", l.known.Host, "token", revision)
}

// compete tries for the leadership when it is vacant.
func (l *Leader) compete(ctx context.Context, now time.Time) {
	if l.reign != nil {
		if l.board.Fenced() {
			l.lose("fenced by a worker")
		}
		if l.reign == nil || !l.reign.vacant {
			return
		}
	}
	own := l.known.Host == l.config.Self.Host && l.known.Incarnation != l.config.Self.Incarnation
	vacant := l.knownRevision == 0 && !l.takeAt.IsZero() && !now.Before(l.takeAt)
	if l.taking || l.stopping || l.catalog.Version == 0 || (!vacant && !own) {
		return
	}
	l.taking = true
	one := &takeover{
		leader:  l,
		replace: l.knownRevision,
	}
	if l.reign != nil {
		one.former = l.reign.token
	}
	go one.run(ctx)
}

// lose ends the reign; what it knew is dropped.
func (l *Leader) lose(reason string) {
	l.config.Counts.Add("leadership_lost", 1)
	klog.InfoS("leadership lost", "token", l.reign.token, "reason", reason)
	l.reign.end()
	l.reign, l.board = nil, nil
	l.leading.Store(false)
}

// takeover takes the leadership and reads what it needs.
type takeover struct {
	leader *Leader
	// replace is the revision of the lead key to be replaced; zero if vacant.
	replace int64
	// former is the token of our own reign that goes on if nobody came between.
	former int64
}

// taken is the outcome of a takeover.
type taken struct {
	token int64
	lease int64
	// sent is when the write that won was sent.
	sent time.Time
	// resumed says that nobody led in between.
	resumed  bool
	jobs     []*work.Job
	created  map[string]int64
	progress map[string]*work.Progress
	cancels  []string
	roster   []schedule.Listing
	learned  schedule.Learned
	// sequence is the revision of the key that orders commits.
	sequence int64
	revision int64
}

func (t *takeover) run(ctx context.Context) {
	got, err := t.take(ctx)
	t.leader.post(func(now time.Time) { t.leader.takenOver(ctx, got, err, now) })
}

func (t *takeover) take(ctx context.Context) (*taken, error) {
	got, err := t.win(ctx)
	if err != nil || got.resumed {
		return got, err
	}
	for range 3 { // a page of a listing may be lost; the right is ours meanwhile
		limited, cancel := context.WithTimeout(ctx, leaseTerm)
		err = t.load(limited, got)
		cancel()
		if err == nil {
			return got, nil
		}
	}
	return got, err
}

func (t *takeover) win(ctx context.Context) (*taken, error) {
	limited, cancel := context.WithTimeout(ctx, leaseTerm)
	defer cancel()
	client := t.leader.config.Store
	epoch, err := client.Get(limited, keyEpoch)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return nil, err
	}
	lease, err := client.Grant(limited, leaseTerm)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(t.leader.config.Self)
	if err != nil {
		return nil, err
	}
	got := &taken{
		lease:   lease,
		sent:    t.leader.config.Clock(),
		resumed: t.former != 0 && epoch.Revision == t.former,
	}
	got.token, err = client.Commit(limited, store.Commit{
		If: []store.Condition{
			{
				Key:      keyLead,
				Revision: t.replace,
			},
			{
				Key:      keyEpoch,
				Revision: epoch.Revision,
			},
		},
		Set: []store.Write{
			{
				Key:   keyLead,
				Value: value,
				Lease: lease,
			},
			{
				Key:   keyEpoch,
				Value: value,
			},
		},
	})
	if errors.Is(err, store.ErrUnknown) {
		return t.readBack(ctx, got, err)
	}
	return got, err
}

// readBack settles a write whose answer was lost: the lease is ours alone.
func (t *takeover) readBack(ctx context.Context, got *taken, unknown error) (*taken, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := t.leader.config.Store.Get(limited, keyLead)
	if err != nil || item.Lease != got.lease {
		return nil, unknown
	}
	got.token = item.Revision
	return got, nil
}

func (t *takeover) load(ctx context.Context, got *taken) error {
	client := t.leader.config.Store
	roster, err := client.Get(ctx, keyRoster)
	if err == nil {
		err = cbor.Unmarshal(roster.Value, &got.roster)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	sequence, err := client.Get(ctx, keySequence)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	got.sequence = sequence.Revision
	learned, err := client.Get(ctx, keyLearned)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	got.learned = decodeLearned(learned.Value)
	listing, err := client.List(ctx, prefixWork)
	if err != nil {
		return err
	}
	got.revision = listing.Revision
	got.jobs, got.cancels, got.created = nil, nil, map[string]int64{}
	for _, item := range listing.Items {
		got.read(item)
	}
	states, err := client.List(ctx, prefixState)
	if err != nil {
		return err
	}
	got.progress = make(map[string]*work.Progress, len(states.Items))
	for _, item := range states.Items {
		progress, err := work.DecodeProgress(item.Value)
		if err != nil {
			klog.ErrorS(err, "progress record cannot be read", "key", item.Key, "revision", item.Revision)
			continue
		}
		got.progress[item.Key[len(prefixState):]] = progress
	}
	return nil
}

// read takes one item of the work in; items of others are left out.
func (g *taken) read(item store.Item) {
	one, cancelled := decodeItem(item)
	switch {
	case cancelled != "":
		g.cancels = append(g.cancels, cancelled)
	case one != nil:
		g.jobs = append(g.jobs, one)
		g.created[one.ID] = item.Created
	}
}

// takenOver begins the reign, or waits for the next vacancy.
func (l *Leader) takenOver(ctx context.Context, got *taken, err error, now time.Time) {
	l.taking = false
	if err != nil {
		klog.InfoS("leadership not taken", "err", err)
		l.takeAt = now.Add(l.config.Patience + renewal/2)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && l.reign != nil && l.reign.vacant {
			l.lose("another host was first")
		}
		return
	}
	l.config.Counts.Add("leadership_taken", 1)
	klog.InfoS("leadership taken", "token", got.token, "resumed", got.resumed, "jobs", len(got.jobs))
	if got.resumed && l.reign != nil {
		l.reign.resume(got)
		l.board.Begin(got.token, now)
		return
	}
	if l.reign != nil {
		l.lose("a former reign ended")
	}
	l.begin(ctx, got, now)
}
