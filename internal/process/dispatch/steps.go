package dispatch

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

// TickInput holds the inputs of a tick that are not part of the planner's
// state.
type TickInput struct {
	Now time.Time
	// PermitUntil is when the permit to start tasks expires.
	PermitUntil time.Time
	// StoreUp means that records can be written.
	StoreUp bool
}

// Tick advances every job and returns the resulting effects.
func (p *Planner) Tick(input TickInput) Effects {
	if p.fenced || p.state == nil {
		return Effects{}
	}
	p.stopOrphans(input.Now)
	for _, view := range p.jobs {
		p.step(view, input)
	}
	if input.StoreUp {
		p.place(input)
	}
	return p.Flush()
}

// step advances one job, except for placing it. An unresolved job resumes once
// operators have declared the worker of its last attempt lost.
func (p *Planner) step(view *jobView, input TickInput) {
	if view.pendingWrite != nil {
		return
	}
	if view.record.State == job.Unresolved {
		last := view.record.Attempts[len(view.record.Attempts)-1]
		if p.state.Workers[last.Worker].Lost {
			p.write(view, view.record.Resume(input.Now))
		}
		return
	}
	if view.record.Waiting() {
		p.stepWaiting(view, input)
		return
	}
	if !p.hasLocalAttempt(view.record) {
		return
	}
	if p.endExpired(view, input.Now) {
		return
	}
	p.chooseStopReason(view, input.Now)
	switch {
	case view.stopping != notStopping:
		p.stepStopping(view, input.Now)
	case !view.acked:
		p.sendStart(view, input)
	}
}

func (p *Planner) stepWaiting(view *jobView, input TickInput) {
	if !input.StoreUp || view.record.Zone != p.config.Zone {
		return
	}
	if view.record.Cancel {
		if next, err := view.record.CancelWaiting(input.Now); err == nil {
			p.write(view, next)
		}
	}
}

// chooseStopReason marks an open attempt as stopping if there is a reason to
// stop it.
func (p *Planner) chooseStopReason(view *jobView, now time.Time) {
	if view.stopping != notStopping {
		return
	}
	declared := p.state.Workers[view.record.Open().Worker]
	switch {
	case view.record.Cancel:
		view.stopping = stopCancelled
	case !p.state.ZoneActive(p.config.Zone):
		view.stopping = stopZoneWithdrawn
	case declared.Out:
		view.stopping = stopDrained
	default:
		if w := p.workers[view.record.Open().Worker]; w == nil || !w.entry.Leaving {
			return
		}
		view.stopping = stopDrained
	}
	view.stoppingAt = now
}

// stepStopping orders a checkpoint, if the attempt is to resume elsewhere, and
// then the stop.
func (p *Planner) stepStopping(view *jobView, now time.Time) {
	needsCheckpoint := view.stopping != stopCancelled && view.acked &&
		!p.checkpointed(view) && now.Sub(view.stoppingAt) < checkpointTimeout
	if needsCheckpoint {
		p.order(view, VerbCheckpoint, now)
		return
	}
	p.order(view, VerbStop, now)
}

// checkpointed reports whether the attempt has a newer checkpoint than the one
// that it started from.
func (p *Planner) checkpointed(view *jobView) bool {
	return view.task.Checkpoint != "" && view.task.Checkpoint != view.record.Open().From
}

// sendStart orders the worker to start a committed attempt, repeatedly until
// the worker confirms it. Starts are idempotent, because the worker identifies
// attempts by their ID.
func (p *Planner) sendStart(view *jobView, input TickInput) {
	open := view.record.Open()
	w := p.workers[open.Worker]
	switch {
	case w == nil || !w.confirmed || open.Epoch != p.epoch:
		return // an attempt of another epoch is resolved by the inventory
	case !input.Now.Before(input.PermitUntil) || !p.state.ZoneActive(p.config.Zone):
		return
	case input.Now.Sub(view.orderedAt) < orderInterval || open.Boot != w.boot:
		return
	}
	view.orderedAt = input.Now
	view.sent = true
	notAfter := w.clock + input.PermitUntil.Sub(w.clockAt).Milliseconds()
	view.notAfter = max(view.notAfter, notAfter)
	w.extendLeaseBound(p.leaseTerm())
	p.effects.Starts = append(p.effects.Starts, Start{
		Worker: open.Worker,
		Start: worker.Start{
			Attempt:      view.record.AttemptID(open.N),
			Job:          view.record.ID,
			Customer:     view.record.Customer,
			Class:        view.record.Class,
			Epoch:        p.epoch,
			Boot:         w.boot,
			NotAfterMS:   notAfter,
			LeaseUntilMS: w.clock + p.config.Lease.Milliseconds(),
			Size:         open.Size,
			Checkpoint:   open.From,
			Payload:      view.record.Payload,
		},
	})
}

// end writes the result of the open attempt.
func (p *Planner) end(view *jobView, result job.AttemptResult, now time.Time) {
	class := p.state.Classes[view.record.Class]
	result.Retries = class.Retries
	p.attributeFailure(view, &result, now)
	next := view.record.End(result, now)
	p.write(view, next)
}

// endExpired ends an attempt on an unresponsive worker once its lease has
// expired, clock drift included, if the class permits a rerun without the
// worker's report or operators have declared the worker lost.
func (p *Planner) endExpired(view *jobView, now time.Time) bool {
	open := view.record.Open()
	w := p.workers[open.Worker]
	bound := p.startedAt.Add(p.leaseTerm())
	if w != nil {
		bound = w.leaseBound
	}
	if now.Before(bound) {
		return false
	}
	return p.endAsLost(view, "lease lapsed, worker silent", now)
}
