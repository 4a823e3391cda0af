package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// AddTransferred adds a task of another shard's job, with the progress of the job in
// this shard, which is nil if there is none. inherited marks a task that may have been
// started under an earlier token of this shard.
func (b *Board) AddTransferred(transferred *work.TransferredTask, progress *work.Progress, inherited bool, now, timeOfDay time.Time) {
	j := b.jobs[transferred.Key.Job]
	if j == nil {
		j = b.addPartial(transferred, progress, inherited, now, timeOfDay)
	}
	occ, step, t := j.find(transferred.Key)
	if !j.partial || t == nil || t.phase != elsewhere {
		return
	}
	t.phase, t.arrivedAt = waiting, now
	step.waiting++
	t.restoreTransferred(transferred.Checkpoint, transferred.Crashes, transferred.LastRun, transferred.Down, now)
	occ.due = earlier(occ.due, now)
	if progress != nil {
		t.restore(progress, j.number(transferred.Key), now)
	}
	switch {
	case inherited && j.inherited == 0:
		j.inherited, j.fromEarlierTerm = b.token, true
	case !inherited:
		t.located, t.lastWorkers, j.hasLocated = true, nil, true
	}
	if b.cancelled[j.work.ID] {
		b.Cancel(j.work.ID, now)
	}
}

// addPartial adds a job of another shard without any of its tasks. Their steps are
// ready: a task is transferred only then.
func (b *Board) addPartial(transferred *work.TransferredTask, progress *work.Progress, inherited bool, now, timeOfDay time.Time) *job {
	spec := *transferred.Job
	spec.Steps = slices.Clone(spec.Steps)
	for s := range spec.Steps {
		spec.Steps[s].After = nil
	}
	j := b.newJob(&spec, inherited, now, now, timeOfDay)
	j.partial, j.home, j.everClaimed, j.balanced, j.progress.Started = true, transferred.Home, true, true, true
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			step.waiting = 0
			for _, t := range step.tasks {
				t.phase = elsewhere
			}
		}
	}
	if progress != nil {
		j.progress.State = progress.State
		j.restoreTerms(progress)
		b.services[b.serviceOf(j)] = true
	}
	b.joinOrganisation(j)
	j.objective = b.objective(j)
	b.keepJob(j)
	if j.progress.State.Final() {
		j.ended = now
	} else {
		b.open[spec.ID] = j
	}
	return j
}

// restoreTransferred gives a task the state that it has brought along from another
// shard.
func (t *task) restoreTransferred(checkpoint string, crashes []int64, lastRun int64, down time.Duration, now time.Time) {
	t.checkpoint, t.crashes, t.lastRun = checkpoint, slices.Clone(crashes), lastRun
	if down > 0 {
		t.endedAt, t.downSince = now.Add(-down), now.Add(-down)
	}
}

// Locate records that a task of a job of this shard is in another shard, or on its way
// back from there.
func (b *Board) Locate(location *work.Location) {
	j := b.jobs[location.Key.Job]
	if j == nil || j.partial {
		return
	}
	j.everClaimed = true
	_, step, t := j.find(location.Key)
	switch {
	case t == nil || t.departing:
	case t.phase == waiting:
		step.waiting--
		t.phase, t.shard = elsewhere, location.Shard
	case t.phase == elsewhere:
		t.shard = location.Shard
	}
}

// Returned records that a task has come back to the shard of its job, in which nothing
// starts it until it is taken back.
func (b *Board) Returned(location *work.Location, now time.Time) {
	j := b.jobs[location.Key.Job]
	if j == nil || j.partial {
		return
	}
	_, _, t := j.find(location.Key)
	if t == nil || t.returned {
		return
	}
	t.returned = true
	if location.Down > 0 {
		t.endedAt, t.downSince = now.Add(-location.Down), now.Add(-location.Down)
	}
}

// LocationsKnown says that Locate was called for every task that is in another shard.
func (b *Board) LocationsKnown() {
	for _, j := range b.open {
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				for _, t := range step.tasks {
					if !j.partial && t.phase == elsewhere && t.shard == unknownShard {
						t.phase = waiting
						step.waiting++
					}
				}
			}
		}
	}
}

// Return is a task that has come back to the shard of its job and is taken back by the
// commit that writes Progress.
type Return struct {
	Location work.Location
	Progress work.Progress
	Version  int64
}

// Returning returns what is to be written when a task is taken back, or false if the job
// does not need it any more. The job's record is not written until TakenBack is called.
func (b *Board) Returning(location *work.Location, now time.Time) (Return, bool) {
	j := b.open[location.Key.Job]
	if j == nil || j.partial {
		return Return{}, false
	}
	_, _, t := j.find(location.Key)
	if t == nil || t.phase != elsewhere || t.departing {
		return Return{}, false
	}
	t.departing, t.shard = true, location.Shard
	t.restoreTransferred(location.Checkpoint, location.Crashes, location.LastRun, location.Down, now)
	t.phase = waiting
	out := Return{
		Location: *location,
		Progress: j.snapshot(),
		Version:  j.version,
	}
	t.phase = elsewhere
	j.transfers++
	return out, true
}

// TakenBack records whether a task has been taken back. It may then be started here.
func (b *Board) TakenBack(returned Return, done bool, now time.Time) {
	j := b.jobs[returned.Location.Key.Job]
	if j == nil {
		return
	}
	_, step, t := j.find(returned.Location.Key)
	if t == nil || t.phase != elsewhere || !t.departing {
		return
	}
	t.departing = false
	j.transfers--
	if !done {
		return
	}
	t.phase, t.returned = waiting, false
	step.waiting++
	t.located, t.lastWorkers, j.hasLocated = true, nil, true
	b.Written(j.work.ID, returned.Version, true)
	if len(t.crashes) >= maxCrashes && b.open[j.work.ID] != nil {
		b.effects.Crashes = append(b.effects.Crashes, Crash{
			GivenUp: []work.TaskKey{t.key},
		})
		b.end(j, work.Failed, now)
	}
}
