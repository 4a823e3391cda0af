package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/golden"
)

// runAndRecord runs the newest planner without faults and records every message
// in the session, except for heartbeats and inventories.
func (s *simulation) runAndRecord(session *golden.Session, start time.Time, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		planner := s.planners[len(s.planners)-1]
		for _, id := range s.workerIDs() {
			s.heartbeat(planner, id)
		}
		s.step(planner)
		for len(s.inFlight) > 0 {
			next := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			if !isHeartbeat(next.label) {
				session.Add(s.now.Sub(start), "%s", next.label)
			}
			next.deliver()
		}
		s.advance(100 * time.Millisecond)
	}
}

func isHeartbeat(label string) bool {
	var kind, id string
	_, _ = fmt.Sscan(label, &kind, &id)
	return kind == "heartbeat" || kind == "inventory"
}

// recordOutcomes records the final state of jobs and their attempts.
func (s *simulation) recordOutcomes(session *golden.Session, start time.Time, ids ...string) {
	for _, id := range ids {
		record := s.records[id].record
		session.Add(s.now.Sub(start), "record %s: %s after %d attempts, done %d times", id, record.State, record.Total, s.doneCount[id])
		for _, attempt := range record.Attempts {
			session.Add(s.now.Sub(start), "  attempt %d on %s epoch %d: %s %s from %q", attempt.N, attempt.Worker, attempt.Epoch, attempt.State, attempt.Detail, attempt.From)
		}
	}
}

// TestGoldenExactlyOnce guards against a second run of a job whose dispatcher
// stops while the job runs: the successor must adopt the running attempt.
func TestGoldenExactlyOnce(t *testing.T) {
	s := newSimulation(2)
	start := s.now
	session := &golden.Session{}
	s.runAndRecord(session, start, 300*time.Millisecond)
	session.Add(s.now.Sub(start), "submit plan")
	s.submit("plan", "plan", cores(4))
	s.runAndRecord(session, start, 400*time.Millisecond)
	session.Add(s.now.Sub(start), "the dispatcher dies, a successor begins")
	s.startSuccessor()
	s.runAndRecord(session, start, 2*time.Second)
	s.recordOutcomes(session, start, "plan")
	require.Empty(t, s.violations)
	session.Check(t, "exactly_once")
}

// TestGoldenEviction guards against an evicted batch job that is stopped before
// its checkpoint or that starts over: it must be checkpointed, yield to the
// urgent job and resume afterwards.
func TestGoldenEviction(t *testing.T) {
	s := newSimulation(1)
	s.runTime = 1500 * time.Millisecond
	start := s.now
	session := &golden.Session{}
	s.runAndRecord(session, start, 300*time.Millisecond)
	session.Add(s.now.Sub(start), "submit stock")
	s.submit("stock", "stock", cores(6))
	s.runAndRecord(session, start, time.Second)
	session.Add(s.now.Sub(start), "submit now, which is urgent")
	s.submit("now", "urgent", cores(6))
	s.runAndRecord(session, start, 5*time.Second)
	s.recordOutcomes(session, start, "stock", "now")
	require.Empty(t, s.violations)
	session.Check(t, "eviction")
}
