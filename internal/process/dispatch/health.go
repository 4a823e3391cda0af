package dispatch

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

const (
	// quarantineThreshold is the number of different jobs that must fail on a
	// worker without a success in between for it to be quarantined.
	quarantineThreshold = 3
	// minQuarantine doubles with each failed probe, up to maxQuarantine.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// quarantineDivisor bounds the part of the workers in quarantine.
	quarantineDivisor = 5 // one worker in five
	// minBackoff is the delay after a job's first failure; it doubles with each
	// further counted failure, up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 30 * time.Second
	// maxDoublings bounds the shift that computes either delay.
	maxDoublings = 8
)

// health tracks the failures on a worker.
type health struct {
	// failedJobs are the jobs, by ID, that failed on the worker since its last
	// success and had no counted failure before.
	failedJobs map[string]bool
	// quarantinedUntil is zero without a quarantine. After that time, one
	// attempt at a time probes the worker; a success ends the quarantine.
	quarantinedUntil time.Time
	// quarantines counts the quarantines since the last success.
	quarantines int
}

// maxUnconfirmed bounds the attempts that a worker has not yet confirmed, so
// that a faulty worker does not absorb a burst of jobs.
const maxUnconfirmed = 6

// healthy reports whether the worker may be given one more attempt.
func (w *workerView) healthy(now time.Time) bool {
	if !w.health.quarantinedUntil.IsZero() {
		return now.After(w.health.quarantinedUntil) && w.allocated == (worker.Size{})
	}
	unconfirmed := w.pendingCommits
	for _, view := range w.open {
		if !view.acked {
			unconfirmed++
		}
	}
	return unconfirmed < maxUnconfirmed
}

// attributeFailure attributes a failed attempt to its worker, if unrelated jobs
// failed there in a row, and to the job otherwise. A failure attributed to the
// worker does not count against the job's limit. A success clears the worker's
// failures.
func (p *Planner) attributeFailure(view *jobView, result *job.AttemptResult, now time.Time) {
	w := p.workers[view.record.Open().Worker]
	if w == nil {
		return
	}
	switch result.State {
	case job.AttemptDone:
		w.health = health{}
	case job.AttemptFailed:
		if p.recordFailure(w, view.record, now) {
			result.CountFailure = false
		}
		view.notBefore = now.Add(backoff(view.record.Failures))
	}
}

// recordFailure counts a failure on a worker and reports whether the worker is
// quarantined for it.
func (p *Planner) recordFailure(w *workerView, record *job.Record, now time.Time) bool {
	if record.Failures > 0 {
		return false // it has failed before, so the job itself is suspect
	}
	if w.health.failedJobs == nil {
		w.health.failedJobs = map[string]bool{}
	}
	w.health.failedJobs[record.ID] = true
	probeFailed := !w.health.quarantinedUntil.IsZero()
	if !probeFailed && (len(w.health.failedJobs) < quarantineThreshold || !p.canQuarantine()) {
		return false
	}
	wait := min(minQuarantine<<min(w.health.quarantines, maxDoublings), maxQuarantine)
	w.health.quarantines++
	w.health.quarantinedUntil = now.Add(wait)
	return true
}

// canQuarantine reports whether one more worker may be quarantined; one always
// may. The limit keeps a bad release, which fails everywhere, from quarantining
// the whole zone.
func (p *Planner) canQuarantine() bool {
	count := 1
	for _, w := range p.workers {
		if !w.health.quarantinedUntil.IsZero() {
			count++
		}
	}
	return count <= max(len(p.workers)/quarantineDivisor, 1)
}

// backoff returns the delay before the next attempt of a job that had this many
// counted failures before the present one.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures, maxDoublings), maxBackoff)
}
