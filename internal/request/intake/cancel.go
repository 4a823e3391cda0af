package intake

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// Cancel stores the cancellation of a job.
func (i *Intake) Cancel(ctx context.Context, access Access, id string) Outcome {
	started := i.config.Clock()
	outcome, err := i.cancel(ctx, access, id)
	i.config.Counts.Add("cancel_"+outcome.String(), 1)
	i.config.RecordDuration("cancel", i.config.Clock().Sub(started))
	klog.InfoS("cancellation requested", "job", id, "outcome", outcome, "took", i.config.Clock().Sub(started), "err", err)
	return outcome
}

// cancel writes the cancellation beside the job's record. The condition on that
// record fails if the job has moved or was deleted meanwhile; then it is looked
// for again. There is no such job once a cancellation bars every submission of it
// that was sent before.
func (i *Intake) cancel(ctx context.Context, access Access, id string) (Outcome, error) {
	for range maxMoves {
		item, at, err := i.find(ctx, id)
		if errors.Is(err, store.ErrAbsent) {
			err = i.bar(ctx, access, id)
			switch {
			case err == nil:
				return NoSuchJob, nil
			case errors.Is(err, errJobExists):
				continue
			case errors.Is(err, store.ErrUnknown):
				return Unknown, err
			}
		}
		if err != nil {
			return NotAccepted, err
		}
		if err := access.check(item); errors.Is(err, errNotPermitted) {
			return i.denied(id, access), nil
		} else if err != nil {
			return NotAccepted, err
		}
		_, err = i.write(ctx, store.Commit{
			If: []store.Condition{
				{
					Key:      item.Key,
					Revision: item.Revision,
				},
			},
			Set: []store.Write{
				{
					Key: at.keys.Cancel(id),
				},
			},
		}, nil)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return Accepted, nil
		case errors.As(err, &conflict):
			continue
		case errors.Is(err, store.ErrUnknown):
			return Unknown, err
		}
		return NotAccepted, err
	}
	return NotAccepted, store.ErrUnavailable
}
