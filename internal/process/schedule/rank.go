package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/rank"
)

// candidate is a job with its rank.
type candidate struct {
	job  *job
	rank rank.Candidate
}

func compareRanks(a, c *candidate) int {
	return rank.Compare(&a.rank, &c.rank)
}

// ranked returns the jobs that qualify, in order.
func (b *Board) ranked(qualifies func(j *job) bool, now time.Time) []*candidate {
	all := make([]candidate, 0, len(b.open))
	out := make([]*candidate, 0, len(b.open))
	for _, j := range b.open {
		if qualifies(j) {
			all = append(all, candidate{
				job:  j,
				rank: b.rankOf(j, now),
			})
			out = append(out, &all[len(all)-1])
		}
	}
	slices.SortFunc(out, compareRanks)
	return out
}

func (b *Board) rankOf(j *job, now time.Time) rank.Candidate {
	if j.stale {
		j.remaining, j.density, j.stale = b.criticalPath(j), b.density(j), false
	}
	longRunning := j.work.LongRunning()
	return rank.Candidate{
		ID:          j.work.ID,
		Overdue:     longRunning && j.overdue(now),
		Priority:    j.priority,
		LongRunning: longRunning,
		Late:        !longRunning && rank.Late(j.objective.Sub(now), j.remaining),
		Density:     j.density,
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
