package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/process/rank"
)

// ranked returns the jobs that qualify, in order.
func (b *Board) ranked(qualifies func(j *job) bool, now time.Time) []*job {
	jobs := make([]*job, 0, len(b.open))
	ranks := make([]*rank.Candidate, 0, len(b.open))
	for _, j := range b.open {
		if qualifies(j) {
			b.updateRank(j, now)
			j.rank.Index = len(jobs)
			jobs = append(jobs, j)
			ranks = append(ranks, &j.rank)
		}
	}
	b.order.Sort(ranks)
	out := make([]*job, len(jobs))
	for i, next := range ranks {
		out[i] = jobs[next.Index]
	}
	return out
}

// updateRank brings the job's rank up to date.
func (b *Board) updateRank(j *job, now time.Time) {
	if j.stale {
		j.remaining, j.rank.Density, j.stale = b.criticalPath(j), b.density(j), false
	}
	j.rank.Service = b.serviceOf(j)
	j.rank.Short = now.Sub(b.shortAt[j.rank.Service]) < shortageTerm
	if j.rank.LongRunning {
		j.rank.Overdue = j.overdue(now)
		return
	}
	j.classify(now)
}

// classify sets the class of a job that is not long-running.
func (j *job) classify(now time.Time) {
	objective := j.objective.Sub(j.arrived)
	j.rank.Class, j.rank.Chance = rank.Lateness(now.Sub(j.arrived), objective, j.remaining)
	if j.rank.Class == rank.OnTime {
		return
	}
	switch {
	case j.work.Timed():
		// A later occurrence has its own chance.
		j.rank.Class, j.rank.Chance = rank.Lateness(now.Sub(j.firstDue()), objective, j.remaining)
	case j.rank.Class == rank.Hopeless && j.ageBounded:
		// The age may be that of a wall clock that has jumped.
		j.rank.Class, j.rank.Chance = rank.Lateness(now.Sub(j.seen)+objective, objective, j.remaining)
	}
	j.rank.Class = max(j.rank.Class, rank.Late)
}

// firstDue returns the due time of the first occurrence that is not done.
func (j *job) firstDue() time.Time {
	for _, occ := range j.occurrences {
		if occ.left > 0 {
			return occ.due
		}
	}
	return j.arrived
}

// shortageTerm is how long a service lacks capacity after a task did not fit: a
// few decisions of a slow leader, and the longest time between two reports.
const shortageTerm = time.Second

// recordStart records the start of a task of a waiting job.
func (b *Board) recordStart(j *job, step *stepState, now time.Time) {
	j.rank.Placed = false
	j.updateServed()
	b.order.Started(&j.rank, rank.Start{
		Work:       b.taskWork(j, step.spec),
		RunTime:    b.estimates.runTime(j.work.Queue, step.spec),
		MilliCores: reservedSize(step.spec).MilliCores,
		At:         now,
	})
}

// updateServed brings the part of the job up to date that is running or done.
func (j *job) updateServed() {
	all, waiting := 0.0, 0.0
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			// The estimates of a queue have the same error.
			each := step.spec.Estimate.Seconds() * float64(max(1, step.spec.Size.MilliCores))
			all += each * float64(step.spec.Count)
			waiting += each * float64(step.waiting)
		}
	}
	if all > 0 {
		j.rank.SetServed(1 - waiting/all)
	}
}

// overdue reports whether a long-running task of the job has been down for too
// long.
func (j *job) overdue(now time.Time) bool {
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				absentSince := t.endedAt
				if absentSince.Before(j.arrived) {
					absentSince = j.arrived
				}
				if t.phase == waiting && now.Sub(absentSince) > rank.OverdueAfter {
					return true
				}
			}
		}
	}
	return false
}
