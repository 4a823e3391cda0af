package credit

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
)

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	// Term is how long a grant may be used, from when the report that it
	// answers was sent.
	Term time.Duration
	// Incarnation identifies this run of this host.
	Incarnation string
}

// maxPendingReports is how many reports may wait for their grants.
const maxPendingReports = 64

// lenderAccount is what a borrower tracks about one lender.
type lenderAccount struct {
	// epoch and grant identify the newest grant that was applied.
	epoch, grant uint64
	// seq is the number of the newest report; sendTimes holds, by number, when
	// each report that waits for its grant was sent.
	seq       uint64
	sendTimes map[uint64]time.Time
	// until is when the grant expires.
	until time.Time
	// slots is the number of slots granted, by runner.
	slots map[string]int
}

// Borrower tracks the slots that this host may use. It is not safe for
// concurrent use.
type Borrower struct {
	config BorrowerConfig
	// accounts holds what each lender has granted, by lender name.
	accounts map[string]*lenderAccount
	// lenders names the lender of each runner.
	lenders map[string]string
	// used counts the requests in progress at each runner, including those whose
	// outcome is unknown.
	used map[string]int
}

// NewBorrower returns a borrower without slots.
func NewBorrower(config BorrowerConfig) *Borrower {
	return &Borrower{
		config:   config,
		accounts: map[string]*lenderAccount{},
		lenders:  map[string]string{},
		used:     map[string]int{},
	}
}

// SetLenders sets the lender of each runner.
func (b *Borrower) SetLenders(lenders map[string]string) {
	b.lenders = lenders
}

func (b *Borrower) lenderAccount(lender string) *lenderAccount {
	account := b.accounts[lender]
	if account == nil {
		account = &lenderAccount{
			sendTimes: map[uint64]time.Time{},
		}
		b.accounts[lender] = account
	}
	return account
}

// Report returns the next report to a lender: the slots held at its runners and
// the demand for them.
func (b *Borrower) Report(lender string, demand int, now time.Time) message.CreditReport {
	account := b.lenderAccount(lender)
	account.seq++
	account.sendTimes[account.seq] = now
	delete(account.sendTimes, account.seq-maxPendingReports)
	report := message.CreditReport{
		Lender:      lender,
		Seq:         account.seq,
		Epoch:       account.epoch,
		Grant:       account.grant,
		Held:        map[string]int{},
		Demand:      demand,
		Incarnation: b.config.Incarnation,
	}
	usable := now.Before(account.until)
	for runner, slots := range account.slots {
		if usable && slots > 0 {
			report.Held[runner] = slots
		}
	}
	for runner, used := range b.used {
		if b.lenders[runner] == lender && used > report.Held[runner] {
			report.Held[runner] = used
		}
	}
	return report
}

// Grant applies a grant and reports whether it did; late and repeated grants
// change nothing.
func (b *Borrower) Grant(grant message.CreditGrant) bool {
	account := b.lenderAccount(grant.Lender)
	sentAt, ok := account.sendTimes[grant.ReportSeq]
	if !ok || grant.Incarnation != b.config.Incarnation || grant.Epoch < account.epoch {
		return false
	}
	if grant.Epoch == account.epoch && grant.Grant <= account.grant {
		return false
	}
	account.epoch, account.grant = grant.Epoch, grant.Grant
	account.slots = grant.Slots
	account.until = sentAt.Add(b.config.Term)
	for seq := range account.sendTimes {
		if seq <= grant.ReportSeq {
			delete(account.sendTimes, seq)
		}
	}
	return true
}

// Free returns how many more requests may be sent to a runner now.
func (b *Borrower) Free(runner string, now time.Time) int {
	account := b.accounts[b.lenders[runner]]
	if account == nil || !now.Before(account.until) {
		return 0
	}
	return max(account.slots[runner]-b.used[runner], 0)
}

// Until returns when the slots of a runner expire, zero without a grant.
func (b *Borrower) Until(runner string) time.Time {
	if account := b.accounts[b.lenders[runner]]; account != nil {
		return account.until
	}
	return time.Time{}
}

// Use takes one slot of a runner; the caller has checked that one is free.
func (b *Borrower) Use(runner string) {
	b.used[runner]++
}

// Return gives back one slot of a runner.
func (b *Borrower) Return(runner string) {
	if b.used[runner] <= 1 {
		delete(b.used, runner)
		return
	}
	b.used[runner]--
}

// Used returns the number of requests in progress at a runner.
func (b *Borrower) Used(runner string) int {
	return b.used[runner]
}

// Granted returns the number of unexpired slots from a lender, whether in use
// or not.
func (b *Borrower) Granted(lender string, now time.Time) int {
	account := b.accounts[lender]
	if account == nil || !now.Before(account.until) {
		return 0
	}
	sum := 0
	for _, slots := range account.slots {
		sum += slots
	}
	return sum
}
