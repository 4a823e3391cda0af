package standin

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/store"
)

// Memory is a store in this process, with the faults that the real one has.
type Memory struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Event
	revision int64
	// oldest is the revision after which the history is whole.
	oldest int64
	leases map[int64]time.Time
	terms  map[int64]time.Duration
	lease  int64
	// changed is closed and replaced at each change.
	changed chan struct{}

	fault func(call string) error
	// hold keeps commits with lost answers back until Release.
	hold bool
	held []store.Commit
	// clock tells when leases end.
	clock func() time.Time
}

// NewMemory returns an empty store.
func NewMemory(clock func() time.Time) *Memory {
	return &Memory{
		items:    map[string]store.Item{},
		leases:   map[int64]time.Time{},
		terms:    map[int64]time.Duration{},
		revision: 1,
		changed:  make(chan struct{}),
		fault:    func(string) error { return nil },
		clock:    clock,
	}
}

// Client fills the seam.
func (m *Memory) Client() store.Client {
	return store.Client{
		Get:    m.get,
		List:   m.list,
		Watch:  m.watch,
		Commit: m.commit,
		Grant:  m.grant,
		Keep:   m.keep,
	}
}

// SetFault sets what is asked before each call with its name; an error is
// returned in the call's place. For a commit, ErrUnknown means that it takes
// effect all the same, at once or, with hold, when Release is called.
func (m *Memory) SetFault(fault func(call string) error, hold bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.hold = fault, hold
}

func (m *Memory) trouble(call string) error {
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	return fault(call)
}

// Compact forgets the history.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldest, m.history = m.revision, nil
}

// Release carries out the commits that were kept back.
func (m *Memory) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, commit := range m.held {
		_, _ = m.apply(commit) // its condition may no longer hold: that is the point
	}
	m.held = nil
}

// Lapse ends all leases at once.
func (m *Memory) Lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for lease := range m.leases {
		m.endLease(lease)
	}
}

func (m *Memory) expire() {
	now := m.clock()
	for lease, end := range m.leases {
		if now.After(end) {
			m.endLease(lease)
		}
	}
}

func (m *Memory) endLease(lease int64) {
	delete(m.leases, lease)
	for key, item := range m.items {
		if item.Lease == lease {
			m.remove(key)
		}
	}
}

func (m *Memory) remove(key string) {
	m.revision++
	delete(m.items, key)
	m.note(store.Event{
		Item: store.Item{
			Key:      key,
			Revision: m.revision,
		},
		Removed: true,
	})
}

func (m *Memory) note(event store.Event) {
	m.history = append(m.history, event)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) get(_ context.Context, key string) (store.Item, error) {
	if err := m.trouble("get"); err != nil {
		return store.Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	item, ok := m.items[key]
	if !ok {
		return item, store.ErrAbsent
	}
	return item, nil
}

func (m *Memory) list(_ context.Context, prefix string) (store.Listing, error) {
	if err := m.trouble("list"); err != nil {
		return store.Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	out := store.Listing{
		Revision: m.revision,
	}
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			out.Items = append(out.Items, item)
		}
	}
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	return out, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := m.trouble("watch"); err != nil {
			return store.Changes{}, err
		}
		m.mu.Lock()
		m.expire()
		if after < m.oldest {
			m.mu.Unlock()
			return store.Changes{}, store.ErrCompacted
		}
		out := store.Changes{
			Revision: m.revision,
		}
		for _, event := range m.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				out.Events = append(out.Events, event)
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if len(out.Events) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return store.Changes{}, store.ErrUnknown
		}
	}
}

func (m *Memory) commit(_ context.Context, commit store.Commit) (int64, error) {
	err := m.trouble("commit")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	switch {
	case errors.Is(err, store.ErrUnknown) && m.hold:
		m.held = append(m.held, commit)
		return 0, err
	case errors.Is(err, store.ErrUnknown):
		_, _ = m.apply(commit) // the answer is lost, whatever it was
		return 0, err
	case err != nil:
		return 0, err
	}
	return m.apply(commit)
}

func (m *Memory) apply(commit store.Commit) (int64, error) {
	met := true
	conflict := &store.ConflictError{}
	for _, condition := range commit.If {
		item, ok := m.items[condition.Key]
		met = met && item.Revision == condition.Revision
		if ok {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if !met {
		return 0, conflict
	}
	for _, write := range commit.Set {
		if _, ok := m.leases[write.Lease]; write.Lease != 0 && !ok {
			return 0, store.ErrNoLease
		}
	}
	m.revision++
	for _, write := range commit.Set {
		item := store.Item{
			Key:      write.Key,
			Value:    write.Value,
			Revision: m.revision,
			Created:  m.revision,
			Lease:    write.Lease,
		}
		if old, ok := m.items[write.Key]; ok {
			item.Created = old.Created
		}
		m.items[write.Key] = item
		m.note(store.Event{
			Item: item,
		})
	}
	for _, key := range commit.Delete {
		if _, ok := m.items[key]; ok {
			delete(m.items, key)
			m.note(store.Event{
				Item: store.Item{
					Key:      key,
					Revision: m.revision,
				},
				Removed: true,
			})
		}
	}
	return m.revision, nil
}

func (m *Memory) grant(_ context.Context, term time.Duration) (int64, error) {
	if err := m.trouble("grant"); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease++
	m.leases[m.lease], m.terms[m.lease] = m.clock().Add(term), term
	return m.lease, nil
}

func (m *Memory) keep(_ context.Context, lease int64) error {
	if err := m.trouble("keep"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if _, ok := m.leases[lease]; !ok {
		return store.ErrNoLease
	}
	m.leases[lease] = m.clock().Add(m.terms[lease])
	return nil
}
