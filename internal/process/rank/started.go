package rank

import "time"

// Start is a task that is started for a candidate.
type Start struct {
	// Work is the work of the task and RunTime its expected run time.
	Work    float64
	RunTime time.Duration
	// MilliCores are the cores that it takes, zero for a filler.
	MilliCores int64
	At         time.Time
}

// started is what is known of the recent starts of a service.
type started struct {
	// runTime is the mean run time.
	runTime time.Duration
	// smallest is the fewest cores of a task, smallestAt when one of that size
	// was last started.
	smallest   int64
	smallestAt time.Time
}

const (
	// runTimeCount is the number of starts over which the mean run time forgets.
	runTimeCount = 20
	// smallestTerm is how long the smallest start is remembered: as long as a
	// lack of capacity is.
	smallestTerm = time.Second
)

func (s *started) add(start Start) {
	if s.runTime == 0 {
		s.runTime = start.RunTime
	}
	s.runTime += (start.RunTime - s.runTime) / runTimeCount
	if start.MilliCores == 0 {
		return
	}
	if start.MilliCores <= s.smallest || start.At.Sub(s.smallestAt) > smallestTerm {
		s.smallest, s.smallestAt = start.MilliCores, start.At
	}
}

// Started counts the start of a task.
func (o *Order) Started(c *Candidate, start Start) {
	if c.LongRunning {
		return
	}
	service := o.started[c.Service]
	if service == nil {
		service = &started{}
		o.started[c.Service] = service
	}
	service.add(start)
	key := c.group()
	divided := o.turns[key]
	if divided == nil {
		divided = &turns{}
		o.turns[key] = divided
	}
	late := 0.0
	if c.Class != OnTime {
		late = start.Work
	}
	divided.all.add(start.Work, start.At)
	divided.late.add(late, start.At)
}
