package leader

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// unreachableRecord is the value of the key Unreachable.
type unreachableRecord struct {
	// Token is that of the leader that wrote it; zero if it was written along with
	// the lead key, and has its revision.
	Token int64 `cbor:"1,keyasint"`
	// Waits is, by worker, the time until every run there is over. The leader and
	// its successors request no lease of these workers before they have written a
	// record without them.
	Waits map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// unreachableWaits returns what the leader before knew of unreachable workers.
// A record that it did not write says nothing: a leader of an earlier release has
// led since.
func unreachableWaits(item store.Item, epoch int64) map[string]time.Duration {
	if item.Revision == 0 {
		return nil
	}
	var record unreachableRecord
	if err := cbor.Unmarshal(item.Value, &record); err != nil {
		klog.ErrorS(err, "record of unreachable workers cannot be read", "key", item.Key, "revision", item.Revision)
		return nil
	}
	if !writtenInTerm(item, record.Token, epoch) {
		return nil
	}
	return record.Waits
}

func (k Keys) unreachableWrite(token int64, waits map[string]time.Duration) (store.Write, error) {
	return encodeWrite(k.Unreachable, unreachableRecord{
		Token: token,
		Waits: waits,
	})
}

// saveUnreachable writes the record of unreachable workers when it is due.
func (t *term) saveUnreachable(now time.Time) {
	if t.savingUnreachable || t.unoccupied {
		return
	}
	waits, due := t.leader.board.UnreachableWorkers(now)
	if !due {
		return
	}
	write, err := t.keys().unreachableWrite(t.token, waits)
	if err != nil {
		klog.ErrorS(err, "record of unreachable workers cannot be written")
		return
	}
	t.savingUnreachable = true
	t.writer.add(&pendingCommit{
		commit: store.Commit{
			Set: []store.Write{write},
		},
		done: func(err error, _ time.Time) {
			t.savingUnreachable = false
			t.leader.board.UnreachableWritten(waits, err == nil)
			klog.InfoS("unreachable workers written", "workers", len(waits), "err", err)
		},
	})
}

// absentItem is the item of a key that may be absent. Errors: other than
// store.ErrAbsent.
func absentItem(item store.Item, err error) (store.Item, error) {
	if errors.Is(err, store.ErrAbsent) {
		return store.Item{}, nil
	}
	return item, err
}
