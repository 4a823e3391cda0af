package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// replayFigures is what the callers of a replay saw.
type replayFigures struct {
	// share is the value that quick jobs got of the value that they had,
	// largeShare that of the largest tenth.
	share, largeShare float64
	// median and ninetieth are the waits of the quick tasks that started.
	median, ninetieth time.Duration
	// late counts quick tasks that did not start within three times their job's
	// objective, meanLate their mean size in millicores.
	late, tasks int
	meanLate    int64
	// available is the share of long-running tasks at 100 percent.
	available float64
	// medianPart is the median of completion time over objective.
	medianPart float64
}

// lateValue is the part of a job's value between its objective and three times
// that.
const lateValue = 0.2

func (j *fleetJob) served() float64 {
	took := j.done.Sub(j.arrived)
	switch {
	case j.done.IsZero() || took > 3*j.objective:
		return 0
	case took > j.objective:
		return lateValue * j.value
	}
	return j.value
}

// figures summarises the quick jobs that arrived between two times, each of
// which has had three times its objective.
func (r *replay) figures(from, to time.Time) replayFigures {
	var out replayFigures
	var waits []time.Duration
	var parts []float64
	var jobs []*fleetJob
	for _, j := range r.quick {
		if !j.arrived.Before(from) && j.arrived.Before(to) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, c *fleetJob) int { return int(1e6 * (c.value - a.value)) })
	total, got, largeTotal, largeGot, lateCores := 0.0, 0.0, 0.0, 0.0, int64(0)
	for i, j := range jobs {
		total += j.value
		got += j.served()
		if i < len(jobs)/10 {
			largeTotal += j.value
			largeGot += j.served()
		}
		part := 10.0
		if !j.done.IsZero() {
			part = j.done.Sub(j.arrived).Seconds() / j.objective.Seconds()
		}
		parts = append(parts, part)
		for s, step := range j.spec.Steps {
			for index := range step.Count {
				out.tasks++
				key := work.TaskKey{
					Job:   j.spec.ID,
					Step:  s,
					Index: index,
				}
				started, ok := r.started[key]
				if !ok || started.Sub(j.arrived) > 3*j.objective {
					out.late++
					lateCores += step.Size.MilliCores
				}
				if ok && s == 0 {
					waits = append(waits, started.Sub(j.arrived))
				}
			}
		}
	}
	if out.late > 0 {
		out.meanLate = lateCores / int64(out.late)
	}
	slices.Sort(waits)
	slices.Sort(parts)
	out.share, out.largeShare = got/total, largeGot/largeTotal
	out.available = float64(r.available) / float64(r.samples)
	if len(waits) > 0 {
		out.median, out.ninetieth = waits[len(waits)/2], waits[len(waits)*9/10]
	}
	out.medianPart = parts[len(parts)/2]
	return out
}
