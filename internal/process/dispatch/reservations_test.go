package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Guards against an urgent job that waits for good for the worker that was cleared for
// it: the worker is about to shut down, was withdrawn, or does not answer any more, and
// batch work on the others is not evicted.
func TestUrgentJobDoesNotWaitForAWorkerThatCannotTakeIt(t *testing.T) {
	tests := map[string]func(s *simulation, planner *Planner, reserved string){
		"the worker leaves": func(s *simulation, planner *Planner, reserved string) {
			entry := planner.workers[reserved].entry
			entry.Leaving = true
			planner.SetWorkers([]Entry{entry}, s.now)
		},
		"the worker is withdrawn": func(_ *simulation, planner *Planner, reserved string) {
			planner.state.Workers = map[string]release.Worker{
				reserved: {
					Out: true,
				},
			}
		},
		"the worker is silent": func(s *simulation, planner *Planner, reserved string) {
			for range 140 {
				s.inFlight = nil
				for id := range planner.workers {
					if id != reserved {
						s.heartbeat(planner, id)
					}
				}
				s.step(planner)
				s.deliverExcept(planner, reserved)
				s.advance(100 * time.Millisecond)
			}
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2)
			s.runTime = time.Hour
			planner := s.planners[0]
			s.submit("a", "plan", cores(7))
			s.submit("b", "plan", cores(7))
			s.runWithoutFaults(time.Second)
			s.submit("now", "urgent", cores(7))
			s.step(planner)
			reserved := planner.jobs["now"].reserved
			require.NotEmpty(t, reserved)
			disturb(s, planner, reserved)
			if name != "the worker is silent" {
				s.runWithoutFaults(14 * time.Second)
			}
			require.Empty(t, s.violations)
			assert.Equal(t, job.Running, s.records["now"].record.State)
		})
	}
}

// deliverExcept delivers the messages in flight, and loses the orders to one worker.
func (s *simulation) deliverExcept(planner *Planner, silent string) {
	for len(s.inFlight) > 0 {
		next := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		verb, attempt, _ := strings.Cut(next.label, " ")
		if view := planner.findOpenJob(attempt); view != nil && verb != "reply" && view.record.Open().Worker == silent {
			continue
		}
		next.deliver()
	}
}

// Guards against work that waits beside free workers behind many jobs that the quota
// of their customer holds back.
func TestJobsOverTheirQuotaDoNotHoldBackOthers(t *testing.T) {
	s := newSimulation(2)
	s.runTime = time.Hour
	planner := s.planners[0]
	planner.state.Quotas = map[string]release.Quota{
		"c": {
			Size: cores(1),
		},
	}
	for number := range 2 * maxCandidatesPerTick {
		s.submit(fmt.Sprintf("j%d", number), "urgent", cores(1))
	}
	s.runWithoutFaults(time.Second)
	s.submit("other", "stock", cores(1))
	s.records["other"].record.Customer = "d"
	s.runWithoutFaults(14 * time.Second)
	require.Empty(t, s.violations)
	assert.Equal(t, job.Running, s.records["other"].record.State)
}
