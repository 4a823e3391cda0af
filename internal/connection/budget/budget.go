// Package budget counts the connections of a process's callers and the memory
// that their requests hold, and decides which of them gives way when either is
// used up. It closes no connection itself.
package budget

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	// ErrFull means that the budget is used up and that no connection is stalled
	// that could give way.
	ErrFull = errors.New("budget of callers' connections is used up")
	// ErrClosed means that the account's connection is closed.
	ErrClosed = errors.New("connection closed")
)

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// Waiting means that no request is in progress.
	Waiting Phase = iota
	// Receiving means that a part of a request has arrived.
	Receiving
	// Serving means that a request has arrived in full. The connection never
	// gives way.
	Serving
	// Sending means that an answer is being written.
	Sending
)

var phaseNames = [...]string{"waiting", "receiving", "serving", "sending"}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	return phaseNames[p]
}

// Config configures a Budget.
type Config struct {
	// Connections is the most open connections, at least one.
	Connections int
	// Bytes is the memory that all requests may hold together. Each connection
	// has memory of its own beside it, for its buffers.
	Bytes int64
	// Reserve is the part of Bytes that only small requests may use.
	Reserve int64
	// StallTime is how long a connection may take for ProgressBytes, or for the
	// rest of what it receives or sends, before it counts as stalled.
	StallTime time.Duration
	// ProgressBytes is above zero.
	ProgressBytes int64
	// Evicted is called for each connection that gives way, with what it was
	// doing.
	Evicted func(phase Phase)
	Clock   func() time.Time
}

// Budget grants memory and connections. It is safe for concurrent use.
type Budget struct {
	config Config

	mu sync.Mutex
	// accounts holds the accounts whose connection is open.
	accounts map[*Account]bool
	// granted is the sum of what all accounts hold, at most config.Bytes.
	granted int64
	// leaving is the part of granted that closed connections hold. It is returned
	// as soon as their handlers notice.
	leaving int64
	// waiters are the grants that wait for memory that is leaving, in order.
	waiters []*waiter
	// peak holds the largest values of Use since the last call.
	peak Use
}

// Use is how much of a budget is used.
type Use struct {
	Connections int
	Bytes       int64
}

// Vars returns the limits and the use of the budget for expvar.
func (b *Budget) Vars() any {
	now, peak := b.Use()
	return map[string]any{
		"connections":      now.Connections,
		"connections_peak": peak.Connections,
		"connections_max":  b.config.Connections,
		"bytes":            now.Bytes,
		"bytes_peak":       peak.Bytes,
		"bytes_max":        b.config.Bytes,
	}
}

// Account is what one connection uses of a budget. Its methods are safe for
// concurrent use.
type Account struct {
	budget *Budget
	// close closes the connection. It may call Close.
	close func()

	// The fields below are guarded by the budget's mutex.

	open  bool
	phase Phase
	// since is when the phase began, progressAt when the last ProgressBytes were
	// complete, and progress the bytes since then.
	since, progressAt time.Time
	progress          int64
	// held is granted to the account.
	held int64
	// handled is set while a handler uses the granted memory.
	handled bool
}

// waiter is a grant that waits.
type waiter struct {
	account *Account
	bytes   int64
	small   bool
	// done is closed when the bytes are granted, or when the account is closed,
	// which sets denied.
	done   chan struct{}
	denied bool
}

// New returns a Budget.
func New(config Config) *Budget {
	return &Budget{
		config:   config,
		accounts: map[*Account]bool{},
	}
}

// Open returns an account for a new connection. If there are too many, one that
// waits for a request or is stalled gives way; close is called for it. Errors:
// ErrFull.
func (b *Budget) Open(closeConnection func()) (*Account, error) {
	b.mu.Lock()
	var victim *Account
	if len(b.accounts) >= b.config.Connections {
		if victim = b.victimForPlace(); victim == nil {
			b.mu.Unlock()
			return nil, ErrFull
		}
		b.remove(victim)
	}
	now := b.config.Clock()
	opened := &Account{
		budget:     b,
		close:      closeConnection,
		open:       true,
		since:      now,
		progressAt: now,
	}
	b.accounts[opened] = true
	b.peak.Connections = max(b.peak.Connections, len(b.accounts))
	b.mu.Unlock()
	if victim != nil {
		b.evict(victim)
	}
	return opened, nil
}

// Use returns the present use, and the largest values since the last call.
func (b *Budget) Use() (now, peak Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = Use{
		Connections: len(b.accounts),
		Bytes:       b.granted,
	}
	peak, b.peak = b.peak, now
	return now, peak
}

// Take adds bytes to what the account holds; small says that the whole request is
// small, so that it may use the reserve. If the budget is used up, stalled
// connections give way and their memory is waited for. Errors: ErrFull, ErrClosed,
// that of the context. A nil account has no limit.
func (a *Account) Take(ctx context.Context, bytes int64, small bool) error {
	if a == nil {
		return nil
	}
	waiting, victims, err := a.request(bytes, small)
	for _, victim := range victims {
		a.budget.evict(victim)
	}
	if waiting == nil {
		return err
	}
	select {
	case <-waiting.done:
		if waiting.denied {
			return ErrClosed
		}
		return nil
	case <-ctx.Done():
		return a.withdraw(ctx, waiting)
	}
}

// request grants the bytes at once, or returns a waiter for them and the
// connections that must be closed for it.
func (a *Account) request(bytes int64, small bool) (*waiter, []*Account, error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.open {
		return nil, nil, ErrClosed
	}
	if len(b.waiters) == 0 && b.granted+bytes <= b.limit(small) {
		b.grant(a, bytes)
		return nil, nil, nil
	}
	asked := bytes
	for _, earlier := range b.waiters {
		asked += earlier.bytes
	}
	var victims []*Account
	for b.granted-b.leaving+asked > b.limit(small) {
		victim := b.stalled(func(each *Account) bool { return each != a && each.held > 0 })
		if victim == nil {
			return nil, victims, ErrFull
		}
		b.remove(victim)
		victims = append(victims, victim)
	}
	added := &waiter{
		account: a,
		bytes:   bytes,
		small:   small,
		done:    make(chan struct{}),
	}
	b.waiters = append(b.waiters, added)
	b.serveWaiters()
	return added, victims, nil
}

// withdraw ends the wait for a grant.
func (a *Account) withdraw(ctx context.Context, waiting *waiter) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, each := range b.waiters {
		if each == waiting {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			return ctx.Err()
		}
	}
	if waiting.denied {
		return ErrClosed
	}
	return nil // granted meanwhile
}

// SetPhase notes what the connection is doing from now on.
func (a *Account) SetPhase(phase Phase) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Clock()
	a.phase, a.since, a.progressAt, a.progress = phase, now, now, 0
}

// Progress notes that bytes were received or sent.
func (a *Account) Progress(bytes int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.progress += int64(bytes); a.progress >= b.config.ProgressBytes {
		a.progressAt, a.progress = b.config.Clock(), 0
	}
}

// BeginRequest notes that a handler uses the granted memory until EndRequest.
func (a *Account) BeginRequest() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.handled = true
}

// EndRequest returns all memory of the account.
func (a *Account) EndRequest() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.handled = false
	b.release(a)
}

// Close returns the connection, and its memory unless a handler still uses it.
// It may be called more than once.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(a)
	if !a.handled {
		b.release(a)
	}
}

// CloseStalled closes all connections that are stalled.
func (b *Budget) CloseStalled() {
	for {
		b.mu.Lock()
		victim := b.stalled(func(*Account) bool { return true })
		if victim == nil {
			b.mu.Unlock()
			return
		}
		b.remove(victim)
		b.mu.Unlock()
		b.evict(victim)
	}
}

// evict closes a connection that has been removed.
func (b *Budget) evict(victim *Account) {
	b.mu.Lock()
	phase := victim.phase
	b.mu.Unlock()
	b.config.Evicted(phase)
	victim.close()
}

// victimForPlace returns the connection that gives way to a new one: the one that
// has waited longest for a request, or else a stalled one. It is nil if there is
// none.
func (b *Budget) victimForPlace() *Account {
	var found *Account
	for each := range b.accounts {
		if each.phase == Waiting && (found == nil || each.since.Before(found.since)) {
			found = each
		}
	}
	if found != nil {
		return found
	}
	return b.stalled(func(*Account) bool { return true })
}

// stalled returns, of the stalled connections for which may is true, the one that
// has held most for longest without progress; nil if there is none.
func (b *Budget) stalled(may func(each *Account) bool) *Account {
	var found *Account
	now, most := b.config.Clock(), time.Duration(-1)
	for each := range b.accounts {
		idle := now.Sub(each.progressAt)
		weight := idle * time.Duration(1+each.held/b.config.ProgressBytes)
		if each.phase != Receiving && each.phase != Sending || idle < b.config.StallTime || weight <= most || !may(each) {
			continue
		}
		found, most = each, weight
	}
	return found
}

// limit returns how much may be granted in all.
func (b *Budget) limit(small bool) int64 {
	if small {
		return b.config.Bytes
	}
	return b.config.Bytes - b.config.Reserve
}

func (b *Budget) grant(a *Account, bytes int64) {
	a.held += bytes
	b.granted += bytes
	b.peak.Bytes = max(b.peak.Bytes, b.granted)
}

// remove ends the connection of an account, and its waits.
func (b *Budget) remove(a *Account) {
	if !a.open {
		return
	}
	a.open = false
	delete(b.accounts, a)
	b.leaving += a.held
	for _, each := range b.waiters {
		if each.account == a {
			each.denied = true
		}
	}
	b.serveWaiters()
}

// release returns the memory of an account.
func (b *Budget) release(a *Account) {
	b.granted -= a.held
	if !a.open {
		b.leaving -= a.held
	}
	a.held = 0
	b.serveWaiters()
}

// serveWaiters grants what fits, in order. A large grant that does not fit holds
// up no small one.
func (b *Budget) serveWaiters() {
	kept := b.waiters[:0]
	for _, each := range b.waiters {
		switch {
		case each.denied:
			close(each.done)
		case b.granted+each.bytes > b.limit(each.small):
			kept = append(kept, each)
		default:
			b.grant(each.account, each.bytes)
			close(each.done)
		}
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}
