// Package admission decides which waiting request is served next and which is
// shed. Queues are bounded, customers are served round-robin, and a request
// that can no longer be answered in time is refused at once. It does no I/O.
package admission

import (
	"slices"
	"time"
)

// Ticket is a request that waits for a slot.
type Ticket struct {
	// ID is unique within the process.
	ID uint64
	// Customer is the unit of fairness: customers are served round-robin.
	Customer string
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// Avoid lists runners that have already been sent this request.
	Avoid []string
	// ArrivedAt is when the request entered the queue.
	ArrivedAt time.Time
}

// Config configures a Queue.
type Config struct {
	// MaxWaiting is the largest number of tickets that may wait.
	MaxWaiting int
}

// Queue holds the waiting requests of one service.
type Queue struct {
	config Config
	// waiting holds tickets by customer, oldest first; rotation is the
	// round-robin order of the customers with waiting tickets.
	waiting  map[string][]Ticket
	rotation []string
	length   int
	// serviceTime is an exponential moving average of the time to answer.
	serviceTime time.Duration
}

const (
	// smoothing is the weight of the newest sample in the moving average.
	smoothing = 0.05
	// admissionDivisor: a ticket is admitted only if its estimated wait and
	// service time fit into the time to its deadline divided by this. The rest
	// absorbs estimation errors, so that admitted requests are answered.
	admissionDivisor = 2
	// marginDivisor: a ticket expires unless its service time plus the service
	// time divided by this fits before its deadline, because an answer may take
	// longer than the average.
	marginDivisor = 3
)

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{
		config:  config,
		waiting: map[string][]Ticket{},
	}
}

// Length returns the number of waiting tickets.
func (q *Queue) Length() int {
	return q.length
}

// RecordServiceTime adds the time that one answer took to the average.
func (q *Queue) RecordServiceTime(took time.Duration) {
	q.serviceTime = smooth(q.serviceTime, took)
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// EstimateWait estimates how long a ticket that joins now would wait while busy
// requests are in progress. Each of them frees a slot after one service time.
func (q *Queue) EstimateWait(busy int) time.Duration {
	if busy <= 0 {
		return 0 // no estimate without requests in progress
	}
	return time.Duration(q.length+1) * q.serviceTime / time.Duration(busy)
}

// Push enqueues a ticket and reports whether it was admitted; otherwise it must
// be shed.
func (q *Queue) Push(ticket Ticket, busy int, now time.Time) bool {
	if q.length >= q.config.MaxWaiting {
		return false
	}
	if left := ticket.Deadline.Sub(now); q.EstimateWait(busy)+q.serviceTime > left/admissionDivisor {
		return false
	}
	tickets := q.waiting[ticket.Customer]
	if len(tickets) == 0 {
		q.rotation = append(q.rotation, ticket.Customer)
	}
	q.waiting[ticket.Customer] = append(tickets, ticket)
	q.length++
	return true
}

// Peek returns the next ticket that can still be answered in time, and removes
// and returns the expired ones before it. The ticket stays in the queue until
// Pop.
func (q *Queue) Peek(now time.Time) (next Ticket, found bool, expired []Ticket) {
	for q.length > 0 {
		ticket := q.waiting[q.rotation[0]][0]
		if !now.Add(q.serviceTime + q.serviceTime/marginDivisor).After(ticket.Deadline) {
			return ticket, true, expired
		}
		q.dequeue()
		expired = append(expired, ticket)
	}
	return Ticket{}, false, expired
}

// Pop removes the ticket that Peek returned, once it has a slot.
func (q *Queue) Pop() {
	q.dequeue()
}

// dequeue removes the oldest ticket of the next customer and moves that
// customer to the end of the rotation.
func (q *Queue) dequeue() {
	customer := q.rotation[0]
	q.rotation = q.rotation[1:]
	tickets := q.waiting[customer][1:]
	q.length--
	if len(tickets) == 0 {
		delete(q.waiting, customer)
		return
	}
	q.waiting[customer] = tickets
	q.rotation = append(q.rotation, customer)
}

// Remove removes a ticket whose caller has disconnected or timed out, and
// reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	for customer, tickets := range q.waiting {
		index := slices.IndexFunc(tickets, func(ticket Ticket) bool { return ticket.ID == id })
		if index < 0 {
			continue
		}
		q.length--
		q.waiting[customer] = slices.Delete(slices.Clone(tickets), index, index+1)
		if len(tickets) == 1 {
			delete(q.waiting, customer)
			q.rotation = slices.DeleteFunc(q.rotation, func(other string) bool { return other == customer })
		}
		return true
	}
	return false
}
