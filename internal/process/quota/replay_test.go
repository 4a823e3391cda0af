package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	replayCores = 160
	replayStep  = 100 * time.Millisecond
	replayTime  = 60 * time.Second
	// replayPatience is how long a task may wait until it counts as not served.
	replayPatience = 2 * time.Second
)

// replay sends one task of each of 20 organisations every step, and burst times
// as many of the first. It returns the served share of the others. The capacity
// is 160 tasks a second for 200 that arrive without a burst. ordered says whether
// the book's order is used, or the order of arrival.
func replay(burst int, ordered bool) float64 {
	weights := map[string]float64{}
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("o%02d", i)
		weights[names[i]] = 1
	}
	book := weightedBook(cores(replayCores), weights)
	ends := map[time.Time][]string{}
	waiting := make([][]time.Time, len(names)) // arrivals, oldest first
	free, asked, served := replayCores, 0, 0
	for now := testStart; now.Sub(testStart) < replayTime; now = now.Add(replayStep) {
		for _, name := range ends[now] {
			book.Account(name).Remove(cores(1))
			free++
		}
		for i := range names {
			count := burst
			if i > 0 {
				count = 1
				asked++
			}
			waiting[i] = append(waiting[i], slices.Repeat([]time.Time{now}, count)...)
			waiting[i] = slices.DeleteFunc(waiting[i], func(arrived time.Time) bool { return now.Sub(arrived) > replayPatience })
		}
		book.SetCapacity(cores(replayCores), now)
		for free > 0 {
			next := chooseReplayed(book, names, waiting, ordered, now)
			if next < 0 {
				break
			}
			account := book.Account(names[next])
			account.Add(cores(1))
			account.Started(now)
			ends[now.Add(time.Second)] = append(ends[now.Add(time.Second)], account.Name)
			waiting[next] = waiting[next][1:]
			free--
			if next > 0 {
				served++
			}
		}
	}
	return float64(served) / float64(asked)
}

// chooseReplayed returns the organisation that is served next, -1 if none waits.
// The oldest task goes first without the order, and among equal organisations.
func chooseReplayed(book *Book, names []string, waiting [][]time.Time, ordered bool, now time.Time) int {
	best, bestOrder := -1, 0.0
	for i, name := range names {
		if len(waiting[i]) == 0 {
			continue
		}
		order := 0.0
		if ordered {
			order = book.Order(book.Account(name), now)
		}
		if best < 0 || order < bestOrder || order == bestOrder && waiting[i][0].Before(waiting[best][0]) {
			best, bestOrder = i, order
		}
	}
	return best
}

// Load pattern: one organisation sends 20 times its usual load while capacity is
// short. The served share of the others must not fall by more than 0.05.
func TestBurstOfOneOrganisationSparesOthers(t *testing.T) {
	const most = 0.05
	usual, burst := replay(1, true), replay(20, true)
	t.Logf("served share of the others: %.3f, with the burst %.3f", usual, burst)
	assert.LessOrEqual(t, usual-burst, most)
	usual, burst = replay(1, false), replay(20, false)
	t.Logf("in the order of arrival: %.3f, with the burst %.3f", usual, burst)
	assert.Greater(t, usual-burst, most, "the replay shows nothing without the order")
}
