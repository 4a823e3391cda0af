package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of a runner, as the settings give them.
const (
	holdMax   = 6 * time.Second
	stopGrace = 200 * time.Millisecond
)

// outcome is how a run of a task goes: how long it works, and how it ends. A task
// without a length lasts until it is stopped.
type outcome struct {
	length time.Duration
	how    string
}

// start is a task that a runner has begun.
type start struct {
	task   string
	run    int64
	runner string
	at     time.Duration
	// end is when and how the run ended; zero while it goes on.
	end time.Duration
	how string
	// noted is when the end was taken note of; zero if it was not.
	noted time.Duration
	// lapsed is set if the runner's lease lapsed after the end and before it was
	// taken note of; the end then counts as not taken note of for good.
	lapsed bool
}

type endedRun struct {
	number     int64
	task       string
	run        int64
	how, saved string
	start      *start
}

// runner is a stand-in of a worker that follows the pages: it guards its capacity,
// holds its leases on its own clock, and refuses lower tokens and outdated runs.
type runner struct {
	site     *site
	id       string
	capacity int64
	labels   []string
	address  string
	link     *link
	born     time.Time

	mu      sync.Mutex
	token   int64
	running map[string]*start
	sizes   map[string]int64
	// barred holds the highest run of each task that was stopped or ended here.
	barred  map[string]int64
	ends    []endedRun
	numbers int64
	until   time.Time
	changed chan struct{}
}

func newRunner(s *site, id string, capacity int64, labels []string) (*runner, error) {
	listener, err := net.Listen("tcp", s.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		site:     s,
		id:       id,
		capacity: capacity,
		labels:   labels,
		born:     time.Now(),
		running:  map[string]*start{},
		sizes:    map[string]int64{},
		barred:   map[string]int64{},
		changed:  make(chan struct{}),
	}
	if r.link, err = newLink(s.ip(201)+":0", listener.Addr().String()); err != nil {
		return nil, err
	}
	r.address = r.link.address()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order(r.runStart))
	mux.HandleFunc("POST /run-stop", r.order(r.runStop))
	mux.HandleFunc("POST /pace", r.order(r.pace))
	mux.HandleFunc("POST /hold", r.order(r.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{
		Handler: mux,
	}
	go func() { _ = server.Serve(listener) }()
	go r.leaseLoop()
	return r, nil
}

// restart crashes the runner and starts it again after a pause, under its id and at
// its address. It then knows nothing of before.
func (r *runner) restart(pause time.Duration) {
	r.link.setCut(true)
	r.mu.Lock()
	for _, run := range r.running {
		r.site.ended(run, "gone")
	}
	r.running, r.sizes, r.barred = map[string]*start{}, map[string]int64{}, map[string]int64{}
	r.token, r.ends, r.numbers, r.until = 0, nil, 0, time.Time{}
	r.mu.Unlock()
	r.site.record.note("runner %s crashes", r.id)
	time.Sleep(pause)
	r.mu.Lock()
	r.born = time.Now()
	r.mu.Unlock()
	r.link.setCut(false)
	r.site.record.note("runner %s has started again", r.id)
}

// entry is what the runner says of itself in the store.
func (r *runner) entry(seq int) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": "recife", "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "labels": r.labels,
		"capacity": map[string]any{"cpu": r.capacity, "mem_mb": 65536, "gpu": 0},
		"clock_ms": time.Since(r.born).Milliseconds(), "seq": seq, "born": r.born.UnixMilli(),
	}
}

// register writes the runner's entry every heartbeat. While the runner is cut off
// its entry is removed, after three heartbeats of silence.
func (r *runner) register() {
	seq, written := 1, time.Now()
	r.site.store.put("servers/"+r.id, r.entry(seq))
	go func() {
		ticker := time.NewTicker(heartbeat / 30)
		defer ticker.Stop()
		listed := true
		for {
			select {
			case <-r.site.done:
				return
			case <-ticker.C:
			}
			silence := time.Since(written)
			switch {
			case r.link.isCut() && listed && silence > 3*heartbeat:
				listed = false
				r.site.store.drop("servers/" + r.id)
				r.site.record.note("the entry of runner %s is removed, after three heartbeats of silence", r.id)
			case !r.link.isCut() && (silence >= heartbeat || !listed):
				seq, written, listed = seq+1, time.Now(), true
				r.site.store.put("servers/"+r.id, r.entry(seq))
			}
		}
	}()
}

type runnerOrder struct {
	Task           string `json:"task"`
	Run            int64  `json:"run"`
	Spec           string `json:"spec"`
	UntilMS        int64  `json:"until_ms"`
	FencingToken   int64  `json:"fencing_token"`
	LastCheckpoint string `json:"last_checkpoint"`
	Ticket         string `json:"ticket"`
	LastSeen       int64  `json:"last_seen"`
	WaitMS         int64  `json:"wait_ms"`
}

func (r *runner) order(handle func(order runnerOrder, reply map[string]any) int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		reply := map[string]any{"born": r.born.UnixMilli()}
		status := http.StatusMisdirectedRequest
		var order runnerOrder
		if request.Header.Get("Target-Instance") == r.id || request.Header.Get("Target-Instance") == "" {
			status = http.StatusBadRequest
			if json.NewDecoder(request.Body).Decode(&order) == nil {
				status = handle(order, reply)
			}
		}
		reply["clock_ms"] = time.Since(r.born).Milliseconds()
		answer(w, status, reply)
	}
}

// fenced checks the token of an order. r.mu is held.
func (r *runner) fenced(order runnerOrder, reply map[string]any) bool {
	if order.FencingToken < r.token {
		reply["reason"] = "fence"
		return true
	}
	r.token = order.FencingToken
	return false
}

// extend lengthens the lease of all runs. r.mu is held.
func (r *runner) extend(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	until := r.born.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(r.until) {
		r.until = until
	}
}

func (r *runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) runStart(order runnerOrder, reply map[string]any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(order, reply) {
		return http.StatusConflict
	}
	if held := r.running[order.Task]; held != nil && held.run == order.Run {
		r.extend(order.UntilMS)
		return http.StatusOK
	}
	if order.Run <= r.barred[order.Task] || r.running[order.Task] != nil {
		r.extend(order.UntilMS)
		reply["reason"] = "old"
		return http.StatusConflict
	}
	if order.UntilMS <= time.Since(r.born).Milliseconds() {
		reply["reason"] = "late"
		return http.StatusConflict
	}
	if !r.site.ticketValid(r, order) {
		reply["reason"] = "ticket"
		r.site.record.note("runner %s: start of %s run %d with ticket %q is rejected: ticket", r.id, order.Task, order.Run, order.Ticket)
		return http.StatusConflict
	}
	size, used := r.site.sizeOf(order.Task), int64(0)
	for task := range r.running {
		used += r.sizes[task]
	}
	if used+size > r.capacity {
		r.extend(order.UntilMS)
		reply["reason"] = "room"
		return http.StatusConflict
	}
	r.extend(order.UntilMS)
	begun := r.site.began(order.Task, order.Run, r.id)
	r.running[order.Task], r.sizes[order.Task] = begun, size
	if goes := r.site.outcomeOf(order.Task); goes.length > 0 {
		time.AfterFunc(goes.length, func() { r.end(begun, goes.how) })
	}
	return http.StatusOK
}

// end ends a run unless it has ended before.
func (r *runner) end(run *start, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(run, how)
}

func (r *runner) endLocked(run *start, how string) {
	if r.running[run.task] != run {
		return
	}
	delete(r.running, run.task)
	r.barred[run.task] = max(r.barred[run.task], run.run)
	r.numbers++
	r.ends = append(r.ends, endedRun{
		number: r.numbers,
		task:   run.task,
		run:    run.run,
		how:    how,
		start:  run,
	})
	r.site.ended(run, how)
	r.wake()
}

func (r *runner) runStop(order runnerOrder, reply map[string]any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(order, reply) {
		return http.StatusConflict
	}
	r.barred[order.Task] = max(r.barred[order.Task], order.Run)
	if run := r.running[order.Task]; run != nil && run.run <= order.Run {
		r.site.record.note("runner %s: told to stop %s run %d", r.id, order.Task, order.Run)
		time.AfterFunc(stopGrace/2, func() { r.end(run, "stopped") })
	}
	return http.StatusOK
}

func (r *runner) pace(order runnerOrder, reply map[string]any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(order, reply) {
		return http.StatusConflict
	}
	return http.StatusOK
}

func (r *runner) hold(order runnerOrder, reply map[string]any) int {
	deadline := time.NewTimer(time.Duration(min(order.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	first := true
	for {
		r.mu.Lock()
		if r.fenced(order, reply) {
			r.mu.Unlock()
			return http.StatusConflict
		}
		if first {
			r.extend(order.UntilMS)
			kept := r.ends[:0]
			for _, end := range r.ends {
				if end.number > order.LastSeen {
					kept = append(kept, end)
				} else {
					r.site.noted(end.start)
				}
			}
			r.ends, first = kept, false
		}
		changed, pending := r.changed, len(r.ends) > 0
		r.mu.Unlock()
		if pending || order.WaitMS <= 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		}
		break
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range r.running {
		running = append(running, []any{run.task, run.run, "", r.percent(run), r.sizes[run.task]})
	}
	for _, end := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	reply["running"], reply["ended_runs"] = running, ended
	return http.StatusOK
}

// percent is how much of its work a run has done; a task that lasts is at work all
// the time.
func (r *runner) percent(run *start) int64 {
	length := r.site.outcomeOf(run.task).length
	if length == 0 {
		return 100
	}
	return min(99, int64(100*(r.site.record.now()-run.at)/length))
}

// leaseLoop ends all runs when the lease is over.
func (r *runner) leaseLoop() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-r.site.done:
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		if time.Now().After(r.until) {
			for _, end := range r.ends {
				r.site.lapsed(end.start)
			}
			for _, run := range r.running {
				r.endLocked(run, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// link is a proxy before a runner. While it is cut, bytes are held up both ways and
// new connections get no answer.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// delay, if set, says how long a request is held back in the link. It gets no
	// answer and is delivered later, on a connection of its own.
	delay func(request []byte) time.Duration
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{
		listener: listener,
		target:   target,
		conns:    map[net.Conn]bool{},
	}
	go l.accept()
	return l, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(conn)
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// await returns once the link is not cut.
func (l *link) await() {
	for l.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *link) join(conn net.Conn) {
	l.await()
	back, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[back] = true, true
	l.mu.Unlock()
	copyHeld := func(to, from net.Conn, request bool) {
		buffer := make([]byte, 32<<10)
		for {
			count, err := from.Read(buffer)
			l.await()
			if request && count > 0 && l.deliverLate(buffer[:count]) {
				_, _ = io.Copy(io.Discard, from) // the connection stays silent
				break
			}
			if count > 0 {
				if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		l.mu.Lock()
		delete(l.conns, to)
		delete(l.conns, from)
		l.mu.Unlock()
	}
	go copyHeld(back, conn, true)
	copyHeld(conn, back, false)
}

// deliverLate reports whether a request is held back, and delivers it later.
func (l *link) deliverLate(request []byte) bool {
	l.mu.Lock()
	hold := l.delay
	l.mu.Unlock()
	if hold == nil {
		return false
	}
	delay := hold(request)
	if delay == 0 {
		return false
	}
	text := bytes.Clone(request)
	time.AfterFunc(delay, func() {
		conn, err := net.Dial("tcp", l.target)
		if err != nil {
			return
		}
		_, _ = conn.Write(text)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, _ = conn.Read(make([]byte, 4096))
		_ = conn.Close()
	})
	return true
}

// setCut cuts the link, or heals it. What was held up on open connections is lost
// when it heals, as their other ends have given up.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		return
	}
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.conns = map[net.Conn]bool{}
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func readAll(body io.ReadCloser) string {
	defer func() { _ = body.Close() }()
	text, _ := io.ReadAll(body)
	return fmt.Sprintf("%.200s", text)
}
