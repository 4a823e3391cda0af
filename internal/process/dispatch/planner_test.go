package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

func TestMain(m *testing.M) {
	golden.Main(m, 1000)
}

// runWithoutFaults runs the newest planner for length and delivers every
// message at once and in order.
func (s *simulation) runWithoutFaults(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		planner := s.planners[len(s.planners)-1]
		for _, id := range s.workerIDs() {
			s.heartbeat(planner, id)
		}
		s.step(planner)
		for len(s.inFlight) > 0 {
			next := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			next.deliver()
		}
		s.advance(100 * time.Millisecond)
	}
}

// TestExactlyOnceThroughDispatcherCrashes guards against jobs that run twice or
// never end when the dispatcher changes. A successor starts after each of the
// first messages of a fault-free run, with that message lost or delivered,
// while the old dispatcher still acts once more as if it held the right.
func TestExactlyOnceThroughDispatcherCrashes(t *testing.T) {
	const points = 120
	for point := range points {
		for _, lost := range []bool{false, true} {
			s := newSimulation(2)
			s.submit("plan", "plan", cores(4))
			s.submit("stock", "stock", cores(4))
			s.submit("other", "plan", cores(6))
			s.crashAt(point, lost)
			s.runWithoutFaults(12 * time.Second)
			require.Empty(t, s.violations, "crash at message %d, lost: %t", point, lost)
			for _, id := range []string{"plan", "stock", "other"} {
				require.Equal(t, job.Done, s.records[id].record.State, "%s after a crash at message %d, lost: %t", id, point, lost)
			}
		}
	}
}

// crashAt runs the first planner until point messages have been delivered,
// delivers or loses the next one, and starts a successor.
func (s *simulation) crashAt(point int, lost bool) {
	old := s.planners[0]
	delivered := 0
	for range 60 {
		for _, id := range s.workerIDs() {
			s.heartbeat(old, id)
		}
		s.step(old)
		for len(s.inFlight) > 0 {
			next := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			if delivered == point {
				if !lost {
					next.deliver()
				}
				s.startSuccessor()
				s.step(old)
				return
			}
			delivered++
			next.deliver()
		}
		s.advance(100 * time.Millisecond)
	}
	s.startSuccessor()
}

// TestNoJobRunsTwiceUnderRandomFaults guards against jobs that run twice at the
// same time, complete twice or never end. It draws schedules of lost, repeated
// and late messages, of two dispatchers that act concurrently, of cancellations
// and of worker restarts.
func TestNoJobRunsTwiceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(2)
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			class := rapid.SampledFrom([]string{"plan", "stock", "urgent"}).Draw(t, "class")
			s.submit(fmt.Sprintf("j%d", i), class, cores(int64(rapid.IntRange(1, 5).Draw(t, "cores"))))
		}
		for range rapid.IntRange(20, 250).Draw(t, "events") {
			s.applyRandomEvent(t)
			require.Empty(t, s.violations)
		}
		s.inFlight = nil
		s.startSuccessor()
		s.runWithoutFaults(15 * time.Second)
		require.Empty(t, s.violations)
		for id, stored := range s.records {
			if stored.record.State == job.Unresolved && s.crashed[stored.record.Attempts[len(stored.record.Attempts)-1].Worker] {
				continue // its worker restarted, so operators must resolve it
			}
			require.True(t, stored.record.State.Final(), "%s must end once the faults have ended: %+v", id, stored.record)
		}
	})
}

// applyRandomEvent draws one event and applies it.
func (s *simulation) applyRandomEvent(t *rapid.T) {
	planner := s.planners[rapid.IntRange(max(len(s.planners)-2, 0), len(s.planners)-1).Draw(t, "board")]
	ids := s.workerIDs()
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{
		"step", "step", "heartbeat", "heartbeat", "deliver", "deliver", "deliver", "all", "any", "lose",
		"repeat", "advance", "advance", "long", "takeover", "crash", "cancel",
	}).Draw(t, "event") {
	case "step":
		s.step(planner)
	case "heartbeat":
		s.heartbeat(planner, id)
	case "deliver":
		s.deliver(0)
	case "all":
		for range len(s.inFlight) {
			s.deliver(0)
		}
	case "any":
		s.deliver(rapid.IntRange(0, max(len(s.inFlight)-1, 0)).Draw(t, "mail"))
	case "lose":
		if len(s.inFlight) > 0 {
			s.inFlight = s.inFlight[1:]
		}
	case "repeat":
		if len(s.inFlight) > 0 {
			s.inFlight = append(s.inFlight, s.inFlight[0])
		}
	case "advance":
		s.advance(200 * time.Millisecond)
	case "long":
		s.advance(testLease / 2)
	case "takeover":
		s.startSuccessor()
	case "crash":
		s.workers[id].crash(s)
	case "cancel":
		s.cancel("j0")
	}
}

// deliver removes the message at an index from those in flight and delivers it.
func (s *simulation) deliver(at int) {
	if at >= len(s.inFlight) {
		return
	}
	next := s.inFlight[at]
	s.inFlight = append(s.inFlight[:at:at], s.inFlight[at+1:]...)
	next.deliver()
}

// cancel marks a job as cancelled, as a customer's request does.
func (s *simulation) cancel(id string) {
	stored := s.records[id]
	if stored.record.State.Final() {
		return
	}
	next := stored.record.Clone()
	next.Cancel = true
	s.revision++
	s.records[id] = storedRecord{
		record:   next,
		revision: s.revision,
	}
	for _, planner := range s.planners {
		planner.Load(next, s.revision, s.now)
	}
}

// TestPolicies guards the rules of placement: each case submits jobs, runs
// without faults for 14 s and checks the resulting records.
func TestPolicies(t *testing.T) {
	tests := map[string]struct {
		arrange func(s *simulation)
		check   func(t *testing.T, s *simulation)
	}{
		"a job larger than any worker fails because it can never run": {
			arrange: func(s *simulation) { s.submit("big", "plan", cores(9)) },
			check: func(t *testing.T, s *simulation) {
				assert.Equal(t, job.Failed, s.records["big"].record.State)
				assert.Contains(t, s.records["big"].record.Reason, "can never run")
			},
		},
		"an urgent job evicts a batch job, which resumes from its checkpoint": {
			arrange: func(s *simulation) {
				s.runTime = 4 * time.Second
				s.submit("a", "stock", cores(7))
				s.submit("b", "stock", cores(7))
				s.runWithoutFaults(time.Second)
				s.submit("now", "urgent", cores(7))
			},
			check: func(t *testing.T, s *simulation) {
				assert.Equal(t, 1, s.records["now"].record.Total, "the urgent job needed one attempt")
				resumed := ""
				for _, id := range []string{"a", "b"} {
					for _, attempt := range s.records[id].record.Attempts {
						resumed += attempt.From
					}
				}
				assert.NotEmpty(t, resumed, "the evicted job resumed")
			},
		},
		"watchers of a class are spread over racks": {
			arrange: func(s *simulation) {
				s.runTime = 0
				s.submit("one", "watcher", cores(1))
				s.submit("two", "watcher", cores(1))
			},
			check: func(t *testing.T, s *simulation) {
				first, second := s.records["one"].record.Open(), s.records["two"].record.Open()
				require.NotNil(t, first)
				require.NotNil(t, second)
				assert.NotEqual(t, first.Worker, second.Worker)
			},
		},
		"nothing starts in a withdrawn zone": {
			arrange: func(s *simulation) {
				state := testState()
				state.Zones[testZone] = release.Zone{
					Out: true,
				}
				s.planners[0].SetState(state)
				s.submit("plan", "plan", cores(1))
			},
			check: func(t *testing.T, s *simulation) {
				assert.Empty(t, s.started)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2)
			test.arrange(s)
			s.runWithoutFaults(14 * time.Second)
			require.Empty(t, s.violations)
			test.check(t, s)
		})
	}
}
