package intake

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Access says which jobs a caller may query and cancel.
type Access struct {
	// Restricted is set in deployments with organisations: a caller has access to
	// the jobs of its organisation and to those of none. Without it, the owner of
	// a job is never looked for.
	Restricted bool
	// Organisation is the caller's, empty for a caller of a public queue that has
	// no key.
	Organisation string
}

// permits reports whether the caller has access to a job of an organisation.
func (a Access) permits(organisation string) bool {
	return !a.Restricted || organisation == "" || organisation == a.Organisation
}

// errNotPermitted means that the job belongs to an organisation other than the
// caller's.
var errNotPermitted = errors.New("job of another organisation")

// check checks the access to the job of a record. Errors: errNotPermitted, and
// work.ErrInvalid if the owner cannot be determined.
func (a Access) check(item store.Item) error {
	if !a.Restricted {
		return nil
	}
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		klog.ErrorS(err, "job record cannot be read", "key", item.Key, "revision", item.Revision)
		return err
	}
	if !a.permits(job.Organisation) {
		return errNotPermitted
	}
	return nil
}

// existing returns the outcome of a submission whose id is in use. If the owner
// of the job with that id cannot be determined, the job may be an earlier attempt
// of this submission, so the outcome is Unknown.
func (i *Intake) existing(ctx context.Context, access Access, conflict *store.ConflictError, id string) Outcome {
	if !access.Restricted {
		return Accepted
	}
	outcome := i.ownerIn(ctx, conflict, access, id)
	if outcome == NoSuchJob {
		return IDInUse
	}
	return outcome
}

// ownerIn checks the access to the job that a conflict is about. The conflict has
// the record of a job in the shard of the layout; others are read.
func (i *Intake) ownerIn(ctx context.Context, conflict *store.ConflictError, access Access, id string) Outcome {
	key := i.homeOf(i.config.Layout.OfJob(id)).keys.Job(id)
	for _, item := range conflict.Items {
		if item.Key == key {
			return i.accessTo(item, access, id)
		}
	}
	return i.checkOwner(ctx, access, id)
}

// checkOwner reads the job's record and checks the access to it, as accessTo. A
// job that the leader or a conflict names and the store lacks is being moved or
// deleted, so its owner is unknown.
func (i *Intake) checkOwner(ctx context.Context, access Access, id string) Outcome {
	item, _, err := i.find(ctx, id)
	if err != nil {
		return Unknown
	}
	return i.accessTo(item, access, id)
}

// accessTo returns Accepted if the caller has access to the job of a record,
// NoSuchJob if the job is another organisation's, and Unknown if the record does
// not tell.
func (i *Intake) accessTo(record store.Item, access Access, id string) Outcome {
	err := access.check(record)
	switch {
	case err == nil:
		return Accepted
	case errors.Is(err, errNotPermitted):
		return i.denied(id, access)
	}
	return Unknown
}

// denied counts and logs a call for another organisation's job, which is answered
// as if there were no such job.
func (i *Intake) denied(id string, access Access) Outcome {
	i.config.Counts.Add("denied_other_organisation", 1)
	klog.V(1).InfoS("job of another organisation", "job", id, "organisation", access.Organisation)
	return NoSuchJob
}
