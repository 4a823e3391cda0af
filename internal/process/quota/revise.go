package quota

import (
	"maps"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Wants holds the part of each organisation's limit that a shard wants.
type Wants map[string]Amount

// divided reports whether the limits are divided among several shards.
func (b *Book) divided() bool {
	return b.shards > 1
}

// SetParts puts a record into force, which is newer than the one before. No commit
// of this leader without an answer may follow it: that would lower its part.
func (b *Book) SetParts(parts Parts) {
	b.parts = &parts
	b.lowered = nil
	b.resetBounds()
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

// Wants returns what this shard wants of each limit beyond its part, given what
// the waiting tasks ask for.
func (b *Book) Wants(waiting map[string]worker.Size) Wants {
	out := Wants{}
	if b.parts == nil {
		return out
	}
	for name, account := range b.accounts {
		parts := b.parts.Organisations[name]
		if parts == nil {
			continue
		}
		want := wanted(account.used(), amountOf(waiting[name]))
		for r := range want {
			if account.Limit != (worker.Size{}) && want[r] > parts[b.shard][r] {
				out[name] = want
				break
			}
		}
	}
	return out
}

// Revise returns the record with the changes that this shard makes, given what
// its waiting tasks ask for and what other shards want. What it lowers in its own part is out of use at once. It reports false if
// nothing changes.
func (b *Book) Revise(waiting map[string]worker.Size, others map[int]Wants) (Parts, bool) {
	if !b.divided() || b.parts == nil || b.lowered != nil {
		return Parts{}, false
	}
	next := Parts{
		Version:       max(b.version, b.parts.Version),
		Organisations: maps.Clone(b.parts.Organisations),
	}
	if next.Organisations == nil {
		next.Organisations = map[string][]Amount{}
	}
	mayRaise, changed := b.version >= b.parts.Version, b.version > b.parts.Version
	lowered := map[string]Amount{}
	for name, account := range b.accounts {
		before := b.parts.Organisations[name]
		after := b.reviseAccount(account, before, amountOf(waiting[name]), others, mayRaise)
		if slices.Equal(before, after) {
			continue
		}
		changed, next.Organisations[name] = true, after
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

func (b *Book) reviseAccount(account *Account, before []Amount, waiting Amount, others map[int]Wants, mayRaise bool) []Amount {
	limit, used := amountOf(account.Limit), account.used()
	switch {
	case !account.known:
		return before
	case before == nil && !mayRaise:
		return nil
	case before == nil:
		return equalParts(limit, b.shards)
	}
	after := slices.Clone(before)
	want := wanted(used, waiting)
	for r := range limit {
		column, wants := make([]int64, b.shards), make([]int64, b.shards)
		for shard := range column {
			column[shard] = before[shard][r]
			wants[shard] = others[shard][account.Name][r]
		}
		wants[b.shard] = want[r]
		reviseResource(column, b.shard, limit[r], used[r], wants, mayRaise)
		for shard := range column {
			after[shard][r] = column[shard]
		}
	}
	return after
}

func (a *Account) used() Amount {
	return amountOf(a.running.Add(a.possible))
}

// Refused says that the revision has certainly had no effect.
func (b *Book) Refused() {
	b.lowered = nil
	b.resetBounds()
}
