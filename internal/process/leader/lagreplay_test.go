package leader

import "time"

// Figures of the replay. Half of a leader's processor time is in use at its
// normal speed.
const (
	replayStep     = 5 * time.Millisecond
	replayArrivals = 500.0  // events a second
	replayCapacity = 1000.0 // events a second at normal speed
	slowSpeed      = 1.0 / 7
	// replayChange is for how long nothing is handled during a change of the
	// leader.
	replayChange = 700 * time.Millisecond
	// replaySlack is the time that a quick job with an objective of 2 s and a run
	// time of 0.8 s can wait.
	replaySlack = 1200 * time.Millisecond
)

// replay is a fleet of equal hosts in virtual time. One of them leads and handles
// events in order.
type replay struct {
	// slow reports whether a host has slowSpeed at the time since the start.
	slow func(host int, after time.Duration) bool
	// paused reports whether the leader's host is paused.
	paused func(after time.Duration) bool
	// showsLag makes a slow host without the leadership report lag; its timers
	// may be on time, as it has little to do.
	showsLag bool
	// off keeps the hosts from reporting, so that the leader never resigns.
	off bool
	// hosts is their number.
	hosts int

	now        time.Time
	judges     []*lagJudge
	yieldUntil []time.Time
	reports    *hostReports
	leader     int
	began      time.Time
	// freeUntil is when the successor begins.
	freeUntil time.Time
	// queue holds the arrival times of the events that wait.
	queue []time.Time
	// served and arrived count the events that arrive from countFrom to countTo,
	// and those of them that are handled within replaySlack.
	countFrom, countTo time.Duration
	served, arrived    int
	changes            []time.Duration
}

func (r *replay) run(during time.Duration) {
	r.now, r.began, r.reports = lagStart, lagStart.Add(-time.Minute), newHostReports()
	for range r.hosts {
		r.judges = append(r.judges, &lagJudge{
			sampledAt: lagStart,
		})
	}
	r.yieldUntil = make([]time.Time, r.hosts)
	r.changes = nil
	var arriving, handling float64
	var worst, sampled time.Duration
	for after := time.Duration(0); after < during; after += replayStep {
		r.now = lagStart.Add(after)
		for arriving += replayArrivals * replayStep.Seconds(); arriving >= 1; arriving-- {
			r.queue = append(r.queue, r.now)
			if r.counted(r.now) {
				r.arrived++
			}
		}
		if after%time.Second == 0 {
			r.report(after)
		}
		if r.now.Before(r.freeUntil) || r.paused != nil && r.paused(after) {
			continue
		}
		speed := 1.0
		if r.slow(r.leader, after) {
			speed = slowSpeed
		}
		handling += speed * replayCapacity * replayStep.Seconds()
		for ; handling >= 1; handling-- {
			if len(r.queue) == 0 {
				handling = 0
				break
			}
			worst = max(worst, r.now.Sub(r.queue[0]))
			r.handled(r.queue[0])
			r.queue = r.queue[1:]
		}
		if after-sampled >= tick {
			r.judge(worst, after)
			worst, sampled = 0, after
		}
	}
}

func (r *replay) counted(at time.Time) bool {
	after := at.Sub(lagStart)
	return after >= r.countFrom && after < r.countTo
}

func (r *replay) handled(arrived time.Time) {
	if r.counted(arrived) && r.now.Sub(arrived) <= replaySlack {
		r.served++
	}
}

func (r *replay) report(after time.Duration) {
	for host := range r.hosts {
		if host == r.leader || r.off {
			continue
		}
		lag := time.Millisecond
		if r.showsLag && r.slow(host, after) {
			lag = 3 * maxHostLag
		}
		r.reports.add(string(rune('a'+host)), HostReport{
			MilliCores: 800,
			Lag:        lag,
		}, r.now)
	}
}

func (r *replay) judge(worst, after time.Duration) {
	judge := r.judges[r.leader]
	verdict := judge.judge(&lagSample{
		at:         r.now,
		began:      r.began,
		events:     worst,
		milliCores: 800,
		hosts:      r.reports.recent(r.now),
	})
	if !verdict.resigns() {
		return
	}
	r.changes = append(r.changes, after)
	judge.resigned(causeLag, r.now)
	r.yieldUntil[r.leader] = r.now.Add(resignDelay)
	r.freeUntil = r.now.Add(replayChange)
	past := judge.past(r.now)
	for host := range r.hosts {
		if r.yieldUntil[host].Before(r.freeUntil) {
			r.leader = host
			break
		}
	}
	r.began = r.freeUntil
	r.judges[r.leader].restore(past, r.freeUntil)
}

// slowFrom makes one host slow for a time.
func slowFrom(slowHost int, from, during time.Duration) func(int, time.Duration) bool {
	return func(host int, after time.Duration) bool {
		return host == slowHost && after >= from && after < from+during
	}
}
