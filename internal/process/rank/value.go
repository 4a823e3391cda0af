package rank

import "time"

// A job's value is baseValue plus a part in proportion to its work relative to
// the mean of its queue, up to maxValue. It follows the value that users give
// to a job.
const (
	baseValue = 0.3
	maxValue  = 4.0
)

// Value is a job's value, given its total work and the mean work of its queue's
// jobs.
func Value(total, mean float64) float64 {
	return min(maxValue, baseValue+(1-baseValue)*total/mean)
}

// Density is a job's value per unit of remaining work.
func Density(total, mean, remaining float64) float64 {
	return Value(total, mean) / max(1, remaining)
}

// OverdueAfter is how long a long-running task may be down before it goes
// first: a third of the time after which its users consider it lost.
const OverdueAfter = 2 * time.Second
