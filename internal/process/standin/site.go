package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// SiteConfig configures the stand-ins of one site.
type SiteConfig struct {
	// Admin is the listening address of the HTTP interface that injects faults
	// and returns records, Platform that of the key-value service.
	Admin, Platform string
	// Zones are the zone names; back ends are assigned to them in turn.
	Zones []string
	// Service is one service name or several, comma-separated; runners are
	// assigned to them in turn.
	Service string
	Runners int
	Workers int
	// RackSize is the number of workers per rack, at least 1.
	RackSize int
	// ServiceTime is the median time a runner takes for a request.
	ServiceTime time.Duration
	// WorkerSize is the capacity of each worker.
	WorkerSize worker.Size
	// ListLag is the delay of state changes in the platform's discovery list.
	ListLag time.Duration
	// Relays have the form FROM>TO=LISTEN=TARGET: the two zones, the listening
	// address and the address to connect to.
	Relays []string
}

// Site runs the stand-ins and the HTTP interface that controls them.
type Site struct {
	config  SiteConfig
	store   *Store
	journal *Journal

	mu      sync.Mutex
	runners map[string]*Runner
	workers map[string]*Worker
	relays  []*Relay
	// list is the discovery list by key below "list/".
	list map[string]listEntry
}

// listEntry is one back end in the platform's discovery list.
type listEntry struct {
	ID      string      `json:"id"`
	Zone    string      `json:"zone"`
	Rack    string      `json:"rack,omitempty"`
	Service string      `json:"service,omitempty"`
	Address string      `json:"address"`
	State   string      `json:"state"`
	Total   worker.Size `json:"total"`
}

// NewSite starts the back ends and relays, publishes the discovery list and
// listens on the configured addresses.
func NewSite(config SiteConfig) (*Site, error) {
	site := &Site{
		config:  config,
		store:   NewStore(),
		journal: &Journal{},
		runners: map[string]*Runner{},
		workers: map[string]*Worker{},
		list:    map[string]listEntry{},
	}
	for i := range config.Runners {
		if err := site.addRunner(i); err != nil {
			return nil, err
		}
	}
	for i := range config.Workers {
		if err := site.addWorker(i); err != nil {
			return nil, err
		}
	}
	for _, spec := range config.Relays {
		if err := site.addRelay(spec); err != nil {
			return nil, err
		}
	}
	site.publish()
	return site, site.listen()
}

func (s *Site) listen() error {
	for address, handler := range map[string]http.Handler{
		s.config.Platform: s.store,
		s.config.Admin:    s,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &server{
			Listener: listener,
			HTTP: &http.Server{
				Handler: handler,
			},
		}
		go server.run()
	}
	return nil
}

func (s *Site) addRunner(i int) error {
	zone := s.config.Zones[i%len(s.config.Zones)]
	id := fmt.Sprintf("%s-r%02d", zone, i)
	services := strings.Split(s.config.Service, ",")
	runner, err := NewRunner(RunnerConfig{
		ID:          id,
		Zone:        zone,
		Slots:       8,
		Connections: 64,
		ServiceTime: s.config.ServiceTime,
	})
	if err != nil {
		return err
	}
	s.runners[id] = runner
	s.list["runners/"+id] = listEntry{
		ID:      id,
		Zone:    zone,
		Service: services[i%len(services)],
		Address: runner.address,
		State:   "live",
	}
	return nil
}

func (s *Site) addWorker(i int) error {
	zone := s.config.Zones[i%len(s.config.Zones)]
	id := fmt.Sprintf("%s-w%02d", zone, i)
	rack := fmt.Sprintf("%s-rack%d", zone, i/len(s.config.Zones)/s.config.RackSize)
	added, err := NewWorker(WorkerConfig{
		ID:    id,
		Zone:  zone,
		Rack:  rack,
		Total: s.config.WorkerSize,
	}, s.journal)
	if err != nil {
		return err
	}
	s.workers[id] = added
	s.list["workers/"+id] = listEntry{
		ID:      id,
		Zone:    zone,
		Rack:    rack,
		Address: added.address,
		State:   "live",
		Total:   s.config.WorkerSize,
	}
	return nil
}

func (s *Site) addRelay(spec string) error {
	parts := strings.Split(spec, "=")
	if len(parts) != 3 {
		return fmt.Errorf("relay %q: expected FROM>TO=LISTEN=TARGET", spec)
	}
	from, to, _ := strings.Cut(parts[0], ">")
	relay, err := NewRelay(from, to, parts[1], parts[2])
	if err != nil {
		return err
	}
	s.relays = append(s.relays, relay)
	return nil
}

// publish writes the current discovery list to the store; the caller holds the
// lock, except while the site is being set up.
func (s *Site) publish() {
	for key, entry := range s.list {
		value, _ := json.Marshal(entry)
		s.store.PutIfChanged("list/"+key, value)
	}
}

// setLeaving marks a back end as leaving, or as live again, in the discovery
// list once ListLag has passed.
func (s *Site) setLeaving(key string, leaving bool) {
	state := "live"
	if leaving {
		state = "leaving"
	}
	time.AfterFunc(s.config.ListLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		entry := s.list[key]
		entry.State = state
		s.list[key] = entry
		s.publish()
	})
}

// ServeHTTP sets faults and returns records:
//
//	POST /faults/store|runner|worker|relay?match=SUBSTRING
//	GET  /records/store|runners|workers, /list, /dump?prefix=P
func (s *Site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decoder := json.NewDecoder(r.Body)
	match := r.URL.Query().Get("match")
	var response any = struct{}{}
	var err error
	switch r.URL.Path {
	case "/faults/store":
		var fault StoreFault
		err = decoder.Decode(&fault)
		s.store.SetFault(fault)
	case "/faults/runner":
		err = s.setRunnerFaults(decoder, match)
	case "/faults/worker":
		err = s.setWorkerFaults(decoder, match)
	case "/faults/relay":
		err = s.setRelayFaults(decoder, match)
	case "/records/store":
		response = s.store.Record()
	case "/records/runners":
		response = s.runnerRecords()
	case "/records/workers":
		response = s.journal.Events()
	case "/list":
		response = s.list
	case "/dump":
		response = s.store.Dump(r.URL.Query().Get("prefix"))
	default:
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Site) setRunnerFaults(decoder *json.Decoder, match string) error {
	var fault RunnerFault
	if err := decoder.Decode(&fault); err != nil {
		return err
	}
	for id, runner := range s.runners {
		if strings.Contains(id, match) {
			runner.SetFault(fault)
			s.setLeaving("runners/"+id, fault.Leaving)
		}
	}
	return nil
}

func (s *Site) setWorkerFaults(decoder *json.Decoder, match string) error {
	var fault WorkerFault
	if err := decoder.Decode(&fault); err != nil {
		return err
	}
	for id, w := range s.workers {
		if strings.Contains(id, match) {
			w.SetFault(fault)
		}
	}
	return nil
}

func (s *Site) setRelayFaults(decoder *json.Decoder, match string) error {
	var fault RelayFault
	if err := decoder.Decode(&fault); err != nil {
		return err
	}
	for _, relay := range s.relays {
		if strings.Contains(relay.From+">"+relay.To, match) {
			relay.SetFault(fault)
		}
	}
	return nil
}

func (s *Site) runnerRecords() []RunnerRecord {
	var records []RunnerRecord
	for _, runner := range s.runners {
		records = append(records, runner.Record())
	}
	return records
}
