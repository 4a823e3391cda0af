// Package rank orders waiting jobs. Load pattern: more work arrives than the
// workers can run, so that the order decides which callers get their results in
// time. It keeps no claim and knows no worker: the scheduler builds the
// candidates and places their tasks in the order returned here.
package rank

import (
	"cmp"
	"time"
)

// Candidate is what decides a job's place in the order.
type Candidate struct {
	// ID breaks ties, so that the same inputs give the same order. Index is for
	// the caller's use.
	ID    string
	Index int
	// Overdue jobs have a long-running task that has been down for too long:
	// its users are not served meanwhile, and placing it takes little of the
	// time of a decision.
	Overdue bool
	// Priority is the queue's; 0 goes first.
	Priority int
	// LongRunning jobs hold their capacity for long and gain little value by
	// it: quick jobs of the same priority go first.
	LongRunning bool
	// OrganisationShare is how much of its share the job's organisation uses;
	// lower goes first within a priority. It is zero without organisations.
	OrganisationShare float64
	// Class says whether the job can still meet its objective, and Chance how
	// long it may still wait before it is hopeless.
	Class  Class
	Chance time.Duration
	// Placed is set while a place is kept for the job.
	Placed bool
	// turn is set for the late job that goes before those on time.
	turn bool
	// Density is the job's value per unit of remaining work: under overload,
	// small jobs and those nearly done go first.
	Density float64
	// Service names the workers that the job competes for. Short is set while
	// they lack capacity.
	Service string
	Short   bool
	// Queue, Arrived and Work are the job's queue, the time of its acceptance and
	// its total work. Zone is the entry zone of its caller, empty if it is unknown.
	Queue   string
	Zone    string
	Arrived time.Time
	Work    float64

	// deficit is how far the groups of the job are behind their shares.
	deficit float64
	// tallies are the groups that the job counts in: zone is the one of its entry
	// zone, large the one of the large jobs of its queue, nil if it is none of
	// them. weight is its weight there.
	tallies     []*tally
	zone, large *tally
	weight      float64
	// served is the part of the job's work that counts as served; missed is set
	// once none does any more.
	served float64
	missed bool
}

// Compare orders candidates field by field: the lower one goes first.
func Compare(a, c *Candidate) int {
	switch {
	case a.Overdue != c.Overdue:
		return trueFirst(a.Overdue)
	case (a.Class == Hopeless) != (c.Class == Hopeless):
		return -trueFirst(a.Class == Hopeless)
	case a.Priority != c.Priority:
		return cmp.Compare(a.Priority, c.Priority)
	case a.LongRunning != c.LongRunning:
		return -trueFirst(a.LongRunning)
	case a.OrganisationShare != c.OrganisationShare:
		return cmp.Compare(a.OrganisationShare, c.OrganisationShare)
	case a.Placed != c.Placed:
		return trueFirst(a.Placed)
	case a.turn != c.turn:
		return trueFirst(a.turn)
	case a.Class != c.Class:
		return cmp.Compare(a.Class, c.Class)
	case a.deficit != c.deficit:
		return cmp.Compare(c.deficit, a.deficit)
	case a.Density != c.Density:
		return cmp.Compare(c.Density, a.Density)
	}
	return cmp.Compare(a.ID, c.ID)
}

// trueFirst is the order of two booleans that differ, given the first.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
