// Package runner tracks the health of each runner as seen by an entry host and
// chooses the runner for the next request. It does no I/O and reads no clock.
package runner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Entry is a runner in the platform's discovery list.
type Entry struct {
	ID, Zone, Service string
	Address           netip.AddrPort
	// Leaving means that the runner is sent no new requests.
	Leaving bool
}

// Config configures a Table.
type Config struct {
	// Zone is the zone of this host.
	Zone string
	// Random draws the two candidates that are compared.
	Random *rand.Rand
}

// Table holds the state of all runners. It is not safe for concurrent use.
type Table struct {
	config  Config
	runners map[string]*runnerState
	// byService lists runner IDs in the order of the discovery list.
	byService map[string][]string
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{
		config:    config,
		runners:   map[string]*runnerState{},
		byService: map[string][]string{},
	}
}

// Set replaces the discovery list. The state of runners that remain with the
// same address is kept. Runners of the first list skip the slow start.
func (t *Table) Set(entries []Entry, now time.Time) {
	kept := map[string]*runnerState{}
	t.byService = map[string][]string{}
	initial := len(t.runners) == 0
	for _, entry := range entries {
		state := t.runners[entry.ID]
		if state == nil || state.entry.Address != entry.Address {
			state = &runnerState{
				slowStartAt: now,
				sent:        map[uint64]time.Time{},
			}
			if initial {
				state.slowStartAt = now.Add(-slowStartPeriod)
			}
		}
		state.update(entry, now)
		kept[entry.ID] = state
		t.byService[entry.Service] = append(t.byService[entry.Service], entry.ID)
	}
	t.runners = kept
}

// RecordLeaving records that a runner has itself reported that it is leaving.
func (t *Table) RecordLeaving(id string, now time.Time) {
	if state := t.runners[id]; state != nil {
		state.entry.Leaving = true
		state.leavingUntil = now.Add(maxDiscoveryLag)
	}
}

// Entry returns the entry of a runner.
func (t *Table) Entry(id string) (Entry, bool) {
	if state := t.runners[id]; state != nil {
		return state.entry, true
	}
	return Entry{}, false
}

// Of returns the IDs of a service's runners.
func (t *Table) Of(service string) []string {
	return t.byService[service]
}

// RecordSend records that a request was sent to a runner.
func (t *Table) RecordSend(id string, attempt uint64, now time.Time) {
	if state := t.runners[id]; state != nil {
		state.sent[attempt] = now
		state.probing = !state.ejectedUntil.IsZero()
	}
}

// Verdict is the outcome of a request with regard to the runner's health.
type Verdict int

// The verdicts. Abandoned means that this host gave up on the request, which
// shows neither success nor failure.
const (
	Success Verdict = iota
	Failure
	Abandoned
)

// RecordEnd records the outcome of a request.
func (t *Table) RecordEnd(id string, attempt uint64, verdict Verdict, now time.Time) {
	state := t.runners[id]
	if state == nil {
		return
	}
	sent, ok := state.sent[attempt]
	if !ok {
		return // sent to an earlier runner with the same ID
	}
	took := now.Sub(sent)
	delete(state.sent, attempt)
	state.probing = false
	switch verdict {
	case Success:
		state.recordOutcome(false)
		state.recordLatency(took)
		state.readmit(now)
	case Failure:
		state.recordOutcome(true)
		t.evaluate(state, now)
	case Abandoned:
		state.recordLatency(max(took, state.latency))
	}
}

// evaluate ejects a runner that is failing, or ejects it again after a failed
// probe. Each ejection lasts twice as long as the one before, up to
// maxEjection.
func (t *Table) evaluate(state *runnerState, now time.Time) {
	probe := !state.ejectedUntil.IsZero()
	if !probe && (!state.failing() || !t.mayEject(state.entry.Service)) {
		return
	}
	wait := min(minEjection<<min(state.ejections, maxEjectionDoublings), maxEjection)
	state.ejections++
	state.ejectedUntil = now.Add(wait)
}

// mayEject caps ejections, so that a faulty release does not eject most of a
// service's runners.
func (t *Table) mayEject(service string) bool {
	limit := max(maxEjectedFraction*float64(len(t.byService[service])), 1)
	return float64(t.Ejected(service)+1) <= limit
}

// Ejected returns the number of ejected runners of a service.
func (t *Table) Ejected(service string) int {
	count := 0
	for _, id := range t.byService[service] {
		if !t.runners[id].ejectedUntil.IsZero() {
			count++
		}
	}
	return count
}

// Criteria restricts the choice of a runner.
type Criteria struct {
	Service string
	// Free returns how many more requests a runner may be sent.
	Free func(id string) int
	// Avoid lists runners that have already been sent this request.
	Avoid []string
}

// Choose returns the ID of a usable runner. It prefers, in this order, runners
// of this zone that are not slow, those of other zones that are not slow, any
// of this zone, any of other zones.
func (t *Table) Choose(criteria Criteria, now time.Time) (string, bool) {
	var sameZone, otherZones []string
	for _, id := range t.byService[criteria.Service] {
		state := t.runners[id]
		if !state.usable(now) || slices.Contains(criteria.Avoid, id) || criteria.Free(id) <= 0 {
			continue
		}
		if state.entry.Zone == t.config.Zone {
			sameZone = append(sameZone, id)
		} else {
			otherZones = append(otherZones, id)
		}
	}
	best := t.fastest(criteria.Service)
	for _, ids := range [][]string{t.withoutSlow(sameZone, best, now), t.withoutSlow(otherZones, best, now), sameZone, otherZones} {
		if len(ids) > 0 {
			return t.pick(ids, criteria, now), true
		}
	}
	return "", false
}

// fastest returns the lowest mean latency of a service's runners, or 0.
func (t *Table) fastest(service string) time.Duration {
	best := time.Duration(0)
	for _, id := range t.byService[service] {
		latency := t.runners[id].latency
		if latency > 0 && (best == 0 || latency < best) {
			best = latency
		}
	}
	return best
}

// withoutSlow returns the IDs of runners that are not slow.
func (t *Table) withoutSlow(ids []string, best time.Duration, now time.Time) []string {
	kept := make([]string, 0, len(ids))
	for _, id := range ids {
		if best == 0 || t.runners[id].expectedLatency(now) <= slowRatio*best {
			kept = append(kept, id)
		}
	}
	return kept
}

// pick draws two random candidates and returns the one with the lower score.
func (t *Table) pick(ids []string, criteria Criteria, now time.Time) string {
	first := ids[t.config.Random.IntN(len(ids))]
	second := ids[t.config.Random.IntN(len(ids))]
	if t.score(second, criteria, now) < t.score(first, criteria, now) {
		return second
	}
	return first
}

// score rates a runner by its expected latency, load and slow start. Lower is
// better.
func (t *Table) score(id string, criteria Criteria, now time.Time) float64 {
	state := t.runners[id]
	busy := float64(len(state.sent))
	load := (busy + 1) / (busy + float64(criteria.Free(id)))
	score := float64(state.expectedLatency(now)+time.Millisecond) * (1 + load)
	if age := now.Sub(state.slowStartAt); age < slowStartPeriod {
		score *= 1 + slowStartPenalty*float64(slowStartPeriod-age)/float64(slowStartPeriod)
	}
	return score
}
