package leader

import (
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// oldJobs deletes the records of jobs that ended long ago. A job stays on the board
// until the store has confirmed that its records are gone: one whose record is seen again
// without its progress would run again. What fails, or gets no answer, is sent again.
type oldJobs struct {
	term *term
	// deleting is set while a commit is in flight, and triedAt is when the last one
	// was made.
	deleting bool
	triedAt  time.Time
}

// delete sends the next deletion, one commit at a time. The records of transferred
// tasks are deleted before those of their job: without its end, a successor would
// start the tasks again.
func (o *oldJobs) delete(now time.Time) {
	if o.deleting || now.Sub(o.triedAt) < deleteInterval || o.term.unoccupied {
		return
	}
	o.triedAt = now
	const entriesPerJob = 5
	const maxJobs = (store.MaxEntries - guardEntries) / entriesPerJob
	ids := o.term.leader.board.Forgettable(now, maxJobs)
	if len(ids) == 0 {
		return
	}
	o.deleting = true
	for _, id := range ids {
		if tasks := o.term.transfers.keysOf(id); len(tasks) > 0 {
			o.deleteTasks(id, tasks)
			return
		}
	}
	o.deleteJobs(ids)
}

// deleteTasks deletes records of the transferred tasks of a job.
func (o *oldJobs) deleteTasks(id string, keys []string) {
	keys = keys[:min(len(keys), store.MaxEntries-guardEntries)]
	o.term.writer.add(&pendingCommit{
		commit: store.Commit{
			Delete: keys,
		},
		done: func(err error, _ time.Time) {
			o.deleting = false
			klog.InfoS("records of transferred tasks deleted", "job", id, "keys", len(keys), "first", keys[0], "err", err)
			if err != nil {
				return
			}
			o.triedAt = time.Time{} // the job itself is next
			for _, key := range keys {
				o.term.transfers.forget(id, key, o.term.transfers.revisions[id][key])
			}
		},
	})
}

// deleteJobs deletes the records of jobs, on the condition that they are those on the
// board: a deletion without an answer may have taken effect, and the id may be used again.
func (o *oldJobs) deleteJobs(ids []string) {
	keys, commit := o.term.keys(), store.Commit{}
	for _, id := range ids {
		revision := o.term.moves.revisions[id]
		commit.If = append(commit.If, store.Condition{
			Key:      keys.Job(id),
			Revision: revision,
		})
		commit.Delete = append(commit.Delete, keys.Job(id), keys.Cancel(id), keys.State(id))
		if revision != 0 {
			commit.Delete = append(commit.Delete, MovedKey(id)) // of a job of another shard it is in use
		}
	}
	o.term.writer.add(&pendingCommit{
		commit: commit,
		done: func(err error, now time.Time) {
			o.deleting = false
			klog.InfoS("ended jobs deleted", "jobs", len(ids), "err", err)
			o.deleted(ids, commit.If[:len(ids)], err, now)
		},
	})
}

// deleted handles the outcome of a deletion.
func (o *oldJobs) deleted(ids []string, conditions []store.Condition, err error, now time.Time) {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		o.triedAt = time.Time{} // there may be more
		for _, id := range ids {
			o.gone(id)
		}
	case errors.As(err, &conflict):
		for n, id := range ids {
			if conflict.RevisionOf(conditions[n].Key) == conditions[n].Revision {
				continue
			}
			o.gone(id)
			index := slices.IndexFunc(conflict.Items, func(item store.Item) bool { return item.Key == conditions[n].Key })
			if index >= 0 {
				o.term.observeItem(conflict.Items[index], now)
			}
		}
	}
}

// gone drops a job whose records are gone from the store.
func (o *oldJobs) gone(id string) {
	t := o.term
	t.removed.add(id, t.moves.revisions[id], t.writer.sequence)
	delete(t.moves.revisions, id)
	t.owners.remove(id)
	t.leader.board.Forget(id)
}
