package schedule

import (
	"net/netip"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	// enoughCrashes is the least number of crashes for which callers accept that
	// a job fails.
	enoughCrashes = 2
	// maxCrashes is how many workers may crash under a task, each shortly after
	// it started there, before its job fails. Two happen to tasks that only ran
	// beside the cause.
	maxCrashes = 3
	// maxDoubtfulCrashes is the same while other suspects of the last crash had
	// as many. A task may be started five times; one crash may go uncounted,
	// under a leader that is replaced before it counts the first.
	maxDoubtfulCrashes = 4
	// startupTime is how long a run must last to have outlived its start: it did
	// not crash its worker by it.
	startupTime = time.Second
)

// Crash is a worker whose process ended without warning.
type Crash struct {
	// Worker is empty if the crashes happened under earlier leaders.
	Worker string
	// Suspects are the tasks that may have caused it, in order. GivenUp are
	// those of them whose jobs have failed for it.
	Suspects, GivenUp []work.TaskKey
	// Most is the highest number of crashes counted against a suspect, Equals
	// the number of suspects with as many.
	Most, Equals int
}

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	key work.TaskKey
	run int64
}

// lostWorker is a worker whose runs have ended for an unknown reason: it has
// crashed, or it cannot be reached. It is resolved once it answers again or
// another worker has its address.
type lostWorker struct {
	id          string
	address     netip.AddrPort
	incarnation time.Time
	since       time.Time
	suspects    []suspectRun
}

// suspectsOn returns the runs that the worker may have crashed under. Runs that
// have outlived their start did not crash it by it. Starts
// without an answer may not have reached it, but a worker may crash before it
// answers: they count for tasks with enough crashes besides.
func (b *Board) suspectsOn(w *workerState) []suspectRun {
	if w.Draining || b.sharesFate(w) {
		return nil
	}
	var out []suspectRun
	for key, held := range w.claims {
		j := b.open[key.Job]
		reached := held.confirmed || held.unanswered > 0 && held.suspicion >= enoughCrashes
		if j == nil || !reached || held.orphaned || w.outlivedStart(held) {
			continue
		}
		out = append(out, suspectRun{
			key: key,
			run: held.run,
		})
	}
	slices.SortFunc(out, func(a, c suspectRun) int { return compareKeys(a.key, c.key) })
	return out
}

// outlivedStart reports whether a run is known to have lasted for startupTime: the
// worker has listed it that much later, or its connection broke no sooner.
func (w *workerState) outlivedStart(held *claim) bool {
	return held.confirmed && max(held.confirmedAt.Sub(held.started), w.brokenAt.Sub(held.started)) >= startupTime
}

// sharesFate reports whether no other worker of the worker's zone or rack has
// outlived it: then the zone or the rack has failed, and not because of a task.
func (b *Board) sharesFate(w *workerState) bool {
	var zone, rack domain
	for _, other := range b.workers {
		if other == w || other.Address == w.Address {
			continue
		}
		survived := !other.firstReport.After(w.lostAt) && other.lastReport.After(w.lostAt)
		if other.Zone == w.Zone {
			zone.add(survived)
		}
		if w.Rack != "" && other.Rack == w.Rack {
			rack.add(survived)
		}
	}
	return zone.failed() || rack.failed()
}

// domain counts the workers of a failure domain, and those that survived.
type domain struct {
	workers, survivors int
}

func (d *domain) add(survived bool) {
	d.workers++
	if survived {
		d.survivors++
	}
}

func (d *domain) failed() bool {
	return d.workers > 0 && d.survivors == 0
}

// lose records that a worker's runs have ended without a word from it.
func (b *Board) lose(w *workerState, now time.Time) {
	suspects := b.suspectsOn(w)
	if len(suspects) == 0 {
		return
	}
	lost := &lostWorker{
		id:          w.ID,
		address:     w.usedAddress(),
		incarnation: w.incarnation,
		since:       now,
		suspects:    suspects,
	}
	b.lost[w.ID] = lost
	b.resolveReplaced(lost, now)
}

// resolveLost counts the crashes of lost workers that have been replaced.
func (b *Board) resolveLost(now time.Time) {
	for id, lost := range b.lost {
		b.resolveReplaced(lost, now)
		if now.Sub(lost.since) > b.config.KeepEnded {
			delete(b.lost, id)
		}
	}
}

func (b *Board) resolveReplaced(lost *lostWorker, now time.Time) {
	for _, w := range b.workers {
		if w.tookOver(lost.id, lost.address, lost.incarnation) {
			delete(b.lost, lost.id)
			b.countCrash(lost.id, lost.suspects, now)
			return
		}
	}
}

// resolveReport handles a report of a worker that was lost: it has crashed if
// another incarnation reports.
func (b *Board) resolveReport(id string, born, now time.Time) {
	lost := b.lost[id]
	if lost == nil {
		return
	}
	delete(b.lost, id)
	if !born.Equal(lost.incarnation) {
		b.countCrash(id, lost.suspects, now)
	}
}

// countCrash counts a worker's crash against the tasks that may have caused it.
// Load pattern: a task crashes each worker that starts it. It would be started
// on one after the other, and take along what runs beside it.
func (b *Board) countCrash(id string, suspects []suspectRun, now time.Time) {
	if len(suspects) == 0 {
		return
	}
	crash := Crash{
		Worker: id,
	}
	for _, suspect := range suspects {
		j, t := b.openTask(suspect.key)
		if t == nil || t.phase == done || t.phase == elsewhere || slices.Contains(t.crashes, suspect.run) {
			continue
		}
		t.crashes = append(t.crashes, suspect.run)
		b.markChanged(j)
		crash.Suspects = append(crash.Suspects, t.key)
		switch {
		case len(t.crashes) > crash.Most:
			crash.Most, crash.Equals = len(t.crashes), 1
		case len(t.crashes) == crash.Most:
			crash.Equals++
		}
	}
	limit := maxCrashes
	if crash.Equals > 1 {
		limit = maxDoubtfulCrashes
	}
	for _, key := range crash.Suspects {
		if j, t := b.openTask(key); t != nil && !j.partial && len(t.crashes) == crash.Most && crash.Most >= limit {
			crash.GivenUp = append(crash.GivenUp, key)
			b.end(j, work.Failed, now)
		}
	}
	b.effects.Crashes = append(b.effects.Crashes, crash)
}

// chargedRuns returns the task's crashes for its record. The current run of a
// suspect is among them: a successor that finds neither the run nor its end
// takes it for a crash that this leader had no time to count.
func (t *task) chargedRuns() []int64 {
	out := slices.Clone(t.crashes)
	if t.phase == claimed && !slices.Contains(out, t.run) {
		out = append(out, t.run)
	}
	return out
}

// acquit drops a run from the crashes of its task and from its record: its
// worker lists it as running or ended.
func (b *Board) acquit(j *job, t *task, run int64) {
	if len(t.crashes) == 0 {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(charged int64) bool { return charged == run })
	b.markChanged(j)
}

// giveUpInherited ends an inherited job if one of its tasks was charged with too
// many crashes under earlier leaders.
func (b *Board) giveUpInherited(j *job, now time.Time) {
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if t.phase == waiting && !j.partial && len(t.crashes) >= maxDoubtfulCrashes {
					b.effects.Crashes = append(b.effects.Crashes, Crash{
						GivenUp: []work.TaskKey{t.key},
					})
					b.end(j, work.Failed, now)
					return
				}
			}
		}
	}
}

// openTask returns a task of an open job with its job, or nil.
func (b *Board) openTask(key work.TaskKey) (*job, *task) {
	j := b.open[key.Job]
	if j == nil {
		return nil, nil
	}
	_, _, t := j.find(key)
	return j, t
}

// clearSuspect drops the crashes counted against a task that has outlived its
// start: it did not cause them.
func (b *Board) clearSuspect(w *workerState, key work.TaskKey, held *claim) {
	j, t := b.openTask(key)
	if t == nil || t.run != held.run || len(t.crashes) == 0 || !w.outlivedStart(held) {
		return
	}
	t.crashes = nil
	b.markChanged(j)
	w.suspicion -= held.suspicion
	held.suspicion = 0
}
