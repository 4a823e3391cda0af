package load

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/gate"
)

// keyedCall is a non-idempotent request, retried with the same idempotency key
// through other hosts until a runner has answered it.
type keyedCall struct {
	site *Site
	key  string
	wait *sync.WaitGroup

	mu sync.Mutex
	// outcomes are the reported outcomes, oldest first.
	outcomes []gate.Outcome
	answered bool
}

// maxTries is how often a caller sends a request with the same key.
const maxTries = 3

func (k *keyedCall) run() {
	defer k.wait.Done()
	for range maxTries {
		answer := k.site.Call(Request{
			Method:   http.MethodPost,
			Path:     "/v1/services/orders/report",
			Key:      k.key,
			Customer: "farmer",
			Timeout:  1500 * time.Millisecond,
			WorkTime: 20 * time.Millisecond,
		})
		k.mu.Lock()
		k.outcomes = append(k.outcomes, answer.Outcome)
		k.answered = k.answered || answer.Succeeded()
		done := k.answered
		k.mu.Unlock()
		if done {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// atMostOnce sends requests with idempotency keys while answers are lost, the
// store goes down and the script kills hosts.
func atMostOnce(s *Site, r *Report) {
	waitUntil(20*time.Second, func() bool { return s.Call(s.idempotentRequest(0)).Succeeded() })
	const count = 10000
	const rate = 400.0
	s.Fault("runner", "r0", standin.RunnerFault{LoseAnswers: 0.2})
	s.Fault("store", "", standin.StoreFault{LoseAnswers: 0.05})
	outage := time.AfterFunc(8*time.Second, func() { s.Fault("store", "", standin.StoreFault{Down: true}) })
	back := time.AfterFunc(12*time.Second, func() { s.Fault("store", "", standin.StoreFault{LoseAnswers: 0.05}) })
	defer outage.Stop()
	defer back.Stop()
	var wait sync.WaitGroup
	calls := make([]*keyedCall, count)
	began := time.Now()
	for i := range calls {
		if ahead := time.Duration(float64(i)/rate*float64(time.Second)) - time.Since(began); ahead > 0 {
			time.Sleep(ahead)
		}
		calls[i] = &keyedCall{
			site: s,
			key:  fmt.Sprintf("order-%d", i),
			wait: &wait,
		}
		wait.Add(1)
		go calls[i].run()
	}
	wait.Wait()
	s.Fault("store", "", standin.StoreFault{})
	s.checkKeyed(r, calls)
}

// checkKeyed adds a violation for each key that was answered but did not run
// exactly once, and for each key that ran although all its tries were reported
// not_run.
func (s *Site) checkKeyed(r *Report, calls []*keyedCall) {
	runs := map[string]int{}
	runners := s.Runners()
	for _, runner := range runners {
		for key, count := range runner.Runs {
			runs[key] += count
		}
	}
	r.AddViolations(checkRunners(runners)...)
	answered, unknown, notRun, ran := 0, 0, 0, 0
	for _, call := range calls {
		ran += runs[call.key]
		last := call.outcomes[len(call.outcomes)-1]
		switch {
		case call.answered:
			answered++
			if runs[call.key] != 1 {
				r.AddViolations(fmt.Sprintf("request with idempotency key %s was answered but ran %d times", call.key, runs[call.key]))
			}
		case last == gate.NotRun:
			notRun++
			if runs[call.key] != 0 && !mayHaveRun(call.outcomes) {
				r.AddViolations(fmt.Sprintf("request with idempotency key %s was reported not_run but ran %d times", call.key, runs[call.key]))
			}
		default:
			unknown++
		}
	}
	r.Figure("answered", float64(answered), "requests")
	r.Figure("said_unknown_or_pending", float64(unknown), "requests")
	r.Figure("said_not_run", float64(notRun), "requests")
	r.Figure("ran", float64(ran), "requests")
}

// mayHaveRun reports whether a try failed or had another outcome than not_run.
// In that case a final not_run holds for the last try only.
func mayHaveRun(outcomes []gate.Outcome) bool {
	for _, outcome := range outcomes {
		if outcome != gate.NotRun {
			return true
		}
	}
	return false
}
