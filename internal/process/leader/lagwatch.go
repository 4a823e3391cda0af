package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// resignDelay is how much later than other hosts a host that resigned for lag
// tries to acquire the leadership: as long as a leadership is free after a
// leader dies. Another host can fail once and try again in that time.
const resignDelay = leaseTTL

// queuedEvent is an event that waits for the loop.
type queuedEvent struct {
	handle func(now time.Time)
	// at is when it was posted.
	at time.Time
}

// lagWatch collects the inputs of the lagJudge for one Leader. It is used only
// by the loop.
type lagWatch struct {
	judge lagJudge
	// sample holds the worst values since sampledAt.
	sample    lagSample
	sampledAt time.Time
	// steppedAt is when the loop ran last.
	steppedAt time.Time
	// unansweredAt is when a call to a worker was last left without an answer.
	unansweredAt time.Time
	reach        reachTest
	// reported holds the outcomes that were logged since a cause began.
	reported map[withheld]bool
}

// began starts the measurement for a term.
func (w *lagWatch) began(past map[resignCause]pastResignation, now time.Time) {
	w.judge.restore(past, now)
	w.judge.reset()
	w.judge.rate = orderRate{}
	w.judge.sampledAt, w.reach = now, reachTest{}
	w.sampledAt, w.steppedAt, w.reported = now, now, map[withheld]bool{}
	w.sample = lagSample{
		began: now,
	}
}

// stepped notes that the loop runs. Without an event it does so once per tick.
func (w *lagWatch) stepped(now time.Time) {
	w.eventWaited(now.Sub(w.steppedAt) - tick)
	w.steppedAt = now
}

func (w *lagWatch) eventWaited(wait time.Duration) {
	w.sample.events = max(w.sample.events, wait)
}

func (w *lagWatch) decisionLate(late time.Duration) {
	w.sample.loop = max(w.sample.loop, late)
}

func (w *lagWatch) renewalLate(late time.Duration) {
	w.sample.renewal = max(w.sample.renewal, late)
}

// orderWaited notes how long an order has waited for a call slot. Calls to
// workers that do not answer occupy the slots until their timeout, on any host:
// waits around them say nothing about this one.
func (w *lagWatch) orderWaited(wait time.Duration, now time.Time) {
	if now.Sub(w.unansweredAt) > 2*callTimeout {
		w.sample.orders = max(w.sample.orders, wait)
	}
}

// orderCarried notes an order that was answered.
func (w *lagWatch) orderCarried() {
	w.sample.carried++
}

// late is how late the leader is, zero while it is not.
func (w *lagWatch) late() time.Duration {
	if w.judge.behind == 0 {
		return 0
	}
	return w.judge.delay
}

// checkLag takes a sample once per tick and resigns if this host does not keep
// up while another one does. It reports whether the term has ended.
func (t *term) checkLag(ctx context.Context, now time.Time) bool {
	watch, config := &t.leader.lag, &t.leader.config
	if now.Sub(watch.sampledAt) < tick || t.unoccupied || t.leader.stopping {
		return false
	}
	if t.renewalFailed {
		// A resignation could not be written, and this host may lead again.
		watch.judge.reset()
		return false
	}
	if len(t.waiting) > 0 {
		watch.orderWaited(now.Sub(t.waiting[0].queuedAt), now)
	}
	sample := watch.sample
	watch.sample = lagSample{
		began: sample.began,
	}
	watch.sampledAt = now
	sample.at, sample.milliCores, sample.hosts = now, config.MilliCores, config.reports.recent(now)
	sample.otherDelay, sample.otherEndedAt = t.moves.otherDelay(now), t.moves.otherEndedAt
	t.addLinks(&sample)
	wasLate := watch.late() > 0
	verdict := watch.judge.judge(&sample)
	if !wasLate && watch.late() > 0 {
		t.moves.publishLate(now)
	}
	if watch.judge.isCutOff() {
		t.sendProbe(sample.ableHosts(), now)
	}
	if verdict.cause == "" {
		clear(watch.reported)
		return false
	}
	if !verdict.resigns() {
		t.logWithheld(&sample, &verdict)
		return false
	}
	t.leader.resignFor(ctx, &sample, &verdict)
	return true
}

// addLinks adds what is known of the links to workers.
func (t *term) addLinks(sample *lagSample) {
	for id, workerLink := range t.links {
		if _, listed := t.listings[id]; !listed {
			continue
		}
		sample.links++
		if workerLink.lost {
			sample.lost++
		}
	}
	test := &t.leader.lag.reach
	for index := range sample.hosts {
		host := &sample.hosts[index]
		host.reaches = test.probe.Number != 0 && host.probe == test.probe.Number && test.betterReach(host.reached)
	}
}

// logWithheld logs and counts a resignation that is withheld, once for each
// cause that lasts and each reason.
func (t *term) logWithheld(sample *lagSample, verdict *lagVerdict) {
	watch := &t.leader.lag
	if watch.reported[verdict.withheld] {
		return
	}
	watch.reported[verdict.withheld] = true
	t.leader.config.Counts.Add("resignation_withheld_"+string(verdict.withheld), 1)
	klog.InfoS("resignation withheld", append(t.lagFields(sample, verdict),
		"reason", verdict.withheld, "next_in", max(0, verdict.nextAt.Sub(sample.at)))...)
}

// lagFields returns the inputs of a decision for a log line.
func (t *term) lagFields(sample *lagSample, verdict *lagVerdict) []any {
	return []any{
		"shard", t.leader.config.Shard, "token", t.token, "cause", verdict.cause,
		"loop", sample.loop, "events", sample.events, "orders", sample.orders, "renewal", sample.renewal,
		"orders_per_s", t.leader.lag.judge.rate.now, "orders_per_s_in_time", t.leader.lag.judge.rate.inTime,
		"other_late", sample.otherDelay,
		"links", sample.links, "lost", sample.lost,
		"cores", float64(sample.milliCores) / 1000, "hosts", len(sample.hosts),
		"better", verdict.better.name, "better_cores", float64(verdict.better.milliCores) / 1000,
		"better_lag", verdict.better.lag, "better_age", sample.at.Sub(verdict.better.reportedAt),
	}
}

// resignFor resigns in favour of a better host and delays the next attempt of
// this one.
func (l *Leader) resignFor(ctx context.Context, sample *lagSample, verdict *lagVerdict) {
	l.config.Counts.Add("resigned_"+string(verdict.cause), 1)
	klog.InfoS("leader resigns", l.term.lagFields(sample, verdict)...)
	l.lag.judge.resigned(verdict.cause, sample.at)
	l.yielding, l.yieldUntil = true, sample.at.Add(resignDelay)
	l.resign(ctx, "resigned for "+string(verdict.cause), sample.at)
}
