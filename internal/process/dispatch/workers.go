package dispatch

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

// workerView is what the planner knows about a worker.
type workerView struct {
	entry Entry
	// confirmed means that the worker has answered under the present epoch.
	confirmed bool
	// boot identifies the run of the worker that sent its newest answer.
	boot string
	// clock is the worker's clock in milliseconds in its newest answer, which
	// was received at clockAt; the worker read it no later than that.
	clock   int64
	clockAt time.Time
	// leaseBound is the time by which every lease on the worker has expired.
	leaseBound time.Time
	// allocated is the capacity of open attempts and of commits being written.
	allocated worker.Size
	// pendingCommits counts commits to this worker that are being written.
	pendingCommits int
	// open are the jobs with an open attempt on the worker, by job ID.
	open map[string]*jobView
	// orphanedSize is the capacity of running tasks without a matching record.
	orphanedSize worker.Size
	// tasks are the tasks last reported, by attempt ID.
	tasks map[string]worker.Task
	// forget are finished attempts that the worker may forget, because no open
	// attempt of a record refers to them.
	forget []string
	// orphans are the running tasks without a matching record; they are
	// stopped.
	orphans          []string
	orphansStoppedAt time.Time
	// reserved is the urgent job for which batch attempts are being evicted.
	reserved *jobView
	health   health
}

// extendLeaseBound allows for leases extended by term from the newest reading
// of the worker's clock.
func (w *workerView) extendLeaseBound(term time.Duration) {
	if bound := w.clockAt.Add(term); bound.After(w.leaseBound) {
		w.leaseBound = bound
	}
}

// maxInventoryAge is the maximum age of the newest answer of a worker that may
// be given work.
const maxInventoryAge = 2 * time.Second

// free is the capacity that is neither allocated nor used by orphaned tasks.
func (w *workerView) free() worker.Size {
	return worker.Size{
		MilliCores:   w.entry.Total.MilliCores - w.allocated.MilliCores - w.orphanedSize.MilliCores,
		MemoryBytes:  w.entry.Total.MemoryBytes - w.allocated.MemoryBytes - w.orphanedSize.MemoryBytes,
		Accelerators: w.entry.Total.Accelerators - w.allocated.Accelerators - w.orphanedSize.Accelerators,
	}
}

func add(a, b worker.Size) worker.Size {
	return worker.Size{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func subtract(a, b worker.Size) worker.Size {
	return worker.Size{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// fits reports whether no resource of size exceeds the available one.
func fits(size, available worker.Size) bool {
	return size.MilliCores <= available.MilliCores && size.MemoryBytes <= available.MemoryBytes &&
		size.Accelerators <= available.Accelerators
}

// allocate counts the open attempt of a job against its worker.
func (p *Planner) allocate(view *jobView) {
	if !p.hasLocalAttempt(view.record) {
		return
	}
	if w := p.workers[view.record.Open().Worker]; w != nil {
		w.allocated = add(w.allocated, view.record.Open().Size)
		w.open[view.record.ID] = view
		p.countClass(w, view.record.Class, 1)
	}
}

// deallocate reverses allocate.
func (p *Planner) deallocate(view *jobView) {
	if !p.hasLocalAttempt(view.record) {
		return
	}
	if w := p.workers[view.record.Open().Worker]; w != nil {
		w.allocated = subtract(w.allocated, view.record.Open().Size)
		delete(w.open, view.record.ID)
		p.countClass(w, view.record.Class, -1)
	}
}

// Workers returns all known workers by ID.
func (p *Planner) Workers() map[string]Entry {
	entries := make(map[string]Entry, len(p.workers))
	for id, w := range p.workers {
		entries[id] = w.entry
	}
	return entries
}

// Heartbeat returns the next heartbeat for a worker. It extends the leases of
// running tasks that match a record.
func (p *Planner) Heartbeat(id string) worker.Heartbeat {
	w := p.workers[id]
	heartbeat := worker.Heartbeat{
		Epoch:       p.epoch,
		Boot:        w.boot,
		SeenClockMS: w.clock,
		TermMS:      p.config.Lease.Milliseconds(),
		Forget:      w.forget,
	}
	if !w.confirmed {
		return heartbeat
	}
	for attempt, task := range w.tasks {
		if task.State == worker.TaskRunning && p.findOpenJob(attempt) != nil {
			heartbeat.Extend = append(heartbeat.Extend, attempt)
		}
	}
	w.extendLeaseBound(p.leaseTerm())
	return heartbeat
}

// idleHeartbeatInterval is the time between heartbeats to a worker without
// tasks; it is below maxInventoryAge, so that the worker stays eligible for
// work.
const idleHeartbeatInterval = 900 * time.Millisecond

// CanSkipHeartbeat reports whether a worker has no leases to extend and has
// answered within idleHeartbeatInterval.
func (p *Planner) CanSkipHeartbeat(id string, now time.Time) bool {
	w := p.workers[id]
	return w.confirmed && len(w.open) == 0 && len(w.tasks) == 0 && now.Sub(w.clockAt) < idleHeartbeatInterval
}

// findOpenJob returns the job whose open attempt has the given ID, or nil.
func (p *Planner) findOpenJob(attempt string) *jobView {
	id, n, ok := job.ParseAttemptID(attempt)
	view := p.jobs[id]
	if !ok || view == nil {
		return nil
	}
	if open := view.record.Open(); open != nil && open.N == n {
		return view
	}
	return nil
}

// Inventory handles a worker's answer to a heartbeat.
func (p *Planner) Inventory(id string, inventory worker.Inventory, receivedAt time.Time) {
	w := p.workers[id]
	switch {
	case w == nil:
		return
	case inventory.Epoch > p.epoch:
		p.fenced = true
		p.fencedBy = max(p.fencedBy, inventory.Epoch)
		return
	case inventory.Epoch < p.epoch:
		return // answers a heartbeat of an earlier epoch
	}
	w.confirmed = true
	w.boot, w.clock, w.clockAt = inventory.Boot, inventory.ClockMS, receivedAt
	w.entry.Total = inventory.Total
	w.tasks = make(map[string]worker.Task, len(inventory.Tasks))
	w.forget = w.forget[:0:0]
	w.orphanedSize, w.orphans = worker.Size{}, nil
	for _, task := range inventory.Tasks {
		w.tasks[task.Attempt] = task
		p.matchTask(w, task)
	}
	for _, view := range w.open {
		p.matchAttempt(w, view, receivedAt)
	}
}

// matchTask handles a reported task that matches no open attempt: a finished
// one is forgotten, a running one is an orphan.
func (p *Planner) matchTask(w *workerView, task worker.Task) {
	if p.findOpenJob(task.Attempt) != nil {
		return
	}
	if task.State.Final() {
		w.forget = append(w.forget, task.Attempt)
		return
	}
	w.orphanedSize = add(w.orphanedSize, task.Committed)
	w.orphans = append(w.orphans, task.Attempt)
}

// matchAttempt updates a job from the inventory of the worker of its open
// attempt.
func (p *Planner) matchAttempt(w *workerView, view *jobView, now time.Time) {
	open := view.record.Open()
	attempt := view.record.AttemptID(open.N)
	task, listed := w.tasks[attempt]
	if !listed {
		p.handleUnlisted(w, view, now)
		return
	}
	view.task = task
	view.acked = true
	if view.pendingWrite != nil {
		return
	}
	p.sizes.learn(view.record, task)
	switch task.State {
	case worker.TaskRunning:
		if view.record.State == job.Committed {
			p.write(view, view.record.Started())
		}
	case worker.TaskDone:
		p.end(view, job.AttemptResult{
			State: job.AttemptDone,
		}, now)
	case worker.TaskFailed:
		p.end(view, job.AttemptResult{
			State:        job.AttemptFailed,
			Checkpoint:   task.Checkpoint,
			Detail:       task.Detail,
			CountFailure: true,
		}, now)
	default:
		p.end(view, job.AttemptResult{
			State:      job.AttemptStopped,
			Checkpoint: task.Checkpoint,
			Detail:     stopDetail(view, task),
		}, now)
	}
}

func stopDetail(view *jobView, task worker.Task) string {
	if view.stopping != notStopping {
		return string(view.stopping)
	}
	return task.Detail
}

// handleUnlisted handles an open attempt that its worker does not list. The
// worker has adopted the present epoch, so a start sent by an earlier
// dispatcher can no longer take effect.
func (p *Planner) handleUnlisted(w *workerView, view *jobView, now time.Time) {
	if view.pendingWrite != nil {
		return
	}
	switch {
	case p.neverRan(w, view):
		p.end(view, job.AttemptResult{
			State:  job.AttemptNotRun,
			Detail: "start did not reach the worker in time",
		}, now)
	case !p.mayStillStart(w, view) && !p.endAsLost(view, "the worker has no record of it", now):
		p.end(view, job.AttemptResult{
			State:          job.AttemptLost,
			Detail:         "the worker restarted and cannot tell how it ended; declare the worker lost to run it again",
			OutcomeUnknown: true,
		}, now)
	}
}

// neverRan reports whether an attempt that its worker does not list never ran
// and never will: either no start was sent and the worker has restarted, or the
// worker has not restarted since the commit and every start sent is fenced or
// past its deadline.
func (p *Planner) neverRan(w *workerView, view *jobView) bool {
	open := view.record.Open()
	sameEpoch := open.Epoch == p.epoch
	switch {
	case view.acked || view.record.State == job.Running:
		return false
	case sameEpoch && !view.sent:
		return open.Boot != w.boot // no start is sent to another boot
	case open.Boot != w.boot:
		return false
	}
	return !sameEpoch || w.clock > view.notAfter
}

// mayStillStart reports whether a start of the attempt is in flight or may yet
// be sent.
func (p *Planner) mayStillStart(w *workerView, view *jobView) bool {
	open := view.record.Open()
	return open.Epoch == p.epoch && open.Boot == w.boot && !view.acked
}

// endAsLost ends an attempt that no longer runs and whose outcome its worker
// cannot report. The attempt may have completed, so it is ended only if the
// class permits a rerun or operators have declared the worker lost; otherwise
// endAsLost returns false.
func (p *Planner) endAsLost(view *jobView, detail string, now time.Time) bool {
	class := p.state.Classes[view.record.Class]
	if !class.Rerun && !p.state.Workers[view.record.Open().Worker].Lost {
		return false
	}
	p.end(view, job.AttemptResult{
		State:      job.AttemptLost,
		Checkpoint: view.task.Checkpoint,
		Detail:     detail,
	}, now)
	return true
}

// Replied handles a worker's answer to a start or an order.
func (p *Planner) Replied(id, attempt string, reply worker.Reply, now time.Time) {
	w, view := p.workers[id], p.findOpenJob(attempt)
	if w == nil || view == nil {
		return
	}
	if reply.Refused == worker.RefusedEpoch {
		p.fenced = true
		return
	}
	if view.pendingWrite != nil {
		return
	}
	absent := reply.Task.State == worker.TaskNeverStarted || reply.Refused == worker.RefusedBarred
	switch {
	case reply.Refused == worker.RefusedCapacity:
		view.stopping, view.stoppingAt = stopRefused, now // the stop bars the attempt; the job is then placed again
	case absent && p.refusedBeforeStart(w, view):
		p.end(view, job.AttemptResult{
			State:  job.AttemptNotRun,
			Detail: "refused by the worker: " + string(reply.Refused),
		}, now)
	case absent, reply.Refused != "":
		return // the next inventory resolves it
	default:
		w.tasks[attempt] = reply.Task
		view.orderedAt = time.Time{} // the next order may follow at once
		p.matchAttempt(w, view, now)
	}
}

// stopOrphans orders running tasks without a matching record to stop.
func (p *Planner) stopOrphans(now time.Time) {
	for id, w := range p.workers {
		if now.Sub(w.orphansStoppedAt) < orderInterval {
			continue
		}
		for _, attempt := range w.orphans {
			w.orphansStoppedAt = now
			p.effects.Orders = append(p.effects.Orders, Order{
				Worker:  id,
				Attempt: attempt,
				Verb:    VerbStop,
				Boot:    w.boot,
			})
		}
	}
}

// refusedBeforeStart reports whether a refusal proves that the attempt never
// ran: the worker has not restarted since the commit, knows no such attempt and
// bars it from now on.
func (p *Planner) refusedBeforeStart(w *workerView, view *jobView) bool {
	return view.record.Open().Boot == w.boot && !view.acked && view.record.State != job.Running
}
