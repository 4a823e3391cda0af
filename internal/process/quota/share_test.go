package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

var testStart = time.Unix(1000, 0)

func cores(count int64) worker.Size {
	return worker.Size{
		MilliCores: count * 1000,
	}
}

// weightedBook returns a book of organisations with weights and a capacity.
func weightedBook(total worker.Size, weights map[string]float64) *Book {
	book := NewBook(0, 1)
	organisations := map[string]catalog.Organisation{}
	for name, weight := range weights {
		organisations[name] = catalog.Organisation{
			Name:   name,
			Weight: weight,
		}
	}
	book.SetOrganisations(1, organisations)
	book.SetCapacity(total, testStart)
	return book
}

// Guards against an order by cores alone and against weights without effect.
func TestOrderFollowsWeightedDominantShare(t *testing.T) {
	total := worker.Size{
		MilliCores:  100_000,
		MemoryBytes: 1000,
	}
	tests := map[string]struct {
		mill, press   worker.Size
		millW, pressW float64
	}{
		"cores": {
			mill:   cores(10),
			press:  cores(40),
			millW:  1,
			pressW: 1,
		},
		"memory dominates": {
			mill: cores(30),
			press: worker.Size{
				MilliCores:  1000,
				MemoryBytes: 600,
			},
			millW:  1,
			pressW: 1,
		},
		"weight": {
			mill:   cores(40),
			press:  cores(20),
			millW:  4,
			pressW: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			book := weightedBook(total, map[string]float64{
				"mill":  tt.millW,
				"press": tt.pressW,
			})
			mill, press := book.Account("mill"), book.Account("press")
			mill.Add(tt.mill)
			press.Add(tt.press)
			book.SetCapacity(total, testStart)
			assert.Less(t, book.Order(mill, testStart), book.Order(press, testStart))
		})
	}
}

// Guards against starvation: an organisation that holds everything, and whose
// work waits, goes first after at most as many agings as there are fair shares.
func TestOrderAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 30).Draw(t, "organisations")
		weights := map[string]float64{}
		for i := range count {
			weights[fmt.Sprint(i)] = 1
		}
		book := weightedBook(cores(100), weights)
		holder := book.Account("0")
		holder.Add(cores(100))
		for now := testStart; now.Sub(testStart) <= time.Duration(count)*agingTime; now = now.Add(agingTime / 2) {
			for i := range count {
				_ = book.Order(book.Account(fmt.Sprint(i)), now)
			}
			book.SetCapacity(cores(100), now)
		}
		end := testStart.Add(time.Duration(count) * agingTime)
		require.Zero(t, book.Order(holder, end))
		holder.Started(end)
		require.Positive(t, book.Order(holder, end), "a start resets the age")
	})
}

// Without organisations the order has no effect.
func TestOrderWithoutOrganisations(t *testing.T) {
	assert.Zero(t, NewBook(0, 1).Order(nil, testStart))
}
