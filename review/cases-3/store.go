package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is an event of a watch: an item as it was written, or a removal.
type change struct {
	item
	removed bool
}

// MarshalJSON implements json.Marshaler.
func (c change) MarshalJSON() ([]byte, error) {
	if c.removed {
		return json.Marshal(map[string]any{"key": c.Key, "revision": c.Revision, "removed": true})
	}
	return json.Marshal(c.item)
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// metadataStore is a stand-in of the platform's metadata store. It loses nothing
// and answers in order.
type metadataStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []change
	leases   map[int64]*lease
	next     int64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newMetadataStore() *metadataStore {
	s := &metadataStore{
		revision: 1000,
		items:    map[string]item{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
	go s.loop()
	return s
}

// serve listens on an address and returns it with its port.
func (s *metadataStore) serve(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// loop removes the keys of leases that have ended.
func (s *metadataStore) loop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, held := range s.leases {
			if time.Now().After(held.ends) {
				s.drop(id)
			}
		}
		s.mu.Unlock()
	}
}

// drop ends a lease. The caller holds the lock.
func (s *metadataStore) drop(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.revision++
			s.remove(key)
			s.wake()
		}
	}
}

func (s *metadataStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{
		item: item{
			Key:      key,
			Revision: s.revision,
		},
		removed: true,
	})
}

func (s *metadataStore) set(key string, value []byte, leaseID int64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  created,
		Lease:    leaseID,
	}
	s.items[key] = written
	s.history = append(s.history, change{
		item: written,
	})
}

func (s *metadataStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a worker does.
func (s *metadataStore) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.wake()
}

// delete removes a key as the operator or a worker does.
func (s *metadataStore) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *metadataStore) get(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	found, ok := s.items[request.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	answer(writer, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{
		item:          found,
		StoreRevision: revision,
	})
}

func (s *metadataStore) list(writer http.ResponseWriter, request *http.Request) {
	const page = 500
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > page
	out = out[:min(page, len(out))]
	answer(writer, http.StatusOK, map[string]any{"items": out, "has_more": more, "store_revision": revision})
}

func (s *metadataStore) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []change{}
		for n := len(s.history) - 1; n >= 0 && s.history[n].Revision > after; n-- {
			if strings.HasPrefix(s.history[n].Key, query.Get("prefix")) {
				events = append(events, s.history[n])
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		for a, b := 0, len(events)-1; a < b; a, b = a+1, b-1 {
			events[a], events[b] = events[b], events[a]
		}
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-deadline.C:
			answer(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *metadataStore) commit(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Delete []string `json:"delete_keys"`
	}
	text, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(text, &call) != nil || len(call.Expected)+len(call.Set)+len(call.Delete) > 32 {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range call.Set {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			answer(writer, http.StatusForbidden, map[string]any{})
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(writer, http.StatusNotFound, map[string]any{})
			return
		}
	}
	met, current := true, []item{}
	for _, condition := range call.Expected {
		found, ok := s.items[condition.Key]
		if !ok {
			found = item{
				Key: condition.Key,
			}
		}
		met = met && found.Revision == condition.Revision
		current = append(current, found)
	}
	if !met {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	s.revision++
	for _, write := range call.Set {
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Delete {
		s.remove(key)
	}
	s.wake()
	answer(writer, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metadataStore) grant(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(request.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(max(1000, call.TTL)) * time.Millisecond
	s.leases[s.next] = &lease{
		ttl:  ttl,
		ends: time.Now().Add(ttl),
	}
	answer(writer, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": ttl.Milliseconds()})
}

func (s *metadataStore) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	held.ends = time.Now().Add(held.ttl)
	answer(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": held.ttl.Milliseconds()})
}

func (s *metadataStore) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	s.drop(id)
	answer(writer, http.StatusOK, map[string]any{})
}
