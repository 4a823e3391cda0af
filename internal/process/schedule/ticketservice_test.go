package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// issuedTicket is what a worker checks of a ticket.
type issuedTicket struct {
	job, worker string
	born, until time.Time
}

// ticketService plays a board beside a service that grants tickets, one call at a time:
// slowly, or not at all, and only for some workers. Workers restart, and orders take
// their time.
type ticketService struct {
	t     *rapid.T
	board *Board
	now   time.Time
	queue catalog.Queue
	// faults is set while calls are slow or get lost and workers restart.
	faults bool
	// request is the call in flight, nil without one; it ends at endsAt.
	request *TicketRequest
	endsAt  time.Time
	issued  map[string]issuedTicket
	born    map[string]time.Time
	running map[work.TaskKey]Start
	ends    map[work.TaskKey]time.Time
	ended   map[string][]EndedTask
	number  int64
	started map[string]bool
}

const ticketStep = 50 * time.Millisecond

var ticketWorkerIDs = []string{"w0", "w1", "w2", "w3", "w4"}

func newTicketService(t *rapid.T) *ticketService {
	s := &ticketService{
		t:       t,
		board:   testBoard(ticketWorkerIDs...),
		now:     testStart,
		faults:  true,
		issued:  map[string]issuedTicket{},
		born:    map[string]time.Time{},
		running: map[work.TaskKey]Start{},
		ends:    map[work.TaskKey]time.Time{},
		ended:   map[string][]EndedTask{},
		started: map[string]bool{},
	}
	for _, id := range ticketWorkerIDs {
		s.born[id] = testBorn
	}
	s.queue = testCatalog().Queues["plans"]
	s.queue.RequiresTicket = true
	s.queue.TicketTime = time.Duration(rapid.IntRange(10, 800).Draw(t, "decide_ms")) * time.Millisecond
	s.queue.TicketTimePerWorker = time.Duration(rapid.IntRange(0, 200).Draw(t, "each_ms")) * time.Millisecond
	s.queue.MinTicketTerm = time.Duration(rapid.IntRange(200, 4000).Draw(t, "valid_ms")) * time.Millisecond
	s.board.SetCatalog(&catalog.Catalog{
		Version: 2,
		Queues: map[string]catalog.Queue{
			"plans": s.queue,
		},
	})
	return s
}

// permits reports whether the policy permits a worker to run a job's step: two of five.
func permits(job, worker string) bool {
	return (int(job[0])+int(worker[1]))%5 < 2
}

func (s *ticketService) step() {
	s.now = s.now.Add(ticketStep)
	if s.faults && rapid.IntRange(0, 15).Draw(s.t, "restart") == 0 {
		s.restart(rapid.SampledFrom(ticketWorkerIDs).Draw(s.t, "worker"))
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.running), compareKeys) {
		if s.now.After(s.ends[key]) {
			s.end(key)
		}
	}
	for _, id := range ticketWorkerIDs {
		s.report(id)
	}
	s.board.Confirmed(s.now)
	answered := s.answer()
	limit := 0
	if s.request == nil && s.board.WaitingTicketRequests() > 0 {
		limit = 1
	}
	s.board.LimitTicketRequests(limit)
	effects := s.board.Decide(s.now, true)
	require.LessOrEqual(s.t, len(effects.TicketRequests), limit)
	for i := range effects.TicketRequests {
		s.call(&effects.TicketRequests[i])
	}
	s.checkGranted(answered)
	for _, start := range effects.Starts {
		s.board.LeaseExtended(start.Worker, s.now)
		s.board.StartReplied(start, s.start(start), s.now)
	}
}

// call begins a request. In faults it may take up to ten times as long as it should.
func (s *ticketService) call(request *TicketRequest) {
	took := request.Timeout
	if s.faults {
		took = took * time.Duration(rapid.IntRange(1, 10).Draw(s.t, "slowness"))
	}
	s.request, s.endsAt = request, s.now.Add(took)
}

// answer ends the call in flight if it is time. It returns the request if it was
// granted a worker.
func (s *ticketService) answer() *TicketRequest {
	if s.request == nil || s.now.Before(s.endsAt) {
		return nil
	}
	request := s.request
	s.request = nil
	if s.faults && rapid.IntRange(0, 3).Draw(s.t, "lost") == 0 {
		s.board.TicketsReplied(*request, nil, 0, false, s.now)
		return nil
	}
	granted := map[string]string{}
	for _, id := range request.Workers {
		if !permits(request.Step.Job, id) {
			continue
		}
		granted[id] = fmt.Sprintf("t%d", len(s.issued))
		s.issued[granted[id]] = issuedTicket{
			job:    request.Step.Job,
			worker: id,
			born:   s.born[id],
			until:  s.now.Add(s.queue.MinTicketTerm),
		}
	}
	s.board.TicketsReplied(*request, granted, 0, true, s.now)
	if len(granted) == 0 {
		return nil
	}
	return request
}

// checkGranted checks that a step which was granted a worker with room has started.
func (s *ticketService) checkGranted(request *TicketRequest) {
	if request == nil {
		return
	}
	j, step, first := s.board.openStep(request.Step)
	if j == nil || step.waiting == 0 {
		return
	}
	for _, id := range request.Workers {
		w := s.board.workers[id]
		if !permits(j.work.ID, id) || !s.board.usable(w, s.now) {
			continue
		}
		waits := slices.ContainsFunc(step.tasks, func(t *task) bool { return s.board.startable(j, t, s.now) })
		require.False(s.t, waits && s.board.fits(w, step, first), "%s is granted %s, which has room, and does not start", request.Step, id)
	}
}

// openStep finds an open job and its step by the key of the step's first task.
func (b *Board) openStep(key work.TaskKey) (*job, *stepState, *task) {
	j := b.open[key.Job]
	if j == nil {
		return nil, nil, nil
	}
	_, step, first := j.find(key)
	return j, step, first
}

func (s *ticketService) start(start Start) Verdict {
	issued := s.issued[start.Ticket]
	arrives := s.now
	if s.faults {
		arrives = arrives.Add(time.Duration(rapid.IntRange(0, 100).Draw(s.t, "delay_ms")) * time.Millisecond)
	}
	if issued.worker != start.Worker || issued.job != start.Key.Job || !issued.born.Equal(s.born[start.Worker]) || arrives.After(issued.until) {
		return NoTicket
	}
	s.running[start.Key], s.ends[start.Key] = start, s.now.Add(time.Second)
	s.started[start.Key.Job] = true
	return Accepted
}

func (s *ticketService) end(key work.TaskKey) {
	start := s.running[key]
	delete(s.running, key)
	s.number++
	s.ended[start.Worker] = append(s.ended[start.Worker], EndedTask{
		Number: s.number,
		Key:    key,
		Run:    start.Run,
		Ending: EndedDone,
	})
}

func (s *ticketService) restart(id string) {
	s.born[id] = s.now
	s.ended[id] = nil
	for key, start := range s.running {
		if start.Worker == id {
			delete(s.running, key)
		}
	}
	listings := map[string]Listing{}
	for _, listing := range s.board.Roster() {
		listing.Born = s.born[listing.ID]
		listings[listing.ID] = listing
	}
	s.board.SetWorkers(listings, true, s.now)
}

func (s *ticketService) report(id string) {
	inventory := Inventory{
		Born:     s.born[id],
		Ended:    s.ended[id],
		Sent:     s.now,
		Received: s.now,
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.running), compareKeys) {
		if start := s.running[key]; start.Worker == id {
			inventory.Running = append(inventory.Running, RunningTask{
				Key: key,
				Run: start.Run,
			})
		}
	}
	s.board.LeaseExtended(id, s.now)
	s.board.ApplyReport(id, inventory, s.now)
}

// Guards against jobs that wait for tickets for ever: a burst of them made requests
// whose tickets counted as expired when they came (review case 9). With any slowness,
// losses and restarts a step that is granted a worker with room starts there, and all
// jobs start once the faults have ended.
func TestGrantedStepsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTicketService(t)
		for n := range rapid.IntRange(1, 10).Draw(t, "jobs") {
			s.board.AddJob(testJob(string(rune('a'+n)), "plans", tasks(rapid.IntRange(1, 3).Draw(t, "tasks"), 2000)), nil, false, testStart, testStart)
		}
		for range rapid.IntRange(0, 150).Draw(t, "steps with faults") {
			s.step()
		}
		s.faults = false
		left := len(s.board.open)
		// Each job needs two answers at most, to reach a permitted worker, and each
		// may be behind a call that began in the faults.
		longest := s.queue.TicketTime + time.Duration(len(ticketWorkerIDs))*s.queue.TicketTimePerWorker
		bound := s.now.Add(10*longest + time.Duration(3*left+2)*(longest+time.Second) + ticketRetryDelay<<maxTicketDoublings)
		for s.now.Before(bound) && len(s.board.open) > 0 {
			s.step()
		}
		for id := range s.board.open {
			require.True(t, s.started[id], "job %s has not started %s after the faults", id, bound.Sub(s.now))
		}
	})
}

// Guards against requests that name more workers than a step can use where each of them
// takes the service long.
func TestRequestsNameTheWorkersThatTheStepNeeds(t *testing.T) {
	tests := map[string]struct {
		each  time.Duration
		tasks int
		want  int
	}{
		"workers cost nothing": {
			tasks: 1,
			want:  maxTicketWorkers,
		},
		"workers are dear": {
			each:  50 * time.Millisecond,
			tasks: 1,
			want:  2,
		},
		"workers are dear, and many are needed": {
			each:  50 * time.Millisecond,
			tasks: 80,
			want:  20,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ids := []string{}
			for number := range 40 {
				ids = append(ids, fmt.Sprintf("w%02d", number))
			}
			board := testBoard(ids...)
			queue := testCatalog().Queues["plans"]
			queue.RequiresTicket, queue.TicketTime, queue.TicketTimePerWorker = true, 100*time.Millisecond, test.each
			board.SetCatalog(&catalog.Catalog{
				Version: 2,
				Queues: map[string]catalog.Queue{
					"plans": queue,
				},
			})
			board.AddJob(testJob("a", "plans", tasks(test.tasks, 1000)), nil, false, testStart, testStart)
			requests := board.Decide(testStart, true).TicketRequests
			require.Len(t, requests, 1)
			require.Len(t, requests[0].Workers, test.want)
		})
	}
}
