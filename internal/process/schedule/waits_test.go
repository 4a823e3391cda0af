package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// An operator must see why work waits: tasks that wait for a takeover or a ticket
// looked the same as those that lack capacity.
func TestSummaryShowsWhyTasksWait(t *testing.T) {
	const wait = 900 * time.Millisecond
	waits := func(reason WaitReason, size WaitSize, count int) Waits {
		return Waits{{
			Reason:  reason,
			Size:    size,
			Tasks:   count,
			Longest: wait,
			Total:   time.Duration(count) * wait,
		}}
	}
	tests := map[string]struct {
		prepare func(board *Board)
		want    Waits
	}{
		"small tasks without capacity": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "plans", tasks(3, 100)), nil, false, testStart, testStart)
			},
			want: waits(WaitCapacity, WaitSmall, 3),
		},
		"large task over its quota": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "plans", tasks(1, 2500)), nil, false, testStart, testStart)
				board.open["b"].overQuota = true
			},
			want: waits(WaitQuota, WaitLarge, 1),
		},
		"medium tasks without tickets": {
			prepare: func(board *Board) {
				changed := testCatalog()
				changed.Queues["ticketed"] = catalog.Queue{
					Name:           "ticketed",
					Service:        "workshop",
					RequiresTicket: true,
				}
				board.SetCatalog(changed)
				board.AddJob(testJob("b", "ticketed", tasks(2, 1000)), nil, false, testStart, testStart)
			},
			want: waits(WaitTicket, WaitMedium, 2),
		},
		"tasks of an earlier leader": {
			prepare: func(board *Board) {
				board.AddRoster([]Listing{{
					ID:      "silent",
					Service: "workshop",
				}}, testStart)
				board.AddJob(testJob("b", "plans", tasks(2, 1000)), nil, true, testStart, testStart)
			},
			want: waits(WaitTakeover, WaitMedium, 2),
		},
		"task with a place": {
			prepare: func(board *Board) {
				board.AddJob(testJob("b", "plans", tasks(1, 8000)), nil, false, testStart, testStart)
				board.open["b"].rank.Placed = true
				board.open["b"].rank.Arrived = testStart.Add(-time.Minute)
			},
			want: waits(WaitPlace, WaitLarge, 1),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			full := tasks(1, 8000)
			full.Size = worker.Size{
				MilliCores:  8000,
				MemoryBytes: 1 << 30,
			}
			board.AddJob(testJob("a", "quotes", full), nil, false, testStart, testStart)
			accept(board, board.Decide(testStart, true), testStart)
			tt.prepare(board)
			assert.Equal(t, tt.want, board.Summary(testStart.Add(wait)).Waits)
		})
	}
}

func TestWaitsInTheLog(t *testing.T) {
	waits := Waits{}.add(WaitTakeover, WaitLarge, 1, time.Second)
	waits = waits.add(WaitCapacity, WaitSmall, 2, 1500*time.Millisecond)
	waits = waits.add(WaitCapacity, WaitSmall, 2, 500*time.Millisecond)
	waits.sort()
	assert.Equal(t, "capacity/small 4 1s 1.5s, takeover/large 1 1s 1s", waits.String())
	assert.Empty(t, Waits{}.String())
}
