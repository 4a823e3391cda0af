package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// inquiry is one call for tickets.
type inquiry struct {
	reign *reign
	ask   schedule.Ask
}

// ask sends calls for tickets while there is room for more.
func (r *reign) ask(asks []schedule.Ask) {
	r.asks = append(r.asks, asks...)
	for len(r.asks) > 0 && r.asking < mostQuestions {
		one := &inquiry{
			reign: r,
			ask:   r.asks[0],
		}
		r.asks = r.asks[1:]
		r.asking++
		go one.run(r.ctx)
	}
}

func (i *inquiry) run(ctx context.Context) {
	// Others may be before this one, each as long as it.
	limited, cancel := context.WithTimeout(ctx, mostQuestions*i.ask.Patience+callTimeout)
	defer cancel()
	config := &i.reign.leader.config
	sent := config.Clock()
	granted, term, err := config.Calls.Advise(limited, i.ask)
	config.Took("advise", config.Clock().Sub(sent))
	i.reign.post(func(now time.Time) {
		i.reign.asking--
		klog.InfoS("tickets asked", "job", i.ask.Step.Job, "step", i.ask.Step, "workers", len(i.ask.Workers),
			"granted", len(granted), "term", term, "err", err)
		i.reign.leader.board.Advised(i.ask, granted, term, sent, err == nil, now)
		i.reign.ask(nil)
	})
}
