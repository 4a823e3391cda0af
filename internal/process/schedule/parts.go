package schedule

import (
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
	return b.quotas.Wants(b.waitingSizes(now))
}

// ReviseQuotaParts returns the record with the changes of this shard, given what
// others want, and false if nothing changes. What this shard gives away is out of
// use until SetQuotaParts or QuotaPartsRefused is called.
func (b *Board) ReviseQuotaParts(others map[int]quota.Wants, now time.Time) (quota.Parts, bool) {
	return b.quotas.Revise(b.waitingSizes(now), others)
}

// QuotaPartsRefused says that a revision has certainly had no effect.
func (b *Board) QuotaPartsRefused() {
	b.quotas.Refused()
}

// waitingSizes sums up what the waiting tasks that could start ask for, by
// organisation.
func (b *Board) waitingSizes(now time.Time) map[string]worker.Size {
	out := map[string]worker.Size{}
	for _, j := range b.open {
		if j.account == nil || j.departing || j.left == j.claims {
			continue
		}
		total := out[j.account.Name]
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if step.waiting > 0 && occ.ready(step, now) {
					total = total.Add(quota.Times(step.spec.Size, step.waiting))
				}
			}
		}
		out[j.account.Name] = total
	}
	return out
}
