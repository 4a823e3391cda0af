package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Records returns progress to be written, each version once unless its write
// fails. Ends of jobs go first, then placements that starts wait for, and other
// progress is written along with them. Without an end or a placement, progress
// is returned only if all is set.
func (b *Board) Records(all bool, limit int) []Record {
	ids := slices.SortedFunc(maps.Keys(b.unsaved), func(a, c string) int {
		return cmp.Or(cmp.Compare(b.unsaved[c].urgency(), b.unsaved[a].urgency()), cmp.Compare(a, c))
	})
	var out []Record
	for _, id := range ids {
		j := b.unsaved[id]
		shards := j.cancelledShards()
		if len(out) > 0 && limit < 1+len(shards) || len(out) == 0 && j.urgency() == 0 && !all {
			return out
		}
		if j.writeAfter.After(b.now) || j.writeAlone && len(out) > 0 || j.transfers > 0 && !j.progress.State.Final() {
			continue
		}
		limit -= 1 + len(shards)
		if j.writeAlone {
			limit = 0
		}
		j.sent = j.version
		delete(b.unsaved, id)
		out = append(out, Record{
			Job:      id,
			Version:  j.version,
			Urgent:   j.progress.State.Final(),
			Progress: j.snapshot(),
			Shards:   shards,
		})
	}
	return out
}

// urgency orders records: the end of a job first, then placements.
func (j *job) urgency() int {
	switch {
	case j.progress.State.Final():
		return 2
	case j.placed > j.durable:
		return 1
	}
	return 0
}

// Written records that a progress record is in the store, or that it must be
// written again.
func (b *Board) Written(id string, version int64, ok bool) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	if !ok {
		b.unsaved[id] = j
		return
	}
	j.durable = max(j.durable, version)
	j.writeAlone, j.writeAfter = false, time.Time{}
}

// refusedRecordDelay is the time to the next write of a record that the store has
// refused.
const refusedRecordDelay = time.Second

// Refused records that the store has refused records of jobs, which it would do
// again. Load pattern: the checkpoints of a wide job exceed the largest value. The
// records are then written one by one, and one that is refused alone without its
// checkpoints: workers report the newest ones again.
func (b *Board) Refused(ids []string, now time.Time) {
	for _, id := range ids {
		j := b.jobs[id]
		if j == nil {
			continue
		}
		b.unsaved[id] = j
		if j.writeAlone || len(ids) == 1 {
			j.withoutCheckpoints = true
			j.writeAfter = now.Add(refusedRecordDelay)
		}
		j.writeAlone = true
	}
}

// Forgettable returns up to limit jobs that ended more than KeepEnded ago and whose ends
// are in the store, by id.
func (b *Board) Forgettable(now time.Time, limit int) []string {
	var out []string
	for id, j := range b.jobs {
		if j.progress.State.Final() && j.claims == 0 && j.durable == j.version && now.Sub(j.ended) > b.config.KeepEnded {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), limit)]
}

// Forget drops a job whose records are gone from the store.
func (b *Board) Forget(id string) {
	b.dropJob(id)
}

// Ended reports whether a job is known and in a final state.
func (b *Board) Ended(id string) bool {
	return b.jobs[id] != nil && b.open[id] == nil
}
