package rank

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// earlierOrder is the order before there were rules for a lack of capacity.
func earlierOrder(a, c *Candidate) int {
	return cmp.Or(
		-compareBools(a.Overdue, c.Overdue),
		cmp.Compare(a.Priority, c.Priority),
		compareBools(a.LongRunning, c.LongRunning),
		compareBools(a.Class != OnTime, c.Class != OnTime),
		cmp.Compare(c.Density, a.Density),
		cmp.Compare(a.ID, c.ID),
	)
}

func compareBools(a, c bool) int {
	switch {
	case a == c:
		return 0
	case a:
		return 1
	}
	return -1
}

// Deployments whose capacity suffices are served in the order of earlier
// releases, whatever was served recently.
func TestOrderWithoutShortageIsUnchanged(t *testing.T) {
	random := seeded()
	order := NewOrder(AllRules())
	now := time.Unix(replayStart, 0)
	for round := range 200 {
		var want []*Candidate
		for i := range 40 {
			c := &Candidate{
				ID:       fmt.Sprint(i),
				Priority: random.IntN(3),
				Class:    Class(random.IntN(3)),
				Chance:   time.Duration(random.IntN(1000)) * time.Millisecond,
				Density:  float64(random.IntN(5)),
				Service:  "workshop",
				Queue:    "plans",
				Zone:     fmt.Sprint(random.IntN(3)),
				Arrived:  now.Add(time.Duration(round) * time.Second),
				Work:     float64(random.IntN(100)),
			}
			if random.IntN(4) == 0 {
				c.LongRunning, c.Class = true, OnTime
				c.Overdue = random.IntN(2) == 0
			}
			want = append(want, c)
			order.Arrived(c)
			c.SetServed(random.Float64())
			order.Started(c, Start{
				Work:       float64(random.IntN(10)),
				RunTime:    time.Second,
				MilliCores: 1000,
				At:         c.Arrived,
			})
		}
		got := slices.Clone(want)
		slices.SortFunc(want, earlierOrder)
		order.Sort(got)
		assert.Equal(t, want, got)
	}
}
