package gate

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/request/admission"
	"mustardreach.example/mustardreach/internal/request/credit"
	"mustardreach.example/mustardreach/internal/request/runner"
)

// session drives a desk by hand and writes down what it decides.
type session struct {
	golden.Session
	desk  *Desk
	start time.Time
	now   time.Time
	ids   uint64
}

func newSession() *session {
	one := &session{
		start: time.Unix(1000, 0),
		now:   time.Unix(1000, 0),
	}
	one.desk = NewDesk(DeskConfig{
		Runners: runner.Config{
			Zone:   "recife",
			Random: rand.New(rand.NewPCG(7, 7)),
		},
		Borrower: credit.BorrowerConfig{
			Term:        1500 * time.Millisecond,
			Incarnation: "run",
		},
		Queue: admission.Config{
			Most: 2,
		},
		Report: func(report message.CreditReport) {
			one.say("report %d to %s: holds %v, wants %d", report.Seq, report.Lender, report.Held, report.Demand)
		},
		Clock:       func() time.Time { return one.now },
		ReportEvery: time.Second,
	})
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	list := Backends{
		Lenders: map[string]Lender{},
	}
	for _, id := range []string{"r1", "r2"} {
		list.Entries = append(list.Entries, runner.Entry{
			ID:      id,
			Zone:    "recife",
			Service: "quotes",
			Address: address,
		})
		list.Lenders[id] = Lender{
			Name: "recife/steward-0",
			Zone: "recife",
		}
	}
	one.desk.setList(list)
	return one
}

func (s *session) say(format string, args ...any) {
	s.Add(s.now.Sub(s.start), format, args...)
}

func (s *session) wait(length time.Duration) {
	s.now = s.now.Add(length)
}

// quote asks for a slot; what it gets is said by told.
func (s *session) quote(customer string, left time.Duration) chan Slot {
	s.ids++
	reply := make(chan Slot, 1)
	s.say("quote %d for %s, %v left", s.ids, customer, left)
	s.desk.want(want{
		service: "quotes",
		ticket: admission.Ticket{
			ID:       s.ids,
			Customer: customer,
			Deadline: s.now.Add(left),
		},
		reply: reply,
	})
	s.desk.reportIfShort()
	return reply
}

func (s *session) told(name string, reply chan Slot) Slot {
	select {
	case slot := <-reply:
		if slot.Refused != "" {
			s.say("%s refused: %s", name, slot.Refused)
		} else {
			s.say("%s goes to %s, slot until %v", name, slot.Runner, slot.Until.Sub(s.start))
		}
		return slot
	default:
		s.say("%s waits", name)
		return Slot{}
	}
}

func (s *session) grant(report uint64, slots map[string]int) {
	s.say("grant for report %d: %v", report, slots)
	s.desk.borrower.Grant(message.CreditGrant{
		Lender:      "recife/steward-0",
		Epoch:       1,
		Grant:       report,
		Report:      report,
		Slots:       slots,
		Incarnation: "run",
	})
	s.desk.serveAll()
}

func (s *session) answered(name string, slot Slot) {
	s.say("%s answered by %s", name, slot.Runner)
	s.desk.answered("quotes", 20*time.Millisecond)
	s.desk.end(ending{
		slot:    slot,
		verdict: runner.Success,
		freed:   true,
	})
}

// TestGoldenQuote writes down quotes from the first, which waits for slots, to
// those that a full site refuses and a lapsed grant stops.
func TestGoldenQuote(t *testing.T) {
	s := newSession()
	first := s.quote("loja-1", time.Second)
	s.told("quote 1", first)
	s.wait(time.Millisecond)
	s.grant(1, map[string]int{"r1": 1, "r2": 1})
	slot := s.told("quote 1", first)
	second := s.told("quote 2", s.quote("loja-1", time.Second))
	third := s.quote("loja-2", time.Second)
	s.told("quote 3", third)
	s.wait(20 * time.Millisecond)
	s.answered("quote 1", slot)
	s.told("quote 3", third)
	s.told("quote 4", s.quote("loja-1", time.Second))
	s.told("quote 5", s.quote("loja-2", time.Second))
	s.told("quote 6", s.quote("loja-3", time.Second))
	s.wait(2 * time.Second)
	s.answered("quote 2", second)
	s.desk.serveAll()
	s.told("quote 7, after the grant has lapsed", s.quote("loja-3", 500*time.Millisecond))
	s.Check(t, "quote")
}
