// Package permit decides whether tasks may start in a zone: only while the
// version in force was confirmed as the current one less than a term ago. The
// package does no I/O; the caller passes in each confirmation with a time after
// which it was true.
package permit

import "time"

// Config configures a Permit.
type Config struct {
	// Term is how long a confirmation is valid.
	Term time.Duration
}

// Permit is one host's permission to start tasks. It is not safe for concurrent
// use.
type Permit struct {
	config Config
	// version is the version in force on this host, 0 for none.
	version uint64
	// confirmedAt is a time at which the store certainly held no later release
	// note.
	confirmedAt time.Time
	// notAccepting is, by host, a time at which the host could not reach the
	// store and was not accepting a release note.
	notAccepting map[string]time.Time
}

// New returns a permit that allows no starts yet.
func New(config Config) *Permit {
	return &Permit{
		config:       config,
		notAccepting: map[string]time.Time{},
	}
}

// InForce records the version that this host now applies. Confirmations of an
// older version no longer count.
func (p *Permit) InForce(version uint64) {
	if version <= p.version {
		return
	}
	p.version = version
	p.confirmedAt = time.Time{}
}

// Confirmed records that the version was the newest at a time after asOf.
func (p *Permit) Confirmed(version uint64, asOf time.Time) {
	if version == p.version && asOf.After(p.confirmedAt) {
		p.confirmedAt = asOf
	}
}

// ConfirmedAt returns the newest confirmation, zero if there is none.
func (p *Permit) ConfirmedAt() time.Time {
	return p.confirmedAt
}

// NotAccepting records that a host with the version in force could not reach
// the store and was not accepting a release note at a time after asOf.
func (p *Permit) NotAccepting(host string, version uint64, asOf time.Time) {
	if version != p.version {
		delete(p.notAccepting, host)
		return
	}
	if asOf.After(p.notAccepting[host]) {
		p.notAccepting[host] = asOf
	}
}

// MayAccept withdraws the last NotAccepting of a host.
func (p *Permit) MayAccept(host string) {
	delete(p.notAccepting, host)
}

// Until returns when the permit expires without a further confirmation, zero
// without a valid one. hosts are all hosts that could accept a release note:
// every known host that is not proved dead, including this one.
func (p *Permit) Until(hosts []string) time.Time {
	if p.version == 0 {
		return time.Time{}
	}
	until := p.confirmedAt.Add(p.config.Term)
	if p.confirmedAt.IsZero() {
		until = time.Time{}
	}
	if notAccepting := p.notAcceptingUntil(hosts); notAccepting.After(until) {
		return notAccepting
	}
	return until
}

// notAcceptingUntil returns a term after the earliest time in notAccepting,
// zero unless every host has one.
func (p *Permit) notAcceptingUntil(hosts []string) time.Time {
	var earliest time.Time
	for i, host := range hosts {
		at, ok := p.notAccepting[host]
		if !ok {
			return time.Time{}
		}
		if i == 0 || at.Before(earliest) {
			earliest = at
		}
	}
	if len(hosts) == 0 {
		return time.Time{}
	}
	return earliest.Add(p.config.Term)
}
