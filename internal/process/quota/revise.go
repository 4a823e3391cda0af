package quota

import (
	"maps"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Wants holds what a shard wants of each organisation's limit.
type Wants map[string]Want

// Want is what a shard wants of one limit.
type Want struct {
	// Part is the part that it needs for its use, all that waits and some headroom, Used
	// what it has in use.
	Part, Used Amount
	// Unit is the size of one task or gang that its part does not admit while the limit
	// does, zero if there is none.
	Unit Amount
}

// divided reports whether the limits are divided among several shards.
func (b *Book) divided() bool {
	return b.shards > 1
}

// SetParts puts a record into force, which is newer than the one before. No commit
// of this leader without an answer may follow it: that would lower its part.
func (b *Book) SetParts(parts Parts) {
	before := b.parts
	b.parts = &parts
	b.lowered = nil
	b.resetBounds()
	if before == nil {
		return
	}
	for name, account := range b.accounts {
		was, is := before.Organisations[name], parts.Organisations[name]
		if was != nil && is != nil {
			account.claim.partChanged(was[b.shard], is[b.shard], account)
		}
	}
}

func (b *Book) resetBounds() {
	for _, account := range b.accounts {
		b.setBound(account)
	}
}

// setBound derives the bound of an account from its limit and this shard's part.
func (b *Book) setBound(account *Account) {
	switch {
	case !b.divided():
		account.bound = Bound(account.Limit)
	case b.parts == nil || b.parts.Version < b.version || b.parts.Organisations[account.Name] == nil:
		// A record of the version in force, or of a later one, has all that was
		// raised under the limits of earlier versions.
		account.bound = worker.Size{}
	default:
		parts := b.parts.Organisations[account.Name]
		own := parts[b.shard]
		if lowered, ok := b.lowered[account.Name]; ok {
			for r := range own {
				own[r] = min(own[r], lowered[r])
			}
		}
		account.bound = boundOfPart(parts, own, amountOf(account.Limit))
	}
}

// Wants returns what this shard wants of each limit, given what the waiting tasks ask
// for: of those of which it wants more than its part, and those of which another shard
// does, which needs to know what is in use here.
func (b *Book) Wants(waiting map[string]worker.Size) Wants {
	out := Wants{}
	if b.parts == nil {
		return out
	}
	for name, account := range b.accounts {
		parts := b.parts.Organisations[name]
		if parts == nil || account.Limit == (worker.Size{}) {
			continue
		}
		want := Want{
			Part: wanted(account.used(), amountOf(waiting[name])),
			Used: account.used(),
		}
		if !wantsMore(want.Part, parts[b.shard]) && !b.wantedElsewhere(name, parts) {
			continue
		}
		b.chooseUnit(account, parts, waiting[name])
		if account.claim.settling == 0 {
			want.Unit = amountOf(account.claim.unit)
		}
		out[name] = want
	}
	return out
}

// wantsMore reports whether a wanted part exceeds the present one.
func wantsMore(want, part Amount) bool {
	for r := range want {
		if want[r] > part[r] {
			return true
		}
	}
	return false
}

// wantedElsewhere reports whether another shard wants more than its part.
func (b *Book) wantedElsewhere(name string, parts []Amount) bool {
	for shard, wants := range b.others {
		if want, ok := wants[name]; ok && shard < len(parts) && wantsMore(want.Part, parts[shard]) {
			return true
		}
	}
	return false
}

// Revise returns the record with the changes that this shard makes, given what
// its waiting tasks ask for and what other shards want. What it lowers in its own part is
// out of use at once. It reports false if nothing changes.
func (b *Book) Revise(waiting map[string]worker.Size, others map[int]Wants) (Parts, bool) {
	b.others = others
	if !b.divided() || b.parts == nil || b.lowered != nil {
		return Parts{}, false
	}
	next := Parts{
		Version:       max(b.version, b.parts.Version),
		Organisations: maps.Clone(b.parts.Organisations),
		Turns:         b.parts.Turns,
	}
	if next.Organisations == nil {
		next.Organisations = map[string][]Amount{}
	}
	mayRaise, changed := b.version >= b.parts.Version, b.version > b.parts.Version
	lowered := map[string]Amount{}
	for name, account := range b.accounts {
		before := b.parts.Organisations[name]
		after, served := b.reviseAccount(account, before, waiting[name], mayRaise)
		if slices.Equal(before, after) {
			continue
		}
		changed, next.Organisations[name] = true, after
		if served >= 0 {
			next.Turns = maps.Clone(next.Turns)
			if next.Turns == nil {
				next.Turns = map[string]int{}
			}
			next.Turns[name] = (served + 1) % b.shards
		}
		if before != nil {
			lowered[name] = after[b.shard]
		}
	}
	if !changed {
		return Parts{}, false
	}
	b.lowered = lowered
	b.resetBounds()
	return next, true
}

// reviseAccount returns the parts of one organisation after the changes of this shard,
// and the shard whose claim they complete, -1 if there is none.
func (b *Book) reviseAccount(account *Account, before []Amount, waiting worker.Size, mayRaise bool) ([]Amount, int) {
	limit, used := amountOf(account.Limit), account.used()
	switch {
	case !account.known:
		return before, -1
	case before == nil && !mayRaise:
		return nil, -1
	case before == nil:
		return equalParts(limit, b.shards), -1
	}
	b.chooseUnit(account, before, waiting)
	kept := used
	if account.claim.settling > 0 {
		for r, unit := range amountOf(account.claim.unit) {
			kept[r] += unit
		}
	}
	account.claim.settle()
	claimant, claimed := b.claimant(account, before, b.parts.Turns[account.Name])
	after := slices.Clone(before)
	want := wanted(used, amountOf(waiting))
	for r := range limit {
		column, wants := make([]int64, b.shards), make([]int64, b.shards)
		for shard := range column {
			column[shard] = before[shard][r]
			wants[shard] = b.others[shard][account.Name].Part[r]
		}
		wants[b.shard] = want[r]
		change := revision{
			own:      b.shard,
			limit:    limit[r],
			used:     used[r],
			kept:     kept[r],
			wants:    wants,
			claimant: claimant,
			claimed:  claimed[r],
			mayRaise: mayRaise,
		}
		change.revise(column)
		for shard := range column {
			after[shard][r] = column[shard]
		}
	}
	if claimant >= 0 && !wantsMore(claimed, after[claimant]) {
		return after, claimant
	}
	return after, -1
}

func (a *Account) used() Amount {
	return amountOf(a.running.Add(a.possible))
}

// Refused says that the revision has certainly had no effect.
func (b *Book) Refused() {
	b.lowered = nil
	b.resetBounds()
}
