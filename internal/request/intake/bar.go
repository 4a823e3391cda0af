package intake

import (
	"context"
	"errors"
	"fmt"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	// barsPerSecond and barBurst limit the cancellations of unknown jobs at this host,
	// each of which is a write. A caller may send ids that never existed.
	// All hosts together must stay within a fraction of the store's writes.
	barsPerSecond = 2
	barBurst      = 50
)

var (
	// errTooManyBars means that this host makes no further write for an unknown job now.
	errTooManyBars = errors.New("too many cancellations of unknown jobs")
	// errJobExists means that the job is in the store after all.
	errJobExists = errors.New("job is in the store")
)

// bar stores the cancellation of a job that is not in the store: a submission whose
// write got no answer may still take effect. Submissions are conditional on there being
// no cancellation, and this one on there being no job, so that one of them wins. Errors:
// errJobExists, errTooManyBars, and those of the store.
func (i *Intake) bar(ctx context.Context, access Access, id string) error {
	if !i.bars.AllowN(i.config.Clock(), 1) {
		return errTooManyBars
	}
	usual := i.homeOf(i.config.Layout.OfJob(id))
	existing := store.Item{}
	for range maxMoves {
		value, err := barValue(existing, access)
		if err != nil {
			return err
		}
		commit := store.Commit{
			If: append(i.absence(usual, id), store.Condition{
				Key:      usual.keys.Cancel(id),
				Revision: existing.Revision,
			}),
			Set: []store.Write{
				{
					Key:   usual.keys.Cancel(id),
					Value: value,
				},
			},
		}
		_, err = i.write(ctx, commit, nil)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if i.jobIn(conflict, id) {
			return errJobExists
		}
		existing = itemOf(conflict, usual.keys.Cancel(id))
	}
	return store.ErrUnavailable
}

// barValue returns the value of a cancellation that adds the caller to an existing one.
func barValue(existing store.Item, access Access) ([]byte, error) {
	bar := &work.Bar{}
	if existing.Revision != 0 {
		var err error
		if bar, err = work.DecodeBar(existing.Value); err != nil {
			return nil, fmt.Errorf("key %s: %w", existing.Key, err)
		}
	}
	if access.Restricted {
		bar.Add(access.Organisation)
	} else {
		bar.Everyone = true
	}
	return work.EncodeBar(bar)
}

// absence returns the conditions that there is no job with the id in any shard.
func (i *Intake) absence(usual home, id string) []store.Condition {
	out := []store.Condition{
		{
			Key: usual.keys.Job(id),
		},
	}
	if i.config.Layout.Shards > 1 {
		out = append(out, store.Condition{
			Key: leader.MovedKey(id),
		})
	}
	return out
}

// jobIn reports whether a conflict shows that there is a job with the id.
func (i *Intake) jobIn(conflict *store.ConflictError, id string) bool {
	usual := i.homeOf(i.config.Layout.OfJob(id))
	return conflict.RevisionOf(usual.keys.Job(id)) != 0 || conflict.RevisionOf(leader.MovedKey(id)) != 0
}

// itemOf returns the item of a conflict with a key, the zero Item without one.
func itemOf(conflict *store.ConflictError, key string) store.Item {
	for _, item := range conflict.Items {
		if item.Key == key {
			return item
		}
	}
	return store.Item{}
}
