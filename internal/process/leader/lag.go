package leader

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: for some seconds, the processor of the leader's host gives it a
// fifth to a seventh of its normal speed, while other hosts of its size are at
// their normal speed. The types in this file do no I/O and read no clock.

// Bounds of the decision to resign.
const (
	// maxDelay is how late a leader's orders may be. A quick job has an objective
	// of 1 s or more and two steps, each of which takes one event, decision and
	// order: this delay uses up half of the objective. Normally decisions are
	// decideGap apart.
	maxDelay = 250 * time.Millisecond
	// maxRenewalDelay is how late the lease may be renewed: a quarter of it, so
	// that one lost renewal does not end it.
	maxRenewalDelay = leaseTTL / 4
	// maxHostLag is the lag up to which another host keeps up. A host that uses
	// no more than its share of the processor may still be paused for most of a
	// scheduling period, which is 100 ms.
	maxHostLag = 100 * time.Millisecond
	// lagTime is how long a cause has to last. A change of the leader takes about
	// 0.7 s, so that with this time the jobs that arrived first are still served
	// within the 1.2 s that a quick job can wait.
	lagTime = 500 * time.Millisecond
	// steadyTime is for how long another host must have reported no lag.
	steadyTime = time.Second
	// settleTime is how long a new term is not judged: its reports and jobs
	// arrive all at once.
	settleTime = 2 * time.Second
	// maxSampleGap is the most that one sample counts. A pause of the process and
	// the sample after it count less than lagTime, so that a single pause is no
	// lasting lag.
	maxSampleGap = 3 * tick
	// minResignGap is the minimum time between two resignations for the same
	// cause. A change of the leader stops the starts for about a second: a tenth
	// of this time, which is the share that callers may lose to a slow leader.
	minResignGap = 10 * time.Second
	// maxGapDoublings limits how often minResignGap is doubled while
	// resignations do not help: the load is then the cause, and not the host.
	maxGapDoublings = 4
	// reportAge is how old the report of a host that keeps up may be: two
	// reports and some delay.
	reportAge = 2500 * time.Millisecond
)

// resignCause is why a leader resigns while its host goes on running.
type resignCause string

const causeLag resignCause = "lag"

// lagSample is what the decision is taken from.
type lagSample struct {
	// at is the time of the sample; began is when the term began.
	at, began time.Time
	// loop is how late decisions were, events how long the oldest event or the
	// loop's timer waited for the loop, orders how long the oldest order waited for
	// a call slot, and renewal how late the lease was renewed: the worst since the
	// previous sample.
	loop, events, orders, renewal time.Duration
	// milliCores is the processor time of this host, in thousandths of a core.
	milliCores int64
	// hosts are the other hosts that have reported.
	hosts []knownHost
}

// delay is how late an event leads to an order.
func (s *lagSample) delay() time.Duration {
	return s.loop + s.events + s.orders
}

// knownHost is what another host has reported.
type knownHost struct {
	name       string
	milliCores int64
	lag        time.Duration
	// reportedAt is when its newest report came; steadySince is when the first of
	// an unbroken series of reports without lag came, zero if the newest has one.
	reportedAt, steadySince time.Time
}

// withheld is why a leader with a cause does not resign.
type withheld string

const (
	withheldNoHost withheld = "no_better_host"
	withheldRecent withheld = "resigned_recently"
)

// lagVerdict is the outcome of a decision. The leader resigns if there is a
// cause and nothing withholds it.
type lagVerdict struct {
	cause    resignCause
	better   knownHost
	withheld withheld
	// nextAt is the earliest time of a resignation, if a recent one withholds it.
	nextAt time.Time
}

func (v *lagVerdict) resigns() bool {
	return v.cause != "" && v.withheld == ""
}

// pastResignation is the last resignation for a cause, as it is handed over.
type pastResignation struct {
	// Age is how long ago it was when the record was written.
	Age time.Duration `cbor:"1,keyasint,omitempty"`
	// Count is the number of resignations in a row that did not help.
	Count int `cbor:"2,keyasint"`
}

// lastResignation is the same on this host's clock.
type lastResignation struct {
	at    time.Time
	count int
}

// nextAt is the earliest time of another resignation for the cause.
func (r lastResignation) nextAt() time.Time {
	return r.at.Add(minResignGap << min(max(r.count-1, 0), maxGapDoublings))
}

// lagJudge decides whether a leader resigns because its host does not keep up.
type lagJudge struct {
	// behind is for how long the leader has been late. Times at which it is not
	// late are subtracted; those at which the delay falls by at least half of the
	// time that passes do not count: a host that was paused catches up then.
	behind time.Duration
	// delay and sampledAt are those of the previous sample.
	delay     time.Duration
	sampledAt time.Time
	last      map[resignCause]lastResignation
}

// judge decides on a sample. Samples are given in the order of their times.
func (j *lagJudge) judge(sample *lagSample) lagVerdict {
	passed := sample.at.Sub(j.sampledAt)
	gap := min(maxSampleGap, passed)
	catchingUp := j.delay-sample.delay() >= passed/2
	j.sampledAt, j.delay = sample.at, sample.delay()
	if sample.at.Sub(sample.began) < settleTime {
		j.behind = 0
		return lagVerdict{}
	}
	switch {
	case sample.renewal > maxRenewalDelay || sample.delay() > maxDelay && !catchingUp:
		j.behind = min(lagTime, j.behind+gap)
	case sample.delay() <= maxDelay:
		j.behind = max(0, j.behind-gap)
	}
	if j.behind < lagTime {
		return lagVerdict{}
	}
	return j.decide(causeLag, sample)
}

func (j *lagJudge) decide(cause resignCause, sample *lagSample) lagVerdict {
	verdict := lagVerdict{
		cause: cause,
	}
	better, found := betterHost(sample)
	if !found {
		verdict.withheld = withheldNoHost
		return verdict
	}
	verdict.better = better
	if last, ok := j.last[cause]; ok && sample.at.Before(last.nextAt()) {
		verdict.withheld, verdict.nextAt = withheldRecent, last.nextAt()
	}
	return verdict
}

// betterHost returns the host with the least lag among those that keep up and
// have at least this host's processor time.
func betterHost(sample *lagSample) (knownHost, bool) {
	var able []knownHost
	for _, host := range sample.hosts {
		if host.keepsUp(sample.at) && host.milliCores > 0 && host.milliCores >= sample.milliCores {
			able = append(able, host)
		}
	}
	if len(able) == 0 {
		return knownHost{}, false
	}
	return slices.MinFunc(able, func(a, b knownHost) int {
		return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(b.milliCores, a.milliCores), cmp.Compare(a.name, b.name))
	}), true
}

// keepsUp reports whether recent reports say that the host has had no lag for
// steadyTime.
func (h *knownHost) keepsUp(now time.Time) bool {
	return now.Sub(h.reportedAt) <= reportAge && !h.steadySince.IsZero() && h.reportedAt.Sub(h.steadySince) >= steadyTime
}

// resigned notes a resignation. It counts as one in a row unless twice the
// minimum time has passed since the last.
func (j *lagJudge) resigned(cause resignCause, now time.Time) {
	last, ok := j.last[cause]
	count := 1
	if ok && now.Sub(last.at) < 2*last.nextAt().Sub(last.at) {
		count = min(last.count+1, maxGapDoublings+1)
	}
	j.note(cause, lastResignation{
		at:    now,
		count: count,
	})
	j.behind = 0
}

func (j *lagJudge) note(cause resignCause, last lastResignation) {
	if j.last == nil {
		j.last = map[resignCause]lastResignation{}
	}
	j.last[cause] = last
}

// past returns the resignations that a successor must know.
func (j *lagJudge) past(now time.Time) map[resignCause]pastResignation {
	past := map[resignCause]pastResignation{}
	for cause, last := range j.last {
		past[cause] = pastResignation{
			Age:   max(0, now.Sub(last.at)),
			Count: last.count,
		}
	}
	return past
}

// restore adds the resignations in a record of an earlier leader. How old the
// record is, is not known; it counts as written now, so that the minimum time
// is never cut short.
func (j *lagJudge) restore(past map[resignCause]pastResignation, now time.Time) {
	for cause, each := range past {
		at := now.Add(-max(0, each.Age))
		if last, ok := j.last[cause]; ok && last.at.After(at) {
			continue
		}
		j.note(cause, lastResignation{
			at:    at,
			count: min(max(each.Count, 1), maxGapDoublings+1),
		})
	}
}
