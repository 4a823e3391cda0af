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
}

// WaitReport returns why tasks wait now. It goes through all open jobs.
func (b *Board) WaitReport(now time.Time) WaitReport {
	type group struct {
		service, organisation string
	}
	var out WaitReport
	longest := map[group]Waiting{}
	shared := newExplainer(b, now)
	for _, j := range b.open {
		next, waits := shared.explain(j, &out.Tasks)
		if !waits || !next.Room {
			continue
		}
		key := group{
			service:      next.Service,
			organisation: next.Organisation,
		}
		if known, ok := longest[key]; !ok || compareWaiting(next, known) < 0 {
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
