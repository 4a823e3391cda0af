package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

var begin = time.Unix(50, 0)

func TestMain(m *testing.M) {
	golden.Main(m, 100)
}

func ticket(id uint64, customer string, left time.Duration) Ticket {
	return Ticket{
		ID:       id,
		Customer: customer,
		Deadline: begin.Add(left),
	}
}

// TestCustomersAreServedRoundRobin guards against one customer with many
// waiting requests delaying the others.
func TestCustomersAreServedRoundRobin(t *testing.T) {
	queue := NewQueue(Config{
		MaxWaiting: 100,
	})
	for id := range uint64(10) {
		require.True(t, queue.Push(ticket(id, "greedy", time.Hour), 1, begin))
	}
	require.True(t, queue.Push(ticket(99, "modest", time.Hour), 1, begin))
	var order []uint64
	for range 3 {
		next, found, _ := queue.Peek(begin)
		require.True(t, found)
		queue.Pop()
		order = append(order, next.ID)
	}
	assert.Contains(t, order[:2], uint64(99), "the modest customer is served second")
}

// TestShedding guards against admitting requests that will miss their deadline
// and against shedding those that would meet it.
func TestShedding(t *testing.T) {
	tests := map[string]struct {
		waiting  int
		busy     int
		left     time.Duration
		admitted bool
	}{
		"an idle service admits":                                            {waiting: 0, busy: 8, left: time.Second, admitted: true},
		"a request that fits its deadline is admitted":                      {waiting: 8, busy: 8, left: time.Second, admitted: true},
		"a request that cannot meet its deadline is shed":                   {waiting: 80, busy: 8, left: time.Second, admitted: false},
		"a short deadline is shed at a queue length that a long one passes": {waiting: 8, busy: 8, left: 250 * time.Millisecond, admitted: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue := NewQueue(Config{
				MaxWaiting: 1000,
			})
			for i := range test.waiting {
				queue.Push(ticket(uint64(i), "c", time.Hour), test.busy, begin)
			}
			queue.RecordServiceTime(100 * time.Millisecond)
			assert.Equal(t, test.admitted, queue.Push(ticket(5000, "c", test.left), test.busy, begin))
		})
	}
}

// TestEveryTicketLeavesOnce guards against tickets that are lost or returned
// twice when random pushes, pops, removals and expiries interleave, and against
// a queue that grows past its bound.
func TestEveryTicketLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxWaiting = 20
		queue := NewQueue(Config{
			MaxWaiting: maxWaiting,
		})
		expected := map[uint64]bool{}
		now := begin
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "events")) {
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove", "wait"}).Draw(t, "event") {
			case "push":
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				if queue.Push(ticket(id, customer, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond), 4, now) {
					expected[id] = true
				}
			case "pop":
				next, found, expired := queue.Peek(now)
				for _, dropped := range expired {
					require.True(t, expected[dropped.ID])
					delete(expected, dropped.ID)
				}
				if found {
					require.True(t, expected[next.ID])
					queue.Pop()
					delete(expected, next.ID)
				}
			case "remove":
				for waiting := range expected {
					require.True(t, queue.Remove(waiting))
					delete(expected, waiting)
					break
				}
			case "wait":
				now = now.Add(300 * time.Millisecond)
			}
			require.Equal(t, len(expected), queue.Length())
			require.LessOrEqual(t, queue.Length(), maxWaiting)
		}
	})
}
