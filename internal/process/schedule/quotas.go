package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// requestedSize is what the task of a claim asked for. It counts against the
// limit of its organisation, also for a filler, which claims no cores.
func (c *claim) requestedSize() worker.Size {
	return worker.Size{
		MilliCores:   c.requested,
		MemoryBytes:  c.size.MemoryBytes,
		Accelerators: c.size.Accelerators,
	}
}

// joinOrganisation assigns a new job to the account of its organisation. What
// an inherited job may have running is counted until all workers are accounted
// for, also if it has ended: its runs may still be stopping. All tasks of a
// completed job have ended.
func (b *Board) joinOrganisation(j *job) {
	j.account = b.quotas.Account(j.work.Organisation)
	if j.account == nil || j.inherited == 0 || j.progress.State == work.Completed {
		return
	}
	b.possiblyRunning = append(b.possiblyRunning, j)
}

// countPossible counts, for each organisation, the tasks that may be running on
// workers that have not reported to this leader.
func (b *Board) countPossible(now time.Time) {
	if b.possiblyRunning == nil {
		return
	}
	b.quotas.ClearPossible()
	if b.allAccountedFor(now) {
		b.possiblyRunning = nil
		return
	}
	for _, j := range b.possiblyRunning {
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if tasks := b.possibleRuns(step); tasks > 0 {
					j.account.AddPossible(step.spec.Size, tasks)
				}
			}
		}
	}
}

// possibleRuns counts the tasks of an inherited step without a claim that may be
// running on a worker that is not accounted for. A task that is done may have a
// run that is being stopped; only a handover names it.
func (b *Board) possibleRuns(step *stepState) int {
	count := 0
	for _, t := range step.tasks {
		if t.phase == waiting && !t.located || t.phase != claimed && len(b.unsettledWorkers(t)) > 0 {
			count++
		}
	}
	return count
}

// inheritedJobs returns the inherited jobs whose tasks may be running unknown to
// this leader, among them jobs of organisations that have ended.
func (b *Board) inheritedJobs() []*job {
	var out []*job
	for _, j := range b.open {
		if j.inherited != 0 {
			out = append(out, j)
		}
	}
	for _, j := range b.possiblyRunning {
		if b.open[j.work.ID] == nil {
			out = append(out, j)
		}
	}
	return out
}

// stillAdmits reports whether a claimed run that may not have begun may begin
// under the limit that is now in force.
func (c *claim) stillAdmits() bool {
	return c.account == nil || c.account.StillAdmits(c.requestedSize())
}

// measureCapacity sets the capacity that organisations share: that of all
// workers which take tasks.
func (b *Board) measureCapacity(now time.Time) {
	if b.quotas.Empty() {
		return
	}
	total := worker.Size{}
	for _, w := range b.workers {
		if w.reachable && w.listed && !w.Draining {
			total = total.Add(w.Capacity)
		}
	}
	b.quotas.SetCapacity(total, now)
}

// withholdRetry handles a start without an answer that the limit in force no
// longer admits. A run that has begun goes on; one that a later report does not
// list is barred, since its claim would hold back other work of the organisation.
// It reports whether neither is known yet.
func (b *Board) withholdRetry(w *workerState, held *claim, start Start) bool {
	switch {
	case held.confirmed:
		return false
	case w.reachable && w.lastReport.After(held.started.Add(b.config.StopGrace)):
		b.stop(w.ID, start.Key, start.Run, "no_answer")
		return false
	}
	return true
}
