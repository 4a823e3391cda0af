package leader

import "maps"

// removedRecords remembers the records that have moved to another shard or were
// deleted, so that one which was read before that does not bring its job back. A view
// of the store that is as new as the removal ends that: all later views are newer.
type removedRecords map[string]removedRecord

type removedRecord struct {
	// revision is that of the record that was removed. A later record is that of
	// a job that has moved back, or was submitted again.
	revision int64
	// goneAt is a store revision at which the record was gone.
	goneAt int64
}

func (r removedRecords) add(id string, revision, goneAt int64) {
	r[id] = removedRecord{
		revision: revision,
		goneAt:   goneAt,
	}
}

// covers reports whether a record is one that was removed.
func (r removedRecords) covers(id string, revision int64) bool {
	entry, ok := r[id]
	return ok && revision <= entry.revision
}

// viewed forgets the records that no view can have any more, after one with a revision.
func (r removedRecords) viewed(revision int64) {
	maps.DeleteFunc(r, func(_ string, entry removedRecord) bool { return entry.goneAt <= revision })
}
