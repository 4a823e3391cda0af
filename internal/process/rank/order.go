package rank

import "slices"

// Rules selects the rules that apply while capacity is short. Replays turn one
// off to measure what it does.
type Rules struct {
	// Lateness serves hopeless jobs last and gives late ones a small share.
	Lateness bool
	// Sizes gives large jobs their share and wide tasks a place.
	Sizes bool
	// Zones gives the entry zones shares by demand.
	Zones bool
}

// AllRules returns the rules in force.
func AllRules() Rules {
	return Rules{
		Lateness: true,
		Sizes:    true,
		Zones:    true,
	}
}

// Order sorts candidates and keeps what was served recently. It is owned by the
// scheduler; a new leader begins with an empty one.
type Order struct {
	rules Rules
	turns map[group]*turns
	epoch epoch
	sizes map[string]*sizes
	zones map[zone]*tally
	// started holds the recent starts by service.
	started map[string]*started
}

// group is the candidates that compete with each other for the same workers.
type group struct {
	service  string
	priority int
}

// NewOrder returns an order to which nothing has been served.
func NewOrder(rules Rules) *Order {
	return &Order{
		rules:   rules,
		turns:   map[group]*turns{},
		sizes:   map[string]*sizes{},
		zones:   map[zone]*tally{},
		started: map[string]*started{},
	}
}

// Arrived counts a new job, which its candidate describes.
func (o *Order) Arrived(c *Candidate) {
	if c.LongRunning {
		return
	}
	weight, factor := o.epoch.weight(c.Arrived)
	if factor < 1 {
		o.scale(factor)
	}
	queue := o.sizes[c.Queue]
	if queue == nil {
		queue = &sizes{}
		o.sizes[c.Queue] = queue
	}
	c.weight = weight
	c.zone = o.zoneTally(c)
	c.tallies = append(c.tallies[:0], &queue.whole, c.zone)
	if queue.isLarge(c.Work) {
		c.large = &queue.large
		c.tallies = append(c.tallies, c.large)
	}
	for _, counted := range c.tallies {
		counted.asked += weight
	}
}

// scale multiplies all sums over earlier arrivals.
func (o *Order) scale(factor float64) {
	for _, queue := range o.sizes {
		queue.whole.scale(factor)
		queue.large.scale(factor)
	}
	for _, counted := range o.zones {
		counted.scale(factor)
	}
}

// Sort puts the candidates in the order in which they are served. It adjusts the
// candidates of services that lack capacity, and drops from the others what
// only applies then.
func (o *Order) Sort(candidates []*Candidate) {
	for _, queue := range o.sizes {
		queue.large.deficit = queue.large.behind(largePart, queue.whole.share())
	}
	o.compareZones()
	next := map[group]*Candidate{}
	for _, c := range candidates {
		c.turn, c.deficit = false, 0
		if c.Class != OnTime {
			c.miss()
		}
		if !c.Short {
			c.Class = min(c.Class, Late)
			continue
		}
		o.adjust(c, next)
	}
	for key, c := range next {
		served := o.turns[key]
		c.turn = served == nil || served.due()
	}
	slices.SortFunc(candidates, Compare)
}

// adjust applies the rules to a candidate whose service lacks capacity. next
// holds the late candidate of each group whose turn comes first.
func (o *Order) adjust(c *Candidate, next map[group]*Candidate) {
	if o.rules.Sizes && c.large != nil {
		c.deficit = c.large.deficit
	}
	if o.rules.Zones && c.zone != nil {
		c.deficit += c.zone.deficit
	}
	switch {
	case !o.rules.Lateness:
		c.Class = min(c.Class, Late)
	case c.Class == Late:
		key := c.group()
		if first := next[key]; first == nil || c.before(first) {
			next[key] = c
		}
	}
}

// before reports whether a late candidate becomes hopeless before another one.
func (c *Candidate) before(other *Candidate) bool {
	if c.Chance != other.Chance {
		return c.Chance < other.Chance
	}
	return c.ID < other.ID
}

func (c *Candidate) group() group {
	return group{
		service:  c.Service,
		priority: c.Priority,
	}
}
