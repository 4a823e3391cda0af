package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RunnerFault is a set of faults injected into a runner.
type RunnerFault struct {
	// Slow multiplies the service time; 0 and 1 leave it unchanged.
	Slow float64 `json:"slow"`
	// Fail responds with status 500 at once; Hang never responds.
	Fail bool `json:"fail"`
	Hang bool `json:"hang"`
	// Leaving marks the runner as leaving in each response and in the discovery
	// list.
	Leaving bool `json:"leaving"`
	// LoseAnswers is the fraction of responses, 0 to 1, dropped after the work
	// is done.
	LoseAnswers float64 `json:"lose_answers"`
}

// RunnerRecord holds the counters of a runner.
type RunnerRecord struct {
	ID              string `json:"id"`
	Zone            string `json:"zone"`
	Requests        int    `json:"requests"`
	PeakSlots       int    `json:"peak_slots"`
	PeakConnections int    `json:"peak_connections"`
	// OverSlots counts the requests, and OverConnections the connections, that
	// exceeded the limits of the configuration.
	OverSlots       int `json:"over_slots"`
	OverConnections int `json:"over_connections"`
	// BusyMS is the time that slots were in use, summed over the slots, in
	// milliseconds.
	BusyMS int64 `json:"busy_ms"`
	// AfterLeaving counts requests that began later than LeaveGrace after
	// the runner was marked as leaving.
	AfterLeaving int `json:"after_leaving"`
	// Cut counts requests whose connection closed before the response.
	Cut int `json:"cut"`
	// Runs counts the requests that have an Idempotency-Key, by that key.
	Runs map[string]int `json:"runs,omitempty"`
}

// LeaveGrace is how long a leaving runner may still receive new requests.
const LeaveGrace = 3 * time.Second

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	ID, Zone string
	// Slots and Connections limit concurrent requests and open connections; the
	// runner counts what exceeds them but turns nothing away.
	Slots, Connections int
	// ServiceTime is the median time a request takes.
	ServiceTime time.Duration
}

// Runner is a stand-in for one back end of a service.
type Runner struct {
	config  RunnerConfig
	address string

	mu          sync.Mutex
	fault       RunnerFault
	leavingAt   time.Time
	slots       int
	connections int
	record      RunnerRecord
}

// NewRunner starts a runner on a free loopback port.
func NewRunner(config RunnerConfig) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	runner := &Runner{
		config:  config,
		address: listener.Addr().String(),
		record: RunnerRecord{
			ID:   config.ID,
			Zone: config.Zone,
			Runs: map[string]int{},
		},
	}
	server := &server{
		Listener: listener,
		HTTP: &http.Server{
			Handler:   runner,
			ConnState: runner.countConnection,
		},
	}
	go server.run()
	return runner, nil
}

func (r *Runner) countConnection(_ net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.connections++
		r.record.PeakConnections = max(r.record.PeakConnections, r.connections)
		if r.connections > r.config.Connections {
			r.record.OverConnections++
		}
	case http.StateClosed, http.StateHijacked:
		r.connections--
	}
}

// SetFault replaces the faults in force.
func (r *Runner) SetFault(fault RunnerFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fault.Leaving && !r.fault.Leaving {
		r.leavingAt = time.Now()
	}
	r.fault = fault
}

func (r *Runner) beginRequest(request *http.Request) RunnerFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots++
	r.record.Requests++
	r.record.PeakSlots = max(r.record.PeakSlots, r.slots)
	if r.slots > r.config.Slots {
		r.record.OverSlots++
	}
	if r.fault.Leaving && time.Since(r.leavingAt) > LeaveGrace {
		r.record.AfterLeaving++
	}
	if key := request.Header.Get("Idempotency-Key"); key != "" {
		r.record.Runs[key]++
	}
	return r.fault
}

func (r *Runner) endRequest(startedAt time.Time, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots--
	r.record.BusyMS += time.Since(startedAt).Milliseconds()
	if cut {
		r.record.Cut++
	}
}

// ServeHTTP takes about the service time, or the time in the Work-Time header,
// and echoes the request or, with the query parameter bytes, returns a body of
// that size.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	startedAt := time.Now()
	fault := r.beginRequest(request)
	defer func() { r.endRequest(startedAt, request.Context().Err() != nil) }()
	body, _ := io.ReadAll(request.Body)
	ctx := request.Context()
	if seconds, err := strconv.ParseFloat(request.Header.Get("Request-Timeout"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(seconds*float64(time.Second)))
		defer cancel()
	}
	if fault.Leaving {
		w.Header().Set("Runner-State", "leaving")
	}
	switch {
	case fault.Hang:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case fault.Fail:
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !sleepFor(ctx, r.serviceTime(fault, request)) {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < fault.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	r.writeResponse(w, request, body)
}

func (r *Runner) writeResponse(w http.ResponseWriter, request *http.Request, body []byte) {
	w.Header().Set("Runner-Id", r.config.ID)
	size, _ := strconv.Atoi(request.URL.Query().Get("bytes"))
	if size == 0 {
		_, _ = fmt.Fprintf(w, "%s %s %s", request.Method, request.URL.Path, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	block := make([]byte, min(size, 32<<10))
	for sent := 0; sent < size; sent += len(block) {
		_, _ = w.Write(block[:min(len(block), size-sent)])
	}
}

// serviceTime draws a time within 20% of the median, or of the Work-Time header
// if the request has one, times the fault's slowdown.
func (r *Runner) serviceTime(fault RunnerFault, request *http.Request) time.Duration {
	base := r.config.ServiceTime
	if text := request.Header.Get("Work-Time"); text != "" {
		if requested, err := time.ParseDuration(text); err == nil {
			base = requested
		}
	}
	spread := 0.8 + 0.4*rand.Float64()
	return time.Duration(float64(base) * spread * max(fault.Slow, 1))
}

// sleepFor reports whether it slept for the whole time before ctx ended.
func sleepFor(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Record returns a copy of the counters.
func (r *Runner) Record() RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Runs = map[string]int{}
	for key, runs := range r.record.Runs {
		record.Runs[key] = runs
	}
	return record
}
