package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/request/ledger"
)

// workPayload returns the payload that makes a stand-in worker run a task for
// the given time.
func workPayload(run time.Duration) json.RawMessage {
	text, _ := json.Marshal(standin.Work{
		RunMS: run.Milliseconds(),
	})
	return text
}

// waitUntil polls a condition until it holds or the limit has passed, and
// reports whether it held.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// demo runs through the main functions of a small site and reports evidence for
// each of them from the back ends.
func demo(s *Site, r *Report) {
	s.show(r, "a quote answered", s.demoQuote())
	s.show(r, "a cutting plan run exactly once", s.demoPlan())
	s.show(r, "a stock reconciliation evicted and resumed", s.demoEviction())
	s.show(r, "a tray watcher kept running", s.demoWatcher())
	s.show(r, "a release note in force on both hosts", s.demoNote())
	events := s.Events()
	r.AddViolations(checkRunners(s.Runners())...)
	r.AddViolations(checkWorkers(events)...)
	found, err := s.Ledger("demo")
	if err != nil {
		r.AddViolations(err.Error())
	}
	r.AddViolations(checkLedger(found, events)...)
}

// show adds a note with the evidence, or a violation if there is none.
func (s *Site) show(r *Report, what, evidence string) {
	if evidence == "" {
		r.AddViolations("not seen: " + what)
		return
	}
	r.Note("%s: %s", what, evidence)
}

func (s *Site) demoQuote() string {
	var answer Answer
	waitUntil(15*time.Second, func() bool {
		answer = s.Call(Request{
			Method: http.MethodGet,
			Path:   "/v1/services/quotes/chair",
		})
		return answer.Succeeded()
	})
	for _, runner := range s.Runners() {
		if runner.Requests > 0 && answer.Succeeded() {
			return fmt.Sprintf("%q in %v; runner %s counted %d request(s), %d slot(s) at most", answer.Body, answer.Took.Round(time.Millisecond), runner.ID, runner.Requests, runner.PeakSlots)
		}
	}
	return ""
}

// submit submits a job of the demo's customer and returns its record, which is
// empty if no host accepts it.
func (s *Site) submit(class string, cores float64, run time.Duration, key string) *job.Record {
	record, err := s.Submit(ledger.Submission{
		Customer: "demo",
		Class:    class,
		Cores:    cores,
		MemoryGB: 4,
		Payload:  workPayload(run),
	}, key)
	if err != nil {
		return &job.Record{}
	}
	return record
}

// spansFor returns the attempts of a job as the workers recorded them.
func (s *Site) spansFor(id string) []*span {
	return spansOf(s.Events())[id]
}

func (s *Site) demoPlan() string {
	first := s.submit("cutting_plan", 4, 400*time.Millisecond, "plan-1")
	second := s.submit("cutting_plan", 4, 400*time.Millisecond, "plan-1")
	waitUntil(15*time.Second, func() bool {
		spans := s.spansFor(first.ID)
		return len(spans) > 0 && spans[0].result == eventDone
	})
	time.Sleep(time.Second)
	spans := s.spansFor(first.ID)
	if len(spans) != 1 || spans[0].result != "done" || first.ID != second.ID {
		return ""
	}
	return fmt.Sprintf("submitted twice as %s through two hosts; worker %s started it once and recorded done once", first.ID, spans[0].worker)
}

func (s *Site) demoEviction() string {
	record := s.submit("reconciliation", 4, 3*time.Second, "stock-1")
	if !waitUntil(10*time.Second, func() bool { return len(s.spansFor(record.ID)) == 1 }) {
		return ""
	}
	time.Sleep(time.Second)
	name := s.spansFor(record.ID)[0].worker
	if _, err := s.Apply(s.Operators[0], "[note]\nid = drain-1\n[withdrawn worker "+name+"]\n"); err != nil {
		return ""
	}
	waitUntil(20*time.Second, func() bool {
		spans := s.spansFor(record.ID)
		return len(spans) == 2 && spans[1].result == eventDone
	})
	_, _ = s.Apply(s.Operators[0], "[note]\nid = back-1\n[added worker "+name+"]\n")
	spans := s.spansFor(record.ID)
	if len(spans) != 2 || spans[1].result != "done" || spans[1].fromMS == 0 {
		return ""
	}
	return fmt.Sprintf("worker %s stopped it at %d ms of work, worker %s resumed it at %d ms and recorded done once", spans[0].worker, spans[0].toMS, spans[1].worker, spans[1].fromMS)
}

func (s *Site) demoWatcher() string {
	record := s.submit("watcher", 1, 0, "shed-1")
	if !waitUntil(10*time.Second, func() bool { return len(s.spansFor(record.ID)) == 1 }) {
		return ""
	}
	time.Sleep(time.Second)
	first := s.spansFor(record.ID)[0]
	s.Fault("worker", first.worker, standin.WorkerFault{
		Crash: true,
	})
	if !waitUntil(20*time.Second, func() bool { return len(s.spansFor(record.ID)) == 2 }) {
		return ""
	}
	spans := s.spansFor(record.ID)
	gap := spans[1].began.Sub(spans[0].ended)
	return fmt.Sprintf("worker %s crashed; worker %s runs it again after %v, in one place at a time", spans[0].worker, spans[1].worker, gap.Round(time.Millisecond))
}

func (s *Site) demoNote() string {
	if _, err := s.Apply(s.Operators[1], "[note]\nid = quota-1\n[added quota demo]\ncores = 64\n"); err != nil {
		return ""
	}
	versions := map[uint64]int{}
	waitUntil(4*time.Second, func() bool {
		clear(versions)
		for _, operatorAddress := range s.Operators {
			var view struct {
				Hosts []struct {
					Version uint64 `json:"version"`
				} `json:"hosts"`
			}
			if _, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/v1/releases", nil, nil, &view); err == nil {
				versions[view.Hosts[0].Version]++
			}
		}
		return len(versions) == 1
	})
	if len(versions) != 1 {
		return ""
	}
	for version, hosts := range versions {
		return fmt.Sprintf("version %d on %d hosts, as each host reports", version, hosts)
	}
	return ""
}

// stopping sends long requests to the last host while it is being stopped, and
// expects a complete answer to each.
func stopping(s *Site, r *Report) {
	stats := NewStats()
	last := s.Callers[len(s.Callers)-1]
	OpenLoad{
		Rate:    40,
		Length:  500 * time.Millisecond,
		Do:      s.Call,
		Results: stats,
		Make: func(int) Request {
			return Request{
				Method:   http.MethodGet,
				Path:     "/v1/services/quotes/slow",
				Host:     last,
				WorkTime: 700 * time.Millisecond,
			}
		},
	}.Run()
	r.AtLeast("answered_while_stopping", stats.Success(), "percent", 100)
	r.addOutcomes("stopping", stats)
	r.AddViolations(checkRunners(s.Runners())...)
}
