// Package inquiry sends questions about jobs from each host to the leader of a
// shard, and the answers back, over the links between hosts. Only a leader and a
// host that asks it are linked, with one link in each direction. Each question
// carries a report of the host that asks; without questions, one report a second
// is sent.
package inquiry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/request/work"
)

// answerTimeout is how long Ask waits for the leader before the caller reads
// the store instead. It is many times a round trip between zones and a small
// part of a caller's timeout.
const answerTimeout = 300 * time.Millisecond

// Config sets up a Client.
type Config struct {
	Host string
	// Shards is the number of shards, each with its own leader.
	Shards int
	// Hub holds the links to other hosts; Inbox receives their messages.
	Hub   *peer.Hub
	Inbox <-chan peer.Event
	// Answer answers a question, with the zero Answer if this host is not the
	// leader. It calls reply once.
	Answer func(question leader.Question, reply func(answer leader.Answer))
	// Report returns this host's report; Reported is called with those of others.
	Report   func() leader.HostReport
	Reported func(host string, report leader.HostReport)
	// Reach tries to reach a worker.
	Reach func(ctx context.Context, worker netip.AddrPort) bool
}

// Client asks the leader questions, and answers those of other hosts while this
// host is the leader. It is safe for concurrent use.
type Client struct {
	config Config

	mu sync.Mutex
	// leaders holds the leader of each shard, the zero Member if there is none.
	leaders []leader.Member
	// number is that of the newest question.
	number uint64
	// pending are the questions that wait for an answer, by number.
	pending map[uint64]chan leader.Answer
	// silent holds the hosts that left the newest question without an answer.
	silent map[string]bool
	// asked holds the hosts that were sent a question since the last round of
	// reports.
	asked map[string]bool
	// probing is set while this host answers a probe.
	probing atomic.Bool
}

// New returns a Client; Run must be called for it to exchange messages with
// other hosts.
func New(config Config) *Client {
	return &Client{
		config:  config,
		leaders: make([]leader.Member, config.Shards),
		pending: map[uint64]chan leader.Answer{},
		silent:  map[string]bool{},
		asked:   map[string]bool{},
	}
}

// Answers reports whether a leader seems to be there: the link to its host is up,
// and it has not left the newest question without an answer.
func (c *Client) Answers(host string) bool {
	c.mu.Lock()
	silent := c.silent[host]
	c.mu.Unlock()
	return !silent && c.config.Hub.Connected(host)
}

// SetLeader sets the host to ask about a shard; the zero Member if there is none.
func (c *Client) SetLeader(number int, member leader.Member) {
	c.mu.Lock()
	previous := c.leaders[number]
	c.leaders[number] = member
	leadsAnother := slices.ContainsFunc(c.leaders, func(each leader.Member) bool { return each.Peers == previous.Peers })
	c.mu.Unlock()
	if !leadsAnother && previous.Peers.IsValid() && previous.Host != c.config.Host {
		c.config.Hub.Forget(previous.Peers)
	}
	if member.Host != "" && member.Host != c.config.Host {
		c.config.Hub.Ensure(member.Peers)
	}
}

// Ask returns the leader's answer; Known is false if none arrives in time.
func (c *Client) Ask(ctx context.Context, question leader.Question) leader.Answer {
	c.mu.Lock()
	target := c.leaders[question.Shard]
	c.number++
	number := c.number
	result := make(chan leader.Answer, 1)
	c.pending[number] = result
	c.asked[target.Host] = true
	c.mu.Unlock()
	defer c.removePending(number)
	switch target.Host {
	case "":
		return leader.Answer{}
	case c.config.Host:
		question.Host = c.config.Host
		c.config.Answer(question, func(answer leader.Answer) { result <- answer })
	default:
		err := c.config.Hub.Send(target.Host, message.KindQuestion, message.Question{
			Number: number,
			Job:    question.Job,
			Queue:  question.Queue,
			Room:   question.Room,
			Shard:  question.Shard,
			Report: c.report(),
		})
		if err != nil {
			return leader.Answer{}
		}
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-result:
		c.setSilent(target.Host, false)
		return answer
	case <-timer.C:
		c.setSilent(target.Host, true)
		klog.InfoS("leader did not answer", "shard", question.Shard, "host", target.Host, "job", question.Job, "queue", question.Queue)
	case <-ctx.Done():
	}
	return leader.Answer{}
}

func (c *Client) setSilent(host string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if silent {
		c.silent[host] = true
	} else {
		delete(c.silent, host)
	}
}

func (c *Client) removePending(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// Run handles messages from other hosts and reports to the leaders until the
// context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.config.Inbox:
			c.handle(ctx, event)
		case <-ticker.C:
			c.reportToLeaders()
		}
	}
}

func (c *Client) handle(ctx context.Context, event peer.Event) {
	if event.Up {
		c.greet(event.From.Host)
		return
	}
	switch event.Envelope.Kind {
	case message.KindQuestion:
		question, err := message.Open[message.Question](event.Envelope)
		if err != nil {
			klog.ErrorS(err, "question cannot be read", "host", event.From.Host)
			return
		}
		if question.Probe != nil {
			c.answerProbe(ctx, event.From.Host, question.Probe)
		}
		c.answer(event.From.Host, event.From.Peers, question)
	case message.KindAnswer:
		answer, err := message.Open[message.Answer](event.Envelope)
		if err != nil {
			klog.ErrorS(err, "answer cannot be read", "host", event.From.Host)
			return
		}
		c.deliver(answer)
	}
}

// greet sends a question that asks nothing over a new link, so that the leader
// links back before the first question, whose answer would otherwise be lost.
func (c *Client) greet(host string) {
	if err := c.config.Hub.Send(host, message.KindQuestion, message.Question{
		Report: c.report(),
	}); err != nil {
		klog.InfoS("leader not greeted", "host", host, "err", err)
	}
}

// answer links back to the host that asks, notes its report and sends it the
// answer.
func (c *Client) answer(host string, address netip.AddrPort, question message.Question) {
	c.config.Hub.Ensure(address)
	if report := question.Report; report != nil {
		c.config.Reported(host, leader.HostReport{
			MilliCores: report.MilliCores,
			Lag:        report.Lag,
			Probe:      report.Probe,
			Reached:    report.Reached,
		})
	}
	if question.Job == "" && question.Queue == "" && question.Room <= 0 {
		return
	}
	c.config.Answer(leader.Question{
		Job:   question.Job,
		Queue: question.Queue,
		Room:  question.Room,
		Host:  host,
		Shard: question.Shard,
	}, func(answer leader.Answer) {
		err := c.config.Hub.Send(host, message.KindAnswer, message.Answer{
			Number:       question.Number,
			Known:        answer.Known,
			State:        uint8(answer.State),
			Pending:      answer.Pending,
			OwnerKnown:   answer.OwnerKnown,
			Organisation: answer.Organisation,
			Room:         answer.Room,
		})
		if err != nil {
			klog.InfoS("answer not sent", "host", host, "job", question.Job, "err", err)
		}
	})
}

// deliver passes an answer to the Ask that waits for it. An answer that is
// late, repeated or of an unknown state is discarded.
func (c *Client) deliver(answer message.Answer) {
	c.mu.Lock()
	result := c.pending[answer.Number]
	c.mu.Unlock()
	if result == nil || answer.State > uint8(work.Cancelled) {
		return
	}
	select {
	case result <- leader.Answer{
		Known:        answer.Known,
		State:        work.State(answer.State),
		Pending:      answer.Pending,
		OwnerKnown:   answer.OwnerKnown,
		Organisation: answer.Organisation,
		Room:         answer.Room,
	}:
	default:
	}
}
