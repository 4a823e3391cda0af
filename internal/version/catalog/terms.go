package catalog

import "mustardreach.example/mustardreach/internal/request/work"

// Terms returns what binds the queue's jobs.
func (q *Queue) Terms() work.Terms {
	return work.Terms{
		Service:             q.Service,
		Priority:            q.Priority,
		MaxAttempts:         q.MaxAttempts,
		Stretch:             q.Stretch,
		Target:              q.Target,
		RequiresTicket:      q.RequiresTicket,
		TicketTime:          q.TicketTime,
		TicketTimePerWorker: q.TicketTimePerWorker,
		MinTicketTerm:       q.MinTicketTerm,
	}
}
