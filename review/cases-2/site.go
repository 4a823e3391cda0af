package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	service   = "oficina"
	heartbeat = 1500 * time.Millisecond
	// restartDelay is how long after the end of a process the platform starts it
	// again.
	restartDelay = 500 * time.Millisecond
	// metricsPort is the port in the project's deploy file.
	metricsPort = 9464
)

// Bounds of the settings, as in those of the small sites.
const (
	cancelBound   = 3 * time.Second
	finishBound   = 14 * time.Second
	stableWindow  = 3 * time.Second
	pageSuffix    = ".example"
	queueDeadline = 3000
)

// site is a small deployment: a store, runners, hosts and callers.
type site struct {
	record  *record
	folder  string
	prefix  string
	store   *store
	done    chan struct{}
	hosts   []*host
	runners []*runner
	// advice is the address of the service that issues tickets, terms what it takes.
	advice string
	// statusSeconds is status_s of the settings.
	statusSeconds int
	terms         adviceTerms

	mu sync.Mutex
	// starts holds what the runners have begun, in order.
	starts []*start
	// outcomes and sizes are by job and step, as ID.K.STEP.
	outcomes map[string]outcome
	sizes    map[string]int64
	// tickets holds the issued tickets; ticketed are the jobs whose steps need one.
	tickets  map[string]ticket
	ticketed map[string]bool
}

// ticket permits a step on a runner.
type ticket struct {
	step, runner string
	until        time.Time
}

// host is one entry host: a process of the project that is started again whenever
// it ends.
type host struct {
	site     *site
	name     string
	ip       string
	front    string
	settings string
	// ends counts the times at which the process ended by itself.
	mu       sync.Mutex
	process  *os.Process
	begun    time.Time
	expected bool
	ends     []string
	// disturbed is when the host came back after it was last killed by the case.
	disturbed time.Time
	stopping  bool
	down      chan struct{}
}

func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r,
		folder: folder,
		done:   make(chan struct{}),

		statusSeconds: 120,

		outcomes: map[string]outcome{},
		sizes:    map[string]int64{},
		tickets:  map[string]ticket{},
		ticketed: map[string]bool{},
	}
	if s.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	s.store = newStore(r)
	return s, nil
}

// freePrefix returns the first three bytes of a loopback network on which the
// metrics port of the first hosts is free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 2+rand.Intn(250), 1+rand.Intn(250))
		free := true
		for n := 1; n <= 3; n++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n, metricsPort))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func (s *site) ip(n int) string {
	return s.prefix + "." + strconv.Itoa(n)
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// queue is a route of the configuration.
type queue struct {
	name     string
	attempts int
	// advice is set if the queue's starts need tickets.
	advice bool
}

func (q queue) host() string {
	return q.name + pageSuffix
}

func (q queue) path(id string) string {
	return "/" + q.name + "/" + id
}

// configure writes a version of the configuration as the operator does.
func (s *site) configure(version int, queues ...queue) {
	routes := []map[string]any{}
	names := []string{}
	for _, q := range queues {
		route := map[string]any{
			"name": "r-" + q.name, "host": q.host(), "prefix": "/" + q.name + "/", "kind": "unsafe",
			"timeout_ms": queueDeadline, "target_duration_ms": 1000, "priority": 1,
			"service": service, "max_attempts": q.attempts, "stretch": 2.0,
		}
		if q.advice {
			route["advice"] = map[string]any{
				"decide_ms": s.terms.decide.Milliseconds(), "each_ms": s.terms.each.Milliseconds(), "valid_ms": s.terms.valid.Milliseconds(),
			}
		}
		routes = append(routes, route)
		names = append(names, q.name)
	}
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	s.record.note("operator: configuration %d with queues %v is acknowledged", version, names)
}

// open starts the store, runners and hosts, and waits until a job is served.
func (s *site) open(runners, hosts int, queues ...queue) error {
	listener, err := net.Listen("tcp", s.ip(250)+":0")
	if err != nil {
		return err
	}
	s.store.serve(listener)
	s.configure(7, queues...)
	for n := range runners {
		r, err := newRunner(s, fmt.Sprintf("i-%04x", 0xa100+n), 16000, []string{"a", fmt.Sprintf("r1-%d", n)})
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		r.register()
		s.record.note("runner %s is at %s", r.id, r.address)
	}
	for n := range hosts {
		h, err := s.newHost(n+1, listener.Addr().String())
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		go h.loop()
	}
	deadline := time.Now().Add(30 * time.Second)
	for _, h := range s.hosts {
		for {
			if status, _ := s.call(h, http.MethodGet, queues[0], "", nil, 1000); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s does not serve", h.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // the stable window
	s.record.note("the site serves, leader %s", s.leader().name)
	return nil
}

func (s *site) newHost(n int, storeAddress string) (*host, error) {
	h := &host{
		site: s,
		name: fmt.Sprintf("frontend-recife-%d", n),
		ip:   s.ip(n),
		down: make(chan struct{}),
	}
	var ports [4]int
	for i := range ports {
		port, err := freePort(h.ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	h.front = fmt.Sprintf("%s:%d", h.ip, ports[0])
	h.settings = filepath.Join(s.folder, h.name+".toml")
	advice := ""
	if s.advice != "" {
		advice = "advice = \"" + s.advice + "\"\n"
	}
	text := fmt.Sprintf(`node = %q
role = "host"
class = "frontend"
serves = ["frontend"]
ip = %q
zone = "recife"
region = "nordeste"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "call"
%s[zones]
recife = "nordeste"
[listen]
front = %q
ready = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
evacuate_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_grace_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %d
remote_factor = 2
checkpoint_interval_s = 1
restore_ms = 600
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = "%s:9"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`, h.name, h.ip, ports[2], ports[3], advice, h.front, h.ip, ports[1], s.statusSeconds, storeAddress, s.ip(251))
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// loop runs the process of the deploy file, again whenever it ends.
func (h *host) loop() {
	defer close(h.down)
	runtime.LockOSThread() // the host is killed when the thread that started it ends
	for {
		log, err := os.OpenFile(filepath.Join(h.site.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			h.site.record.note("host %s has no log: %v", h.name, err)
			return
		}
		command := exec.Command("target/mustardreach", "platform")
		command.Env = []string{"MUSTARDREACH_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		h.mu.Lock()
		if h.stopping {
			h.mu.Unlock()
			return
		}
		err = command.Start()
		if err == nil {
			h.process, h.begun, h.expected = command.Process, time.Now(), false
		}
		h.mu.Unlock()
		if err != nil {
			h.site.record.note("host %s does not start: %v", h.name, err)
			return
		}
		h.site.record.note("host %s starts, pid %d", h.name, command.Process.Pid)
		err = command.Wait()
		_ = log.Close()
		h.mu.Lock()
		h.process = nil
		stopping := h.stopping
		switch {
		case h.expected:
			h.disturbed = time.Now().Add(restartDelay)
		case !stopping && time.Since(h.disturbed) <= time.Second:
			h.site.record.note("host %s ended within a second of a disruption: not counted", h.name)
		case !stopping:
			h.ends = append(h.ends, fmt.Sprint(err))
			h.site.record.note("host %s ended by itself: %v", h.name, err)
		}
		h.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process. With ends set, its end is expected.
func (h *host) signal(signal syscall.Signal, ends bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		h.site.record.note("host %s is not running, no %v", h.name, signal)
		return
	}
	h.expected = h.expected || ends
	h.site.record.note("host %s gets %v", h.name, signal)
	_ = h.process.Signal(signal)
}

func (h *host) logHas(text string) bool {
	content, _ := os.ReadFile(filepath.Join(h.site.folder, h.name+".log"))
	return bytes.Contains(content, []byte(text))
}

// stop ends everything that the case started.
func (s *site) stop() {
	for _, h := range s.hosts {
		h.mu.Lock()
		h.stopping = true
		if h.process != nil {
			_ = h.process.Kill()
		}
		h.mu.Unlock()
	}
	for _, h := range s.hosts {
		<-h.down
	}
	close(s.done)
	close(s.store.closed)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		s.record.note("logs are in the temporary folder %s", filepath.Base(s.folder))
	}
}

// leader returns the host that the lead key names, the first one if there is none.
func (s *site) leader() *host {
	if held, ok := s.store.find("work/lead"); ok {
		for _, h := range s.hosts {
			if bytes.Contains(held.Value, []byte(h.name)) {
				return h
			}
		}
	}
	return s.hosts[0]
}

// runner returns the runner with an id.
func (s *site) runner(id string) *runner {
	for _, r := range s.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

// others returns the hosts that do not lead.
func (s *site) others() []*host {
	leads := s.leader()
	var out []*host
	for _, h := range s.hosts {
		if h != leads {
			out = append(out, h)
		}
	}
	return out
}

// call makes a caller's call on a new connection and returns the status, zero
// without an answer.
func (s *site) call(h *host, method string, q queue, id string, body any, deadlineMS int) (int, string) {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+h.front+q.path(id), reader)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = q.host()
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMS))
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   time.Duration(deadlineMS) * time.Millisecond,
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(readAll(response.Body))
}

// told makes a call and records it.
func (s *site) told(h *host, method string, q queue, id string, body any, deadlineMS int) (int, string) {
	sent := s.record.now()
	status, text := s.call(h, method, q, id, body, deadlineMS)
	s.record.note("caller: %s %s at %s, sent at %.3f s: %d %s", method, q.path(id), h.name, sent.Seconds(), status, text)
	return status, text
}

// step is a step of a job on the wire.
type step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"`
	MemMB      int64 `json:"mem_mb"`
	EstimateMS int64 `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
	Persistent bool  `json:"persistent,omitempty"`
}

// job returns the body of a submission, and has the runners know its tasks.
func (s *site) job(id string, steps []step, goes []outcome) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range steps {
		name := fmt.Sprintf("%s.0.%d", id, n)
		s.outcomes[name], s.sizes[name] = goes[n], steps[n].CPU
	}
	return map[string]any{"spec": "review", "steps": steps}
}

// stepOf returns the name of a task's step.
func stepOf(task string) string {
	return task[:strings.LastIndexByte(task, '.')]
}

func (s *site) outcomeOf(task string) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[stepOf(task)]
}

func (s *site) sizeOf(task string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizes[stepOf(task)]
}

func (s *site) began(task string, run int64, runner string) *start {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := &start{
		task:   task,
		run:    run,
		runner: runner,
		at:     s.record.now(),
	}
	s.starts = append(s.starts, begun)
	s.record.note("runner %s: starts %s run %d", runner, task, run)
	return begun
}

func (s *site) ended(run *start, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.end, run.how = s.record.now(), how
	s.record.note("runner %s: %s run %d ends %s", run.runner, run.task, run.run, how)
}

// lapsed records that a lease lapsed before an end was taken note of.
func (s *site) lapsed(run *start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.lapsed = run.lapsed || run.noted == 0
}

func (s *site) noted(run *start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run.noted == 0 && !run.lapsed {
		run.noted = s.record.now()
	}
}

// startsOf returns copies of the starts of a job, in order.
func (s *site) startsOf(id string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []start
	for _, begun := range s.starts {
		if jobOf(begun.task) == id {
			out = append(out, *begun)
		}
	}
	return out
}

// newID returns a job's id.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// adviceTerms are those of a queue with advice: how long the service takes for a
// call and for each runner named in it, and how long a ticket is valid.
type adviceTerms struct {
	decide, each, valid time.Duration
}

// serveAdvice starts the service that issues tickets; it grants every runner. It
// handles one call at a time for each calling machine, in turn, and refuses calls
// while 32 wait.
func (s *site) serveAdvice(terms adviceTerms) error {
	listener, err := net.Listen("tcp", s.ip(240)+":0")
	if err != nil {
		return err
	}
	s.advice, s.terms = listener.Addr().String(), terms
	turns := &adviceTurns{
		machines: map[string]*adviceTurn{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		machine, _, _ := net.SplitHostPort(r.RemoteAddr)
		turn := turns.of(machine)
		if turn.waiting.Add(1) > 32 {
			turn.waiting.Add(-1)
			answer(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		turn.mu.Lock()
		defer turn.mu.Unlock()
		defer turn.waiting.Add(-1)
		time.Sleep(terms.decide + time.Duration(len(body.Workers))*terms.each)
		granted := [][]string{}
		s.mu.Lock()
		for _, id := range body.Workers {
			text := fmt.Sprintf("%08x", rand.Uint32())
			s.tickets[text] = ticket{
				step:   body.Step,
				runner: id,
				until:  time.Now().Add(terms.valid),
			}
			granted = append(granted, []string{id, text})
		}
		s.mu.Unlock()
		s.record.note("advice: %s may run on %v; answered %.3f s after the call came", body.Step, body.Workers, time.Since(arrived).Seconds())
		answer(w, http.StatusOK, map[string]any{"granted": granted, "valid_ms": terms.valid.Milliseconds()})
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return nil
}

// adviceTurns holds the calls of each machine to the advice service.
type adviceTurns struct {
	mu       sync.Mutex
	machines map[string]*adviceTurn
}

type adviceTurn struct {
	mu      sync.Mutex
	waiting atomic.Int64
}

func (t *adviceTurns) of(machine string) *adviceTurn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines[machine] == nil {
		t.machines[machine] = &adviceTurn{}
	}
	return t.machines[machine]
}

// ticketValid reports whether a start carries the ticket that its step needs.
func (s *site) ticketValid(r *runner, order runnerOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ticketed[jobOf(order.Task)] {
		return true
	}
	held, ok := s.tickets[order.Ticket]
	return ok && held.step == stepOf(order.Task) && held.runner == r.id && time.Now().Before(held.until)
}
