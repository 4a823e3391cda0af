package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
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
}

// ticket admits a step to one incarnation of a worker.
type ticket struct {
	text        string
	incarnation time.Time
	until       time.Time
}

// advice is the tickets and refusals of one step: which workers may run it.
type advice struct {
	tickets map[string]ticket
	// denied are workers that were requested and not granted; that is final.
	denied     map[string]bool
	requesting bool
	// retryAfter delays the next request after one that failed.
	retryAfter time.Time
}

const (
	// maxTicketWorkers is how many workers one request names, as each takes
	// time.
	maxTicketWorkers = 30
	// ticketRetryDelay is the time to the next request for a step after one that
	// got no answer or no ticket.
	ticketRetryDelay = 500 * time.Millisecond
	// ticketMargin is the part of a ticket's term that is left for the start to
	// arrive.
	ticketMargin = 200 * time.Millisecond
)

// admitted returns the workers with a ticket for the step, and requests more
// tickets when none of them has capacity. Load pattern: an external policy
// permits only a few workers, and takes its time to say which.
func (b *Board) admitted(queue catalog.Queue, step *stepState, pool []*workerState, now time.Time) []*workerState {
	if step.advice == nil {
		step.advice = &advice{
			tickets: map[string]ticket{},
			denied:  map[string]bool{},
		}
	}
	out, unknown := b.divide(step, pool, now)
	if len(unknown) > 0 && !step.advice.requesting && !now.Before(step.advice.retryAfter) {
		b.requestTickets(queue, step, unknown)
	}
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
		case ok && held.incarnation.Equal(w.incarnation) && now.Add(ticketMargin).Before(held.until):
			admitted = append(admitted, w)
			hasCapacity = hasCapacity || b.fits(w, step, next) || b.returnsTo(w, step)
		case !step.advice.denied[w.ID] && (b.fits(w, step, next) || b.returnsTo(w, step)):
			unknown = append(unknown, w)
		}
	}
	if step.spec.Gang {
		hasCapacity = b.room(step, admitted) >= step.waiting
	}
	if hasCapacity {
		return admitted, nil
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

func (b *Board) requestTickets(queue catalog.Queue, step *stepState, workers []*workerState) {
	slices.SortFunc(workers, func(a, c *workerState) int {
		return cmp.Or(-cmp.Compare(a.free().MilliCores, c.free().MilliCores), cmp.Compare(a.ID, c.ID))
	})
	workers = workers[:min(len(workers), maxTicketWorkers)]
	step.advice.requesting = true
	request := TicketRequest{
		Step:    step.tasks[0].key,
		Timeout: queue.TicketTime + time.Duration(len(workers))*queue.TicketTimePerWorker,
	}
	for _, w := range workers {
		request.Workers = append(request.Workers, w.ID)
	}
	b.effects.TicketRequests = append(b.effects.TicketRequests, request)
}

// TicketsReplied applies the answer to a ticket request: tickets by worker,
// valid for term from when the request was sent. ok is false if no answer came.
func (b *Board) TicketsReplied(request TicketRequest, granted map[string]string, term time.Duration, sent time.Time, ok bool, now time.Time) {
	j := b.jobs[request.Step.Job]
	if j == nil {
		return
	}
	_, step, _ := j.find(request.Step)
	if step == nil || step.advice == nil {
		return
	}
	step.advice.requesting = false
	if !ok || len(granted) == 0 {
		step.advice.retryAfter = now.Add(ticketRetryDelay)
	}
	if !ok {
		return
	}
	for _, id := range request.Workers {
		w := b.workers[id]
		text, admitted := granted[id]
		switch {
		case w == nil:
		case admitted:
			step.advice.tickets[id] = ticket{
				text:        text,
				incarnation: w.incarnation,
				until:       sent.Add(term),
			}
		default:
			step.advice.denied[id] = true
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
