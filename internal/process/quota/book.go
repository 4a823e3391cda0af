package quota

import (
	"maps"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Book holds the accounts of all organisations known to one leader.
type Book struct {
	accounts map[string]*Account
	// shard is the number of this leader's shard, of shards among which each limit
	// is divided.
	shard, shards int
	// version is that of the configuration in force.
	version int64
	// parts is the newest record that may be used, nil before one was read.
	// lowered holds what a revision without an answer leaves this shard.
	parts   *Parts
	lowered map[string]Amount
	// units holds the sizes of what waits here, others what other shards want.
	units  map[string][]worker.Size
	others map[int]Wants
	// total is the capacity that the organisations share, and activeWeight the sum
	// of the weights of those that use it or wait for it.
	total        worker.Size
	activeWeight float64
}

// NewBook returns the book of one of several shards.
func NewBook(shard, shards int) *Book {
	return &Book{
		accounts: map[string]*Account{},
		shard:    shard,
		shards:   max(1, shards),
	}
}

// Empty reports whether no organisation is known.
func (b *Book) Empty() bool {
	return len(b.accounts) == 0
}

// Account returns the account of an organisation, nil for the empty name.
func (b *Book) Account(name string) *Account {
	if name == "" {
		return nil
	}
	account := b.accounts[name]
	if account == nil {
		account = &Account{
			Name:   name,
			Weight: 1,
		}
		b.accounts[name] = account
	}
	return account
}

// Accounts returns all accounts in no particular order.
func (b *Book) Accounts() []*Account {
	return slices.Collect(maps.Values(b.accounts))
}

// SetOrganisations puts the organisations of a configuration version in force.
// One that is missing from it keeps its last limit for its open jobs.
func (b *Book) SetOrganisations(version int64, organisations map[string]catalog.Organisation) {
	b.version = version
	for name, account := range b.accounts {
		if _, ok := organisations[name]; !ok {
			account.Listed = false
		}
	}
	for name, organisation := range organisations {
		if account := b.Account(name); account != nil {
			account.Weight, account.Listed, account.ordered = organisation.Weight, true, false
			b.setLimit(account, organisation.Limit)
		}
	}
	if b.divided() {
		b.resetBounds()
	}
}

func (b *Book) setLimit(account *Account, limit worker.Size) {
	account.Limit, account.known = limit, true
	b.setBound(account)
}

// Limits returns the last known limit of each organisation, for the next leader.
func (b *Book) Limits() map[string]worker.Size {
	if b.Empty() {
		return nil
	}
	limits := make(map[string]worker.Size, len(b.accounts))
	for name, account := range b.accounts {
		if account.known {
			limits[name] = account.Limit
		}
	}
	return limits
}

// RestoreLimits restores the limits of organisations that are in no
// configuration known so far, as an earlier leader knew them.
func (b *Book) RestoreLimits(limits map[string]worker.Size) {
	for name, limit := range limits {
		if account := b.Account(name); account != nil && !account.known {
			b.setLimit(account, limit)
		}
	}
}

// ClearPossible drops the counts of what may be running on workers that have not
// reported, and AddPossible adds to them.
func (b *Book) ClearPossible() {
	for _, account := range b.accounts {
		account.possible, account.ordered = worker.Size{}, false
	}
}

// AddPossible counts tasks of a size that may be running on workers that have
// not reported.
func (a *Account) AddPossible(size worker.Size, tasks int) {
	a.possible, a.ordered = a.possible.Add(Times(size, tasks)), false
}
