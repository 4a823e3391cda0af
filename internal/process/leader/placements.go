package leader

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// placementsState tells whether the progress records of this term and all
// earlier ones have the placements of all long-running tasks. They have not
// after a term of an earlier build, which records none.
type placementsState struct {
	complete bool
	saving   bool
	triedAt  time.Time
}

// placementsComplete reports whether the records are complete up to the leader
// that wrote the epoch, by the placements key.
func placementsComplete(item, epoch store.Item) bool {
	if item.Revision == 0 {
		return epoch.Revision == 0 // without an earlier leader nothing runs
	}
	var token int64
	if err := cbor.Unmarshal(item.Value, &token); err != nil {
		klog.ErrorS(err, "placements key cannot be read", "revision", item.Revision)
		return false
	}
	return writtenInTerm(item, token, epoch.Revision)
}

// writtenInTerm reports whether the leader with the epoch has written an item that
// holds a token: along with its lead key, and then without its token, or later.
func writtenInTerm(item store.Item, token, epoch int64) bool {
	return epoch != 0 && (item.Revision == epoch || token == epoch)
}

// encodeWrite returns the write of a key with an encoded value.
func encodeWrite(key string, value any) (store.Write, error) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return store.Write{}, fmt.Errorf("encode key %s: %w", key, err)
	}
	return store.Write{
		Key:   key,
		Value: encoded,
	}, nil
}

// placementsWrite returns the write that says that the records are complete
// under a token; zero stands for that of the commit itself.
func placementsWrite(keys *Keys, token int64) (store.Write, error) {
	return encodeWrite(keys.Placements, token)
}

// savePlacements tells later leaders once the records of this term are complete.
func (t *term) savePlacements(now time.Time) {
	if t.placements.complete || t.placements.saving || t.unoccupied || now.Sub(t.placements.triedAt) < placementsInterval {
		return
	}
	t.placements.triedAt = now
	if !t.leader.board.PlacementsRecorded(now) {
		return
	}
	write, err := placementsWrite(t.keys(), t.token)
	if err != nil {
		klog.ErrorS(err, "placements key cannot be written")
		return
	}
	t.placements.saving = true
	t.writer.add(&pendingCommit{
		commit: store.Commit{
			Set: []store.Write{write},
		},
		done: func(err error, _ time.Time) {
			t.placements.saving, t.placements.complete = false, err == nil
			klog.InfoS("placements complete", "token", t.token, "err", err)
		},
	})
}
