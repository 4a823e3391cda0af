package schedule

import (
	"cmp"
	"time"
)

// candidate is a job with its rank.
type candidate struct {
	job  *job
	rank rank
}

// rank orders jobs: lower goes first, field by field.
type rank struct {
	// overdue jobs have a long-running task that has been down for too long:
	// its users are not served meanwhile, and placing it takes little of the
	// time of a decision.
	overdue bool
	// priority is the queue's.
	priority int
	// longRunning jobs hold their capacity for long and gain little value by
	// it: quick jobs of the same priority go first.
	longRunning bool
	// organisationShare is how much of its fair share the job's organisation
	// uses, zero without organisations.
	organisationShare float64
	// late jobs have missed their objective and have little value left.
	late bool
	// density is the job's value per unit of remaining work: under overload,
	// small jobs and those nearly done go first.
	density float64
}

func compareRanks(a, c candidate) int {
	switch {
	case a.rank.overdue != c.rank.overdue:
		if a.rank.overdue {
			return -1
		}
		return 1
	case a.rank.priority != c.rank.priority:
		return cmp.Compare(a.rank.priority, c.rank.priority)
	case a.rank.longRunning != c.rank.longRunning:
		if a.rank.longRunning {
			return 1
		}
		return -1
	case a.rank.organisationShare != c.rank.organisationShare:
		return cmp.Compare(a.rank.organisationShare, c.rank.organisationShare)
	case a.rank.late != c.rank.late:
		if a.rank.late {
			return 1
		}
		return -1
	case a.rank.density != c.rank.density:
		return cmp.Compare(c.rank.density, a.rank.density)
	}
	return cmp.Compare(a.job.work.ID, c.job.work.ID)
}

func (b *Board) rankOf(j *job, now time.Time) rank {
	if j.stale {
		j.remaining, j.density, j.stale = b.criticalPath(j), b.density(j), false
	}
	slack := j.objective.Sub(now) - j.remaining
	longRunning := j.work.LongRunning()
	return rank{
		overdue:           longRunning && j.overdue(now),
		priority:          j.priority,
		longRunning:       longRunning,
		organisationShare: b.quotas.Order(j.account, now),
		late:              slack < 0 && !longRunning,
		density:           j.density,
	}
}

// overdueAfter is how long a long-running task may be down before it goes
// first: a third of the time after which its users consider it lost.
const overdueAfter = 2 * time.Second

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
				if t.phase == waiting && now.Sub(absentSince) > overdueAfter {
					return true
				}
			}
		}
	}
	return false
}
