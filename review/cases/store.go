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

const (
	// historyAge is how long the store keeps its history (history_s).
	historyAge = 20 * time.Second
	// answerTime is how long the store takes to answer a call.
	answerTime = 4 * time.Millisecond
	// maxTxnEntries and maxValueBytes are the store's limits of a transaction.
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

// item is a key with its value as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// txn is the body of a transaction.
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

// sets reports whether the transaction writes a key with the prefix.
func (t *txn) sets(prefix string) bool {
	for _, write := range t.SetKeys {
		if strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

// lost says what becomes of a transaction whose answer is lost.
type lost struct {
	// never means that it has no effect; otherwise it is carried out after
	// the delay, if its conditions still hold.
	never bool
	after time.Duration
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// platformStore stands in for the platform's metadata store.
type platformStore struct {
	record *record

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	// dropped is the revision up to which the history is gone.
	dropped   int64
	leases    map[int64]storeLease
	nextLease int64
	changed   chan struct{}

	// down makes every call fail with 503, slow is the time of an answer.
	down bool
	slow time.Duration
	// rejects is a host whose calls are answered with 503; empty for none.
	rejects string
	// loses decides which transactions of a host lose their answers.
	loses func(host string, body *txn) *lost
	// wrote is called after each transaction of a host that was carried out.
	wrote func(host string, body *txn)
}

func newPlatformStore(r *record) *platformStore {
	s := &platformStore{
		record:   r,
		items:    map[string]item{},
		revision: 1,
		leases:   map[int64]storeLease{},
		changed:  make(chan struct{}),
		slow:     answerTime,
		loses:    func(string, *txn) *lost { return nil },
		wrote:    func(string, *txn) {},
	}
	return s
}

// serve serves the store to one host at an address of its own, so that the
// calls of hosts can be told apart.
func (s *platformStore) serve(host string, listener net.Listener) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(host, w, r) }),
	}
	go func() { _ = server.Serve(listener) }()
}

// setDown begins or ends an outage. With lapse, all leases run out in it;
// without, they pause.
func (s *platformStore) setDown(down, lapse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.down = down
	if down && lapse {
		for id := range s.leases {
			s.endLease(id)
		}
	}
	if !down {
		for id, held := range s.leases {
			held.end = time.Now().Add(held.ttl)
			s.leases[id] = held
		}
	}
}

func (s *platformStore) setSlow(answer time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = answer
}

// setRejects makes the store turn one host away, or none.
func (s *platformStore) setRejects(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = host
}

// state says whether the store serves a host, and how long an answer takes.
func (s *platformStore) state(host string) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.rejects == host, s.slow
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// silence leaves a call without an answer: nothing more comes on its
// connection.
func silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *platformStore) handle(host string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	down, slow := s.state(host)
	if down {
		time.Sleep(answerTime)
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	time.Sleep(slow / 2)
	if down, _ = s.state(host); down {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	status, answer, answered := s.call(host, r, body)
	if !answered {
		silence(r)
	}
	time.Sleep(slow / 2)
	reply(w, status, answer)
}

func (s *platformStore) call(host string, r *http.Request, body []byte) (status int, answer any, answered bool) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		found, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, nil, true
		}
		return http.StatusOK, found, true
	case r.Method == http.MethodGet && path == "/kv-range":
		return http.StatusOK, s.page(query.Get("prefix"), query.Get("after")), true
	case r.Method == http.MethodGet && path == "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
		status, answer = s.watch(host, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		return status, answer, true
	case r.Method == http.MethodPost && path == "/kv-txn":
		var t txn
		if err := json.Unmarshal(body, &t); err != nil {
			return http.StatusBadRequest, nil, true
		}
		return s.transact(host, &t)
	case r.Method == http.MethodPost && path == "/kv-lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if err := json.Unmarshal(body, &request); err != nil || request.TTL < 1000 || request.TTL > 600_000 {
			return http.StatusBadRequest, nil, true
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextLease++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.nextLease] = storeLease{
			ttl: ttl,
			end: time.Now().Add(ttl),
		}
		return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": request.TTL}, true
	case strings.HasPrefix(path, "/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		held, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, nil, true
		}
		held.end = time.Now().Add(held.ttl)
		s.leases[id] = held
		return http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()}, true
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		return http.StatusOK, struct{}{}, true
	}
	return http.StatusNotFound, nil, true
}

// expire ends the leases that have run out and drops old history; the caller
// holds the lock. Leases pause while the store is down.
func (s *platformStore) expire() {
	now := time.Now()
	if !s.down {
		for id, held := range s.leases {
			if now.After(held.end) {
				s.endLease(id)
			}
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyAge {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *platformStore) endLease(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.revision++
			s.removeKey(key)
		}
	}
}

func (s *platformStore) removeKey(key string) {
	delete(s.items, key)
	s.append(item{
		Key:      key,
		Revision: s.revision,
		Removed:  true,
	})
}

func (s *platformStore) append(event item) {
	event.at = time.Now()
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *platformStore) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	return map[string]any{"items": items, "has_more": more, "store_revision": s.revision}
}

func (s *platformStore) watch(host string, r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		if s.down || s.rejects == host {
			s.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		}
		s.expire()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		left := time.Until(end)
		if len(events) > 0 || left <= 0 {
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-time.After(min(left, 100*time.Millisecond)):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *platformStore) transact(host string, t *txn) (status int, answer any, answered bool) {
	if len(t.Expected)+len(t.SetKeys)+len(t.DeleteKeys) > maxTxnEntries {
		return http.StatusBadRequest, nil, true
	}
	for _, write := range t.SetKeys {
		if len(write.Value) > maxValueBytes || len(write.Key) > 200 {
			return http.StatusBadRequest, nil, true
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, nil, true
		}
	}
	if fate := s.loses(host, t); fate != nil {
		switch {
		case fate.never:
			s.record.say("store: a transaction of %s gets no answer and is never carried out", host)
		default:
			s.record.say("store: a transaction of %s gets no answer and is carried out in %v, if its conditions hold then", host, fate.after)
			time.AfterFunc(fate.after, func() {
				status, _ := s.apply(t)
				s.record.say("store: the delayed transaction of %s is carried out: %d", host, status)
			})
		}
		return 0, nil, false
	}
	status, answer = s.apply(t)
	if status == http.StatusOK {
		s.wrote(host, t)
	}
	return status, answer, true
}

func (s *platformStore) apply(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	met, current := true, []item{}
	for _, row := range t.Expected {
		held, ok := s.items[row.Key]
		met = met && held.Revision == row.Revision
		if ok {
			current = append(current, held)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range t.SetKeys {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, write := range t.SetKeys {
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.DeleteKeys {
		if _, ok := s.items[key]; ok {
			s.removeKey(key)
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// set writes a key under the current revision; the caller holds the lock.
func (s *platformStore) set(key string, value []byte, lease int64) {
	created := s.revision
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	next := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  created,
		Lease:    lease,
	}
	s.items[key] = next
	s.append(next)
}

// put writes a key for the operator or a runner. It reports false while the
// store is down.
func (s *platformStore) put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.expire()
	s.revision++
	s.set(key, text, 0)
	return true
}

// remove deletes a key for the operator or a runner.
func (s *platformStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.removeKey(key)
	}
}
