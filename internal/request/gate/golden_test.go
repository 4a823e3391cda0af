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

// session drives the admission loop step by step and records its decisions.
type session struct {
	golden.Session
	admitter *Admission
	start    time.Time
	now      time.Time
	ids      uint64
}

func newSession() *session {
	s := &session{
		start: time.Unix(1000, 0),
		now:   time.Unix(1000, 0),
	}
	s.admitter = NewAdmission(AdmissionConfig{
		Runners: runner.Config{
			Zone:   "recife",
			Random: rand.New(rand.NewPCG(7, 7)),
		},
		Borrower: credit.BorrowerConfig{
			Term:        1500 * time.Millisecond,
			Incarnation: "run",
		},
		Queue: admission.Config{
			MaxWaiting: 2,
		},
		Report: func(report message.CreditReport) {
			s.record("report %d to %s: holds %v, wants %d", report.Seq, report.Lender, report.Held, report.Demand)
		},
		Clock:       func() time.Time { return s.now },
		ReportEvery: time.Second,
	})
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	backends := Backends{
		Lenders: map[string]Lender{},
	}
	for _, id := range []string{"r1", "r2"} {
		backends.Entries = append(backends.Entries, runner.Entry{
			ID:      id,
			Zone:    "recife",
			Service: "quotes",
			Address: address,
		})
		backends.Lenders[id] = Lender{
			Name: "recife/steward-0",
			Zone: "recife",
		}
	}
	s.admitter.applyBackends(backends)
	return s
}

func (s *session) record(format string, args ...any) {
	s.Add(s.now.Sub(s.start), format, args...)
}

func (s *session) advance(length time.Duration) {
	s.now = s.now.Add(length)
}

// quote requests a slot; recordReply records the reply.
func (s *session) quote(customer string, left time.Duration) chan Slot {
	s.ids++
	reply := make(chan Slot, 1)
	s.record("quote %d for %s, %v left", s.ids, customer, left)
	s.admitter.handleRequest(slotRequest{
		service: "quotes",
		ticket: admission.Ticket{
			ID:       s.ids,
			Customer: customer,
			Deadline: s.now.Add(left),
		},
		reply: reply,
	})
	s.admitter.reportIfShort()
	return reply
}

func (s *session) recordReply(name string, reply chan Slot) Slot {
	select {
	case slot := <-reply:
		if slot.Refused != "" {
			s.record("%s refused: %s", name, slot.Refused)
		} else {
			s.record("%s goes to %s, slot until %v", name, slot.Runner, slot.Until.Sub(s.start))
		}
		return slot
	default:
		s.record("%s waits", name)
		return Slot{}
	}
}

func (s *session) grant(report uint64, slots map[string]int) {
	s.record("grant for report %d: %v", report, slots)
	s.admitter.borrower.Grant(message.CreditGrant{
		Lender:      "recife/steward-0",
		Epoch:       1,
		Grant:       report,
		ReportSeq:   report,
		Slots:       slots,
		Incarnation: "run",
	})
	s.admitter.assignAllSlots()
}

func (s *session) recordAnswer(name string, slot Slot) {
	s.record("%s answered by %s", name, slot.Runner)
	s.admitter.recordAnswer("quotes", 20*time.Millisecond)
	s.admitter.handleCompletion(completion{
		slot:    slot,
		verdict: runner.Success,
		freed:   true,
	})
}

// TestGoldenQuote records slot requests from the first, which waits for a
// grant, to those that are shed by a full queue or wait because the grant has
// expired.
func TestGoldenQuote(t *testing.T) {
	s := newSession()
	first := s.quote("loja-1", time.Second)
	s.recordReply("quote 1", first)
	s.advance(time.Millisecond)
	s.grant(1, map[string]int{"r1": 1, "r2": 1})
	slot := s.recordReply("quote 1", first)
	second := s.recordReply("quote 2", s.quote("loja-1", time.Second))
	third := s.quote("loja-2", time.Second)
	s.recordReply("quote 3", third)
	s.advance(20 * time.Millisecond)
	s.recordAnswer("quote 1", slot)
	s.recordReply("quote 3", third)
	s.recordReply("quote 4", s.quote("loja-1", time.Second))
	s.recordReply("quote 5", s.quote("loja-2", time.Second))
	s.recordReply("quote 6", s.quote("loja-3", time.Second))
	s.advance(2 * time.Second)
	s.recordAnswer("quote 2", second)
	s.admitter.assignAllSlots()
	s.recordReply("quote 7, after the grant has expired", s.quote("loja-3", 500*time.Millisecond))
	s.Check(t, "quote")
}
