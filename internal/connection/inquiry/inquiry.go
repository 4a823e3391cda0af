// Package inquiry carries questions about jobs from each host to the leader
// and the answers back, over the links between hosts. There is a link in each
// direction between the leader and a host that asks it, and none else.
package inquiry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/peer"
	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/request/work"
)

// answerTimeout is when a question goes to the store instead: many times a
// round trip between zones, and little of a caller's patience.
const answerTimeout = 300 * time.Millisecond

// Config sets up a Desk.
type Config struct {
	Host string
	// Hub and Inbox are the links to other hosts.
	Hub   *peer.Hub
	Inbox <-chan peer.Event
	// Answer answers a question if this host leads.
	Answer func(question leader.Question, reply func(answer leader.Answer))
}

// Desk asks and answers. It is safe for concurrent use.
type Desk struct {
	config Config

	mu     sync.Mutex
	leader leader.Member
	number uint64
	open   map[uint64]chan leader.Answer
}

// New returns a desk whose loop is not yet running.
func New(config Config) *Desk {
	return &Desk{
		config: config,
		open:   map[uint64]chan leader.Answer{},
	}
}

// SetLeader tells whom to ask; the zero Member for nobody.
func (d *Desk) SetLeader(member leader.Member) {
	d.mu.Lock()
	former := d.leader
	d.leader = member
	d.mu.Unlock()
	if former.Peers != member.Peers && former.Peers.IsValid() && former.Host != d.config.Host {
		d.config.Hub.Forget(former.Peers)
	}
	if member.Host != "" && member.Host != d.config.Host {
		d.config.Hub.Ensure(member.Peers)
	}
}

// Ask returns the leader's answer; Known is false without one in time.
func (d *Desk) Ask(ctx context.Context, question leader.Question) leader.Answer {
	d.mu.Lock()
	to := d.leader
	d.number++
	number := d.number
	done := make(chan leader.Answer, 1)
	d.open[number] = done
	d.mu.Unlock()
	defer d.close(number)
	switch to.Host {
	case "":
		return leader.Answer{}
	case d.config.Host:
		d.config.Answer(question, func(answer leader.Answer) { done <- answer })
	default:
		err := d.config.Hub.Send(to.Host, message.KindQuestion, message.Question{
			Number: number,
			Job:    question.Job,
			Queue:  question.Queue,
		})
		if err != nil {
			return leader.Answer{}
		}
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-done:
		return answer
	case <-timer.C:
		klog.InfoS("leader did not answer", "host", to.Host, "job", question.Job, "queue", question.Queue)
	case <-ctx.Done():
	}
	return leader.Answer{}
}

func (d *Desk) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, number)
}

// Run handles what comes from other hosts until the context ends.
func (d *Desk) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.config.Inbox:
			d.take(event)
		}
	}
}

func (d *Desk) take(event peer.Event) {
	switch event.Envelope.Kind {
	case message.KindQuestion:
		question, err := message.Open[message.Question](event.Envelope)
		if err != nil {
			klog.ErrorS(err, "question cannot be read", "host", event.From.Host)
			return
		}
		d.answer(event.From.Host, event.From.Peers, question)
	case message.KindAnswer:
		answer, err := message.Open[message.Answer](event.Envelope)
		if err != nil {
			klog.ErrorS(err, "answer cannot be read", "host", event.From.Host)
			return
		}
		d.deliver(answer)
	}
}

func (d *Desk) answer(host string, address netip.AddrPort, question message.Question) {
	d.config.Hub.Ensure(address)
	d.config.Answer(leader.Question{
		Job:   question.Job,
		Queue: question.Queue,
	}, func(answer leader.Answer) {
		err := d.config.Hub.Send(host, message.KindAnswer, message.Answer{
			Number:  question.Number,
			Known:   answer.Known,
			State:   uint8(answer.State),
			Pending: answer.Pending,
		})
		if err != nil {
			klog.InfoS("answer not sent", "host", host, "job", question.Job, "err", err)
		}
	})
}

func (d *Desk) deliver(answer message.Answer) {
	d.mu.Lock()
	done := d.open[answer.Number]
	d.mu.Unlock()
	if done == nil || answer.State > uint8(work.Cancelled) {
		return
	}
	select {
	case done <- leader.Answer{
		Known:   answer.Known,
		State:   work.State(answer.State),
		Pending: answer.Pending,
	}:
	default:
	}
}
