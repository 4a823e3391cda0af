package intake

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// State returns the state of a job. The outcome is Accepted if the state is
// known.
func (i *Intake) State(ctx context.Context, access Access, id string) (work.State, Outcome) {
	started := i.config.Clock()
	source := "leader"
	answer := i.askState(ctx, id)
	state, outcome := answer.State, Accepted
	switch {
	case !answer.Known:
		source = "store"
		state, outcome = i.readState(ctx, access, id)
	case !access.Restricted:
	case !answer.OwnerKnown: // from a leader of an earlier release
		outcome = i.checkOwner(ctx, access, id)
	case !access.permits(answer.Organisation):
		outcome = i.denied(id, access)
	}
	i.config.Counts.Add("state_"+source+"_"+outcome.String(), 1)
	i.config.RecordDuration("state_"+source, i.config.Clock().Sub(started))
	klog.V(1).InfoS("state reported", "job", id, "state", state, "outcome", outcome, "source", source, "took", i.config.Clock().Sub(started))
	return state, outcome
}

// askState asks the leader of the shard that the layout names, and then that of
// the shard that the job has moved to.
func (i *Intake) askState(ctx context.Context, id string) leader.Answer {
	answer := i.askUsual(ctx, id)
	if answer.Known || i.config.Layout.Shards <= 1 {
		return answer
	}
	at, err := i.locate(ctx, id)
	if err != nil || at.shard == i.config.Layout.OfJob(id) {
		return leader.Answer{}
	}
	return i.config.Ask(ctx, leader.Question{
		Job:   id,
		Shard: at.shard,
	})
}

// askUsual asks the leader of the shard that the layout names.
func (i *Intake) askUsual(ctx context.Context, id string) leader.Answer {
	return i.config.Ask(ctx, leader.Question{
		Job:   id,
		Shard: i.config.Layout.OfJob(id),
	})
}

// readState derives a job's state from its records in the store.
func (i *Intake) readState(ctx context.Context, access Access, id string) (work.State, Outcome) {
	at, err := i.locate(ctx, id)
	for range maxMoves {
		if err != nil {
			return work.Queued, Unknown
		}
		state, outcome, readErr := i.readStateAt(ctx, access, at, id)
		if errors.Is(readErr, errNotPermitted) {
			return work.Queued, i.denied(id, access)
		}
		if outcome != NoSuchJob || i.config.Layout.Shards <= 1 {
			return state, outcome
		}
		before := at.moved
		at, err = i.locate(ctx, id)
		if err == nil && at.moved == before {
			return work.Queued, NoSuchJob
		}
	}
	return work.Queued, Unknown
}

// readStateAt reads the records of one shard. The job's own record is read last:
// all of them are deleted together. It holds the owner, so it is read in any case
// if the access is restricted.
func (i *Intake) readStateAt(ctx context.Context, access Access, at home, id string) (work.State, Outcome, error) {
	state, outcome := i.readProgressAt(ctx, at, id)
	if outcome == Unknown || (outcome == Accepted && !access.Restricted) {
		return state, outcome, nil
	}
	item, err := i.config.Store.Get(ctx, at.keys.Job(id))
	if errors.Is(err, store.ErrAbsent) {
		return work.Queued, NoSuchJob, nil
	}
	if err == nil {
		err = access.check(item)
	}
	if err != nil {
		return work.Queued, Unknown, err
	}
	return state, Accepted, nil
}

// readProgressAt reads a job's state from its progress record and cancellation.
// The outcome is NoSuchJob if there is neither, or if the cancellation was written
// without a job: then the state is that of a job that was submitted all the same.
func (i *Intake) readProgressAt(ctx context.Context, at home, id string) (work.State, Outcome) {
	item, err := i.config.Store.Get(ctx, at.keys.State(id))
	if err == nil {
		progress, err := work.DecodeProgress(item.Value)
		if err != nil {
			klog.ErrorS(err, "progress record cannot be read", "job", id, "revision", item.Revision)
			return work.Queued, Unknown
		}
		if progress.State == work.Queued && progress.Started {
			return work.Running, Accepted
		}
		return progress.State, Accepted
	}
	if !errors.Is(err, store.ErrAbsent) {
		return work.Queued, Unknown
	}
	item, err = i.config.Store.Get(ctx, at.keys.Cancel(id))
	switch {
	case errors.Is(err, store.ErrAbsent):
		return work.Queued, NoSuchJob
	case err != nil:
		return work.Queued, Unknown
	}
	if len(item.Value) == 0 {
		return work.Cancelled, Accepted
	}
	if bar, err := work.DecodeBar(item.Value); err != nil || bar.Everyone {
		return work.Cancelled, NoSuchJob
	}
	return work.Queued, NoSuchJob
}
