package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Records returns progress to be written, each at most once until it fails: the
// ends of jobs first, and what has been waiting for a write beside them. Without
// an end there is nothing to be written unless all is true.
func (b *Board) Records(all bool, most int) []Record {
	ids := slices.SortedFunc(maps.Keys(b.dirty), func(a, c string) int {
		return cmp.Or(b.dirty[c].compareEnds(b.dirty[a]), cmp.Compare(a, c))
	})
	var out []Record
	for _, id := range ids {
		j := b.dirty[id]
		urgent := j.progress.State.Final()
		if len(out) == most || len(out) == 0 && !urgent && !all {
			return out
		}
		j.sent = j.version
		delete(b.dirty, id)
		out = append(out, Record{
			Job:      id,
			Version:  j.version,
			Urgent:   urgent,
			Progress: j.snapshot(),
		})
	}
	return out
}

// compareEnds orders jobs that have ended above those that have not.
func (j *job) compareEnds(other *job) int {
	switch {
	case j.progress.State.Final() == other.progress.State.Final():
		return 0
	case j.progress.State.Final():
		return 1
	}
	return -1
}

// Written tells that a record is in the store, or that it must be tried again.
func (b *Board) Written(id string, version int64, ok bool) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	if !ok {
		b.dirty[id] = j
		return
	}
	j.durable = max(j.durable, version)
}

// Forget drops at most so many jobs that ended long ago and returns their ids.
func (b *Board) Forget(now time.Time, most int) []string {
	var out []string
	for id, j := range b.jobs {
		if len(out) < most && j.progress.State.Final() && j.claims == 0 && j.durable == j.version && now.Sub(j.ended) > b.config.KeepEnded {
			delete(b.jobs, id)
			out = append(out, id)
		}
	}
	return out
}
