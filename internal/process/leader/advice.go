package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// adviseCall is one request for tickets.
type adviseCall struct {
	term *term
	ask  schedule.Ask
}

// ask queues requests for tickets and sends queued ones, up to maxAdviseCalls
// at a time.
func (t *term) ask(asks []schedule.Ask) {
	t.asks = append(t.asks, asks...)
	for len(t.asks) > 0 && t.asksInFlight < maxAdviseCalls {
		request := &adviseCall{
			term: t,
			ask:  t.asks[0],
		}
		t.asks = t.asks[1:]
		t.asksInFlight++
		go request.run(t.ctx)
	}
}

func (c *adviseCall) run(ctx context.Context) {
	// The service may first serve the other requests in flight, each for as
	// long as this one.
	limited, cancel := context.WithTimeout(ctx, maxAdviseCalls*c.ask.Patience+callTimeout)
	defer cancel()
	config := &c.term.leader.config
	sent := config.Clock()
	granted, validFor, err := config.Calls.Advise(limited, c.ask)
	config.Took("advise", config.Clock().Sub(sent))
	c.term.post(func(now time.Time) {
		c.term.asksInFlight--
		klog.InfoS("tickets asked", "job", c.ask.Step.Job, "step", c.ask.Step, "workers", len(c.ask.Workers),
			"granted", len(granted), "term", validFor, "err", err)
		c.term.leader.board.Advised(c.ask, granted, validFor, sent, err == nil, now)
		c.term.ask(nil)
	})
}
