package schedule

import (
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shortage records the sizes that did not fit into a pool in this decision, so that
// the same is not searched for again: there are many more waiting tasks than
// distinct sizes.
type shortage struct {
	sizes []worker.Size
	// fillers holds, by image, the sizes of fillers that did not fit.
	fillers map[string][]worker.Size
	// lacking is set once a task did not fit.
	lacking bool
}

func newShortage() *shortage {
	return &shortage{
		fillers: map[string][]worker.Size{},
	}
}

// rulesOut reports whether a task of the same kind and no larger size has
// already failed to fit.
func (s *shortage) rulesOut(spec *work.Step) bool {
	if spec.Label != "" || spec.Spread != 0 {
		return false
	}
	sizes := s.sizes
	if spec.Filler {
		sizes = s.fillers[spec.Image]
	}
	for _, size := range sizes {
		if size.FitsIn(spec.Size) {
			return true
		}
	}
	return false
}

// record adds a task of the step that did not fit.
func (s *shortage) record(spec *work.Step) {
	switch {
	case spec.Label != "" || spec.Spread != 0:
	case spec.Filler:
		s.fillers[spec.Image] = append(s.fillers[spec.Image], spec.Size)
	default:
		s.sizes = append(s.sizes, spec.Size)
	}
}
