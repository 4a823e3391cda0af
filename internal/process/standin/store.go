// Package standin holds small stand-ins for the outside systems: the
// platform's key-value service, runners, workers and a relay between zones.
// Faults are injected into each over HTTP while it runs. The stand-ins record
// what happens to them, and scenarios check their results against the records.
// Memory is an in-process store, into which tests inject faults by calls.
package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/platform"
)

// StoreFault is a set of faults injected into the store.
type StoreFault struct {
	// Down aborts every call without a response.
	Down bool `json:"down"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the fraction of writes, 0 to 1, that take effect but get
	// no response.
	LoseAnswers float64 `json:"lose_answers"`
	// Save takes a snapshot of the data; Restore goes back to the last one.
	Save    bool `json:"save"`
	Restore bool `json:"restore"`
}

// Store is a stand-in for the platform's key-value service.
type Store struct {
	mu            sync.Mutex
	revision      int64
	data          map[string]platform.KeyValue
	saved         map[string]platform.KeyValue
	savedRevision int64
	fault         StoreFault
	// calls counts transactions by second since the start, writes those of them
	// that wrote.
	calls, writes map[int64]int
	started       time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1,
		data:     map[string]platform.KeyValue{},
		calls:    map[int64]int{},
		writes:   map[int64]int{},
		started:  time.Now(),
	}
}

// SetFault replaces the faults in force and carries out Save and Restore.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Save {
		s.saved, s.savedRevision = cloneData(s.data), s.revision
	}
	if fault.Restore && s.saved != nil {
		s.data, s.revision = cloneData(s.saved), s.savedRevision
	}
	s.fault = fault
}

func cloneData(data map[string]platform.KeyValue) map[string]platform.KeyValue {
	clone := make(map[string]platform.KeyValue, len(data))
	for key, value := range data {
		clone[key] = value
	}
	return clone
}

// ServeHTTP serves the transaction calls, /v3/kv/txn.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var txn platform.TxnRequest
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	response, wrote := s.Txn(txn)
	if wrote && rand.Float64() < fault.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(response)
}

// Txn applies one transaction and reports whether it wrote anything.
func (s *Store) Txn(txn platform.TxnRequest) (platform.TxnResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := int64(time.Since(s.started) / time.Second)
	s.calls[second]++
	s.revision++
	response, wrote := s.apply(txn)
	if wrote {
		s.writes[second]++
	} else {
		s.revision--
	}
	response.Header = &platform.Header{
		Revision: platform.Int64(s.revision),
	}
	return response, wrote
}

func (s *Store) apply(txn platform.TxnRequest) (platform.TxnResponse, bool) {
	holds := true
	for _, compare := range txn.Compare {
		holds = holds && s.compareHolds(compare)
	}
	branch := txn.Success
	if !holds {
		branch = txn.Failure
	}
	response := platform.TxnResponse{
		Succeeded: holds,
	}
	wrote := false
	for _, op := range branch {
		result, changed := s.execute(op)
		wrote = wrote || changed
		response.Responses = append(response.Responses, result)
	}
	return response, wrote
}

func (s *Store) compareHolds(compare platform.Compare) bool {
	pair := s.data[string(compare.Key)]
	if compare.Target == "VALUE" {
		return bytes.Equal(pair.Value, compare.Value)
	}
	return pair.ModRevision == compare.ModRevision
}

func (s *Store) execute(op platform.Op) (platform.OpResponse, bool) {
	switch {
	case op.Range != nil:
		return platform.OpResponse{Range: s.read(*op.Range)}, false
	case op.Put != nil:
		s.put(*op.Put)
		return platform.OpResponse{Put: &struct{}{}}, true
	case op.Delete != nil:
		delete(s.data, string(op.Delete.Key))
		return platform.OpResponse{Delete: &struct{}{}}, true
	case op.Txn != nil:
		nested, wrote := s.apply(*op.Txn)
		return platform.OpResponse{Txn: &nested}, wrote
	}
	return platform.OpResponse{}, false
}

func (s *Store) put(put platform.PutRequest) {
	pair := s.data[string(put.Key)]
	if pair.Version == 0 {
		pair.CreateRevision = platform.Int64(s.revision)
	}
	pair.Key, pair.Value = put.Key, put.Value
	pair.ModRevision = platform.Int64(s.revision)
	pair.Version++
	s.data[string(put.Key)] = pair
}

func (s *Store) read(request platform.RangeRequest) *platform.RangeResponse {
	response := &platform.RangeResponse{}
	if len(request.RangeEnd) == 0 {
		if pair, ok := s.data[string(request.Key)]; ok {
			response.Kvs, response.Count = []platform.KeyValue{pair}, 1
		}
		return response
	}
	for key, pair := range s.data {
		if key < string(request.Key) || key >= string(request.RangeEnd) {
			continue
		}
		response.Count++
		if pair.ModRevision >= request.MinModRevision {
			response.Kvs = append(response.Kvs, pair)
		}
	}
	sort.Slice(response.Kvs, func(i, j int) bool {
		return bytes.Compare(response.Kvs[i].Key, response.Kvs[j].Key) < 0
	})
	if limit := int(request.Limit); limit > 0 && len(response.Kvs) > limit {
		response.Kvs, response.More = response.Kvs[:limit], true
	}
	return response
}

// PutIfChanged writes a key on the platform's own behalf, such as an entry of
// the discovery list. An unchanged value keeps its revision.
func (s *Store) PutIfChanged(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.data[key].Value, value) {
		return
	}
	s.revision++
	s.put(platform.PutRequest{
		Key:   []byte(key),
		Value: value,
	})
}

// StoreRecord holds the counters of the store; Bytes is the size of its keys
// and values.
type StoreRecord struct {
	Calls         int `json:"calls"`
	Writes        int `json:"writes"`
	PeakCallsPerS int `json:"peak_calls_per_s"`
	PeakWritesPS  int `json:"peak_writes_per_s"`
	Seconds       int `json:"seconds"`
	Bytes         int `json:"bytes"`
}

// Record returns the counters so far.
func (s *Store) Record() StoreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := StoreRecord{
		Seconds: int(time.Since(s.started)/time.Second) + 1,
	}
	for second, calls := range s.calls {
		record.Calls += calls
		record.Writes += s.writes[second]
		record.PeakCallsPerS = max(record.PeakCallsPerS, calls)
		record.PeakWritesPS = max(record.PeakWritesPS, s.writes[second])
	}
	for key, pair := range s.data {
		record.Bytes += len(key) + len(pair.Value)
	}
	return record
}

// Dump returns the JSON values of all keys with a prefix.
func (s *Store) Dump(prefix string) map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := map[string]json.RawMessage{}
	for key, pair := range s.data {
		if strings.HasPrefix(key, prefix) && json.Valid(pair.Value) {
			dump[key] = slices.Clone(pair.Value)
		}
	}
	return dump
}
