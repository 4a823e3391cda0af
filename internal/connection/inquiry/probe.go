package inquiry

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/leader"
)

// Probe asks a host which workers it reaches. Its report answers the probe.
func (c *Client) Probe(host string, probe leader.Probe) {
	err := c.config.Hub.Send(host, message.KindQuestion, message.Question{
		Probe: &message.Probe{
			Number:  probe.Number,
			Workers: probe.Workers,
		},
	})
	if err != nil {
		klog.V(1).InfoS("probe not sent", "host", host, "err", err)
	}
}

// leads reports whether a host leads, as far as is known.
func (c *Client) leads(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.leaders, func(member leader.Member) bool { return member.Host == host })
}

// answerProbe answers a leader's probe in the background. While one is being
// answered, others are dropped: the leader repeats them.
func (c *Client) answerProbe(ctx context.Context, host string, probe *message.Probe) {
	if !c.leads(host) || !c.probing.CompareAndSwap(false, true) {
		return
	}
	answer := &probeAnswer{
		client: c,
		host:   host,
		probe:  probe,
	}
	go answer.run(ctx)
}

// probeAnswer is the answer to one probe.
type probeAnswer struct {
	client *Client
	host   string
	probe  *message.Probe
}

func (a *probeAnswer) run(ctx context.Context) {
	defer a.client.probing.Store(false)
	report := a.client.report()
	report.Probe = a.probe.Number
	report.Reached = leader.Reachable(ctx, a.client.config.Reach, a.probe.Workers)
	err := a.client.config.Hub.Send(a.host, message.KindQuestion, message.Question{
		Report: report,
	})
	klog.InfoS("probe answered", "host", a.host, "workers", len(a.probe.Workers), "reached", report.Reached, "err", err)
}
