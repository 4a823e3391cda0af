package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// holdMax, stopGrace are hold_max_ms and stop_grace_ms; stopTakes is how
	// long a stop takes here.
	holdMax   = 6 * time.Second
	stopGrace = 200 * time.Millisecond
	stopTakes = 50 * time.Millisecond
	// maxEndedRuns is how many ended runs one answer lists.
	maxEndedRuns = 500
	serviceName  = "oficina"
)

// size is what a task requests, and what a runner has.
type size struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// plan is how a run goes: how long it takes and how it ends.
type plan struct {
	size     size
	duration time.Duration
	ending   string
	// gang is the number of tasks of a gang, zero for a task of none.
	gang int
}

// run is one run of a task on a runner.
type run struct {
	task     string
	number   int64
	plan     plan
	began    time.Time
	stopping bool
}

type endedRun struct {
	number int64
	run    *run
	ending string
}

// order holds the fields of all calls to a runner.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// runner is one life of a runner.
type runner struct {
	id, zone, rack string
	capacity       size
	store          *platformStore
	judge          *judge
	// planOf returns how a run of the task goes on the runner.
	planOf func(id, task string) plan

	listener net.Listener
	server   *http.Server
	// address is where the runner is reached, through its link.
	address string
	link    *link

	mu       sync.Mutex
	born     time.Time
	up       bool
	token    int64
	leaseEnd time.Time
	running  map[string]*run
	barred   map[string]int64
	ended    []endedRun
	number   int64
	lastSeen int64
	seq      int64
	changed  chan struct{}
}

// startRunner starts a runner at a free address, behind a link of its own.
func startRunner(id, zone, rack string, capacity size, store *platformStore, judge *judge, planOf func(id, task string) plan) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := newRunner(id, zone, rack, capacity, store, judge, planOf)
	if r.link, err = newLink(listener.Addr().String()); err != nil {
		return nil, err
	}
	r.address = r.link.address
	r.begin(listener)
	return r, nil
}

func newRunner(id, zone, rack string, capacity size, store *platformStore, judge *judge, planOf func(id, task string) plan) *runner {
	return &runner{
		id:       id,
		zone:     zone,
		rack:     rack,
		capacity: capacity,
		store:    store,
		judge:    judge,
		planOf:   planOf,
		born:     time.Now(),
		up:       true,
		running:  map[string]*run{},
		barred:   map[string]int64{},
		changed:  make(chan struct{}),
	}
}

func (r *runner) begin(listener net.Listener) {
	r.listener = listener
	r.server = &http.Server{
		Handler: r,
	}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	go r.watchLease()
	r.judge.record.say("runner %s is up at %s, born %d", r.id, r.address, r.born.UnixMilli())
}

// crash ends the runner at once: its connections close and its runs are gone.
// Its entry goes after three heartbeats of silence.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for _, each := range r.running {
		r.judge.gone(r, each)
		if each.plan.gang > 0 {
			go gangs.leave(each, "gone")
		}
	}
	r.running = map[string]*run{}
	r.mu.Unlock()
	_ = r.server.Close()
	r.judge.record.say("runner %s crashes", r.id)
	time.AfterFunc(3*heartbeat, func() { r.store.remove("servers/" + r.id) })
}

func (r *runner) beat() {
	for {
		r.mu.Lock()
		up := r.up
		r.seq++
		entry := map[string]any{
			"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "capacity": r.capacity, "labels": []string{"a", r.rack},
			"born": r.born.UnixMilli(), "clock_ms": r.clock(), "seq": r.seq,
		}
		r.mu.Unlock()
		if !up {
			return
		}
		r.store.put("servers/"+r.id, entry)
		time.Sleep(heartbeat)
	}
}

func (r *runner) clock() int64 {
	return time.Since(r.born).Milliseconds()
}

// watchLease kills everything once the lease has run out.
func (r *runner) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			return
		}
		if time.Now().After(r.leaseEnd) {
			if len(r.running) > 0 {
				r.judge.record.add("runner %s: its lease runs out with %d runs", r.id, len(r.running))
			}
			r.judge.lapsed(r)
			for _, each := range r.running {
				r.end(each, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// endRun ends a run, unless the runner is gone.
func (r *runner) endRun(each *run, ending string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		r.end(each, ending)
	}
}

// end ends a run; the caller holds the lock.
func (r *runner) end(each *run, ending string) {
	if r.running[each.task] != each {
		return
	}
	delete(r.running, each.task)
	r.barred[each.task] = max(r.barred[each.task], each.number)
	r.number++
	r.ended = append(r.ended, endedRun{
		number: r.number,
		run:    each,
		ending: ending,
	})
	r.judge.ended(r, each, ending, r.number)
	if each.plan.gang > 0 {
		go gangs.leave(each, ending)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend takes until_ms, a time on the runner's clock.
func (r *runner) extend(until int64) {
	if until <= 0 {
		return
	}
	end := r.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(holdMax); end.After(limit) {
		end = limit
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var body order
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get("Target-Instance") != r.id {
		r.mu.Unlock()
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	reason := ""
	if body.FencingToken < r.token {
		reason = "fence"
	} else {
		r.token = body.FencingToken
		reason = r.execute(request.URL.Path, &body)
	}
	if reason == "unknown call" {
		r.mu.Unlock()
		reply(w, http.StatusNotFound, nil)
		return
	}
	end := time.Now().Add(time.Duration(body.WaitMS) * time.Millisecond)
	for request.URL.Path == "/hold" && reason == "" && len(r.ended) == 0 && time.Now().Before(end) && r.up {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
	}
	if !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()}
	if reason != "" {
		answer["reason"] = reason
	}
	if request.URL.Path == "/hold" && reason == "" {
		answer["running"], answer["ended_runs"] = r.lists()
	}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	reply(w, status, answer)
}

// lists returns the rows of both lists; the caller holds the lock.
func (r *runner) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, each := range r.running {
		percent := 100 * float64(time.Since(each.began)) / float64(each.plan.duration)
		running = append(running, []any{each.task, each.number, "", min(99, int(percent)), each.plan.size.CPU})
	}
	for _, each := range r.ended {
		if len(ended) == maxEndedRuns {
			break
		}
		ended = append(ended, []any{each.number, each.run.task, each.run.number, each.ending, ""})
	}
	return running, ended
}

// execute carries out a call and returns the reason of a refusal; the caller
// holds the lock.
func (r *runner) execute(path string, body *order) string {
	switch path {
	case "/hold":
		r.extend(body.UntilMS)
		for len(r.ended) > 0 && r.ended[0].number <= body.LastSeen {
			r.judge.noted(r, r.ended[0])
			r.ended = r.ended[1:]
		}
		return ""
	case "/run-start":
		return r.start(body)
	case "/run-stop":
		r.barred[body.Task] = max(r.barred[body.Task], body.Run)
		if current := r.running[body.Task]; current != nil && current.number <= body.Run && !current.stopping {
			current.stopping = true
			time.AfterFunc(stopTakes, func() { r.endRun(current, "stopped") })
		}
		return ""
	case "/pace":
		return ""
	}
	return "unknown call"
}

func (r *runner) start(body *order) string {
	current := r.running[body.Task]
	if current != nil && current.number == body.Run {
		return ""
	}
	if current != nil || body.Run <= r.barred[body.Task] {
		r.extend(body.UntilMS)
		return "old"
	}
	if body.UntilMS > 0 && body.UntilMS <= r.clock() {
		return "late"
	}
	each := &run{
		task:   body.Task,
		number: body.Run,
		plan:   r.planOf(r.id, body.Task),
		began:  time.Now(),
	}
	used := each.plan.size
	for _, other := range r.running {
		used.CPU += other.plan.size.CPU
		used.MemMB += other.plan.size.MemMB
	}
	r.extend(body.UntilMS)
	if used.CPU > r.capacity.CPU || used.MemMB > r.capacity.MemMB {
		return "room"
	}
	if !time.Now().Before(r.leaseEnd) {
		return "late"
	}
	r.running[body.Task] = each
	r.judge.started(r, each, body.Spec)
	if each.plan.gang > 0 {
		go gangs.join(r, each)
		return ""
	}
	time.AfterFunc(each.plan.duration, func() { r.endRun(each, each.plan.ending) })
	return ""
}

// jobOf returns the job's id in a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (e endedRun) String() string {
	return fmt.Sprintf("end %d, %s run %d %s", e.number, e.run.task, e.run.number, e.ending)
}
