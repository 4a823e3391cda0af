package schedule

import "time"

// health judges a worker by how the runs on it end. Runs that fail by their
// own fault are spread over all workers; a sick worker fails one after another.
type health struct {
	// failures in a row without a run that was done.
	failures int
	// until is when a worker that is kept out may be tried again.
	until time.Time
	pause time.Duration
}

const (
	// suspectFailures in a row make a worker the last choice.
	suspectFailures = 1
	// sickFailures in a row keep a worker out: by chance alone, at one run in
	// twenty failing, one worker in four hundred would be.
	sickFailures = 2
	firstPause   = 2 * time.Second
	longestPause = 4 * time.Second
)

func (h *health) suspect() bool {
	return h.failures >= suspectFailures
}

func (h *health) trusted(now time.Time) bool {
	return !now.Before(h.until)
}

func (h *health) note(ending Ending, now time.Time) {
	switch ending {
	case EndedDone:
		*h = health{}
	case EndedFailed:
		h.failures++
		if h.failures >= sickFailures {
			h.pause = min(max(firstPause, 2*h.pause), longestPause)
			h.until = now.Add(h.pause)
		}
	}
}

// noteHealth learns from an end about the worker and about run times.
func (b *Board) noteHealth(w *workerState, end EndedTask, held *claim, now time.Time) {
	j := b.jobs[end.Key.Job]
	if j == nil || !held.sure || end.Key.Step >= len(j.work.Steps) {
		return
	}
	w.health.note(end.Ending, now)
	if end.Ending == EndedDone {
		b.estimates.learn(j.work.Queue, j.work.Steps[end.Key.Step].Estimate, now.Sub(held.started))
	}
}
