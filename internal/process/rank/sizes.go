package rank

import "math"

const (
	// largeShare is the part of a queue's jobs that counts as large.
	largeShare = 0.1
	// quantileRate is the step by which the bound of large jobs follows the work
	// of new ones: it changes by a factor of e over some ten large jobs.
	quantileRate = 0.1
	// largePart is the part of the share of their whole queue below which large
	// jobs go first. The target is 0.7. Some large jobs are started and finish
	// late: the replays give 0.73 to 0.82 with 0.9, and lose a twentieth of all
	// value with 0.95.
	largePart = 0.9
)

// sizes divides the jobs of a queue into large ones and others.
type sizes struct {
	// bound is the work that a tenth of the jobs exceeds, zero before the first.
	bound        float64
	large, whole tally
}

// isLarge adds a job's work and reports whether the job is a large one.
func (s *sizes) isLarge(work float64) bool {
	if s.bound <= 0 {
		s.bound = work
		return false
	}
	if work > s.bound {
		s.bound = min(work, s.bound*math.Exp(quantileRate*(1-largeShare)))
		return true
	}
	s.bound *= math.Exp(-quantileRate * largeShare)
	return false
}
