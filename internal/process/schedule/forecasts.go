package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/locality"
	"mustardreach.example/mustardreach/internal/request/work"
)

// forecastKey selects the forecast of a rack. Fillers use the cores that others
// leave unused, so that their forecast differs.
type forecastKey struct {
	pool   poolKey
	rack   string
	filler bool
}

// overdueShare is the part of its run time so far that a run which exceeds its
// estimate is expected to take still: the longer it is overdue, the less the
// estimate says.
const overdueShare = 0.1

// racksOf indexes the workers of a pool by rack and other labels.
func (p *placement) racksOf(key poolKey, pool []*workerState) map[string][]*workerState {
	if index, ok := p.racks[key]; ok {
		return index
	}
	index := map[string][]*workerState{}
	for _, w := range pool {
		if w.Rack != "" {
			index[w.Rack] = append(index[w.Rack], w)
		}
		for _, label := range w.Labels {
			if label != w.Rack {
				index[label] = append(index[label], w)
			}
		}
	}
	if p.racks == nil {
		p.racks, p.forecasts = map[poolKey]map[string][]*workerState{}, map[forecastKey]*locality.Forecast{}
	}
	p.racks[key] = index
	return index
}

// rackForecast returns the expected free capacity of a rack. Only workers that take
// tasks now are part of it: none that drains, was withdrawn, or does not answer.
func (b *Board) rackForecast(key forecastKey, workers []*workerState, now time.Time) *locality.Forecast {
	if known := b.placement.forecasts[key]; known != nil {
		return known
	}
	places := make([]locality.Place, 0, len(workers))
	for _, w := range workers {
		place := locality.Place{
			Worker: w.ID,
			Free:   w.free(),
		}
		if key.filler {
			place.Free.MilliCores = w.idle
		}
		for runKey, held := range w.claims {
			after := b.remaining(w, runKey, held, now)
			if after == locality.Never {
				continue
			}
			place.Changes = append(place.Changes, locality.Change{
				After: after,
				Size:  held.forecastSize(key.filler),
			})
		}
		places = append(places, place)
	}
	out := locality.NewForecast(places)
	b.placement.forecasts[key] = out
	return out
}

// forecastSize is the capacity that becomes free when the run ends.
func (c *claim) forecastSize(filler bool) worker.Size {
	size := c.size
	if filler {
		size.MilliCores = c.estimatedUse()
	}
	return size
}

// took enters a task that has started into the forecasts of its worker's rack.
func (p *placement) took(w *workerState, spec *work.Step, run time.Duration) {
	for key, known := range p.forecasts {
		if !w.onRack(key.rack) {
			continue
		}
		size := reservedSize(spec)
		if key.filler {
			size = spec.Size
		}
		known.Take(w.ID, size, 0, run)
	}
}

// expectedRun is the expected run time of a task on a worker, from its newest
// checkpoint on.
func (b *Board) expectedRun(j *job, step *stepState, t *task, w *workerState) time.Duration {
	if step.spec.LongRunning {
		return locality.Never
	}
	const percent = 100
	rest := b.estimates.runTime(j.work.Queue, step.spec) * time.Duration(percent-t.saved) / percent
	return b.onWorker(j, step, w, rest)
}

// onWorker converts a run time on the preferred rack to that on a worker.
func (b *Board) onWorker(j *job, step *stepState, w *workerState, near time.Duration) time.Duration {
	rack := step.preferredRack()
	if rack == "" || w.onRack(rack) {
		return near
	}
	return time.Duration(max(1, b.remoteFactor(j.work.Queue)) * float64(near))
}

// remaining is the expected time until a run has ended. Of one that takes longer than
// expected, it is a share of its run time so far.
func (b *Board) remaining(w *workerState, key work.TaskKey, held *claim, now time.Time) time.Duration {
	j := b.jobs[key.Job]
	switch {
	case !held.stopping.IsZero() || held.orphaned || j == nil:
		return max(0, b.config.StopGrace-now.Sub(latestOf(held.stopping, held.started)))
	case held.longRunning:
		return locality.Never
	}
	_, step, t := j.find(key)
	if t == nil {
		return b.config.StopGrace
	}
	return max(b.untilExpectedEnd(w, j, step, held, now), time.Duration(overdueShare*float64(now.Sub(held.started))))
}

// untilExpectedEnd is the time until a run should end, by its progress or, if it has
// reported none, by its run time so far. It is negative once the run is overdue.
func (b *Board) untilExpectedEnd(w *workerState, j *job, step *stepState, held *claim, now time.Time) time.Duration {
	const percent = 100
	whole := b.onWorker(j, step, w, b.estimates.runTime(j.work.Queue, step.spec))
	done, since := held.saved, held.started
	if held.progress > done {
		done, since = held.progress, held.lastProgress
	}
	return whole*time.Duration(max(0, percent-done))/percent - now.Sub(since)
}
