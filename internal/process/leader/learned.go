package leader

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// learnedState tracks the saving of the learned state.
type learnedState struct {
	pendingCommit bool
	triedAt       time.Time
}

// saveLearned saves the learned state of the schedule at intervals, so that the
// next leader starts from it. Without new progress there is nothing to save.
func (t *term) saveLearned(now time.Time) {
	if t.learned.pendingCommit || t.unoccupied || now.Sub(t.learned.triedAt) < learnedInterval || !t.progressSavedAt.After(t.learned.triedAt) {
		return
	}
	t.learned.triedAt = now
	value, err := cbor.Marshal(t.leader.board.Learned())
	if err != nil {
		klog.ErrorS(err, "learned state cannot be encoded")
		return
	}
	t.learned.pendingCommit = true
	t.writer.add(&pendingCommit{
		commit: store.Commit{
			Set: []store.Write{
				{
					Key:   t.keys().Learned,
					Value: value,
				},
			},
		},
		done: func(err error, _ time.Time) {
			t.learned.pendingCommit = false
			if err != nil {
				klog.InfoS("learned state not written", "bytes", len(value), "err", err)
			}
		},
	})
}

// decodeLearned decodes the learned state of an earlier leader. It returns an
// empty state if the value cannot be decoded.
func decodeLearned(value []byte) schedule.Learned {
	var learned schedule.Learned
	if len(value) == 0 {
		return learned
	}
	if err := cbor.Unmarshal(value, &learned); err != nil {
		klog.ErrorS(err, "learned state cannot be decoded")
		return schedule.Learned{}
	}
	return learned
}
