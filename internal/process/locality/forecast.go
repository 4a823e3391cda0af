package locality

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Change is an expected change of a worker's free capacity: the end of a run, or
// the start of a task that waits for the worker, with a negative size.
type Change struct {
	After time.Duration
	Size  worker.Size
}

// Place is a worker that takes tasks: its free capacity, and the expected ends
// of its runs.
type Place struct {
	Worker  string
	Free    worker.Size
	Changes []Change
}

// Forecast is the expected free capacity of one rack.
type Forecast struct {
	places []Place
}

// NewForecast returns the forecast of a rack with the given workers.
func NewForecast(places []Place) *Forecast {
	for i := range places {
		slices.SortStableFunc(places[i].Changes, func(a, c Change) int { return cmp.Compare(a.After, c.After) })
	}
	return &Forecast{
		places: places,
	}
}

// Earliest returns the worker on which a task of the size is expected to fit
// first, and in how long, or Never. Tasks that wait already are ahead of it.
// allowed selects the workers.
func (f *Forecast) Earliest(size worker.Size, allowed func(worker string) bool) (string, time.Duration) {
	best, bestAfter := "", Never
	for i := range f.places {
		place := &f.places[i]
		if after := place.earliest(size); after < bestAfter && allowed(place.Worker) {
			best, bestAfter = place.Worker, after
		}
	}
	return best, bestAfter
}

// earliest is the time from which on the size fits in spite of all later
// changes, so that no task ahead is delayed.
func (p *Place) earliest(size worker.Size) time.Duration {
	free, after, fits := p.Free, time.Duration(0), size.FitsIn(p.Free)
	for i, change := range p.Changes {
		free = free.Add(change.Size)
		if i+1 < len(p.Changes) && p.Changes[i+1].After == change.After {
			continue // both take effect at once
		}
		switch now := size.FitsIn(free); {
		case !now:
			fits = false
		case !fits:
			fits, after = true, max(0, change.After)
		}
	}
	if !fits {
		return Never
	}
	return after
}

// Take enters a task that starts on a worker after a time and runs for a while;
// a run of Never does not end.
func (f *Forecast) Take(name string, size worker.Size, after, run time.Duration) {
	for i := range f.places {
		place := &f.places[i]
		if place.Worker != name {
			continue
		}
		if after <= 0 {
			place.Free = place.Free.Sub(size)
		} else {
			place.insert(Change{
				After: after,
				Size:  worker.Size{}.Sub(size),
			})
		}
		if run < Never-after {
			place.insert(Change{
				After: after + run,
				Size:  size,
			})
		}
		return
	}
}

func (p *Place) insert(change Change) {
	at, _ := slices.BinarySearchFunc(p.Changes, change, func(a, c Change) int {
		if a.After <= c.After {
			return -1
		}
		return 1
	})
	p.Changes = slices.Insert(p.Changes, at, change)
}

// EarliestGroup returns in how long the whole group of tasks is expected to fit,
// or Never. With take set the group is entered as waiting.
func (f *Forecast) EarliestGroup(size worker.Size, count, spread int, run time.Duration, allowed func(worker string) bool, take bool) time.Duration {
	trial := &Forecast{
		places: make([]Place, len(f.places)),
	}
	for i, place := range f.places {
		place.Changes = slices.Clone(place.Changes)
		trial.places[i] = place
	}
	chosen := make([]string, 0, count)
	perWorker := map[string]int{}
	latest := time.Duration(0)
	for range count {
		name, after := trial.Earliest(size, func(worker string) bool {
			return allowed(worker) && (spread == 0 || perWorker[worker] < spread)
		})
		if after == Never {
			return Never
		}
		trial.Take(name, size, after, Never)
		perWorker[name]++
		chosen = append(chosen, name)
		latest = max(latest, after)
	}
	if take {
		for _, name := range chosen {
			f.Take(name, size, latest, run)
		}
	}
	return latest
}
