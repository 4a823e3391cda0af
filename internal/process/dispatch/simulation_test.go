package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

const (
	testZone    = "recife"
	testLease   = 2 * time.Second
	testRunTime = 900 * time.Millisecond
)

func cores(n int64) worker.Size {
	return worker.Size{
		MilliCores:  n * 1000,
		MemoryBytes: n * 1e9,
	}
}

// fakeTask is one attempt on a fake worker.
type fakeTask struct {
	start worker.Start
	state worker.TaskState
	// leaseUntil is when the lease expires, in milliseconds of the worker's
	// clock.
	leaseUntil int64
	progress   time.Duration
	from       string
	checkpoint string
}

// fakeWorker runs tasks in memory, expires their leases by its own clock, and
// refuses starts and commands by the rules of a real worker.
type fakeWorker struct {
	id        string
	total     worker.Size
	bootedAt  time.Time
	bootCount int
	epoch     uint64
	tasks     map[string]*fakeTask
	// barred are the IDs of attempts that the worker refuses to start.
	barred map[string]bool
}

// simulation connects planners, a store and fake workers by messages that may
// be lost, repeated or late, and checks the invariants after every step of
// time.
type simulation struct {
	now      time.Time
	planners []*Planner
	records  map[string]storedRecord
	revision int64
	epoch    uint64
	workers  map[string]*fakeWorker
	inFlight []simulatedMessage
	// runTime is how long a task must run to complete; at 0 it never does.
	runTime time.Duration
	// doneCount counts the completed runs of each job.
	doneCount map[string]int
	// violations are the violated invariants.
	violations []string
	// started are the IDs of the attempts that workers have started.
	started map[string]bool
	// crashed are the workers that have restarted and lost their tasks.
	crashed map[string]bool
}

// simulatedMessage is a message in flight; deliver applies it and may send an
// answer.
type simulatedMessage struct {
	label   string
	deliver func()
}

func testState() *release.State {
	return &release.State{
		Version: 1,
		Classes: map[string]release.Class{
			"plan": {
				Retries: 3,
			},
			"stock": {
				Rerun:   true,
				Retries: 20,
			},
			"urgent": {
				Urgent:  true,
				Retries: 3,
			},
			"watcher": {
				Watcher: true,
				Rerun:   true,
				Retries: 100,
			},
		},
		Zones: map[string]release.Zone{
			testZone: {},
		},
	}
}

func newSimulation(workers int) *simulation {
	s := &simulation{
		now:       time.Unix(5000, 0),
		records:   map[string]storedRecord{},
		workers:   map[string]*fakeWorker{},
		runTime:   testRunTime,
		doneCount: map[string]int{},
		started:   map[string]bool{},
		crashed:   map[string]bool{},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		s.workers[id] = &fakeWorker{
			id:        id,
			total:     cores(8),
			bootedAt:  s.now,
			bootCount: 1,
			tasks:     map[string]*fakeTask{},
			barred:    map[string]bool{},
		}
	}
	s.startSuccessor()
	return s
}

// startSuccessor starts a new dispatcher with the next epoch; the earlier ones
// are not notified.
func (s *simulation) startSuccessor() {
	s.epoch++
	planner := NewPlanner(PlannerConfig{
		Zone:  testZone,
		Lease: testLease,
	})
	planner.SetState(testState())
	var entries []Entry
	for i, id := range s.workerIDs() {
		entries = append(entries, Entry{
			ID:    id,
			Zone:  testZone,
			Rack:  strconv.Itoa(i % 2),
			Total: s.workers[id].total,
		})
	}
	planner.SetWorkers(entries, s.now)
	planner.Begin(s.epoch, s.now)
	for _, stored := range s.records {
		planner.Load(stored.record, stored.revision, s.now)
	}
	s.planners = append(s.planners, planner)
}

func (s *simulation) workerIDs() []string {
	ids := make([]string, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *simulation) submit(id, class string, size worker.Size) {
	s.revision++
	record := &job.Record{
		ID:          id,
		Customer:    "c",
		Class:       class,
		Size:        size,
		Zone:        testZone,
		State:       job.Accepted,
		SubmittedAt: s.now,
	}
	s.records[id] = storedRecord{
		record:   record,
		revision: s.revision,
	}
	for _, planner := range s.planners {
		planner.Load(record, s.revision, s.now)
	}
}

func (s *simulation) send(label string, deliver func()) {
	s.inFlight = append(s.inFlight, simulatedMessage{
		label:   label,
		deliver: deliver,
	})
}

// step runs one tick of a planner and sends its effects.
func (s *simulation) step(planner *Planner) {
	effects := planner.Tick(TickInput{
		Now:         s.now,
		PermitUntil: s.now.Add(time.Second),
		StoreUp:     true,
	})
	s.execute(planner, effects)
}

func (s *simulation) execute(planner *Planner, effects Effects) {
	epoch := planner.epoch
	for _, write := range effects.Writes {
		s.send("write "+write.To.ID, func() { s.write(planner, epoch, write) })
	}
	for _, start := range effects.Starts {
		s.send("start "+start.Start.Attempt, func() {
			reply := s.workers[start.Worker].start(s, start.Start)
			s.send("reply "+start.Start.Attempt, func() {
				planner.Replied(start.Worker, start.Start.Attempt, reply, s.now)
				s.execute(planner, planner.Flush())
			})
		})
	}
	for _, order := range effects.Orders {
		s.send(string(order.Verb)+" "+order.Attempt, func() {
			reply := s.workers[order.Worker].command(order, epoch)
			s.send("reply "+order.Attempt, func() {
				planner.Replied(order.Worker, order.Attempt, reply, s.now)
				s.execute(planner, planner.Flush())
			})
		})
	}
}

// write applies a compare-and-swap that is guarded by the fence.
func (s *simulation) write(planner *Planner, epoch uint64, write Write) {
	current, ok := s.records[write.To.ID]
	if epoch != s.epoch {
		return // fenced: the writer has lost its right
	}
	if !ok || current.revision != write.Revision {
		s.send("conflict "+write.To.ID, func() {
			if current.record == write.To {
				planner.Written(write, current.revision, s.now)
				return
			}
			planner.Conflicted(write, current.record, current.revision, s.now)
		})
		return
	}
	s.revision++
	revision := s.revision
	s.records[write.To.ID] = storedRecord{
		record:   write.To,
		revision: revision,
	}
	s.send("written "+write.To.ID, func() { planner.Written(write, revision, s.now) })
}

func (s *simulation) heartbeat(planner *Planner, id string) {
	heartbeat := planner.Heartbeat(id)
	s.send("heartbeat "+id, func() {
		inventory := s.workers[id].heartbeat(s, heartbeat)
		s.send("inventory "+id, func() {
			planner.Inventory(id, inventory, s.now)
			s.execute(planner, planner.Flush())
		})
	})
}

// advance advances the clock and the running tasks, then checks the invariants.
func (s *simulation) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, fake := range s.workers {
		fake.advance(s, by)
	}
	s.check()
}

// check records violations: jobs that run on two workers, workers over their
// capacity, jobs completed more than once, and records that contradict what the
// workers did.
func (s *simulation) check() {
	places := map[string]string{}
	for _, id := range s.workerIDs() {
		var sum worker.Size
		for _, task := range s.workers[id].tasks {
			if task.state != worker.TaskRunning {
				continue
			}
			sum = add(sum, task.start.Size)
			if other, twice := places[task.start.Job]; twice {
				s.addViolation("%s runs on %s and %s", task.start.Job, other, id)
			}
			places[task.start.Job] = id
		}
		if !fits(sum, s.workers[id].total) {
			s.addViolation("%s over its capacity: %+v", id, sum)
		}
	}
	for id, count := range s.doneCount {
		if count > 1 && !s.canRepeat(id) {
			s.addViolation("%s done %d times", id, count)
		}
	}
	for id, stored := range s.records {
		if stored.record.State == job.Done && s.doneCount[id] != 1 && !s.canRepeat(id) {
			s.addViolation("%s is done on record, but was done %d times", id, s.doneCount[id])
		}
		for _, attempt := range stored.record.Attempts {
			if attempt.State == job.AttemptNotRun && s.started[stored.record.AttemptID(attempt.N)] {
				s.addViolation("%s attempt %d is not_run on record, but ran", id, attempt.N)
			}
		}
	}
}

// canRepeat reports whether a job may complete more than once: its class
// permits a rerun and an attempt was lost.
func (s *simulation) canRepeat(id string) bool {
	record := s.records[id].record
	if !testState().Classes[record.Class].Rerun {
		return false
	}
	for _, attempt := range record.Attempts {
		if attempt.State == job.AttemptLost {
			return true
		}
	}
	return false
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (f *fakeWorker) boot() string {
	return f.id + "/" + strconv.Itoa(f.bootCount)
}

func (f *fakeWorker) clock(s *simulation) int64 {
	return s.now.Sub(f.bootedAt).Milliseconds()
}

func (f *fakeWorker) advance(s *simulation, by time.Duration) {
	for _, task := range f.tasks {
		if task.state != worker.TaskRunning {
			continue
		}
		if f.clock(s) > task.leaseUntil {
			task.state = worker.TaskStopped
			continue
		}
		task.progress += by
		if s.runTime > 0 && task.progress >= s.runTime {
			task.state = worker.TaskDone
			s.doneCount[task.start.Job]++
		}
	}
}

func (f *fakeWorker) crash(s *simulation) {
	s.crashed[f.id] = true
	f.bootCount++
	f.bootedAt = s.now
	f.tasks = map[string]*fakeTask{}
}

func (t *fakeTask) toTask() worker.Task {
	return worker.Task{
		Attempt:    t.start.Attempt,
		Job:        t.start.Job,
		State:      t.state,
		Committed:  t.start.Size,
		Used:       t.start.Size,
		Checkpoint: t.checkpoint,
		RanMS:      t.progress.Milliseconds(),
	}
}

func (f *fakeWorker) start(s *simulation, start worker.Start) worker.Reply {
	if task := f.tasks[start.Attempt]; task != nil {
		return worker.Reply{
			Task: task.toTask(),
		}
	}
	reply := worker.Reply{}
	switch {
	case start.Epoch < f.epoch:
		reply.Refused = worker.RefusedEpoch
	case start.Boot != f.boot():
		reply.Refused = worker.RefusedBoot
	case f.barred[start.Attempt]:
		reply.Refused = worker.RefusedBarred
	case f.clock(s) > start.NotAfterMS:
		reply.Refused = worker.RefusedLate
	}
	if reply.Refused != "" {
		return reply
	}
	f.epoch = start.Epoch
	task := &fakeTask{
		start:      start,
		state:      worker.TaskRunning,
		leaseUntil: start.LeaseUntilMS,
		from:       start.Checkpoint,
	}
	if ms, err := strconv.Atoi(start.Checkpoint); err == nil {
		task.progress = time.Duration(ms) * time.Millisecond
	}
	f.tasks[start.Attempt] = task
	s.started[start.Attempt] = true
	s.check()
	return worker.Reply{
		Task: task.toTask(),
	}
}

func (f *fakeWorker) command(order Order, epoch uint64) worker.Reply {
	if epoch < f.epoch {
		return worker.Reply{
			Refused: worker.RefusedEpoch,
		}
	}
	if order.Boot != f.boot() {
		return worker.Reply{
			Refused: worker.RefusedBoot,
		}
	}
	f.epoch = epoch
	task := f.tasks[order.Attempt]
	if task == nil {
		f.barred[order.Attempt] = f.barred[order.Attempt] || order.Verb == VerbStop
		return worker.Reply{
			Task: worker.Task{
				Attempt: order.Attempt,
				State:   worker.TaskNeverStarted,
			},
		}
	}
	if task.state == worker.TaskRunning {
		switch order.Verb {
		case VerbCheckpoint:
			task.checkpoint = strconv.FormatInt(task.progress.Milliseconds(), 10)
		case VerbStop:
			task.state = worker.TaskStopped
		}
	}
	return worker.Reply{
		Task: task.toTask(),
	}
}

func (f *fakeWorker) heartbeat(s *simulation, heartbeat worker.Heartbeat) worker.Inventory {
	if heartbeat.Epoch >= f.epoch {
		f.epoch = heartbeat.Epoch
		if heartbeat.Boot == f.boot() {
			for _, attempt := range heartbeat.Extend {
				if task := f.tasks[attempt]; task != nil {
					task.leaseUntil = max(task.leaseUntil, heartbeat.SeenClockMS+heartbeat.TermMS)
				}
			}
			for _, attempt := range heartbeat.Forget {
				delete(f.tasks, attempt)
				f.barred[attempt] = true
			}
		}
	}
	inventory := worker.Inventory{
		Boot:    f.boot(),
		ClockMS: f.clock(s),
		Epoch:   f.epoch,
		Total:   f.total,
	}
	for _, task := range f.tasks {
		inventory.Tasks = append(inventory.Tasks, task.toTask())
	}
	return inventory
}
