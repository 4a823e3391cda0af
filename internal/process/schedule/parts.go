package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/quota"
)

// SharesQuotas reports whether limits of organisations are divided among shards.
func (b *Board) SharesQuotas() bool {
	return b.config.Shards > 1 && !b.quotas.Empty()
}

// SetQuotaParts puts a record of the parts of limits into force. It must be newer
// than the one before, and no revision without an answer may follow it.
func (b *Board) SetQuotaParts(parts quota.Parts) {
	b.quotas.SetParts(parts)
}

// QuotaWants returns the parts of limits that this shard wants.
func (b *Board) QuotaWants(now time.Time) quota.Wants {
	sizes, units := b.waitingSizes(now)
	b.quotas.SetUnits(units)
	return b.quotas.Wants(sizes)
}

// ReviseQuotaParts returns the record with the changes of this shard, given what
// others want, and false if nothing changes. What this shard gives away is out of
// use until SetQuotaParts or QuotaPartsRefused is called.
func (b *Board) ReviseQuotaParts(others map[int]quota.Wants, now time.Time) (quota.Parts, bool) {
	sizes, units := b.waitingSizes(now)
	b.quotas.SetUnits(units)
	return b.quotas.Revise(sizes, others)
}

// QuotaPartsRefused says that a revision has certainly had no effect.
func (b *Board) QuotaPartsRefused() {
	b.quotas.Refused()
}

// waitingSizes sums up what the waiting tasks that could start ask for, by
// organisation. units holds the different sizes of the tasks and whole gangs
// among them, in the order in which their jobs became known.
func (b *Board) waitingSizes(now time.Time) (sizes map[string]worker.Size, units map[string][]worker.Size) {
	sizes, units = map[string]worker.Size{}, map[string][]worker.Size{}
	known := map[string]map[worker.Size]time.Time{}
	for _, j := range b.open {
		if j.account == nil || j.departing || j.left == j.claims {
			continue
		}
		name := j.account.Name
		if known[name] == nil {
			known[name] = map[worker.Size]time.Time{}
		}
		total := sizes[name]
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if step.waiting == 0 || !occ.ready(step, now) {
					continue
				}
				total = total.Add(quota.Times(step.spec.Size, step.waiting))
				unit := step.startsAtOnce()
				if since, ok := known[name][unit]; !ok || j.seen.Before(since) {
					known[name][unit] = j.seen
				}
			}
		}
		sizes[name] = total
	}
	for name, seen := range known {
		units[name] = slices.SortedFunc(maps.Keys(seen), func(a, c worker.Size) int {
			return cmp.Or(seen[a].Compare(seen[c]), cmp.Compare(a.MilliCores, c.MilliCores),
				cmp.Compare(a.MemoryBytes, c.MemoryBytes), cmp.Compare(a.Accelerators, c.Accelerators))
		})
	}
	return sizes, units
}

// startsAtOnce returns what the step needs to start anything: one task, or a whole gang.
func (s *stepState) startsAtOnce() worker.Size {
	if s.spec.Gang {
		return quota.Times(s.spec.Size, len(s.tasks))
	}
	return s.spec.Size
}
