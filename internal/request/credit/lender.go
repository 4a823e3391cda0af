// Package credit divides the slots of runners between entry hosts. One lender
// holds the right to a set of runners and lends their slots for a short term;
// borrowers report the slots that they hold and how many they could use. A
// lender counts a lent slot as used until the borrower has confirmed a smaller
// grant, or until the term and the longest request are certainly over, so that
// the limit of a runner is never exceeded. The package does no I/O.
package credit

import (
	"maps"
	"math"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
)

// LenderConfig configures a Lender.
type LenderConfig struct {
	// Name names the zone and the set of its runners.
	Name string
	// Term is how long a grant may be used, from when the report that it
	// answers was sent.
	Term time.Duration
	// MaxRequestTime is the longest time that a request may run at a runner.
	MaxRequestTime time.Duration
}

// clockDriftDivisor bounds the drift between two clocks: at most 1/50 of the
// elapsed time.
const clockDriftDivisor = 50

// borrowerAccount is what a lender tracks about one borrower.
type borrowerAccount struct {
	incarnation string
	// reportedAt is when the newest report arrived.
	reportedAt time.Time
	// report and grant are the numbers of the newest report and grant.
	report, grant uint64
	// counted is the number of slots counted as used, by runner; never fewer
	// than are in use.
	counted map[string]int
	// demand is how many slots the borrower could use now.
	demand int
	// local means that the borrower is in the lender's zone.
	local bool
}

// Lender lends the slots of a set of runners under one epoch. It is not safe
// for concurrent use.
type Lender struct {
	config LenderConfig
	// epoch is zero while the lender does not lend.
	epoch uint64
	// lendingFrom is when all grants of an earlier lender have certainly ended,
	// so that new slots may be lent.
	lendingFrom time.Time
	// limits is the number of slots by runner; sortedRunners are its keys in
	// order.
	limits        map[string]int
	sortedRunners []string
	// accounts is by borrower, HOST/INCARNATION.
	accounts map[string]*borrowerAccount
	// total is the sum of limits.
	total int
	// lastGrant numbers all grants of an epoch. It is not kept per account, so
	// that a borrower whose account has expired still sees the next grant as
	// newer.
	lastGrant uint64
}

// NewLender returns a lender without runners or accounts.
func NewLender(config LenderConfig) *Lender {
	return &Lender{
		config:   config,
		limits:   map[string]int{},
		accounts: map[string]*borrowerAccount{},
	}
}

// retention is how long the slots of an unresponsive borrower stay counted.
func (l *Lender) retention() time.Duration {
	retention := l.config.Term + l.config.MaxRequestTime
	return retention + retention/clockDriftDivisor
}

// Begin starts lending under an epoch. handover holds the accounts of the
// previous lender; without it, nothing new is lent until all its grants have
// certainly ended.
func (l *Lender) Begin(epoch uint64, handover *message.Handover, now time.Time) {
	l.epoch = epoch
	l.accounts = map[string]*borrowerAccount{}
	l.lendingFrom = now.Add(l.retention())
	if handover == nil {
		return
	}
	l.lendingFrom = now
	for name, entry := range handover.Entries {
		l.accounts[name] = &borrowerAccount{
			incarnation: entry.Incarnation,
			reportedAt:  now,
			counted:     maps.Clone(entry.Counted),
			local:       entry.Local,
		}
	}
}

// Close ends lending and returns the accounts for the next lender, or nil if
// they may be incomplete.
func (l *Lender) Close(now time.Time) *message.Handover {
	if now.Before(l.lendingFrom) {
		return nil // the accounts may lack grants of an earlier lender
	}
	handover := &message.Handover{
		Epoch:   l.epoch,
		Entries: map[string]message.BorrowerLoans{},
	}
	for name, account := range l.accounts {
		handover.Entries[name] = message.BorrowerLoans{
			Incarnation: account.incarnation,
			Counted:     account.counted,
			Local:       account.local,
		}
	}
	l.epoch = 0
	return handover
}

// SetLimits sets the slots by runner; a runner that is left out gets no new
// grants from now on.
func (l *Lender) SetLimits(limits map[string]int) {
	l.limits = limits
	l.sortedRunners = slices.Sorted(maps.Keys(limits))
	l.total = 0
	for _, slots := range limits {
		l.total += slots
	}
}

// Report records a borrower's report and returns the grant that answers it, or
// false if the report is outdated or for another epoch.
func (l *Lender) Report(host string, local bool, report message.CreditReport, now time.Time) (message.CreditGrant, bool) {
	l.expire(now)
	if l.epoch == 0 || report.LenderEpoch != l.epoch {
		return message.CreditGrant{}, false
	}
	name := host + "/" + report.Incarnation
	account := l.accounts[name]
	if account == nil {
		account = &borrowerAccount{
			incarnation: report.Incarnation,
			counted:     map[string]int{},
		}
		l.accounts[name] = account
	}
	if report.Seq <= account.report {
		return message.CreditGrant{}, false
	}
	account.report, account.reportedAt = report.Seq, now
	account.demand, account.local = report.Demand, local
	l.updateCounted(account, report)
	l.lastGrant++
	account.grant = l.lastGrant
	grant := message.CreditGrant{
		Lender:      l.config.Name,
		Epoch:       l.epoch,
		Grant:       account.grant,
		ReportSeq:   report.Seq,
		Slots:       l.slotsFor(name, account, report, now),
		Incarnation: report.Incarnation,
	}
	for runner, slots := range grant.Slots {
		account.counted[runner] = max(account.counted[runner], slots)
	}
	return grant, true
}

// slotsFor returns the slots by runner that a borrower may use from now on.
// Before lendingFrom it confirms only the slots that the borrower already holds
// from the previous lender, which no other borrower can have, and lends no new
// ones.
func (l *Lender) slotsFor(name string, account *borrowerAccount, report message.CreditReport, now time.Time) map[string]int {
	if !now.Before(l.lendingFrom) {
		return l.allocate(name, account)
	}
	kept := map[string]int{}
	for runner, held := range report.Held {
		kept[runner] = min(held, l.available(runner, account))
	}
	return kept
}

// updateCounted lowers the counted slots to what the borrower confirms, if it
// has applied the newest grant. It never counts fewer than the borrower reports
// to hold.
func (l *Lender) updateCounted(account *borrowerAccount, report message.CreditReport) {
	if report.Epoch == l.epoch && report.Grant == account.grant && account.grant > 0 {
		account.counted = map[string]int{}
	}
	for runner, held := range report.Held {
		account.counted[runner] = max(account.counted[runner], held)
	}
}

func (l *Lender) expire(now time.Time) {
	for name, account := range l.accounts {
		if now.Sub(account.reportedAt) > l.retention() {
			delete(l.accounts, name)
		}
	}
}

// weights returns the borrowers in order, with the weights by which the slots
// are divided. Local borrowers come first; those of other zones share what
// local demand leaves.
func (l *Lender) weights() (names []string, weights []float64, sum float64) {
	names = slices.Sorted(maps.Keys(l.accounts))
	weights = make([]float64, len(names))
	local, remote := 0, 0
	for _, name := range names {
		if l.accounts[name].local {
			local += l.accounts[name].demand + 1
		} else {
			remote += l.accounts[name].demand
		}
	}
	available := float64(max(l.total-local, 0))
	for i, name := range names {
		account := l.accounts[name]
		weights[i] = float64(account.demand + 1)
		if !account.local {
			weights[i] = float64(account.demand) * math.Min(1, available/float64(max(remote, 1)))
		}
		sum += weights[i]
	}
	return names, weights, sum
}

// allocate returns one borrower's part of each runner's slots. Cumulative
// weights are rounded with an offset that differs by runner, so that the parts
// of all borrowers add up to each runner's slots and a small part is spread
// over the runners.
func (l *Lender) allocate(name string, account *borrowerAccount) map[string]int {
	names, weights, sum := l.weights()
	if sum == 0 {
		return nil
	}
	low := 0.0
	index := slices.Index(names, name)
	for _, weight := range weights[:index] {
		low += weight / sum
	}
	high := low + weights[index]/sum
	if index == len(names)-1 {
		high = 1
	}
	const goldenRatio = 0.6180339887498949
	slots := map[string]int{}
	for i, runner := range l.sortedRunners {
		limit := float64(l.limits[runner])
		_, offset := math.Modf(float64(i) * goldenRatio)
		portion := int(math.Floor(high*limit+offset)) - int(math.Floor(low*limit+offset))
		if granted := min(portion, l.available(runner, account)); granted > 0 {
			slots[runner] = granted
		}
	}
	return slots
}

// available returns the slots that no other borrower can be using. What the
// borrower itself reports to hold does not raise it: the report may be old, and
// its slots may have been lent to others since.
func (l *Lender) available(runner string, borrower *borrowerAccount) int {
	available := l.limits[runner]
	for _, account := range l.accounts {
		if account != borrower {
			available -= account.counted[runner]
		}
	}
	return max(available, 0)
}

// Counted returns the slots counted as used at a runner, for checks and
// metrics.
func (l *Lender) Counted(runner string) int {
	sum := 0
	for _, account := range l.accounts {
		sum += account.counted[runner]
	}
	return sum
}
