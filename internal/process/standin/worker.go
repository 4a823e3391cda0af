package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Work is the task payload that the stand-in understands.
type Work struct {
	// RunMS is how long the task runs at full speed, in milliseconds; 0 means
	// until it is stopped.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail when its work is done.
	Fail bool `json:"fail"`
	// Used is the actual resource usage; zero means the declared size.
	Used worker.Size `json:"used"`
	// Noise is ignored.
	Noise float64 `json:"noise"`
}

// WorkerFault is a set of faults injected into a worker.
type WorkerFault struct {
	// FailAll fails each task once it has run for over 50 ms.
	FailAll bool `json:"fail_all"`
	// Cut drops every message; tasks run on until their leases expire.
	Cut bool `json:"cut"`
	// Crash loses all tasks and reboots the worker.
	Crash bool `json:"crash"`
	// LoseAnswers drops every n-th response after the message took effect; 0
	// drops none.
	LoseAnswers int `json:"lose_answers"`
}

// Event is one entry of the journal.
type Event struct {
	At       time.Time `json:"at"`
	Worker   string    `json:"worker"`
	Zone     string    `json:"zone"`
	Kind     string    `json:"kind"`
	Attempt  string    `json:"attempt"`
	Job      string    `json:"job"`
	Customer string    `json:"customer"`
	Epoch    uint64    `json:"epoch"`
	// ProgressMS is the work done so far, in milliseconds.
	ProgressMS int64  `json:"progress_ms"`
	Detail     string `json:"detail,omitempty"`
}

// WorkerConfig configures a Worker; Total is its capacity.
type WorkerConfig struct {
	ID, Zone, Rack string
	Total          worker.Size
}

// runningTask is one attempt and its state. The progress is in milliseconds of
// work at full speed, the throttle level in percent of full speed.
type runningTask struct {
	start           worker.Start
	work            Work
	state           worker.TaskState
	startedAt       time.Time
	initialProgress int64
	progress        float64
	progressAt      time.Time
	leaseEndMS      int64
	throttle        int
	checkpoint      string
	detail          string
}

// Worker is a stand-in for a worker: it runs tasks under leases that expire by
// its own clock, which counts from its boot.
type Worker struct {
	config  WorkerConfig
	address string
	journal *Journal

	mu        sync.Mutex
	fault     WorkerFault
	boot      string
	booted    time.Time
	bootCount int
	// epoch is the highest epoch received.
	epoch     uint64
	responses int
	tasks     map[string]*runningTask
	// barred holds the attempts that must not start any more.
	barred map[string]bool
}

// Journal records the events of all workers.
type Journal struct {
	mu     sync.Mutex
	events []Event
}

// Add appends an event with the current time.
func (j *Journal) Add(event Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	event.At = time.Now()
	j.events = append(j.events, event)
}

// Events returns a copy of the events so far.
func (j *Journal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.events...)
}

// NewWorker starts a worker on a free loopback port.
func NewWorker(config WorkerConfig, journal *Journal) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		config:  config,
		address: listener.Addr().String(),
		journal: journal,
		barred:  map[string]bool{},
	}
	w.reboot()
	server := &server{
		Listener: listener,
		HTTP: &http.Server{
			Handler: w,
		},
	}
	go server.run()
	go w.loop()
	return w, nil
}

func (w *Worker) reboot() {
	w.bootCount++
	w.boot = w.config.ID + "-" + strconv.Itoa(w.bootCount)
	w.booted = time.Now()
	w.tasks = map[string]*runningTask{}
}

func (w *Worker) clock() int64 {
	return time.Since(w.booted).Milliseconds()
}

// SetFault replaces the faults in force; Crash takes effect once.
func (w *Worker) SetFault(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if fault.Crash {
		for _, task := range w.tasks {
			if task.state == worker.TaskRunning {
				w.recordEvent("crashed", task)
			}
		}
		w.reboot()
		fault.Crash = false
	}
	w.fault = fault
}

func (w *Worker) recordEvent(kind string, task *runningTask) {
	w.journal.Add(Event{
		Worker:     w.config.ID,
		Zone:       w.config.Zone,
		Kind:       kind,
		Attempt:    task.start.Attempt,
		Job:        task.start.Job,
		Customer:   task.start.Customer,
		Epoch:      task.start.Epoch,
		ProgressMS: int64(task.progress),
		Detail:     task.detail,
	})
}

// advance updates the progress and state of every task, at most to the expiry
// of its lease; the caller holds the lock.
func (w *Worker) advance() {
	now := time.Now()
	for _, task := range w.tasks {
		if task.state != worker.TaskRunning {
			continue
		}
		leaseEnd := w.booted.Add(time.Duration(task.leaseEndMS) * time.Millisecond)
		until := now
		if leaseEnd.Before(now) {
			until = leaseEnd
		}
		if until.After(task.progressAt) {
			speed := float64(task.throttle) / 100
			task.progress += float64(until.Sub(task.progressAt).Milliseconds()) * speed
			task.progressAt = until
		}
		w.updateState(task, leaseEnd.Before(now), now)
	}
}

func (w *Worker) updateState(task *runningTask, expired bool, now time.Time) {
	switch {
	case w.fault.FailAll && now.Sub(task.startedAt) > 50*time.Millisecond:
		task.state, task.detail = worker.TaskFailed, "worker error"
		w.recordEvent("failed", task)
	case task.work.RunMS > 0 && task.progress >= float64(task.work.RunMS) && task.work.Fail:
		task.state, task.detail = worker.TaskFailed, "task error"
		w.recordEvent("failed", task)
	case task.work.RunMS > 0 && task.progress >= float64(task.work.RunMS):
		task.state = worker.TaskDone
		w.recordEvent("done", task)
	case expired:
		task.state, task.detail = worker.TaskStopped, "lease lapsed"
		w.recordEvent("lapsed", task)
	}
}

// ServeHTTP implements the worker protocol.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fault.Cut {
		panic(http.ErrAbortHandler)
	}
	var response any
	decoder := json.NewDecoder(request.Body)
	path := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	switch {
	case len(path) == 2 && path[1] == "heartbeat":
		var heartbeat worker.Heartbeat
		if decoder.Decode(&heartbeat) == nil {
			response = w.heartbeat(heartbeat)
		}
	case len(path) == 2 && path[1] == "tasks":
		var start worker.Start
		if decoder.Decode(&start) == nil {
			response = w.start(start)
		}
	case len(path) == 4:
		var command worker.Command
		if decoder.Decode(&command) == nil {
			response = w.command(path[2], path[3], command)
		}
	}
	if response == nil {
		http.Error(writer, "bad request", http.StatusBadRequest)
		return
	}
	w.responses++
	if w.fault.LoseAnswers > 0 && w.responses%w.fault.LoseAnswers == 0 {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(writer).Encode(response)
}

func (w *Worker) heartbeat(heartbeat worker.Heartbeat) worker.Inventory {
	if heartbeat.Epoch >= w.epoch {
		w.epoch = heartbeat.Epoch
		if heartbeat.Boot == w.boot {
			w.updateLeases(heartbeat)
		}
	}
	inventory := worker.Inventory{
		Boot:    w.boot,
		ClockMS: w.clock(),
		Epoch:   w.epoch,
		Total:   w.config.Total,
		Tasks:   []worker.Task{},
	}
	for _, task := range w.tasks {
		inventory.Tasks = append(inventory.Tasks, task.report())
	}
	return inventory
}

func (w *Worker) updateLeases(heartbeat worker.Heartbeat) {
	for _, attempt := range heartbeat.Extend {
		if task := w.tasks[attempt]; task != nil {
			task.leaseEndMS = max(task.leaseEndMS, heartbeat.SeenClockMS+heartbeat.TermMS)
		}
	}
	for _, attempt := range heartbeat.Forget {
		if task := w.tasks[attempt]; task != nil && task.state.Final() {
			delete(w.tasks, attempt)
			w.barred[attempt] = true
		}
	}
}

func (t *runningTask) report() worker.Task {
	used := t.work.Used
	if used == (worker.Size{}) {
		used = t.start.Size
	}
	return worker.Task{
		Attempt:    t.start.Attempt,
		Job:        t.start.Job,
		State:      t.state,
		Committed:  t.start.Size,
		Used:       used,
		Checkpoint: t.checkpoint,
		RanMS:      int64(t.progress) - t.initialProgress,
		Throttle:   t.throttle,
		Detail:     t.detail,
	}
}

func (w *Worker) start(start worker.Start) worker.Reply {
	reply := worker.Reply{
		ClockMS: w.clock(),
	}
	if task := w.tasks[start.Attempt]; task != nil {
		reply.Task = task.report()
		return reply
	}
	switch {
	case start.Epoch < w.epoch:
		reply.Refused = worker.RefusedEpoch
	case start.Boot != w.boot:
		reply.Refused = worker.RefusedBoot
	case w.barred[start.Attempt]:
		reply.Refused = worker.RefusedBarred
	case w.clock() > start.NotAfterMS:
		reply.Refused = worker.RefusedLate
	}
	if reply.Refused != "" {
		return reply
	}
	w.epoch = start.Epoch
	task := &runningTask{
		start:      start,
		state:      worker.TaskRunning,
		startedAt:  time.Now(),
		progressAt: time.Now(),
		leaseEndMS: start.LeaseUntilMS,
		throttle:   100,
	}
	_ = json.Unmarshal(start.Payload, &task.work)
	if progress, err := strconv.ParseInt(start.Checkpoint, 10, 64); err == nil {
		task.progress, task.initialProgress = float64(progress), progress
	}
	w.tasks[start.Attempt] = task
	w.recordEvent("started", task)
	w.checkCapacity(task)
	reply.Task = task.report()
	return reply
}

// checkCapacity records an event if the running tasks use more, or are
// committed more, than the worker has.
func (w *Worker) checkCapacity(added *runningTask) {
	var committed, used worker.Size
	for _, task := range w.tasks {
		if task.state == worker.TaskRunning {
			committed.MilliCores += task.start.Size.MilliCores
			committed.MemoryBytes += task.start.Size.MemoryBytes
			committed.Accelerators += task.start.Size.Accelerators
			used.MilliCores += task.report().Used.MilliCores
			used.MemoryBytes += task.report().Used.MemoryBytes
		}
	}
	total := w.config.Total
	if used.MilliCores > total.MilliCores || used.MemoryBytes > total.MemoryBytes {
		w.recordEvent("over_use", added)
	}
	if committed.MilliCores > total.MilliCores || committed.MemoryBytes > total.MemoryBytes || committed.Accelerators > total.Accelerators {
		added.detail = fmt.Sprintf("committed %+v of %+v", committed, total)
		w.recordEvent("over_room", added)
		added.detail = ""
	}
}

func (w *Worker) command(attempt, verb string, command worker.Command) any {
	reply := worker.Reply{
		ClockMS: w.clock(),
	}
	switch {
	case command.Epoch < w.epoch:
		reply.Refused = worker.RefusedEpoch
		return reply
	case command.Boot != w.boot:
		reply.Refused = worker.RefusedBoot
		return reply
	}
	w.epoch = command.Epoch
	task := w.tasks[attempt]
	if task == nil {
		w.barred[attempt] = w.barred[attempt] || verb == "stop"
		reply.Task.Attempt, reply.Task.State = attempt, worker.TaskNeverStarted
		return reply
	}
	if task.state == worker.TaskRunning {
		switch verb {
		case "checkpoint":
			task.checkpoint = strconv.FormatInt(int64(task.progress), 10)
			w.recordEvent("checkpointed", task)
		case "stop":
			task.state, task.detail = worker.TaskStopped, "stopped"
			w.recordEvent("stopped", task)
		case "throttle":
			task.throttle = min(max(command.Throttle, 1), 100)
		}
	}
	reply.Task = task.report()
	return reply
}

// loop advances the tasks every 20 ms so that events are recorded when they
// happen.
func (w *Worker) loop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}
