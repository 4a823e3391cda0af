package rank

import (
	"slices"
	"time"
)

// Rules selects the rules that apply while capacity is short. Replays turn one
// off to measure what it does.
type Rules struct {
	// Lateness serves hopeless jobs last and gives late ones a small share.
	Lateness bool
}

// AllRules returns the rules in force.
func AllRules() Rules {
	return Rules{
		Lateness: true,
	}
}

// Order sorts candidates and keeps what was served recently. It is owned by the
// scheduler; a new leader begins with an empty one.
type Order struct {
	rules Rules
	turns map[group]*turns
}

// group is the candidates that compete with each other for the same workers.
type group struct {
	service  string
	priority int
}

// NewOrder returns an order to which nothing has been served.
func NewOrder(rules Rules) *Order {
	return &Order{
		rules: rules,
		turns: map[group]*turns{},
	}
}

// Sort puts the candidates in the order in which they are served. It adjusts the
// candidates of services that lack capacity, and drops from the others what
// only applies then.
func (o *Order) Sort(candidates []*Candidate) {
	next := map[group]*Candidate{}
	for _, c := range candidates {
		c.turn = false
		switch {
		case c.Class == Hopeless && (!c.Short || !o.rules.Lateness):
			c.Class = Late
		case c.Class == Late && c.Short && o.rules.Lateness:
			key := c.group()
			if first := next[key]; first == nil || c.before(first) {
				next[key] = c
			}
		}
	}
	for key, c := range next {
		served := o.turns[key]
		c.turn = served == nil || served.due()
	}
	slices.SortFunc(candidates, Compare)
}

// before reports whether a late candidate becomes hopeless before another one.
func (c *Candidate) before(other *Candidate) bool {
	if c.Chance != other.Chance {
		return c.Chance < other.Chance
	}
	return c.ID < other.ID
}

// Started counts work that is started for a candidate.
func (o *Order) Started(c *Candidate, work float64, now time.Time) {
	if c.LongRunning {
		return
	}
	key := c.group()
	served := o.turns[key]
	if served == nil {
		served = &turns{}
		o.turns[key] = served
	}
	served.all.add(work, now)
	if c.Class != OnTime {
		served.late.add(work, now)
	} else {
		served.late.add(0, now)
	}
}

func (c *Candidate) group() group {
	return group{
		service:  c.Service,
		priority: c.Priority,
	}
}
