package schedule

import (
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shortage is what has found no room in this decision, so that the same is not
// looked for again: there are many more tasks waiting than kinds of them.
type shortage struct {
	sizes []worker.Size
	// fillers is the least of the cores, in thousandths, that a filler of an
	// image did not find.
	fillers map[string]int64
}

func newShortage() *shortage {
	return &shortage{
		fillers: map[string]int64{},
	}
}

// hopeless tells whether a smaller task of the kind has found no room already.
func (s *shortage) hopeless(spec *work.Step) bool {
	if spec.Label != "" || spec.Spread != 0 {
		return false
	}
	if spec.Filler {
		least, ok := s.fillers[spec.Image]
		return ok && spec.Size.MilliCores >= least
	}
	for _, size := range s.sizes {
		if size.Within(spec.Size) {
			return true
		}
	}
	return false
}

// note takes in that a task of the step has found no room.
func (s *shortage) note(spec *work.Step, t *task) {
	switch {
	case spec.Label != "" || spec.Spread != 0 || t.avoid != "":
	case spec.Filler:
		s.fillers[spec.Image] = spec.Size.MilliCores
	default:
		s.sizes = append(s.sizes, spec.Size)
	}
}
