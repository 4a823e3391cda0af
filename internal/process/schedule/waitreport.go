package schedule

import (
	"cmp"
	"slices"
	"time"
)

// WaitReport sums up why tasks of ready steps do not run.
type WaitReport struct {
	// Tasks counts them by reason.
	Tasks Reasons
	// Longest has, for each service and organisation, the job that has waited longest
	// of those with room. The longest wait goes first.
	Longest []Waiting
	// Followed has the jobs that were asked for and of which nothing runs.
	Followed map[string]Waiting
}

// WaitReport returns why tasks wait now, and the jobs of which nothing runs among
// those that are followed. It goes through all open jobs.
func (b *Board) WaitReport(followed func(id string) bool, now time.Time) WaitReport {
	type group struct {
		service, organisation string
	}
	out := WaitReport{
		Followed: map[string]Waiting{},
	}
	longest := map[group]Waiting{}
	shared := newExplainer(b, now)
	for _, j := range b.open {
		next, waits := shared.explain(j, &out.Tasks)
		if !waits {
			continue
		}
		if followed(next.Job) {
			out.Followed[next.Job] = next
		}
		key := group{
			service:      next.Service,
			organisation: next.Organisation,
		}
		if known, ok := longest[key]; ok && compareWaiting(known, next) < 0 {
			continue
		}
		if next.Room = shared.hasRoom(j, next.Task); next.Room {
			longest[key] = next
		}
	}
	for _, next := range longest {
		out.Longest = append(out.Longest, next)
	}
	slices.SortFunc(out.Longest, compareWaiting)
	return out
}

// compareWaiting orders jobs by how long they have waited, the longest first.
func compareWaiting(a, c Waiting) int {
	return cmp.Or(a.Since.Compare(c.Since), cmp.Compare(a.Job, c.Job))
}
