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
	// minLostLinks and lostShare say when many links are lost: one of lostShare,
	// which is the share of the workers that a slow leader may cost.
	minLostLinks = 2
	lostShare    = 10
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
	// rushTime is for how long a rise of the load may withhold a resignation. The
	// first rush of a fleet is worked off in less; a host that was slow before it
	// has to resign in the end.
	rushTime = 5 * time.Second
	// rushShare and rateTime say when the load has risen, and not the host slowed
	// down: for rateTime, the leader carries out at least rushShare of the most
	// orders that it carried out in time before. A host that is slowed to less than
	// this share is not able to.
	rushShare = 0.75
	rateTime  = time.Second
	// largerHost is how many times this host's processor time another one has that
	// carries a risen load better.
	largerHost = 2
	// laterTime is for how long a leader of another shard that is later may withhold a
	// resignation. That one resigns in less, unless no other host is better for it.
	laterTime = rushTime + lagTime
	// apartTime is for how long no leader resigns for lag after that of another
	// shard has ended its term. The change takes about 0.7 s and the new term is not
	// judged for settleTime: then it shows whether the change has helped.
	apartTime = settleTime + time.Second
	// reportAge is how old the report of a host that keeps up may be: two
	// reports and some delay.
	reportAge = 2500 * time.Millisecond
)

// resignCause is why a leader resigns while its host goes on running.
type resignCause string

// The causes.
const (
	causeLag resignCause = "lag"
	// causeLinks is the loss of the links to many workers that another host can
	// reach.
	causeLinks resignCause = "links"
)

// lagSample is what the decision is taken from.
type lagSample struct {
	// at is the time of the sample; began is when the term began.
	at, began time.Time
	// loop is how late decisions were, events how long the oldest event or the
	// loop's timer waited for the loop, orders how long the oldest order waited for
	// a call slot, and renewal how late the lease was renewed: the worst since the
	// previous sample.
	loop, events, orders, renewal time.Duration
	// carried is the number of orders that were answered since the previous sample.
	carried int
	// otherDelay is the greatest delay that leaders of other shards have published,
	// and otherEndedAt when the term of one of them was last seen to end; zero
	// without one.
	otherDelay   time.Duration
	otherEndedAt time.Time
	// links are the links to workers on the list, lost those that do not answer.
	links, lost int
	// milliCores is the processor time of this host, in thousandths of a core.
	milliCores int64
	// hosts are the other hosts that have reported.
	hosts []knownHost
}

// delay is how late an event leads to an order.
func (s *lagSample) delay() time.Duration {
	return s.loop + s.events + s.orders
}

// ordersOnly reports whether orders are late and this host's processor is not:
// they wait for those decided before them, and the loop runs in time.
func (s *lagSample) ordersOnly() bool {
	return s.loop+s.events <= maxDelay/2 && s.renewal <= maxRenewalDelay/2
}

// knownHost is what another host has reported.
type knownHost struct {
	name       string
	milliCores int64
	lag        time.Duration
	// reportedAt is when its newest report came; steadySince is when the first of
	// an unbroken series of reports without lag came, zero if the newest has one.
	reportedAt, steadySince time.Time
	// probe is the newest probe that the host has answered, with the workers that
	// it reached.
	probe, reached uint64
	// reaches is set if it reaches workers that this host has lost.
	reaches bool
}

// withheld is why a leader with a cause does not resign.
type withheld string

const (
	withheldNoHost withheld = "no_better_host"
	withheldRecent withheld = "resigned_recently"
	// withheldLoad means that the load has risen: a successor is as loaded, and
	// knows less.
	withheldLoad withheld = "load_rose"
	// withheldLater means that the leader of another shard is as late, and
	// withheldApart that one has just ended its term. Load pattern: all leaders lag in
	// the first rush of a fleet; if all resign, nobody knows where its tasks run.
	withheldLater withheld = "other_shard_as_late"
	withheldApart withheld = "other_shard_changed"
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

// lagJudge decides whether a leader resigns because its host does not keep up.
type lagJudge struct {
	// behind is for how long the leader has been late. Times at which it is not
	// late are subtracted; those at which the delay falls by at least half of the
	// time that passes do not count: a host that was paused catches up then.
	behind time.Duration
	// delay and sampledAt are those of the previous sample.
	delay     time.Duration
	sampledAt time.Time
	// cutOff is the same for lost links.
	cutOff time.Duration
	// rate is the rate of orders in this term.
	rate orderRate
	// rushSince is when a rise of the load began to withhold a resignation, and
	// laterSince when the leader of another shard did that is later. Both are zero
	// once the leader is not late any more.
	rushSince, laterSince time.Time
	last                  map[resignCause]lastResignation
}

// orderRate is how many orders a leader carries out.
type orderRate struct {
	// samples are those of the last rateTime.
	samples []orderSample
	// now is their sum, and inTime the greatest that it was while no sample of
	// rateTime was late.
	now, inTime int
	// lateAt is the time of the last late sample, or when the term began.
	lateAt time.Time
}

type orderSample struct {
	at      time.Time
	carried int
}

// add adds a sample.
func (r *orderRate) add(sample *lagSample) {
	r.samples = append(r.samples, orderSample{
		at:      sample.at,
		carried: sample.carried,
	})
	r.now += sample.carried
	for sample.at.Sub(r.samples[0].at) >= rateTime {
		r.now -= r.samples[0].carried
		r.samples = r.samples[1:]
	}
	if sample.delay() > maxDelay || r.lateAt.IsZero() {
		r.lateAt = sample.at
	}
	if sample.at.Sub(r.lateAt) >= rateTime {
		r.inTime = max(r.inTime, r.now)
	}
}

// judge decides on a sample. Samples are given in the order of their times.
func (j *lagJudge) judge(sample *lagSample) lagVerdict {
	passed := sample.at.Sub(j.sampledAt)
	gap := min(maxSampleGap, passed)
	catchingUp := j.delay-sample.delay() >= passed/2
	j.sampledAt, j.delay = sample.at, sample.delay()
	j.rate.add(sample)
	if sample.at.Sub(sample.began) < settleTime {
		j.reset()
		return lagVerdict{}
	}
	switch {
	case sample.renewal > maxRenewalDelay || sample.delay() > maxDelay && !catchingUp:
		j.behind = min(lagTime, j.behind+gap)
	case sample.delay() <= maxDelay:
		j.behind = max(0, j.behind-gap)
	}
	if j.behind == 0 {
		j.rushSince, j.laterSince = time.Time{}, time.Time{}
	}
	if sample.lost >= minLostLinks && lostShare*sample.lost >= sample.links {
		j.cutOff = min(lagTime, j.cutOff+gap)
	} else {
		j.cutOff = max(0, j.cutOff-gap)
	}
	verdict := lagVerdict{}
	if j.behind >= lagTime {
		verdict = j.decide(causeLag, sample)
	}
	if !verdict.resigns() && j.isCutOff() {
		verdict = j.decide(causeLinks, sample)
	}
	return verdict
}

// isCutOff reports whether many links have been lost for lagTime.
func (j *lagJudge) isCutOff() bool {
	return j.cutOff >= lagTime
}

func (j *lagJudge) reset() {
	j.behind, j.cutOff, j.delay = 0, 0, 0
}

func (j *lagJudge) decide(cause resignCause, sample *lagSample) lagVerdict {
	verdict := lagVerdict{
		cause: cause,
	}
	better, found := betterHost(sample, cause)
	if !found {
		verdict.withheld = withheldNoHost
		return verdict
	}
	verdict.better = better
	if last, ok := j.last[cause]; ok && sample.at.Before(last.nextAt()) {
		verdict.withheld, verdict.nextAt = withheldRecent, last.nextAt()
		return verdict
	}
	if cause == causeLag {
		verdict.withheld = j.withholdLag(sample)
	}
	return verdict
}

// withholdLag returns why a leader that lags beside a better host does not resign.
// A leader whose lease is renewed late resigns whatever other shards do: it would
// lose the lease, and with it the handover.
func (j *lagJudge) withholdLag(sample *lagSample) withheld {
	switch {
	case j.loadRose(sample):
		if j.rushSince.IsZero() {
			j.rushSince = sample.at
		}
		if sample.at.Sub(j.rushSince) < rushTime {
			return withheldLoad
		}
	case sample.renewal > maxRenewalDelay:
		return ""
	}
	if sample.otherDelay > maxDelay && sample.otherDelay >= sample.delay() {
		if j.laterSince.IsZero() {
			j.laterSince = sample.at
		}
		if sample.at.Sub(j.laterSince) < laterTime {
			return withheldLater
		}
	}
	if !sample.otherEndedAt.IsZero() && sample.at.Sub(sample.otherEndedAt) < apartTime {
		return withheldApart
	}
	return ""
}

// loadRose reports whether a rise of the load makes the orders late, and no able
// host is much larger.
func (j *lagJudge) loadRose(sample *lagSample) bool {
	return sample.ordersOnly() && j.rate.now > 0 && float64(j.rate.now) >= rushShare*float64(j.rate.inTime) &&
		!slices.ContainsFunc(sample.ableHosts(), func(host knownHost) bool { return host.milliCores >= largerHost*sample.milliCores })
}

// ableHosts returns the hosts that keep up and have at least this host's
// processor time.
func (s *lagSample) ableHosts() []knownHost {
	var able []knownHost
	for _, host := range s.hosts {
		if host.keepsUp(s.at) && host.milliCores > 0 && host.milliCores >= s.milliCores {
			able = append(able, host)
		}
	}
	return able
}

// betterHost returns the able host with the least lag that does not have the
// cause.
func betterHost(sample *lagSample, cause resignCause) (knownHost, bool) {
	able := sample.ableHosts()
	if cause == causeLinks {
		able = slices.DeleteFunc(able, func(host knownHost) bool { return !host.reaches })
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
