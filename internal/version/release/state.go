// Package release holds the operators' configuration: release notes, the state
// that results from them, and the rules by which one version follows another.
// The package does no I/O.
package release

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Isolation is how a cut-off zone treats a class's exclusive work.
type Isolation string

// IsolationFinish means that only the cut-off zone may finish the work, unless
// operators declare its workers lost.
const IsolationFinish Isolation = "finish"

// Service is a set of back ends that answer callers' requests.
type Service struct {
	// Idempotent means that every method may be retried; otherwise only GET and
	// HEAD may.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a request may take, above zero.
	Timeout time.Duration `json:"timeout"`
	// Slots and Connections limit each runner, above zero.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Target is the fraction of requests, below 1, that must be good.
	Target float64 `json:"target"`
	// Latency is the longest time that a good answer may take.
	Latency time.Duration `json:"latency"`
}

// Class is a kind of job.
type Class struct {
	// Watcher means that jobs of the class never end by themselves.
	Watcher bool `json:"watcher"`
	// Urgent means that jobs of the class may evict others.
	Urgent bool `json:"urgent"`
	// Rerun allows a lost attempt to be repeated without a report from its
	// worker that the attempt has ended.
	Rerun bool `json:"rerun"`
	// Retries is how many failed attempts may follow the first.
	Retries int `json:"retries"`
	// Isolation is how a cut-off zone treats this class.
	Isolation Isolation `json:"isolation"`
}

// Quota limits a customer's use of the workers, in all zones together; zero
// values mean no limit.
type Quota struct {
	Size worker.Size `json:"size"`
}

// Zone is an availability zone.
type Zone struct {
	Region string `json:"region"`
	// Out means that operators have withdrawn the zone.
	Out bool `json:"out"`
}

// Worker is the record of a worker that operators have withdrawn.
type Worker struct {
	// Out drains the worker; Lost also declares its attempts ended.
	Out  bool `json:"out"`
	Lost bool `json:"lost"`
}

// State is the configuration in force at one version. It is immutable.
type State struct {
	// Version grows by one with each accepted note; 0 means none.
	Version uint64 `json:"version"`
	// NoteID is the id of the newest note.
	NoteID   string             `json:"note_id"`
	Services map[string]Service `json:"services,omitempty"`
	Classes  map[string]Class   `json:"classes,omitempty"`
	Quotas   map[string]Quota   `json:"quotas,omitempty"`
	Zones    map[string]Zone    `json:"zones,omitempty"`
	Workers  map[string]Worker  `json:"workers,omitempty"`
}

// ErrState marks stored text that is not a state.
var ErrState = errors.New("not a release state")

// Encode returns the state as JSON for the store.
func (s *State) Encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return text
}

// Decode parses the output of Encode; its error wraps ErrState.
func Decode(text []byte) (*State, error) {
	state := &State{}
	if err := json.Unmarshal(text, state); err != nil {
		return nil, errors.Join(ErrState, err)
	}
	return state, nil
}

// Clone copies the state and its maps, so that the copy can be changed.
func (s *State) Clone() *State {
	clone := *s
	clone.Services = cloneMap(s.Services)
	clone.Classes = cloneMap(s.Classes)
	clone.Quotas = cloneMap(s.Quotas)
	clone.Zones = cloneMap(s.Zones)
	clone.Workers = cloneMap(s.Workers)
	return &clone
}

func cloneMap[V any](source map[string]V) map[string]V {
	clone := make(map[string]V, len(source))
	maps.Copy(clone, source)
	return clone
}

// ZoneActive reports whether tasks may start in the zone: it exists and is not
// withdrawn.
func (s *State) ZoneActive(zone string) bool {
	found, ok := s.Zones[zone]
	return ok && !found.Out
}

// ZoneNames returns the names of all zones in order.
func (s *State) ZoneNames() []string {
	return slices.Sorted(maps.Keys(s.Zones))
}
