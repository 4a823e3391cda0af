package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Transfer is a long-running task that leaves the shard.
type Transfer struct {
	Task work.TransferredTask
	To   int
	// Progress is that of the job in this shard once the task has left. Written is to
	// be called for Version when it is in the store.
	Progress work.Progress
	Version  int64
	// Last is set if it is the last task here of a job that belongs to another shard.
	// Nothing of the job remains in this one.
	Last bool
}

// Returns reports whether the task goes back to the shard of its job.
func (t *Transfer) Returns() bool {
	return t.To == t.Task.Home
}

const (
	// transferAfter is how long a long-running task that is down waits for capacity in
	// its shard. A restart there takes some decisions; one elsewhere takes a round of
	// balancing and two commits more, and must be over within 3 s.
	transferAfter = time.Second
	// movesFirst is how long a job of which nothing was started is left to the moves of
	// whole jobs: a few rounds.
	movesFirst = 2 * time.Second
	// maxTransfers limits the transfers of one round, each of which is a commit.
	maxTransfers = 16
)

// Transfers picks the long-running tasks that should go to another shard, given the
// loads of all shards by service: those that fit on no worker here while one of another
// shard has room. Load pattern: long-running tasks fill a shard, and one of them fails
// or loses its worker. A task leaves only when it could be started here, so that no run
// of it can exist. It is not started until TransferDone or TransferFailed is called.
func (b *Board) Transfers(own int, loads map[string]map[int]shard.Load, now time.Time) []Transfer {
	if len(loads) == 0 {
		return nil
	}
	free := b.freePieces(own, loads, now)
	pools := map[poolKey][]*workerState{}
	var out []Transfer
	for _, next := range b.transferable(now) {
		if len(out) == maxTransfers {
			break
		}
		if next.job.partial && next.job.transfers > 0 {
			continue
		}
		to, must := next.job.home, next.task.mustReturn(next.job)
		if !must {
			key := b.poolOf(next.job, b.serviceOf(next.job), now)
			if _, known := pools[key]; !known {
				pools[key] = b.pool(key, now)
			}
			if b.chooseWorker(next.step, next.task, pools[key]) != nil {
				continue
			}
			found, ok := free.take(b.serviceOf(next.job), next.step.spec)
			if !ok {
				continue
			}
			if !next.job.partial {
				to = found
			}
			b.sent(b.serviceOf(next.job), found, next.step.spec, now)
		}
		out = append(out, b.transfer(next, own, to, now))
	}
	return out
}

// transferCandidate is a task that may leave.
type transferCandidate struct {
	job  *job
	step *stepState
	task *task
	// since is since when it has waited in this shard.
	since time.Time
}

// transferable returns the tasks that may leave, those that have waited longest first.
func (b *Board) transferable(now time.Time) []transferCandidate {
	var out []transferCandidate
	for _, j := range b.open {
		if !b.mayTransfer(j, now) {
			continue
		}
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if step.waiting > 0 && step.spec.LongRunning && !step.spec.Gang && occ.ready(step, now) && j.admits(step) {
					out = b.addTransferable(out, j, occ, step, now)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, c transferCandidate) int {
		return cmp.Or(a.since.Compare(c.since), compareKeys(a.task.key, c.task.key))
	})
	return out
}

// mayTransfer reports whether tasks of the job may leave. The last one of a job of
// another shard takes the job along, so that only one leaves at a time.
func (b *Board) mayTransfer(j *job, now time.Time) bool {
	switch {
	case !j.rank.LongRunning, j.partial && j.transfers > 0, j.movable(now) && now.Sub(j.seen) < movesFirst:
		return false
	}
	return b.jobReason(j) == NoReason
}

// addTransferable adds the tasks of a step that have waited long enough.
func (b *Board) addTransferable(out []transferCandidate, j *job, occ *occurrence, step *stepState, now time.Time) []transferCandidate {
	for _, t := range step.tasks {
		if t.phase != waiting || t.departing || b.taskDoubt(t, j, now) || !j.partial && len(t.crashes) >= maxCrashes {
			continue // the shard of its job has yet to decide on one with as many crashes
		}
		since := latestOf(latestOf(j.seen, t.arrivedAt), latestOf(occ.readySince(step, &task{}), t.absentSince()))
		if now.Sub(since) < transferAfter && !t.mustReturn(j) {
			continue
		}
		out = append(out, transferCandidate{
			job:   j,
			step:  step,
			task:  t,
			since: since,
		})
	}
	return out
}

// taskDoubt reports whether a run of the task may exist, or its start is delayed.
func (b *Board) taskDoubt(t *task, j *job, now time.Time) bool {
	return now.Before(t.notBefore) || b.doubt(j, t) != NoReason
}

// mustReturn reports whether a transferred task is started no more: it may have crashed
// so many workers that its job fails, which only the job's shard decides.
func (t *task) mustReturn(j *job) bool {
	return j.partial && len(t.crashes) >= maxCrashes
}

func (b *Board) transfer(next transferCandidate, own, to int, now time.Time) Transfer {
	j, t := next.job, next.task
	b.unreserve(t.key)
	out := Transfer{
		Task: work.TransferredTask{
			Job:        j.work,
			Home:       own,
			Key:        t.key,
			Checkpoint: t.checkpoint,
			Crashes:    slices.Clone(t.crashes),
			LastRun:    max(b.newestRun(), t.run, t.lastRun),
		},
		To:      to,
		Version: j.version,
	}
	if j.partial {
		out.Task.Home = j.home
		out.Last = j.count(elsewhere) == j.count()-1
	}
	if !t.endedAt.IsZero() {
		out.Task.Down = now.Sub(t.absentSince())
	}
	t.phase = elsewhere
	out.Progress = j.snapshot()
	t.phase, t.departing, t.shard = waiting, true, to
	j.everClaimed = true // the job's record stays here
	j.transfers++
	return out
}

// count returns the number of tasks, or that of those in a phase.
func (j *job) count(phases ...phase) int {
	count := 0
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if len(phases) == 0 || slices.Contains(phases, t.phase) {
					count++
				}
			}
		}
	}
	return count
}

// TransferDone records that a task belongs to another shard now. The last task of a job
// of another shard takes the job along.
func (b *Board) TransferDone(transfer Transfer) {
	j, step, t := b.departing(transfer)
	if t == nil {
		return
	}
	t.phase, t.departing = elsewhere, false
	step.waiting--
	j.transfers--
	if transfer.Last && !j.progress.State.Final() && j.count(elsewhere) == j.count() {
		b.dropJob(j.work.ID)
		delete(b.open, j.work.ID)
		delete(b.unsaved, j.work.ID)
		b.dropEndsOf(j.work.ID)
		return
	}
	b.Written(j.work.ID, transfer.Version, true)
	if j.transfers > 0 {
		b.markChanged(j) // the commits that follow write the progress with this task
	}
}

// dropEndsOf lets workers forget the ends of a job that has left the board: all that
// follows from them has left with it. If the job comes again, its versions begin anew.
func (b *Board) dropEndsOf(job string) {
	for _, w := range b.workers {
		for i := range w.ends {
			if w.ends[i].job == job {
				w.ends[i].job, w.ends[i].version = "", 0
			}
		}
	}
}

// TransferFailed keeps a task whose transfer has had no effect.
func (b *Board) TransferFailed(transfer Transfer) {
	if j, _, t := b.departing(transfer); t != nil {
		t.departing = false
		j.transfers--
	}
}

// departing returns the task of a transfer in flight, or nil.
func (b *Board) departing(transfer Transfer) (*job, *stepState, *task) {
	j := b.jobs[transfer.Task.Key.Job]
	if j == nil {
		return nil, nil, nil
	}
	_, step, t := j.find(transfer.Task.Key)
	if t == nil || !t.departing {
		return nil, nil, nil
	}
	return j, step, t
}

// cancelledShards returns the other shards with tasks of a job that has ended here.
func (j *job) cancelledShards() []int {
	if j.partial || !j.progress.State.Final() {
		return nil
	}
	var out []int
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if (t.phase == elsewhere || t.departing) && !slices.Contains(out, t.shard) {
					out = append(out, t.shard)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
