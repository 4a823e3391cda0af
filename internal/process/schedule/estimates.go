package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// estimates corrects callers' guesses of run times by queue.
type estimates struct {
	factors map[string]float64
}

func newEstimates() *estimates {
	return &estimates{
		factors: map[string]float64{},
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
