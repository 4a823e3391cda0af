package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

// estimates corrects the callers' estimates of run times by queue and keeps the
// mean work of their jobs.
type estimates struct {
	factors map[string]float64
	// work is the mean work of a job by queue, in millicore-seconds.
	work map[string]float64
}

func newEstimates() *estimates {
	return &estimates{
		factors: map[string]float64{},
		work:    map[string]float64{},
	}
}

// learnRate is the weight of one observation in the running means.
const learnRate = 0.05

// learn updates the correction factor of a queue with a task's actual run time.
func (e *estimates) learn(queue string, estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	observed := float64(actual) / float64(estimated)
	factor, ok := e.factors[queue]
	if !ok {
		factor = 1
	}
	e.factors[queue] = factor + learnRate*(observed-factor)
}

func (e *estimates) runTime(queue string, step *work.Step) time.Duration {
	return e.corrected(queue, step.Estimate)
}

// corrected corrects a time that the caller of a queue has estimated.
func (e *estimates) corrected(queue string, estimated time.Duration) time.Duration {
	factor, ok := e.factors[queue]
	if !ok {
		factor = 1
	}
	return time.Duration(min(factor*float64(estimated), float64(work.MaxChain)))
}

// objective returns when the job should be done to keep its full value.
func (b *Board) objective(j *job) time.Time {
	terms, ok := b.termsOf(j)
	if !ok {
		return j.arrived
	}
	chain := j.work.CriticalPath(func(step *work.Step) time.Duration { return step.Estimate })
	return j.arrived.Add(time.Duration(terms.Stretch*float64(chain)) + terms.Target)
}

// criticalPath is the longest sum of estimated run times along a chain of
// dependent steps, counting only steps that still have waiting tasks. All tasks of the
// steps that wait for such a step wait too.
func (b *Board) criticalPath(j *job) time.Duration {
	longest := time.Duration(0)
	for _, occ := range j.occurrences {
		if occ.left == 0 {
			continue
		}
		for i, step := range occ.steps {
			if step.waiting > 0 {
				longest = max(longest, min(work.MaxChain, step.spec.Estimate)+j.following[i])
			}
		}
	}
	return b.estimates.corrected(j.work.Queue, longest)
}

// taskWork is the work of one task of a step, in millicore-seconds.
func (b *Board) taskWork(j *job, step *work.Step) float64 {
	return b.estimates.runTime(j.work.Queue, step).Seconds() * float64(max(1, step.Size.MilliCores))
}

// totalWork is all work of the job, in millicore-seconds.
func (b *Board) totalWork(j *job) float64 {
	total := 0.0
	for s := range j.work.Steps {
		step := &j.work.Steps[s]
		total += b.taskWork(j, step) * float64(step.Count)
	}
	return total * float64(j.work.Occurrences())
}

// density is the job's value per millicore-second of its remaining work.
func (b *Board) density(j *job) float64 {
	total, left := b.totalWork(j), 0.0
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			left += b.taskWork(j, step.spec) * float64(step.left)
		}
	}
	return rank.Density(total, b.estimates.meanWork(j.work.Queue, total), left)
}

// meanWork returns the running mean of the work of a queue's jobs, or the given
// work if there is no mean yet.
func (e *estimates) meanWork(queue string, work float64) float64 {
	mean, ok := e.work[queue]
	if !ok {
		mean = max(1, work)
	}
	return mean
}

// recordWork adds a new job's work to the running mean.
func (e *estimates) recordWork(queue string, work float64) {
	mean, ok := e.work[queue]
	if !ok {
		mean = max(1, work)
	}
	e.work[queue] = mean + learnRate*(work-mean)
}
