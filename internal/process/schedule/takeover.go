package schedule

import (
	"cmp"
	"slices"
	"time"
)

// clockDrift is the fraction by which a worker's steady clock is allowed to run
// slower than this host's. Half of it is margin.
const clockDrift = 0.04

// earlierLeaseEnd is when every run that an earlier leader may have started or
// extended is over on a worker that has not reported to this one.
func (b *Board) earlierLeaseEnd() time.Time {
	return b.earlierTermEnd.Add(b.config.ActTerm).Add(b.longestLease())
}

// longestLease is the longest time from a call that extends a worker's leases
// to the end of all its runs if no other call follows.
func (b *Board) longestLease() time.Duration {
	return b.config.LeaseTerm + time.Duration(float64(b.config.LeaseTerm)*clockDrift) + b.config.StopGrace
}

// allAccountedFor reports whether every worker is accounted for. Those of other services
// than that of a job's queue count as well: the queue may have been sent to any of them
// and back under earlier leaders, and only the newest configuration is known.
func (b *Board) allAccountedFor(now time.Time) bool {
	all := true
	for _, w := range b.workers {
		if b.accountedFor(w) {
			continue
		}
		all = false
		if !now.Before(w.leaseEnd) {
			b.confirmAfter = later(b.confirmAfter, w.leaseEnd)
		}
	}
	return all
}

// settleInherited frees the inherited jobs once none of their tasks can be running
// unknown to this leader.
func (b *Board) settleInherited(now time.Time) {
	if !b.allAccountedFor(now) || b.removedAt.After(b.confirmedAt) {
		return
	}
	for _, j := range b.open {
		if j.inherited != 0 {
			j.inherited = 0
			b.giveUpInherited(j, now)
		}
	}
}

// addLastWorker records that a task has a run on a worker. Workers that are
// accounted for are dropped.
func (b *Board) addLastWorker(t *task, w *workerState) {
	t.lastWorkers = append(slices.DeleteFunc(t.lastWorkers, func(id string) bool {
		return id == w.ID || b.workers[id] == nil || b.accountedFor(b.workers[id])
	}), w.ID)
}

// mayStartTask reports whether a task is certain not to be running already, or to
// be done, and is not to be given up once its job is settled.
func (b *Board) mayStartTask(j *job, t *task) bool {
	return b.doubt(j, t) == NoReason
}

// doubt returns why a task may be running already, or may be done.
func (b *Board) doubt(j *job, t *task) Reason {
	switch {
	case t.confirmAfter.After(b.confirmedAt):
		return Confirmation
	case b.hasOrphan(t):
		return OtherRun
	case j.inherited == 0:
		return NoReason
	case b.removedAt.After(b.confirmedAt):
		return Confirmation
	case !t.located || len(t.crashes) >= maxDoubtfulCrashes || len(b.unsettledWorkers(t)) > 0:
		return Takeover
	}
	return NoReason
}

// hasOrphan reports whether a run of the task that is being stopped has not ended.
func (b *Board) hasOrphan(t *task) bool {
	if len(t.orphanedOn) == 0 {
		return false
	}
	t.orphanedOn = slices.DeleteFunc(t.orphanedOn, func(id string) bool {
		w := b.workers[id]
		return w == nil || w.claims[t.key] == nil || !w.claims[t.key].orphaned
	})
	return len(t.orphanedOn) > 0
}

// unsettledWorkers returns the last workers of a task that are not accounted
// for.
func (b *Board) unsettledWorkers(t *task) []string {
	var out []string
	for _, id := range t.lastWorkers {
		if w := b.workers[id]; w != nil && !b.accountedFor(w) {
			out = append(out, id)
		}
	}
	return out
}

// mayStartAll reports whether all waiting tasks of a gang are certain not to be
// running already.
func (b *Board) mayStartAll(j *job, step *stepState) bool {
	for _, t := range step.tasks {
		if t.phase == waiting && !b.mayStartTask(j, t) {
			return false
		}
	}
	return true
}

// delayed counts the waiting tasks of a step that may not start yet.
func (b *Board) delayed(j *job, step *stepState) int {
	count := 0
	for _, t := range step.tasks {
		if t.phase == waiting && !b.mayStartTask(j, t) {
			count++
		}
	}
	return count
}

// UnsettledWorker is a worker that may have runs of an earlier leader which
// this one does not know.
type UnsettledWorker struct {
	ID string
	// Listed, Draining and Reachable are what is known of it: whether the discovery
	// list has it, whether it drains, and whether it answers.
	Listed, Draining, Reachable bool
	// Remaining is the time until its runs are certainly over.
	Remaining time.Duration
}

// Unsettled returns the workers that delay inherited jobs, by id.
func (b *Board) Unsettled(now time.Time) []UnsettledWorker {
	var out []UnsettledWorker
	for id, w := range b.workers {
		if b.accountedFor(w) {
			continue
		}
		out = append(out, UnsettledWorker{
			ID:        id,
			Listed:    w.listed,
			Draining:  w.Draining,
			Reachable: w.reachable,
			Remaining: w.leaseEnd.Sub(now),
		})
	}
	slices.SortFunc(out, func(a, c UnsettledWorker) int { return cmp.Compare(a.ID, c.ID) })
	return out
}
