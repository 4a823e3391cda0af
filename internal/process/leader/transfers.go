package leader

import (
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// transfers passes long-running tasks that are down to shards that have room, and takes
// back those that are returned. A transfer is one commit that creates the task's record
// there and its location here. It is conditional on the leadership, on the job's record
// and on there being no cancellation, so that a task is in one shard at any time and the
// job's end is passed on to it. A task is returned by one commit of the other leader,
// and is in no shard until the job's leader takes it back.
type transfers struct {
	term *term
	// revisions holds, by job and key, the revisions of the records of transferred
	// tasks and locations in this shard.
	revisions map[string]map[string]int64
	// removed holds the keys that were deleted.
	removed removedRecords
	// waiting holds the commits that are not sent yet, and writing is set while one is
	// with the term's writer.
	waiting []*transferCommit
	writing bool
	// unsettled holds the commits that got no answer, returned the tasks that are to be
	// taken back, by key, and orphans the locations of tasks without a job.
	unsettled []*transferCommit
	returned  map[string]work.Location
	orphans   []string
	// returning holds the keys of the tasks whose return is in flight, and early the
	// records of those that were transferred to this shard again since.
	returning map[string]bool
	early     map[string]earlyTask
}

// earlyTask is the record of a task that was seen before the return of the task was
// known to be done.
type earlyTask struct {
	task *work.TransferredTask
	item store.Item
}

// storedTask and storedLocation are records with their revisions. A record of a task is
// never written again.
type storedTask struct {
	task     *work.TransferredTask
	revision int64
}

type storedLocation struct {
	location *work.Location
	revision int64
}

func newTransfers(t *term) transfers {
	return transfers{
		term:      t,
		revisions: map[string]map[string]int64{},
		removed:   removedRecords{},
		returned:  map[string]work.Location{},
		returning: map[string]bool{},
		early:     map[string]earlyTask{},
	}
}

// restore adds the transferred tasks that the acquisition loaded. The jobs of this shard
// must have been added before.
func (t *transfers) restore(result *acquisitionResult, now time.Time) {
	board, config := t.term.leader.board, &t.term.leader.config
	for _, key := range slices.Sorted(maps.Keys(result.transferred)) {
		stored := result.transferred[key]
		t.note(stored.task.Key.Job, key, stored.revision)
		board.AddTransferred(stored.task, result.progress[stored.task.Key.Job], stored.revision < result.token, now, config.TimeOfDay())
	}
	for _, key := range slices.Sorted(maps.Keys(result.locations)) {
		stored := result.locations[key]
		if result.createRevisions[stored.location.Key.Job] == 0 {
			t.orphans = append(t.orphans, key)
			continue
		}
		t.locate(key, stored, now)
	}
	board.LocationsKnown()
}

func (t *transfers) note(job, key string, revision int64) {
	if t.revisions[job] == nil {
		t.revisions[job] = map[string]int64{}
	}
	t.revisions[job][key] = revision
}

func (t *transfers) locate(key string, stored storedLocation, now time.Time) {
	t.note(stored.location.Key.Job, key, stored.revision)
	t.term.leader.board.Locate(stored.location)
	if stored.location.Shard == t.term.leader.config.Shard {
		t.returned[key] = *stored.location
		t.term.leader.board.Returned(stored.location, now)
	}
}

// observeTransferred handles the record of a task that was transferred to this shard.
func (t *transfers) observeTransferred(task *work.TransferredTask, item store.Item, now time.Time) {
	if t.removed.covers(item.Key, item.Revision) || t.revisions[task.Key.Job][item.Key] >= item.Revision {
		return
	}
	if t.returning[item.Key] {
		t.early[item.Key] = earlyTask{
			task: task,
			item: item,
		}
		return
	}
	t.note(task.Key.Job, item.Key, item.Revision)
	t.term.owners.add(task.Job)
	klog.InfoS("transferred task seen", "task", task.Key, "home", task.Home, "down", task.Down, "revision", item.Revision)
	t.term.leader.board.AddTransferred(task, nil, item.CreateRevision < t.term.firstToken, now, t.term.leader.config.TimeOfDay())
}

// observeLocation handles that a task of this shard's jobs was transferred or returned.
func (t *transfers) observeLocation(location *work.Location, item store.Item, now time.Time) {
	if t.removed.covers(item.Key, item.Revision) || t.revisions[location.Key.Job][item.Key] >= item.Revision {
		return
	}
	t.locate(item.Key, storedLocation{
		location: location,
		revision: item.Revision,
	}, now)
	if returned, ok := t.returned[item.Key]; ok {
		t.takeBack(item.Key, returned, now)
	}
}

// balance settles what is open and sends the tasks that should go to other shards.
func (t *transfers) balance(loads map[string]map[int]shard.Load, now time.Time) {
	t.deleteKeys(t.orphans)
	t.orphans = nil
	open := t.unsettled
	t.unsettled = nil
	for _, commit := range open {
		t.probe(commit)
	}
	if !now.Before(t.term.actUntil) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(t.returned)) {
		t.takeBack(key, t.returned[key], now)
	}
	for _, next := range t.term.leader.board.Transfers(t.term.leader.config.Shard, loads, now) {
		t.send(next)
	}
}

// transferCommit is a commit that has had no effect as long as a key has the revision
// that it is conditional on.
type transferCommit struct {
	commit   store.Commit
	key      string
	revision int64
	// done is called once it is known whether the commit has had an effect.
	done func(effect bool, err error, now time.Time)
}

// write queues a commit. The term's writer has one of them at a time: ends of jobs and
// placements would wait behind all commits of a round.
func (t *transfers) write(commit *transferCommit) {
	t.waiting = append(t.waiting, commit)
	t.writeNext()
}

func (t *transfers) writeNext() {
	if t.writing || len(t.waiting) == 0 {
		return
	}
	commit := t.waiting[0]
	t.writing, t.waiting = true, t.waiting[1:]
	t.term.writer.add(&pendingCommit{
		commit: commit.commit,
		done: func(err error, now time.Time) {
			t.writing = false
			if errors.Is(err, store.ErrUnknown) {
				t.unsettled = append(t.unsettled, commit)
			} else {
				commit.done(err == nil, err, now)
			}
			t.writeNext()
		},
	})
}

// probe finds out what became of a commit without an answer, by a commit that is
// conditional on the same revision. If that succeeds, the first one has had no effect
// and never will: it was conditional on the commit before.
func (t *transfers) probe(commit *transferCommit) {
	t.term.writer.add(&pendingCommit{
		commit: store.Commit{
			If: []store.Condition{
				{
					Key:      commit.key,
					Revision: commit.revision,
				},
			},
		},
		done: func(err error, now time.Time) {
			var conflict *store.ConflictError
			switch {
			case err == nil:
				commit.done(false, nil, now)
			case errors.As(err, &conflict) && conflict.RevisionOf(commit.key) != commit.revision:
				commit.done(true, nil, now)
			default:
				t.unsettled = append(t.unsettled, commit)
			}
		},
	})
}

// send commits a transfer.
func (t *transfers) send(next schedule.Transfer) {
	commit, err := t.outgoing(&next)
	if err != nil {
		klog.ErrorS(err, "task cannot be transferred", "task", next.Task.Key, "to", next.To)
		t.term.leader.board.TransferFailed(next)
		return
	}
	if next.Returns() {
		t.returning[commit.key] = true
	}
	commit.done = func(effect bool, err error, now time.Time) { t.sent(next, commit, effect, err, now) }
	t.write(commit)
}

// outgoing returns the commit of a transfer. Errors: work.ErrInvalid.
func (t *transfers) outgoing(next *schedule.Transfer) (*transferCommit, error) {
	config, task := &t.term.leader.config, next.Task.Key
	progress, err := work.EncodeProgress(&next.Progress)
	if err != nil {
		return nil, err
	}
	location := work.Location{
		Key:   task,
		Shard: next.To,
	}
	here, home := config.Keys, KeysOf(next.Task.Home, config.Shards)
	out := &transferCommit{}
	if next.Task.Home == config.Shard {
		record, err := work.EncodeTransferred(&next.Task)
		if err != nil {
			return nil, err
		}
		out.key = home.Location(task)
		out.commit.If = []store.Condition{{
			Key:      here.Job(task.Job),
			Revision: t.term.moves.revisions[task.Job],
		}}
		out.commit.Set = []store.Write{{
			Key:   KeysOf(next.To, config.Shards).Transferred(task),
			Value: record,
		}}
	} else {
		location.Checkpoint, location.Crashes = next.Task.Checkpoint, next.Task.Crashes
		location.LastRun, location.Down = next.Task.LastRun, next.Task.Down
		out.key, out.revision = here.Transferred(task), t.revisions[task.Job][here.Transferred(task)]
		// The location was written by the commit that wrote the record.
		out.commit.If = []store.Condition{{
			Key:      home.Location(task),
			Revision: out.revision,
		}}
		out.commit.Delete = []string{out.key}
	}
	value, err := work.EncodeLocation(&location)
	if err != nil {
		return nil, err
	}
	out.commit.If = append(out.commit.If, store.Condition{
		Key:      out.key,
		Revision: out.revision,
	}, store.Condition{
		Key: here.Cancel(task.Job),
	})
	out.commit.Set = append(out.commit.Set, store.Write{
		Key:   home.Location(task),
		Value: value,
	})
	if next.Last {
		out.commit.Delete = append(out.commit.Delete, here.State(task.Job))
	} else {
		out.commit.Set = append(out.commit.Set, store.Write{
			Key:   here.State(task.Job),
			Value: progress,
		})
	}
	return out, nil
}

// sent handles the outcome of a transfer.
func (t *transfers) sent(next schedule.Transfer, commit *transferCommit, effect bool, err error, now time.Time) {
	board, from := t.term.leader.board, t.term.leader.config.Shard
	if effect {
		board.TransferDone(next)
		t.term.leader.config.Counts.Add("tasks_transferred", 1)
		if next.Returns() {
			t.forget(next.Task.Key.Job, commit.key, commit.revision)
		}
	} else {
		board.TransferFailed(next)
	}
	klog.InfoS("task transferred", "task", next.Task.Key, "from", from, "to", next.To, "home", next.Task.Home,
		"down", next.Task.Down, "done", effect, "err", err)
	delete(t.returning, commit.key)
	if early, ok := t.early[commit.key]; ok {
		delete(t.early, commit.key)
		t.observeTransferred(early.task, early.item, now)
	}
}

// takeBack commits that a task which was returned belongs to this shard again.
func (t *transfers) takeBack(key string, location work.Location, now time.Time) {
	board := t.term.leader.board
	returned, ok := board.Returning(&location, now)
	if !ok {
		if !board.IsOpen(location.Key.Job) {
			delete(t.returned, key) // deleted along with the job
		}
		return
	}
	value, err := work.EncodeProgress(&returned.Progress)
	if err != nil {
		klog.ErrorS(err, "task cannot be taken back", "task", location.Key)
		board.TakenBack(returned, false, now)
		return
	}
	revision := t.revisions[location.Key.Job][key]
	commit := &transferCommit{
		commit: store.Commit{
			If: []store.Condition{
				{
					Key:      key,
					Revision: revision,
				},
			},
			Set: []store.Write{
				{
					Key:   t.term.keys().State(location.Key.Job),
					Value: value,
				},
			},
			Delete: []string{key},
		},
		key:      key,
		revision: revision,
	}
	commit.done = func(effect bool, err error, now time.Time) {
		board.TakenBack(returned, effect, now)
		if effect {
			t.forget(location.Key.Job, key, revision)
		}
		klog.InfoS("task taken back", "task", location.Key, "shard", t.term.leader.config.Shard, "down", location.Down, "done", effect, "err", err)
	}
	t.write(commit)
}

// forget drops a key that was deleted.
func (t *transfers) forget(job, key string, revision int64) {
	t.removed.add(key, revision, t.term.writer.sequence)
	delete(t.returned, key)
	delete(t.revisions[job], key)
	if len(t.revisions[job]) == 0 {
		delete(t.revisions, job)
	}
}

// keysOf returns the keys of the records of a job's transferred tasks.
func (t *transfers) keysOf(job string) []string {
	return slices.Sorted(maps.Keys(t.revisions[job]))
}

// deleteKeys deletes records of tasks that have no job. What fails is tried again.
func (t *transfers) deleteKeys(keys []string) {
	for batch := range slices.Chunk(keys, store.MaxEntries-guardEntries) {
		t.term.writer.add(&pendingCommit{
			commit: store.Commit{
				Delete: batch,
			},
			done: func(err error, _ time.Time) {
				if err != nil {
					klog.InfoS("records of transferred tasks not deleted", "keys", len(batch), "first", batch[0], "err", err)
					t.orphans = append(t.orphans, batch...)
				}
			},
		})
	}
}
