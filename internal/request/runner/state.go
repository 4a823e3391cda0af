package runner

import "time"

const (
	// consecutiveFailuresToEject failures in a row eject a runner.
	consecutiveFailuresToEject = 3
	// outcomeWindow is how many recent outcomes are kept. windowFailuresToEject
	// failures among them eject a runner.
	outcomeWindow         = 20
	windowFailuresToEject = 10
	// maxEjectedFraction is the fraction of a service's runners that may be
	// ejected at the same time; one runner may always be.
	maxEjectedFraction   = 0.3
	minEjection          = time.Second
	maxEjection          = 20 * time.Second
	maxEjectionDoublings = 8
	// slowStartPeriod is how long a new or readmitted runner is sent fewer
	// requests. Its score is raised by up to slowStartPenalty times itself,
	// falling linearly over this period.
	slowStartPeriod  = 5 * time.Second
	slowStartPenalty = 3
	// smoothing is the weight of the newest latency in the moving average.
	smoothing = 0.2
	// maxDiscoveryLag is how far the platform's discovery list may lag.
	maxDiscoveryLag = 30 * time.Second
	// slowRatio is the multiple of the fastest runner's latency above which a
	// runner counts as slow.
	slowRatio = 4
)

// runnerState is the observed state of one runner.
type runnerState struct {
	entry Entry
	// latency is an exponential moving average; zero before the first answer.
	latency time.Duration
	// failed is a ring buffer of recent outcomes; next is its write position.
	// consecutiveFailures counts the failures since the last success.
	failed              [outcomeWindow]bool
	next                int
	consecutiveFailures int
	// ejectedUntil is zero unless the runner is ejected. After that time it is
	// sent a single probe request; probing means that the probe is in progress.
	ejectedUntil time.Time
	ejections    int
	probing      bool
	// slowStartAt is when the runner was first listed or was readmitted.
	slowStartAt time.Time
	// leavingUntil is how long the runner's own report that it is leaving
	// overrides the discovery list.
	leavingUntil time.Time
	// sent holds the send times of requests in progress, by attempt.
	sent map[uint64]time.Time
}

// update applies the runner's entry in the discovery list. Because the list
// lags, a runner that has reported that it is leaving stays marked as leaving
// even if the list still shows it as live.
func (s *runnerState) update(entry Entry, now time.Time) {
	s.entry = entry
	s.entry.Leaving = entry.Leaving || now.Before(s.leavingUntil)
}

func (s *runnerState) recordOutcome(failed bool) {
	s.failed[s.next] = failed
	s.next = (s.next + 1) % outcomeWindow
	s.consecutiveFailures++
	if !failed {
		s.consecutiveFailures = 0
	}
}

func (s *runnerState) recordLatency(took time.Duration) {
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(smoothing * float64(took-s.latency))
}

// readmit ends an ejection after a successful probe and begins a slow start.
func (s *runnerState) readmit(now time.Time) {
	if s.ejectedUntil.IsZero() {
		return
	}
	s.ejectedUntil = time.Time{}
	s.failed = [outcomeWindow]bool{}
	s.slowStartAt = now
}

// failing reports whether the recent outcomes warrant an ejection.
func (s *runnerState) failing() bool {
	if s.consecutiveFailures >= consecutiveFailuresToEject {
		return true
	}
	failures := 0
	for _, failed := range s.failed {
		if failed {
			failures++
		}
	}
	return failures >= windowFailuresToEject
}

// usable reports whether the runner may be sent a request.
func (s *runnerState) usable(now time.Time) bool {
	if s.entry.Leaving {
		return false
	}
	if s.ejectedUntil.IsZero() {
		return true
	}
	return now.After(s.ejectedUntil) && !s.probing
}

// expectedLatency returns the mean latency, or the age of the oldest request in
// progress if that is higher.
func (s *runnerState) expectedLatency(now time.Time) time.Duration {
	expectedLatency := s.latency
	for _, sent := range s.sent {
		expectedLatency = max(expectedLatency, now.Sub(sent))
	}
	return expectedLatency
}
