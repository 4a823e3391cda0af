package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// TicketRequest asks for tickets for a step: only workers with a ticket may run
// its tasks.
type TicketRequest struct {
	// Step is the key of the step's first task.
	Step    work.TaskKey
	Workers []string
	// Timeout is the longest time that the answer takes if no other request is
	// ahead of it.
	Timeout time.Duration
	// Term is how long a ticket is valid if the answer does not say it.
	Term time.Duration
}

// ticket admits a step to one incarnation of a worker. It is used until its worker
// refuses it, or until its time has certainly run out: it was issued before the answer
// came.
type ticket struct {
	text        string
	incarnation time.Time
	until       time.Time
}

// advice is the tickets and refusals of one step: which workers may run it.
type advice struct {
	tickets map[string]ticket
	// permitted are workers that were granted, and denied those that were requested
	// and not granted. Both are final; only the tickets expire.
	permitted, denied map[string]bool
	requesting        bool
	// turn is when the step's request is expected to be answered while it waits for
	// others, zero if it does not.
	turn time.Time
	// failures counts the requests since the last answer, and retryAfter delays the
	// next one.
	failures   int
	retryAfter time.Time
}

const (
	// maxTicketWorkers is how many workers one request names, as each takes
	// time, and maxGangTicketWorkers the same for a gang, whose tickets must be
	// valid at the same time.
	maxTicketWorkers     = 30
	maxGangTicketWorkers = 100
	// ticketRoom is for how many times the waiting tasks of a step a request names
	// workers, as some are denied.
	ticketRoom = 2
	// ticketRetryDelay is the time to the next request for a step after one that
	// got no answer or no ticket. It doubles with each failure, maxTicketDoublings
	// times at most, so that a step for which the service fails leaves it to others.
	ticketRetryDelay   = 500 * time.Millisecond
	maxTicketDoublings = 4
	// unknownTicketTerm is how long a ticket is used whose term nobody says: until its
	// worker refuses it.
	unknownTicketTerm = time.Hour
)

// LimitTicketRequests sets how many requests for tickets the next decision may make. The
// service handles one call of a host at a time, and the time of a ticket runs while its
// answer waits behind others: requests are made one by one, each for the step that
// comes first in the order of the schedule then.
func (b *Board) LimitTicketRequests(limit int) {
	b.ticketRequestsLeft = limit
}

// WaitingTicketRequests is how many steps the last decision left without a request
// because of the limit.
func (b *Board) WaitingTicketRequests() int {
	return b.ticketRequestsWaiting
}

// admitted returns the workers with a ticket for the step, and requests more
// tickets when none of them has capacity. Load pattern: an external policy
// permits only a few workers, and takes its time to say which.
func (b *Board) admitted(terms *work.Terms, step *stepState, pool []*workerState, now time.Time) []*workerState {
	if step.advice == nil {
		step.advice = &advice{
			tickets:   map[string]ticket{},
			permitted: map[string]bool{},
			denied:    map[string]bool{},
		}
	}
	step.advice.turn = time.Time{}
	out, unknown := b.divide(step, pool, now)
	if len(unknown) == 0 || step.advice.requesting || now.Before(step.advice.retryAfter) {
		return out
	}
	if b.ticketRequestsLeft <= 0 {
		b.ticketRequestsWaiting++
		longest := terms.TicketTime + time.Duration(min(len(unknown), maxTicketWorkers))*terms.TicketTimePerWorker
		step.advice.turn = now.Add(time.Duration(b.ticketRequestsWaiting) * longest)
		return out
	}
	b.ticketRequestsLeft--
	step.advice.requesting = true
	b.effects.TicketRequests = append(b.effects.TicketRequests, b.ticketRequest(terms, step, unknown))
	return out
}

// divide returns the workers with a ticket for the step and, if none of them has
// capacity for a task, or all of them too little for a gang, those with capacity for
// which a ticket may be requested.
func (b *Board) divide(step *stepState, pool []*workerState, now time.Time) (admitted, unknown []*workerState) {
	hasCapacity := false
	next := step.nextTask()
	for _, w := range pool {
		held, ok := step.advice.tickets[w.ID]
		switch {
		case ok && held.incarnation.Equal(w.incarnation) && now.Before(held.until):
			admitted = append(admitted, w)
			hasCapacity = hasCapacity || b.fits(w, step, next) || b.returnsTo(w, step)
		case !step.advice.denied[w.ID] && (b.fits(w, step, next) || b.returnsTo(w, step)):
			unknown = append(unknown, w)
		}
	}
	if step.spec.Gang {
		hasCapacity = b.room(step, admitted) >= step.waiting
	}
	switch {
	case hasCapacity:
		return admitted, nil
	case step.spec.Gang && len(unknown) > 0:
		// The tickets of all members must be valid together.
		unknown = append(unknown, admitted...)
	}
	return admitted, unknown
}

// nextTask returns the waiting task of a long-running step that has been down for
// longest, which may take reserved capacity before the others; else the first task.
func (s *stepState) nextTask() *task {
	next := s.tasks[0]
	if !s.spec.LongRunning {
		return next
	}
	for _, t := range s.tasks {
		if t.phase != waiting || t.endedAt.IsZero() {
			continue
		}
		if next.phase != waiting || next.endedAt.IsZero() || t.endedAt.Before(next.endedAt) {
			next = t
		}
	}
	return next
}

// returnsTo reports whether capacity on the worker is kept for a long-running task of the
// step that may start there. It counts as taken for all other tasks.
func (b *Board) returnsTo(w *workerState, step *stepState) bool {
	if !step.spec.LongRunning {
		return false
	}
	return slices.ContainsFunc(step.tasks, func(t *task) bool {
		held, ok := b.reservations[t.key]
		return ok && held.worker == w.ID && b.reservedWorker(held, step, t, []*workerState{w}) != nil
	})
}

// ticketRequest returns the request for tickets of the workers that suit the step best:
// those that it may certainly use, then those with the most free cores.
func (b *Board) ticketRequest(terms *work.Terms, step *stepState, workers []*workerState) TicketRequest {
	slices.SortFunc(workers, func(a, c *workerState) int {
		if permitted := step.advice.permitted[a.ID]; permitted != step.advice.permitted[c.ID] {
			if permitted {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(a.free().MilliCores, c.free().MilliCores), cmp.Compare(a.ID, c.ID))
	})
	workers = workers[:b.ticketWorkers(terms, step, workers)]
	request := TicketRequest{
		Step:    step.tasks[0].key,
		Timeout: terms.TicketTime + time.Duration(len(workers))*terms.TicketTimePerWorker,
		Term:    terms.MinTicketTerm,
	}
	for _, w := range workers {
		request.Workers = append(request.Workers, w.ID)
	}
	return request
}

// ticketWorkers is how many of the workers a request names: enough for the waiting tasks,
// and as many more as do not make the call much longer.
func (b *Board) ticketWorkers(terms *work.Terms, step *stepState, workers []*workerState) int {
	most, cheap := min(len(workers), maxTicketWorkers), maxTicketWorkers
	if step.spec.Gang {
		most = min(len(workers), maxGangTicketWorkers)
	}
	if terms.TicketTimePerWorker > 0 {
		cheap = int(min(maxTicketWorkers, terms.TicketTime/terms.TicketTimePerWorker))
	}
	count, room := 0, 0
	for count < most && (count < cheap || room < ticketRoom*step.waiting) {
		room += b.room(step, workers[count:count+1])
		count++
	}
	return count
}

// TicketsReplied applies the answer to a ticket request: tickets by worker, valid for a
// term. ok is false if no answer came.
func (b *Board) TicketsReplied(request TicketRequest, granted map[string]string, term time.Duration, ok bool, now time.Time) {
	j := b.jobs[request.Step.Job]
	if j == nil {
		return
	}
	_, step, _ := j.find(request.Step)
	if step == nil || step.advice == nil {
		return
	}
	given := step.advice
	given.requesting = false
	if !ok {
		given.retryAfter = now.Add(ticketRetryDelay << min(given.failures, maxTicketDoublings))
		given.failures++
		return
	}
	given.failures = 0
	if len(granted) == 0 {
		given.retryAfter = now.Add(ticketRetryDelay)
	}
	until := now.Add(cmp.Or(max(0, term), max(0, request.Term), unknownTicketTerm))
	for _, id := range request.Workers {
		w := b.workers[id]
		text, admitted := granted[id]
		switch {
		case w == nil:
		case admitted:
			given.permitted[id] = true
			given.tickets[id] = ticket{
				text:        text,
				incarnation: w.incarnation,
				until:       until,
			}
		default:
			given.denied[id] = true
		}
	}
}

// dropTicket drops a ticket that its worker has refused, so that the step is not sent
// there again with it. The worker may have restarted while the ticket was requested:
// then the ticket is for the incarnation before.
func (b *Board) dropTicket(start Start, now time.Time) {
	j := b.jobs[start.Key.Job]
	if j == nil {
		return
	}
	_, step, _ := j.find(start.Key)
	if step == nil || step.advice == nil || step.advice.tickets[start.Worker].text != start.Ticket {
		return
	}
	delete(step.advice.tickets, start.Worker)
	step.advice.retryAfter = now.Add(pauseRetry)
}

// ticketFor returns the ticket that a start on the worker carries, empty if
// none is needed.
func (s *stepState) ticketFor(worker string) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[worker].text
}
