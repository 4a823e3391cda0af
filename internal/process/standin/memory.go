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

// Memory is an in-process store that can inject the faults of the real one:
// failed calls, commits whose outcome is unknown, expired leases and a
// compacted history.
type Memory struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Event
	revision int64
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	leaseEnds map[int64]time.Time
	ttls      map[int64]time.Duration
	// lastLease is the newest lease identifier handed out.
	lastLease int64
	// changed is closed and replaced on each change, which wakes the watches.
	changed chan struct{}

	fault func(call string) error
	// delayUnknown delays commits that fail with store.ErrUnknown until
	// ApplyDelayed.
	delayUnknown bool
	delayed      []store.Commit
	// clock is the time that lease expiry is checked against.
	clock func() time.Time
	// pageSize is the most items of a page.
	pageSize int
}

const defaultPageSize = 500

// NewMemory returns an empty store whose leases expire by the clock.
func NewMemory(clock func() time.Time) *Memory {
	return &Memory{
		items:     map[string]store.Item{},
		leaseEnds: map[int64]time.Time{},
		ttls:      map[int64]time.Duration{},
		revision:  1,
		changed:   make(chan struct{}),
		fault:     func(string) error { return nil },
		clock:     clock,
		pageSize:  defaultPageSize,
	}
}

// Client returns a store client that operates on this memory.
func (m *Memory) Client() store.Client {
	return store.Client{
		Get:    m.get,
		Page:   m.page,
		Watch:  m.watch,
		Commit: m.commit,
		Grant:  m.grant,
		Renew:  m.renew,
	}
}

// SetFault sets the function that is called before each store call with the
// call's name; the call fails with the error that it returns. A commit that
// fails with store.ErrUnknown still takes effect: at once or, with
// delayUnknown, when ApplyDelayed is called.
func (m *Memory) SetFault(fault func(call string) error, delayUnknown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.delayUnknown = fault, delayUnknown
}

func (m *Memory) injectedError(call string) error {
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	return fault(call)
}

// Compact drops the history: a watch from an earlier revision then fails with
// store.ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted, m.history = m.revision, nil
}

// ApplyDelayed applies the delayed commits in the order of their calls.
func (m *Memory) ApplyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, commit := range m.delayed {
		_, _ = m.apply(commit) // callers must cope with conditions that no longer hold
	}
	m.delayed = nil
}

// ExpireLeases expires all leases at once and removes their keys.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for lease := range m.leaseEnds {
		m.expireLease(lease)
	}
}

func (m *Memory) expireDue() {
	now := m.clock()
	for lease, end := range m.leaseEnds {
		if now.After(end) {
			m.expireLease(lease)
		}
	}
}

func (m *Memory) expireLease(lease int64) {
	delete(m.leaseEnds, lease)
	for key, item := range m.items {
		if item.Lease == lease {
			m.remove(key)
		}
	}
}

func (m *Memory) remove(key string) {
	m.revision++
	delete(m.items, key)
	m.appendEvent(store.Event{
		Item: store.Item{
			Key:      key,
			Revision: m.revision,
		},
		Removed: true,
	})
}

func (m *Memory) appendEvent(event store.Event) {
	m.history = append(m.history, event)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) get(_ context.Context, key string) (store.Item, error) {
	if err := m.injectedError("get"); err != nil {
		return store.Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireDue()
	item, ok := m.items[key]
	if !ok {
		return item, store.ErrAbsent
	}
	return item, nil
}

// SetPageSize sets how many items a page holds.
func (m *Memory) SetPageSize(items int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pageSize = items
}

func (m *Memory) page(_ context.Context, prefix, after string) (store.Page, error) {
	if err := m.injectedError("page"); err != nil {
		return store.Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireDue()
	page := store.Page{
		Revision: m.revision,
	}
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > m.pageSize {
		page.Items, page.More = page.Items[:m.pageSize], true
	}
	return page, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := m.injectedError("watch"); err != nil {
			return store.Changes{}, err
		}
		m.mu.Lock()
		m.expireDue()
		if after < m.compacted {
			m.mu.Unlock()
			return store.Changes{}, store.ErrCompacted
		}
		changes := store.Changes{
			Revision: m.revision,
		}
		for _, event := range m.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				changes.Events = append(changes.Events, event)
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return store.Changes{}, store.ErrUnknown
		}
	}
}

func (m *Memory) commit(_ context.Context, commit store.Commit) (int64, error) {
	err := m.injectedError("commit")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireDue()
	switch {
	case errors.Is(err, store.ErrUnknown) && m.delayUnknown:
		m.delayed = append(m.delayed, commit)
		return 0, err
	case errors.Is(err, store.ErrUnknown):
		_, _ = m.apply(commit) // the result is lost, whatever it is
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
		if _, ok := m.leaseEnds[write.Lease]; write.Lease != 0 && !ok {
			return 0, store.ErrNoLease
		}
	}
	m.revision++
	for _, write := range commit.Set {
		item := store.Item{
			Key:            write.Key,
			Value:          write.Value,
			Revision:       m.revision,
			CreateRevision: m.revision,
			Lease:          write.Lease,
		}
		if old, ok := m.items[write.Key]; ok {
			item.CreateRevision = old.CreateRevision
		}
		m.items[write.Key] = item
		m.appendEvent(store.Event{
			Item: item,
		})
	}
	for _, key := range commit.Delete {
		if _, ok := m.items[key]; ok {
			delete(m.items, key)
			m.appendEvent(store.Event{
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

func (m *Memory) grant(_ context.Context, ttl time.Duration) (int64, error) {
	if err := m.injectedError("grant"); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLease++
	m.leaseEnds[m.lastLease], m.ttls[m.lastLease] = m.clock().Add(ttl), ttl
	return m.lastLease, nil
}

func (m *Memory) renew(_ context.Context, lease int64) error {
	if err := m.injectedError("keep"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireDue()
	if _, ok := m.leaseEnds[lease]; !ok {
		return store.ErrNoLease
	}
	m.leaseEnds[lease] = m.clock().Add(m.ttls[lease])
	return nil
}
