package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// fakeAdvice grants tickets, one call at a time, each after a time.
type fakeAdvice struct {
	took, term time.Duration

	turn sync.Mutex
	mu   sync.Mutex
	// until is by ticket.
	until map[string]time.Time
	// inFlight counts the calls that came and were not answered, most the most at
	// the same time.
	inFlight, most int
}

func (f *fakeAdvice) advise(_ context.Context, request schedule.TicketRequest) (map[string]string, time.Duration, error) {
	f.mu.Lock()
	f.inFlight++
	f.most = max(f.most, f.inFlight)
	f.mu.Unlock()
	f.turn.Lock()
	defer f.turn.Unlock()
	time.Sleep(f.took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	granted := map[string]string{}
	for _, id := range request.Workers {
		granted[id] = fmt.Sprintf("t%d", len(f.until))
		f.until[granted[id]] = time.Now().Add(f.term)
	}
	return granted, f.term, nil
}

// valid reports whether a worker accepts the ticket now.
func (f *fakeAdvice) valid(ticket string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[ticket])
}

// startAdvised starts a host whose queue needs tickets.
func (s *site) startAdvised(advice *fakeAdvice, layout shard.Layout) *Group {
	config := s.leaderConfig("recife-1")
	config.Calls.Advise = advice.advise
	start := config.Calls.Start
	config.Calls.Start = func(ctx context.Context, target Target, lease Lease, order schedule.Start) (schedule.Verdict, time.Duration) {
		if !advice.valid(order.Ticket) {
			return schedule.NoTicket, time.Second
		}
		return start(ctx, target, lease, order)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	group := s.startConfigured(ctx, config, layout)
	group.SetCatalog(&catalog.Catalog{
		Version: 2,
		Queues: map[string]catalog.Queue{
			"quotes": {
				Name:           "quotes",
				Service:        "workshop",
				RequiresTicket: true,
				TicketTime:     advice.took,
				MinTicketTerm:  advice.term,
			},
		},
	})
	return group
}

// Guards against jobs that wait for tickets for ever: requests that waited for each
// other at the service brought tickets that counted as expired (review case 9).
func TestBurstOnQueueWithTicketsRuns(t *testing.T) {
	s := newSite(t)
	advice := &fakeAdvice{
		took:  50 * time.Millisecond,
		term:  200 * time.Millisecond,
		until: map[string]time.Time{},
	}
	group := s.startAdvised(advice, shard.Solo())
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, id := range ids {
		s.submit(id)
	}
	for _, id := range ids {
		s.waitCompleted(group.leaders[0], id)
	}
	advice.mu.Lock()
	defer advice.mu.Unlock()
	assert.Equal(t, 1, advice.most, "calls at the same time")
}

// Guards against two leaders on one host whose requests wait for each other: the
// service handles one call at a time for each machine.
func TestLeadersOnAHostRequestTicketsInTurn(t *testing.T) {
	s := newSite(t)
	advice := &fakeAdvice{
		took:  30 * time.Millisecond,
		term:  200 * time.Millisecond,
		until: map[string]time.Time{},
	}
	layout := shard.Layout{
		Shards: 2,
		Racks: map[string]int{
			"r0": 0,
			"r1": 1,
		},
	}
	s.startAdvised(advice, layout)
	submitted := map[int][]string{}
	for n := 0; len(submitted[0]) < 4 || len(submitted[1]) < 4; n++ {
		id := fmt.Sprintf("job-%d", n)
		if number := layout.OfJob(id); len(submitted[number]) < 4 {
			s.submitTo(KeysOf(number, 2), id)
			submitted[number] = append(submitted[number], id)
		}
	}
	for number, ids := range submitted {
		for _, id := range ids {
			require.Eventually(t, func() bool {
				return s.workers.started(work.TaskKey{
					Job:  id,
					Step: 1,
				}) > 0
			}, waitTimeout, 5*time.Millisecond, "job %s of shard %d", id, number)
		}
	}
	advice.mu.Lock()
	defer advice.mu.Unlock()
	assert.Equal(t, 1, advice.most, "calls at the same time")
}

// Guards against a leader that keeps the turn of others: one that has ended in line,
// or that took a turn and did not use it.
func TestTurnsForTicketsAreNotLost(t *testing.T) {
	turns, now := newAdviceTurns(), time.Now()
	config := Config{
		Clock: time.Now,
		Store: store.Client{},
	}
	first, gone, last := New(config), New(config), New(config)
	require.True(t, turns.take(first, now))
	require.False(t, turns.take(gone, now))
	now = now.Add(adviceWaitAge / 2)
	require.False(t, turns.take(last, now))
	turns.release()
	require.Len(t, gone.events, 1, "the next in line is woken")
	require.False(t, turns.take(last, now), "it comes after the other")
	now = now.Add(adviceWaitAge)
	require.True(t, turns.take(last, now), "the other did not come back")
	turns.release()
	require.True(t, turns.take(first, now))
}
