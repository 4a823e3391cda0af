package inquiry

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
)

// reportInterval is how often a host reports to each leader. With four leaders
// this is about 400 bytes a second for a host.
const reportInterval = time.Second

// report returns this host's report as it is sent.
func (c *Client) report() *message.HostReport {
	report := c.config.Report()
	return &message.HostReport{
		MilliCores: report.MilliCores,
		Lag:        report.Lag,
	}
}

// reportToLeaders sends a report to each leader that was sent no question since
// the last round.
func (c *Client) reportToLeaders() {
	for _, host := range c.unasked() {
		err := c.config.Hub.Send(host, message.KindQuestion, message.Question{
			Report: c.report(),
		})
		if err != nil {
			klog.V(1).InfoS("report not sent", "host", host, "err", err)
		}
	}
}

// unasked returns the other hosts that lead and were sent no question since the
// last call.
func (c *Client) unasked() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for _, member := range c.leaders {
		if member.Host == "" || member.Host == c.config.Host || c.asked[member.Host] || slices.Contains(hosts, member.Host) {
			continue
		}
		hosts = append(hosts, member.Host)
	}
	clear(c.asked)
	return hosts
}
