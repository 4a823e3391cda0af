package quota

import (
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// settleRounds is how many of its revisions a shard keeps a part that has been raised
// for a claim, without starting what the claim was for. Revisions are 100 to 250 ms
// apart, decisions less. Then the part goes to the next claim: what has the
// part may fit on no worker of its shard.
const settleRounds = 4

// claim is what an account needs to start one task, or one gang, that its part of the
// limit is too small for.
type claim struct {
	// unit is the size of the task or gang, zero if there is none.
	unit worker.Size
	// settling counts the revisions for which the raised part is kept for the unit. It is
	// zero unless the part admits the unit.
	settling int
	// tried holds the units that had the part and were not started. They claim again
	// after all others.
	tried []worker.Size
}

// SetUnits sets the sizes of the waiting tasks and gangs of each organisation, in the
// order in which they claim. What waits in an organisation that is missing counts as one
// task.
func (b *Book) SetUnits(units map[string][]worker.Size) {
	b.units = units
}

// unitsOf returns the sizes of what waits in an organisation.
func (b *Book) unitsOf(name string, waiting worker.Size) []worker.Size {
	if units, ok := b.units[name]; ok {
		return units
	}
	if waiting == (worker.Size{}) {
		return nil
	}
	return []worker.Size{waiting}
}

// exceedsAny reports whether a unit on top of what is used exceeds the amount of a
// limited resource that it asks for.
func exceedsAny(unit, used, most, limit Amount) bool {
	for r, need := range unit {
		if limit[r] != 0 && exceeds(need, used[r], most[r]) {
			return true
		}
	}
	return false
}

// usedElsewhere returns what other shards use of a limit. A shard that does not say what
// it uses may use its part.
func (b *Book) usedElsewhere(name string, parts []Amount) Amount {
	total := Amount{}
	for shard, part := range parts {
		if shard == b.shard {
			continue
		}
		used := part
		if want, ok := b.others[shard][name]; ok {
			for r := range used {
				used[r] = min(used[r], want.Used[r])
			}
		}
		for r := range total {
			total[r] += used[r]
		}
	}
	return total
}

// chooseUnit updates the unit that an account claims: the first that its part does not
// admit while the limit does, given what runs in all shards.
func (b *Book) chooseUnit(account *Account, parts []Amount, waiting worker.Size) {
	claim, units := &account.claim, b.unitsOf(account.Name, waiting)
	claim.tried = slices.DeleteFunc(claim.tried, func(unit worker.Size) bool { return !slices.Contains(units, unit) })
	limit, own := amountOf(account.Limit), account.used()
	if claim.settling > 0 && slices.Contains(units, claim.unit) && !exceedsAny(amountOf(claim.unit), own, parts[b.shard], limit) {
		return
	}
	claim.unit, claim.settling = worker.Size{}, 0
	used := b.usedElsewhere(account.Name, parts)
	for r := range used {
		used[r] += own[r]
	}
	again := worker.Size{}
	for _, unit := range units {
		size := amountOf(unit)
		switch {
		case !exceedsAny(size, own, parts[b.shard], limit) || exceedsAny(size, used, limit, limit):
		case !slices.Contains(claim.tried, unit):
			claim.unit = unit
			return
		case again == worker.Size{}:
			again = unit
		}
	}
	if claim.unit = again; again != (worker.Size{}) {
		claim.tried = nil
	}
}

// partChanged begins to keep a part that has been raised for the claimed unit.
func (c *claim) partChanged(before, after Amount, account *Account) {
	unit, used, limit := amountOf(c.unit), account.used(), amountOf(account.Limit)
	if exceedsAny(unit, used, before, limit) && !exceedsAny(unit, used, after, limit) {
		c.settling = settleRounds
	}
}

// settle counts a revision in which the part still admits the claimed unit.
func (c *claim) settle() {
	if c.settling == 0 {
		return
	}
	if c.settling--; c.settling == 0 {
		c.tried = append(c.tried, c.unit)
		c.unit = worker.Size{}
	}
}

// claimant returns the shard whose claim is served, and the part that it needs. It is the
// first with an open claim from the shard that the record names, so that all shards that
// know the same wants choose the same one. It returns -1 if there is none.
func (b *Book) claimant(account *Account, parts []Amount, turn int) (int, Amount) {
	limit, own := amountOf(account.Limit), account.used()
	total := b.usedElsewhere(account.Name, parts)
	for r := range total {
		total[r] += own[r]
	}
	for i := range b.shards {
		shard := (turn + i) % b.shards
		used, unit := own, amountOf(account.claim.unit)
		if shard != b.shard {
			want := b.others[shard][account.Name]
			used, unit = want.Used, want.Unit
		}
		if !exceedsAny(unit, used, parts[shard], limit) || exceedsAny(unit, total, limit, limit) {
			continue
		}
		need := Amount{}
		for r := range need {
			if unit[r] > 0 && limit[r] != 0 {
				need[r] = used[r] + unit[r]
			}
		}
		return shard, need
	}
	return -1, Amount{}
}
