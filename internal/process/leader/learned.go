package leader

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// learnedState is what the store has of what was learned.
type learnedState struct {
	writing bool
	triedAt time.Time
}

// keepLearned writes what the schedule has learned now and then, so that the
// next leader begins with it. Where no work moves on there is nothing new.
func (r *reign) keepLearned(now time.Time) {
	if r.learned.writing || r.vacant || now.Sub(r.learned.triedAt) < learnedInterval || !r.recordedAt.After(r.learned.triedAt) {
		return
	}
	r.learned.triedAt = now
	value, err := cbor.Marshal(r.leader.board.Learned())
	if err != nil {
		klog.ErrorS(err, "what was learned cannot be written")
		return
	}
	r.learned.writing = true
	r.writer.add(&writing{
		commit: store.Commit{
			Set: []store.Write{
				{
					Key:   keyLearned,
					Value: value,
				},
			},
		},
		done: func(err error, _ time.Time) {
			r.learned.writing = false
			if err != nil {
				klog.InfoS("what was learned not written", "bytes", len(value), "err", err)
			}
		},
	})
}

// decodeLearned reads what an earlier leader has learned; what cannot be read
// is learned anew.
func decodeLearned(value []byte) schedule.Learned {
	var out schedule.Learned
	if len(value) == 0 {
		return out
	}
	if err := cbor.Unmarshal(value, &out); err != nil {
		klog.ErrorS(err, "what was learned cannot be read")
		return schedule.Learned{}
	}
	return out
}
