package schedule

import "time"

// health rates a worker by how its runs end. Tasks that fail through a fault of
// their own are spread over all workers; an unhealthy worker fails one run
// after another.
type health struct {
	// failures counts failed runs in a row, without a completed run between.
	failures int
	// until is when an excluded worker may get tasks again, pause how long the
	// newest exclusion lasts.
	until time.Time
	pause time.Duration
}

const (
	// suspectFailures in a row make a worker the last choice.
	suspectFailures = 1
	// exclusionFailures in a row exclude a worker for a pause. If one run in
	// twenty fails, chance alone excludes one worker in four hundred.
	exclusionFailures = 2
	firstPause        = 2 * time.Second
	longestPause      = 4 * time.Second
)

// usesExcludedAfter is how long a job may have nothing running before it uses
// excluded workers, while the utilization of its service is low. Load pattern: tasks
// that fail by their own fault exclude all workers of a small service, or the only one
// with a label, again and again. Users count a job as lost that has nothing running
// for 3 s beside free capacity. Where the workers are at fault, a task so makes no more
// than one attempt in this time.
const usesExcludedAfter = 2 * time.Second

// needsExcluded reports whether a quick job uses excluded workers too, as its last
// choice.
func (b *Board) needsExcluded(j *job, service string, now time.Time) bool {
	if !b.anyLowUtilization || j.claims > 0 || now.Sub(j.idleSince) <= usesExcludedAfter {
		return false
	}
	return b.hasLowUtilization(service)
}

func (h *health) suspect() bool {
	return h.failures >= suspectFailures
}

func (h *health) trusted(now time.Time) bool {
	return !now.Before(h.until)
}

func (h *health) record(ending Ending, now time.Time) {
	switch ending {
	case EndedDone:
		*h = health{}
	case EndedFailed:
		h.failures++
		if h.failures >= exclusionFailures {
			h.pause = min(max(firstPause, 2*h.pause), longestPause)
			h.until = now.Add(h.pause)
		}
	}
}

// recordHealth updates the worker's health and the run time estimates with an
// end.
func (b *Board) recordHealth(w *workerState, end EndedTask, held *claim, now time.Time) {
	j := b.jobs[end.Key.Job]
	if j == nil || !held.confirmed || end.Key.Step >= len(j.work.Steps) {
		return
	}
	w.health.record(end.Ending, now)
	if end.Ending == EndedDone {
		b.learnRun(j, w, end.Key, held, now)
	}
}
