package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
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
	// Down counts the long-running tasks that are down, by reason. LongestDown has those
	// that have been down for longest, FollowedDown those that were asked for, by key.
	Down         Reasons
	LongestDown  []DownTask
	FollowedDown map[string]Waiting
}

// WaitRequest selects what a WaitReport describes.
type WaitRequest struct {
	// FollowsJob and FollowsTask report whether a job or a long-running task is
	// described, however short its wait.
	FollowsJob  func(id string) bool
	FollowsTask func(key work.TaskKey) bool
	// LongestDown has up to MaxDown tasks that have been down for MinDown or longer.
	MaxDown int
	MinDown time.Duration
	// Elsewhere holds the loads of the other shards, by service.
	Elsewhere map[string][]shard.Load
}

// WaitReport returns why tasks wait now. It goes through all open jobs.
func (b *Board) WaitReport(asked WaitRequest, now time.Time) WaitReport {
	type group struct {
		service, organisation string
	}
	out := WaitReport{
		Followed: map[string]Waiting{},
	}
	longest := map[group]Waiting{}
	shared := newExplainer(b, now)
	shared.elsewhere = asked.Elsewhere
	for _, j := range b.open {
		next, waits := shared.explain(j, &out.Tasks)
		if !waits {
			continue
		}
		if asked.FollowsJob(next.Job) {
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
	shared.reportDown(&out, asked)
	return out
}

// compareWaiting orders jobs by how long they have waited, the longest first.
func compareWaiting(a, c Waiting) int {
	return cmp.Or(a.Since.Compare(c.Since), cmp.Compare(a.Job, c.Job))
}
