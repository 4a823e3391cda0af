package schedule

import (
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shortage records the sizes that did not fit in this decision, so that the
// same is not searched for again: there are many more waiting tasks than
// distinct sizes.
type shortage struct {
	sizes []worker.Size
	// fillers is, by image, the least number of millicores requested by a
	// filler that did not fit.
	fillers map[string]int64
	// lacking is set once a task did not fit.
	lacking bool
	// places is how many more workers may keep a place in this decision.
	places int
	// searches is how many more searches for a place it may make.
	searches int
}

func newShortage() *shortage {
	return &shortage{
		fillers: map[string]int64{},
	}
}

// rulesOut reports whether a task of the same kind and no larger size has
// already failed to fit.
func (s *shortage) rulesOut(spec *work.Step) bool {
	if spec.Label != "" || spec.Spread != 0 {
		return false
	}
	if spec.Filler {
		least, ok := s.fillers[spec.Image]
		return ok && spec.Size.MilliCores >= least
	}
	for _, size := range s.sizes {
		if size.FitsIn(spec.Size) {
			return true
		}
	}
	return false
}

// record adds a task of the step that did not fit.
func (s *shortage) record(spec *work.Step, t *task) {
	switch {
	case spec.Label != "" || spec.Spread != 0 || t.avoid != "":
	case spec.Filler:
		s.fillers[spec.Image] = spec.Size.MilliCores
	default:
		s.sizes = append(s.sizes, spec.Size)
	}
}
