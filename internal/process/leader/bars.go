package leader

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// barAge is how long the cancellation of a job that is not in the store is kept after its
// last write. A write whose answer was lost takes effect within seconds.
const barAge = time.Minute

// barDeleteGap is the pause between two searches for bars to delete.
const barDeleteGap = 200 * time.Millisecond

// storedBar is the cancellation of a job that was not in the store.
type storedBar struct {
	bar      *work.Bar
	revision int64
	// seenAt is when this leader first saw it.
	seenAt time.Time
}

// bars holds such cancellations by job. Hosts do not submit a job beside one; those of
// an earlier release do, and the job is cancelled then.
type bars map[string]storedBar

// covers reports whether a job is cancelled by a bar.
func (b bars) covers(job *work.Job) bool {
	stored, ok := b[job.ID]
	return ok && stored.bar.Covers(job.Organisation)
}

// observeBar handles the cancellation of a job that was not in the store.
func (t *term) observeBar(id string, bar *work.Bar, revision int64, now time.Time) {
	if t.bars[id].revision >= revision {
		return
	}
	t.bars[id] = storedBar{
		bar:      bar,
		revision: revision,
		seenAt:   now,
	}
	if t.leader.board.IsOpen(id) && bar.Covers(t.owners[id]) {
		klog.InfoS("job cancelled", "job", id, "revision", revision, "cause", "cancelled_before")
		t.leader.board.Cancel(id, now)
	}
}

// forgetBar handles the deletion of a key.
func (t *term) forgetBar(key string) {
	if id, ok := strings.CutPrefix(key, t.keys().Cancel("")); ok {
		delete(t.bars, id)
	}
}

// deleteBars deletes the bars that are old enough.
func (t *term) deleteBars(now time.Time) {
	if t.deletingBars || t.unoccupied || len(t.bars) == 0 || now.Sub(t.barsSearchedAt) < barDeleteGap {
		return
	}
	t.barsSearchedAt = now
	const entriesPerBar = 2
	const maxBars = (store.MaxEntries - guardEntries) / entriesPerBar
	ids := []string{}
	for _, id := range slices.Sorted(maps.Keys(t.bars)) {
		if now.Sub(t.bars[id].seenAt) >= barAge && len(ids) < maxBars {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	commit := store.Commit{}
	for _, id := range ids {
		commit.If = append(commit.If, store.Condition{
			Key:      t.keys().Cancel(id),
			Revision: t.bars[id].revision,
		})
		commit.Delete = append(commit.Delete, t.keys().Cancel(id))
	}
	t.deletingBars = true
	t.writer.add(&pendingCommit{
		commit: commit,
		done: func(err error, _ time.Time) {
			t.deletingBars = false
			t.barsDeleted(ids, commit, err)
		},
	})
}

// barsDeleted handles the outcome. A bar whose deletion has failed, or may have, is
// deleted again; one that was written again since has come by the watch.
func (t *term) barsDeleted(ids []string, commit store.Commit, err error) {
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		klog.InfoS("cancellations of unknown jobs not deleted", "jobs", len(ids), "err", err)
		return
	}
	for n, id := range ids {
		sent := commit.If[n]
		deleted := err == nil || conflict.RevisionOf(sent.Key) != sent.Revision
		if deleted && t.bars[id].revision == sent.Revision {
			delete(t.bars, id)
		}
	}
}
