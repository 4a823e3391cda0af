package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = 6000 * time.Millisecond
	stopGrace = 200 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	// bootTime is how long a life takes from the start of its clock until it answers.
	bootTime = 250 * time.Millisecond
)

// size is an amount of resources.
type size struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// order is the body of any call to a runner.
type order struct {
	Task           string `json:"task"`
	Run            int64  `json:"run"`
	Spec           string `json:"spec"`
	UntilMS        int64  `json:"until_ms"`
	FencingToken   int64  `json:"fencing_token"`
	LastCheckpoint string `json:"last_checkpoint"`
	LastSeen       int64  `json:"last_seen"`
	WaitMS         int64  `json:"wait_ms"`
	Percent        int    `json:"percent"`
}

// run is one run of a task.
type run struct {
	task    string
	number  int64
	size    size
	began   time.Time
	lasts   time.Duration
	stopped time.Time
	ending  string
}

// endedRun is a row of ended_runs. atLapse counts the leases that had lapsed by then.
type endedRun struct {
	number  int64
	task    string
	run     int64
	how     string
	atLapse int
}

// life is one incarnation of a runner. It begins with nothing.
type life struct {
	born    time.Time
	boot    time.Time
	token   int64
	until   time.Duration
	running map[string]*run
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]int64
	ended   []endedRun
	number  int64
	// lapses counts the leases that have lapsed.
	lapses int
	seq    int
	// connections are closed when the process ends.
	connections map[net.Conn]bool
	// changed is closed and replaced when a run ends.
	changed  chan struct{}
	listener net.Listener
}

func (l *life) clock() time.Duration {
	return time.Since(l.boot)
}

// runner is a stand-in of a runner, with one life after the other under one id.
type runner struct {
	id, service, zone, address string
	labels                     []string
	capacity                   size
	// guards says whether it refuses what does not fit.
	guards bool
	world  *world

	mu    sync.Mutex
	state string
	life  *life
	// late decides, while it is set, whether an order gets no answer, and when it is
	// carried out.
	late func(path string, call order) (delay time.Duration, unanswered bool)
	// closesLook makes the look that waits get no answer: its connection is closed.
	closesLook bool
	// leaves is when it may leave while it drains, and cutUntil until when it does not
	// reach the store.
	leaves, cutUntil time.Time
}

// start begins a life.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	now := time.Now()
	next := &life{
		born:        now,
		boot:        now.Add(-bootTime),
		running:     map[string]*run{},
		highest:     map[string]int64{},
		connections: map[net.Conn]bool{},
		changed:     make(chan struct{}),
		listener:    listener,
	}
	r.mu.Lock()
	r.address, r.life, r.state = listener.Addr().String(), next, "ready"
	r.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { r.serve(next, writer, request) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateNew {
				next.connections[conn] = true
			} else if state == http.StateClosed {
				delete(next.connections, conn)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	go r.work(next)
	r.world.note("runner %s is up, born %d, at %s", r.id, next.born.UnixMilli(), r.address)
	r.beat(next)
	return nil
}

// crash ends the life at once: everything that runs is gone, and its connections
// break.
func (r *runner) crash() {
	r.mu.Lock()
	dead := r.life
	r.life = nil
	for task, held := range dead.running {
		r.world.ended(r.id, task, held.number, "lost with the runner")
	}
	open := []net.Conn{}
	for conn := range dead.connections {
		open = append(open, conn)
	}
	r.mu.Unlock()
	_ = dead.listener.Close()
	for _, conn := range open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.world.note("runner %s has crashed", r.id)
}

// beat writes the entry of the runner.
func (r *runner) beat(l *life) {
	r.mu.Lock()
	if r.life != l || time.Now().Before(r.cutUntil) {
		r.mu.Unlock()
		return
	}
	l.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state,
		"cold_left_ms": 0, "capacity": r.capacity, "labels": r.labels, "clock_ms": l.clock().Milliseconds(),
		"seq": l.seq, "born": l.born.UnixMilli(),
	}
	if r.state == "draining" {
		entry["remaining_ms"] = max(0, time.Until(r.leaves).Milliseconds())
	}
	r.mu.Unlock()
	r.world.store.put("servers/"+r.id, entry)
}

// work ends the runs that are over, and writes the entry at each interval.
func (r *runner) work(l *life) {
	beaten := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if r.life != l {
			r.mu.Unlock()
			return
		}
		r.step(l)
		r.mu.Unlock()
		if time.Since(beaten) > heartbeat {
			beaten = time.Now()
			r.beat(l)
		}
	}
}

// step ends runs. The caller holds the lock.
func (r *runner) step(l *life) {
	if len(l.running) > 0 && l.clock() > l.until {
		l.lapses++
		for _, held := range l.running {
			r.end(l, held, "lapsed")
		}
	}
	for _, held := range l.running {
		switch {
		case !held.stopped.IsZero():
			if time.Since(held.stopped) > stopGrace/2 {
				r.end(l, held, "stopped")
			}
		case held.lasts > 0 && time.Since(held.began) >= held.lasts:
			r.end(l, held, held.ending)
		}
	}
}

func (r *runner) end(l *life, held *run, how string) {
	delete(l.running, held.task)
	l.highest[held.task] = max(l.highest[held.task], held.number)
	l.number++
	l.ended = append(l.ended, endedRun{
		number:  l.number,
		task:    held.task,
		run:     held.number,
		how:     how,
		atLapse: l.lapses,
	})
	r.world.ended(r.id, held.task, held.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (r *runner) serve(l *life, writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		writer.Header().Set("Instance-Id", r.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	if request.Header.Get("Target-Instance") != r.id {
		answer(writer, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var call order
	text, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(text, &call) != nil {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	late := r.late
	r.mu.Unlock()
	if late != nil {
		if delay, unanswered := late(request.URL.Path, call); unanswered {
			r.world.note("%s to %s gets no answer, token %d, last_seen %d, is carried out after %s", request.URL.Path, r.id, call.FencingToken, call.LastSeen, delay)
			time.AfterFunc(delay, func() { r.carryOutLate(request.URL.Path, call) })
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := r.carryOut(l, request, request.URL.Path, call)
	if request.URL.Path == "/hold" && r.takeCloses() {
		r.world.note("a look at %s gets no answer, its connection is closed", r.id)
		panic(http.ErrAbortHandler)
	}
	answer(writer, status, body)
}

// carryOutLate carries out an order that got no answer, in the life that the runner
// has then.
func (r *runner) carryOutLate(path string, call order) {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	if l == nil {
		r.world.note("late %s to %s: the runner is down", path, r.id)
		return
	}
	call.WaitMS = 0
	status, body := r.carryOut(l, nil, path, call)
	r.world.note("late %s to %s is carried out: token %d, last_seen %d: %d %v", path, r.id, call.FencingToken, call.LastSeen, status, body["reason"])
}

func (r *runner) carryOut(l *life, request *http.Request, path string, call order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(l)
	body := map[string]any{"clock_ms": l.clock().Milliseconds()}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if call.FencingToken < l.token {
		return refuse("fence")
	}
	l.token = call.FencingToken
	until := time.Duration(call.UntilMS) * time.Millisecond
	extend := func() {
		l.until = max(l.until, min(until, l.clock()+holdMax))
	}
	switch path {
	case "/run-start":
		if until <= l.clock() {
			return refuse("late")
		}
		extend()
		if held := l.running[call.Task]; held != nil && held.number == call.Run {
			return http.StatusOK, body
		}
		if call.Run <= l.highest[call.Task] || l.running[call.Task] != nil {
			return refuse("old")
		}
		need, lasts, ending := r.world.describe(call.Task, r.id)
		if used := r.used(l); r.guards && (used.CPU+need.CPU > r.capacity.CPU || used.MemMB+need.MemMB > r.capacity.MemMB) {
			return refuse("room")
		}
		l.running[call.Task] = &run{
			task:   call.Task,
			number: call.Run,
			size:   need,
			began:  time.Now(),
			lasts:  lasts,
			ending: ending,
		}
		r.world.began(r.id, call.Task, call.Run)
		if used := r.used(l); used.CPU > r.capacity.CPU || used.MemMB > r.capacity.MemMB {
			r.world.overCapacity(r.id, call.Task, used, r.capacity)
		}
		return http.StatusOK, body
	case "/run-stop":
		l.highest[call.Task] = max(l.highest[call.Task], call.Run)
		if held := l.running[call.Task]; held != nil && held.number <= call.Run && held.stopped.IsZero() {
			held.stopped = time.Now()
		}
		return http.StatusOK, body
	case "/pace":
		return http.StatusOK, body
	case "/hold":
		if call.UntilMS > 0 {
			extend()
		}
		l.ended = slices.DeleteFunc(l.ended, func(row endedRun) bool {
			if row.number <= call.LastSeen {
				r.world.noted(r.id, row, row.atLapse == l.lapses)
			}
			return row.number <= call.LastSeen
		})
		r.await(l, request, time.Duration(call.WaitMS)*time.Millisecond)
		body["clock_ms"], body["born"] = l.clock().Milliseconds(), l.born.UnixMilli()
		running, ended := [][]any{}, [][]any{}
		for _, held := range l.running {
			percent := 100
			if held.lasts > 0 {
				percent = int(100 * time.Since(held.began) / held.lasts)
			}
			running = append(running, []any{held.task, held.number, "", min(99, percent), held.size.CPU})
		}
		for _, row := range l.ended[:min(500, len(l.ended))] {
			ended = append(ended, []any{row.number, row.task, row.run, row.how, ""})
		}
		body["running"], body["ended_runs"] = running, ended
		return http.StatusOK, body
	}
	return http.StatusBadRequest, body
}

// await waits until a run has ended that is not forgotten. The caller holds the lock.
func (r *runner) await(l *life, request *http.Request, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for len(l.ended) == 0 && !r.closesLook && time.Now().Before(deadline) && request != nil {
		changed := l.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-request.Context().Done():
			r.mu.Lock()
			return
		}
		r.mu.Lock()
	}
}

func (r *runner) used(l *life) size {
	total := size{}
	for _, held := range l.running {
		total.CPU += held.size.CPU
		total.MemMB += held.size.MemMB
	}
	return total
}

// jobOf returns the job of a task, which is named ID.K.STEP.INDEX.
func jobOf(task string) string {
	return strings.SplitN(task, ".", 2)[0]
}
