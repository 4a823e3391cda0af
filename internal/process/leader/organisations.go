package leader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// maxLoggedOrganisations limits the organisations named in one summary.
const maxLoggedOrganisations = 5

// summariseOrganisations logs the use of the organisations: totals, and those
// with the most tasks held back.
func (t *term) summariseOrganisations(now time.Time) {
	organisations := t.leader.board.Organisations(now)
	if len(organisations) == 0 {
		return
	}
	waiting, held, unknown, uncertain := 0, 0, 0, int64(0)
	for _, each := range organisations {
		waiting += each.Waiting
		held += each.Held
		uncertain += each.Possible.MilliCores
		if !each.Known {
			unknown += each.Waiting
		}
	}
	counts := t.leader.config.Counts
	counts.Add("quota_held_task_seconds", int64(held))
	counts.Add("quota_limit_unknown_task_seconds", int64(unknown))
	klog.InfoS("organisations", "shard", t.leader.config.Shard, "token", t.token, "known", len(organisations), "waiting", waiting,
		"held", held, "limit_unknown", unknown, "uncertain", uncertain, "most_held", describeMostHeld(organisations))
}

// describeMostHeld describes the organisations with the most tasks held back.
func describeMostHeld(organisations []schedule.Organisation) []string {
	slices.SortStableFunc(organisations, func(a, c schedule.Organisation) int {
		return cmp.Or(cmp.Compare(c.Held, a.Held), cmp.Compare(c.Share, a.Share))
	})
	var out []string
	for _, each := range organisations[:min(len(organisations), maxLoggedOrganisations)] {
		out = append(out, fmt.Sprintf("%s: held %d of %d, share %.3f, cores %d + %d of %d, memory %d + %d of %d, accelerators %d + %d of %d",
			each.Name, each.Held, each.Waiting, each.Share,
			each.Use.MilliCores, each.Possible.MilliCores, each.Limit.MilliCores,
			each.Use.MemoryBytes, each.Possible.MemoryBytes, each.Limit.MemoryBytes,
			each.Use.Accelerators, each.Possible.Accelerators, each.Limit.Accelerators))
	}
	return out
}
