package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// adviseCall is one request for tickets.
type adviseCall struct {
	term    *term
	request schedule.TicketRequest
}

// requestTickets queues requests for tickets and sends queued ones, up to
// maxAdviseCalls at a time.
func (t *term) requestTickets(requests []schedule.TicketRequest) {
	t.ticketRequests = append(t.ticketRequests, requests...)
	for len(t.ticketRequests) > 0 && t.ticketRequestsInFlight < maxAdviseCalls {
		queued := &adviseCall{
			term:    t,
			request: t.ticketRequests[0],
		}
		t.ticketRequests = t.ticketRequests[1:]
		t.ticketRequestsInFlight++
		go queued.run(t.ctx)
	}
}

func (c *adviseCall) run(ctx context.Context) {
	// The service may first serve the other requests in flight, each for as
	// long as this one.
	limited, cancel := context.WithTimeout(ctx, maxAdviseCalls*c.request.Timeout+callTimeout)
	defer cancel()
	config := &c.term.leader.config
	sent := config.Clock()
	granted, validFor, err := config.Calls.Advise(limited, c.request)
	config.RecordDuration("advise", config.Clock().Sub(sent))
	c.term.post(func(now time.Time) {
		c.term.ticketRequestsInFlight--
		klog.InfoS("tickets requested", "job", c.request.Step.Job, "step", c.request.Step, "workers", len(c.request.Workers),
			"granted", len(granted), "term", validFor, "err", err)
		c.term.leader.board.TicketsReplied(c.request, granted, validFor, sent, err == nil, now)
		c.term.requestTickets(nil)
	})
}
