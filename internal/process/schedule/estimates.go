package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// estimates corrects callers' guesses of run times by queue.
type estimates struct {
	factors map[string]float64
	// work is the mean work of a job by queue.
	work map[string]float64
}

func newEstimates() *estimates {
	return &estimates{
		factors: map[string]float64{},
		work:    map[string]float64{},
	}
}

// learnRate is the weight of one observation in the running mean.
const learnRate = 0.05

// learn takes note of how long a task really ran.
func (e *estimates) learn(queue string, guessed, took time.Duration) {
	if guessed <= 0 {
		return
	}
	seen := float64(took) / float64(guessed)
	factor, ok := e.factors[queue]
	if !ok {
		factor = 1
	}
	e.factors[queue] = factor + learnRate*(seen-factor)
}

func (e *estimates) of(queue string, step *work.Step) time.Duration {
	factor, ok := e.factors[queue]
	if !ok {
		factor = 1
	}
	return time.Duration(factor * float64(step.Estimate))
}

// objective is by when the job should be done to earn its full worth.
func (b *Board) objective(j *job) time.Time {
	queue, ok := b.catalog.Queues[j.work.Queue]
	if !ok {
		return j.arrived
	}
	chain := j.work.ChainEstimate(func(step *work.Step) time.Duration { return step.Estimate })
	return j.arrived.Add(time.Duration(queue.Stretch*float64(chain)) + queue.Target)
}

// remaining is the longest chain of steps that still have tasks waiting.
func (b *Board) remaining(j *job) time.Duration {
	longest := time.Duration(0)
	for _, one := range j.occurrences {
		if one.left == 0 {
			continue
		}
		ends := make([]time.Duration, len(one.steps))
		for i, step := range one.steps {
			for _, earlier := range step.spec.After {
				ends[i] = max(ends[i], ends[earlier])
			}
			if step.waiting > 0 {
				ends[i] += b.estimates.of(j.work.Queue, step.spec)
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// A job's worth is this base, and the rest in proportion to its work against
// the mean of its queue, up to a bound: as its users value it.
const (
	worthBase = 0.3
	worthMost = 4.0
)

// wholeWork is all that the job has to do, in thousandths of core-seconds.
func (b *Board) wholeWork(j *job) float64 {
	whole := 0.0
	for s := range j.work.Steps {
		step := &j.work.Steps[s]
		whole += b.estimates.of(j.work.Queue, step).Seconds() * float64(max(1, step.Size.MilliCores)) * float64(step.Count)
	}
	return whole * float64(j.work.Occurrences())
}

// density is the job's worth for each core-second that is left of it.
func (b *Board) density(j *job) float64 {
	whole, left := b.wholeWork(j), 0.0
	for _, one := range j.occurrences {
		for _, step := range one.steps {
			each := b.estimates.of(j.work.Queue, step.spec).Seconds() * float64(max(1, step.spec.Size.MilliCores))
			left += each * float64(step.left)
		}
	}
	mean := b.estimates.meanWork(j.work.Queue, whole)
	worth := min(worthMost, worthBase+(1-worthBase)*whole/mean)
	return worth / max(1, left)
}

// meanWork is the running mean of the work of a queue's jobs.
func (e *estimates) meanWork(queue string, work float64) float64 {
	mean, ok := e.work[queue]
	if !ok {
		mean = max(1, work)
	}
	return mean
}

// noteWork takes a new job's work into the mean.
func (e *estimates) noteWork(queue string, work float64) {
	mean, ok := e.work[queue]
	if !ok {
		mean = max(1, work)
	}
	e.work[queue] = mean + learnRate*(work-mean)
}
