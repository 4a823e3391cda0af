package rank

import "time"

const (
	// placesPart is the part of the workers that may keep a place: the capacity
	// that is idle for it remains a small share.
	placesPart = 16
	// placeRunTimes times the mean run time is how long a place is kept on one
	// worker: by then most of what ran there at first has ended.
	placeRunTimes = 2
	// minPlaceTerm covers the time between two reports of a worker. maxPlaceTerm
	// is below the 3 s for which a long-running task may wait while capacity for
	// it is free.
	minPlaceTerm = 200 * time.Millisecond
	maxPlaceTerm = 2 * time.Second
)

// Place is a worker whose free capacity is kept for a task that fits on none.
// Load pattern: small tasks take each piece of capacity that becomes free, so
// that no piece grows large enough for a wide one. A job with a place goes before
// the others of its priority. After its term the place moves to the worker with
// the most free capacity; it ends when the job has started or is hopeless.
type Place struct {
	Worker string
	until  time.Time
}

// Valid reports whether the place may stay on its worker.
func (p Place) Valid(now time.Time) bool {
	return now.Before(p.until)
}

// Places returns how many of a service's workers may keep a place at a time.
func (o *Order) Places(workers int) int {
	if !o.rules.Sizes {
		return 0
	}
	return max(1, workers/placesPart)
}

// Deserves reports whether a job with a task that fits nowhere gets a place: it
// has waited for as long as a place is kept, while smaller tasks start.
func (o *Order) Deserves(c *Candidate, milliCores int64, now time.Time) bool {
	started := o.started[c.Service]
	if c.Class == Hopeless || c.LongRunning || started == nil || milliCores <= started.smallest {
		return false
	}
	return c.Placed || now.Sub(c.Arrived) >= o.placeTerm(c.Service)
}

// KeepPlace returns a place on a worker for a task of the candidate.
func (o *Order) KeepPlace(worker string, c *Candidate, now time.Time) Place {
	return Place{
		Worker: worker,
		until:  now.Add(o.placeTerm(c.Service)),
	}
}

func (o *Order) placeTerm(service string) time.Duration {
	term := minPlaceTerm
	if started := o.started[service]; started != nil {
		term = max(term, placeRunTimes*started.runTime)
	}
	return min(term, maxPlaceTerm)
}
