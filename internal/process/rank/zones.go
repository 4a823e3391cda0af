package rank

// zonePart is the part of the share of the other zones below which a zone's jobs
// go first. The target is 0.8: the margin covers jobs that are started and
// finish late.
const zonePart = 0.95

// zone is the entry zone of jobs that compete with each other. Jobs whose entry
// zone is unknown form a zone of their own, with an empty name.
type zone struct {
	group
	name string
}

// zoneTally returns the tally of a candidate's entry zone.
func (o *Order) zoneTally(c *Candidate) *tally {
	key := zone{
		group: c.group(),
		name:  c.Zone,
	}
	counted := o.zones[key]
	if counted == nil {
		counted = &tally{}
		o.zones[key] = counted
	}
	return counted
}

// compareZones finds the zones that are behind the others of their group. Load
// pattern: the callers of one zone send larger jobs than the others, or return
// later after a failure, and would be served last.
func (o *Order) compareZones() {
	sums := map[group]tally{}
	for key, counted := range o.zones {
		sum := sums[key.group]
		sum.asked += counted.asked
		sum.served += counted.served
		sums[key.group] = sum
	}
	for key, counted := range o.zones {
		others := sums[key.group]
		others.asked -= counted.asked
		others.served -= counted.served
		counted.deficit = 0
		// A share of no more than rounding errors means nothing.
		if others.asked > counted.asked/maxZones {
			counted.deficit = counted.behind(zonePart, others.share())
		}
	}
}

// maxZones bounds how much less than a zone the others together may ask for and
// still be compared with it.
const maxZones = 100
