package reserve

import (
	"math"
	"time"
)

const (
	// valueInterval is the time for which a long-running job is worth the share
	// of its tasks that are running. A quick job's whole value is in the same unit.
	valueInterval = 2 * time.Second
	// lateValue is the part of its value that a job keeps after its objective,
	// and lateObjectives the number of objectives after which it keeps none.
	lateValue      = 0.2
	lateObjectives = 3
)

// Quick describes a step of a quick job with tasks that fit nowhere.
type Quick struct {
	// Value is what the job is worth if it ends within its objective.
	Value float64
	// Age is how long ago the job arrived, Objective the time within which it
	// should be done, Remaining the longest run time of its steps that wait.
	Age, Objective, Remaining time.Duration
	// RunTime is that of one task of the step, Hold how long a piece of capacity
	// is kept from the preempted task.
	RunTime, Hold time.Duration
	// Left counts the tasks of the step that are not done, Pieces those of them
	// that run or have capacity reserved.
	Left, Pieces int
}

// Gain returns how many more tasks of the step should run at the same time, and
// the value of each such piece of capacity. Several tasks can use one piece, one
// after the other, as long as the job has time for it.
func (q Quick) Gain() (pieces int, each float64) {
	value, slack := q.Value, q.Objective-q.Age-q.Remaining
	if slack < 0 {
		value, slack = lateValue*q.Value, lateObjectives*q.Objective-q.Age-q.Remaining
	}
	if slack < 0 || q.Left == 0 {
		return 0, 0
	}
	rounds := 1.0
	if q.Remaining > 0 {
		rounds += math.Floor(slack.Seconds() / q.Remaining.Seconds())
	}
	if q.RunTime > 0 {
		rounds = min(rounds, max(1, math.Floor(q.Hold.Seconds()/q.RunTime.Seconds())))
	}
	wanted := int(math.Ceil(float64(q.Left) / rounds))
	return max(0, wanted-q.Pieces), value / float64(wanted)
}

// Loss is what a long-running job loses while one of its members is down.
func Loss(members int, down time.Duration) float64 {
	return down.Seconds() / valueInterval.Seconds() / float64(max(1, members))
}
