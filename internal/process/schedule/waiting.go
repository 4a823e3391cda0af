package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Waiting says why nothing of a job runs although a step of it is ready.
type Waiting struct {
	Job, Queue, Service, Organisation string
	// Task is the task of which Reason is told: the first that could start, or else
	// the first one that waits.
	Task work.TaskKey
	// Reason is NoReason if the next decision starts the task.
	Reason Reason
	// Until is when the wait ends, zero if it ends with the event Reason.Awaits.
	Until time.Time
	// Since is when a run of the job last ended or, if it is later, when a step
	// became ready or this leader heard of the job.
	Since time.Time
	// Worker is that of the claim or the reservation, or one that a takeover waits
	// for; empty if there is none.
	Worker string
	// Excluded counts the workers of the service by why they are passed over. It is
	// set if the reason is one of workers or capacity.
	Excluded Exclusions
	// Unsettled is the number of workers that delay inherited jobs.
	Unsettled int
	// Room is set if the service has free capacity for the task twice, on workers that
	// may not be given tasks too.
	Room bool
}

// Ends reports whether the wait has an end: a time, or an event that is awaited.
func (w *Waiting) Ends() bool {
	return !w.Until.IsZero() || w.Reason.Awaits() != ""
}

// Waiting returns why nothing of a job runs. It returns false if a task of the job
// runs, if no step of it is ready, or if the job is not open.
func (b *Board) Waiting(id string, now time.Time) (Waiting, bool) {
	j := b.open[id]
	if j == nil {
		return Waiting{}, false
	}
	alone := newExplainer(b, now)
	out, waits := alone.explain(j, &Reasons{})
	out.Room = waits && alone.hasRoom(j, out.Task)
	return out, waits
}

// cause is a reason with what is known of its end.
type cause struct {
	reason Reason
	worker string
	until  time.Time
	// excluded is nil if no workers were considered.
	excluded *Exclusions
}

// jobCause collects what is known of the tasks of one job.
type jobCause struct {
	cause
	// task is the one that the cause is told of, nil if no ready task waits.
	task *task
	// runs is set if a task runs.
	runs bool
	// readySince is since when a step has been ready, and lastEnd when a run ended.
	readySince, lastEnd time.Time
}

// explain returns why nothing of a job runs, and adds its tasks that do not run to
// counts. Whether there is room is left to hasRoom.
func (e *explainer) explain(j *job, counts *Reasons) (Waiting, bool) {
	var found jobCause
	for _, occ := range j.occurrences {
		if occ.left == 0 {
			continue
		}
		for _, step := range occ.steps {
			if step.left > 0 && occ.ready(step, e.now) {
				e.explainStep(j, occ, step, &found, counts)
			}
		}
	}
	if found.runs || found.task == nil {
		return Waiting{}, false
	}
	return e.waiting(j, found.task, found.cause, latestOf(latestOf(found.readySince, found.lastEnd), j.seen)), true
}

// waiting describes a task that has waited since a time. Whether there is room is left
// to hasRoom.
func (e *explainer) waiting(j *job, t *task, why cause, since time.Time) Waiting {
	out := Waiting{
		Job:          j.work.ID,
		Queue:        j.work.Queue,
		Service:      e.board.serviceOf(j),
		Organisation: j.work.Organisation,
		Task:         t.key,
		Reason:       why.reason,
		Until:        why.until,
		Since:        since,
		Worker:       why.worker,
	}
	if why.excluded != nil {
		out.Excluded = *why.excluded
	}
	if why.reason == Takeover {
		out.Unsettled = len(e.unsettled())
	}
	return out
}

// explainStep adds the tasks of a ready step.
func (e *explainer) explainStep(j *job, occ *occurrence, step *stepState, found *jobCause, counts *Reasons) {
	placing := newStepCause(e, j, step)
	waits := false
	var ended *task // at which the search for the step ends
	for _, t := range step.tasks {
		if t.phase == done || t.phase == elsewhere && !t.returned {
			continue
		}
		var next cause
		switch t.phase {
		case elsewhere:
			next.reason = Departing
		case claimed:
			runs := false
			if next, runs = e.claimCause(j, t); runs {
				found.runs = true
				continue
			}
		default:
			next = placing.of(t)
			next = placing.afterSearch(ended, next)
			if ended == nil && placing.endsSearch(t, next) {
				ended = t
			}
		}
		waits = true
		e.noteDown(j, occ, step, t, next)
		counts[next.reason]++
		if found.task == nil || next.goesBefore(found.cause) {
			found.cause, found.task = next, t
		}
		found.lastEnd = latestOf(found.lastEnd, t.endedAt)
	}
	if !waits {
		return
	}
	if ready := occ.readySince(step, &task{}); found.readySince.IsZero() || ready.Before(found.readySince) {
		found.readySince = ready
	}
}

// goesBefore reports whether a job is described by this cause rather than by that of
// an earlier task. A task that starts or could start goes before others, and a
// waiting task before one with a claim.
func (c cause) goesBefore(other cause) bool {
	return c.reason.precedence() < other.reason.precedence()
}

func (r Reason) precedence() int {
	switch {
	case r == StartUnanswered:
		return 0
	case r == NoReason:
		return 1
	case r < StartUnanswered:
		return 2
	}
	return 3
}
