package leader

import "time"

// removedAge is how long a removed job is remembered: far longer than a listing
// or a watch may lag behind.
const removedAge = 2 * time.Minute

// removedJobs remembers the jobs that have moved to another shard or were
// deleted, so that a record which was read before that does not bring them back.
type removedJobs map[string]removedJob

type removedJob struct {
	// revision is that of the record that was removed. A later record is that of
	// a job that has moved back.
	revision int64
	at       time.Time
}

func (r removedJobs) add(id string, revision int64, now time.Time) {
	r[id] = removedJob{
		revision: revision,
		at:       now,
	}
}

// covers reports whether a record is one that was removed.
func (r removedJobs) covers(id string, revision int64) bool {
	entry, ok := r[id]
	return ok && revision <= entry.revision
}

func (r removedJobs) prune(now time.Time) {
	for id, entry := range r {
		if now.Sub(entry.at) > removedAge {
			delete(r, id)
		}
	}
}
