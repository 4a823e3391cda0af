package leader

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// maxHandoverBytes limits the handover; without one a successor waits for all
// workers.
const maxHandoverBytes = 512 << 10

// handoverRecord is the value of the handover key. Its own fields have numbers
// far above those of schedule.Handover.
type handoverRecord struct {
	schedule.Handover
	// Resignations are the last resignations in favour of a better host, by cause.
	Resignations map[resignCause]pastResignation `cbor:"64,keyasint,omitempty"`
}

// resignation removes the lead key in the background and writes the handover in
// the same commit.
type resignation struct {
	store store.Client
	keys  Keys
	// revision is that of the lead key to remove, zero if it has lapsed.
	revision int64
	// load is the key of the shard's load, which is removed with the lead key, so
	// that the leaders of other shards see the end of the term at once; empty in a
	// fleet of one shard.
	load string
	// handover is nil if nothing is known.
	handover *handoverRecord
	done     chan struct{}
}

func (r *resignation) run(ctx context.Context) {
	defer close(r.done)
	if r.revision == 0 && r.handover == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	commit := store.Commit{
		If: []store.Condition{
			{
				Key:      r.keys.Lead,
				Revision: r.revision,
			},
		},
	}
	if r.revision != 0 {
		commit.Delete = []string{r.keys.Lead}
		if r.load != "" {
			commit.Delete = append(commit.Delete, r.load)
		}
	}
	fields := []any{"token", r.revision}
	if r.handover != nil {
		value, err := r.encode()
		if err != nil {
			klog.ErrorS(err, "handover cannot be encoded", "token", r.revision)
		} else {
			commit.Set = []store.Write{
				{
					Key:   r.keys.Handover,
					Value: value,
				},
			}
		}
		fields = append(fields, "workers", len(r.handover.Claims), "uncertain", len(r.handover.Uncertain), "bytes", len(value))
	}
	_, err := r.store.Commit(limited, commit)
	klog.InfoS("leadership resigned", append(fields, "err", err)...)
}

// resignationsAfter returns the resignations for a leader that follows the one
// with the token. If others have led since the record was written, it may be old:
// the resignations are then no longer counted as a series.
func (r *handoverRecord) resignationsAfter(token int64) map[resignCause]pastResignation {
	if r.Token == token {
		return r.Resignations
	}
	past := map[resignCause]pastResignation{}
	for cause, each := range r.Resignations {
		past[cause] = pastResignation{
			Age:   each.Age,
			Count: 1,
		}
	}
	return past
}

// encode returns the record. If the handover is too large, it has only the
// resignations, under a token that no leader has.
func (r *resignation) encode() ([]byte, error) {
	value, err := cbor.Marshal(r.handover)
	if err != nil || len(value) <= maxHandoverBytes {
		return value, err
	}
	klog.InfoS("handover is too large", "token", r.revision, "bytes", len(value))
	return cbor.Marshal(handoverRecord{
		Resignations: r.handover.Resignations,
	})
}

// loadHandover reads the handover of the leader before. It is ignored if another
// leader has led since it was written. Errors: those of the store.
func (a *acquisition) loadHandover(ctx context.Context, result *acquisitionResult) error {
	key := a.leader.config.Keys.Handover
	item, err := a.read(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read key %s: %w", key, err)
	}
	var handover handoverRecord
	if err := cbor.Unmarshal(item.Value, &handover); err != nil {
		klog.ErrorS(err, "handover cannot be read", "revision", item.Revision)
		return nil
	}
	result.resignations = handover.resignationsAfter(result.earlierToken)
	if handover.Token == result.earlierToken && handover.Token != 0 {
		result.handover = &handover.Handover
	}
	return nil
}
