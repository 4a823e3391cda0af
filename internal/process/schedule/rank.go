package schedule

import (
	"cmp"
	"time"
)

// candidate is a job with the order in which it is served.
type candidate struct {
	job  *job
	rank rank
}

// rank orders jobs: lower goes first, field by field.
type rank struct {
	// overdue jobs have a lasting task that has been away for long: its users
	// are not served meanwhile, and it needs little of a decision.
	overdue bool
	// priority is the queue's.
	priority int
	// lasting jobs hold their room for long and earn little with it: quick ones
	// of the same priority go first.
	lasting bool
	// late jobs have missed their objective and earn little.
	late bool
	// density is what the job is worth for each core-second that it still
	// needs: with more work than room, small jobs and those nearly done first.
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
	case a.rank.lasting != c.rank.lasting:
		if a.rank.lasting {
			return 1
		}
		return -1
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
		j.todo, j.density, j.stale = b.remaining(j), b.density(j), false
	}
	slack := j.objective.Sub(now) - j.todo
	lasting := j.work.Lasting()
	return rank{
		overdue:  lasting && j.overdue(now),
		priority: j.priority,
		lasting:  lasting,
		late:     slack < 0 && !lasting,
		density:  j.density,
	}
}

// overdueAfter is how long a lasting task may be away before it goes before all
// else: a third of the time after which its users count it as lost.
const overdueAfter = 2 * time.Second

// overdue tells whether a lasting task of the job has been away for long.
func (j *job) overdue(now time.Time) bool {
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			for _, t := range step.tasks {
				away := t.over
				if away.Before(j.arrived) {
					away = j.arrived
				}
				if t.phase == waiting && now.Sub(away) > overdueAfter {
					return true
				}
			}
		}
	}
	return false
}
