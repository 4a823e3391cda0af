package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// txn is the body of a conditional write.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	DeleteKeys []string `json:"delete_keys"`
}

// sets reports whether the write sets a key with the suffix.
func (t *txn) sets(suffix string) bool {
	for _, set := range t.SetKeys {
		if strings.HasSuffix(set.Key, suffix) {
			return true
		}
	}
	return false
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store. Each host has a door of
// its own, so that calls of one host can be left unanswered.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// writes counts the conditional writes that arrived.
	writes int
	// delay, if set, says how long a conditional write is held back: it gets no
	// answer and is carried out later, if its condition still holds then.
	delay func(write *txn) time.Duration
	// refuse, if set, says which conditional writes are refused with 503.
	refuse func(write *txn) bool
	// muted is set while watches hear nothing, compacted is the newest revision of
	// the history that is gone.
	muted     bool
	compacted int64
	// silent is set while no call is answered and nothing is done.
	silent bool
	closed chan struct{}
}

func newStore(r *record) *store {
	s := &store{
		record:   r,
		revision: 1,
		items:    map[string]item{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	go s.expireLoop()
	return s
}

// serve answers calls that arrive at a listener.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			if silent {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			mux.ServeHTTP(w, r)
		}),
	}
	go func() { _ = server.Serve(listener) }()
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.record.note("store: answers %t", !silent)
}

func (s *store) expireLoop() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if !s.silent { // leases pause while the store is down
			now := time.Now()
			for id, held := range s.leases {
				if now.After(held.end) {
					s.dropLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// dropLease removes a lease and its keys. s.mu is held.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, held := range s.items {
		if held.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.wake()
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{
		Key:      key,
		Revision: s.revision,
		Removed:  true,
	})
}

func (s *store) set(key string, value []byte, leaseID int64) {
	if value == nil {
		value = []byte{}
	}
	next := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
		Lease:    leaseID,
	}
	if old, ok := s.items[key]; ok {
		next.Created = old.Created
	}
	s.items[key] = next
	s.history = append(s.history, next)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator, a runner or another writer.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.wake()
}

// drop removes a key.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// compact drops the history: watches hear nothing for a second, while changes are
// made, and are then cut.
func (s *store) compact(change func()) {
	s.mu.Lock()
	s.muted = true
	s.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	change()
	time.Sleep(500 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.compacted = false, s.revision
	s.wake()
	s.record.note("store: the history up to revision %d is dropped", s.compacted)
}

// find returns the item of the first key with the suffix.
func (s *store) find(suffix string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, held := range s.items {
		if strings.HasSuffix(key, suffix) {
			return held, true
		}
	}
	return item{}, false
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision,
		"created": found.Created, "lease": found.Lease, "store_revision": revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Key, prefix) && !s.muted {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		if s.muted {
			revision = after
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var write txn
	if err := json.NewDecoder(r.Body).Decode(&write); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	s.writes++
	if s.refuse != nil && s.refuse(&write) {
		s.mu.Unlock()
		s.record.note("store: a write that deletes %v is refused with 503", write.DeleteKeys)
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	delay := time.Duration(0)
	if s.delay != nil {
		delay = s.delay(&write)
	}
	s.mu.Unlock()
	if delay > 0 {
		s.record.note("store: a write of %s gets no answer and is carried out %s later", write.SetKeys[0].Key, delay)
		time.AfterFunc(delay, func() {
			status, _ := s.apply(&write)
			s.record.note("store: the held write of %s is carried out: status %d", write.SetKeys[0].Key, status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := s.apply(&write)
	answer(w, status, body)
}

func (s *store) apply(write *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, condition := range write.Expected {
		held, ok := s.items[condition.Key]
		if !ok {
			held = item{
				Key:   condition.Key,
				Value: []byte{},
			}
		}
		failed = failed || held.Revision != condition.Revision
		current = append(current, held)
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, set := range write.SetKeys {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.revision++
	for _, set := range write.SetKeys {
		s.set(set.Key, set.Value, set.Lease)
	}
	for _, key := range write.DeleteKeys {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(body.TTLMS, 1000)) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision + 70000
	s.leases[id] = &lease{
		ttl: ttl,
		end: time.Now().Add(ttl),
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	held.end = time.Now().Add(held.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
