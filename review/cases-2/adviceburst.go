package main

import (
	"fmt"
	"net/http"
	"time"
)

// adviceBurst submits some jobs within a second to a queue with advice. Without the
// trouble each is submitted once the one before has started.
func adviceBurst(s *site, trouble bool) (bool, error) {
	const jobs = 12
	q := queue{
		name:     "readiness",
		attempts: 2,
		advice:   true,
	}
	terms := adviceTerms{
		decide: 500 * time.Millisecond,
		each:   10 * time.Millisecond,
		valid:  3 * time.Second,
	}
	if err := s.serveAdvice(terms); err != nil {
		return false, err
	}
	if err := s.open(6, 3, q); err != nil {
		return false, err
	}
	ids := make([]string, jobs)
	for n := range ids {
		ids[n] = newID()
		s.mu.Lock()
		s.ticketed[ids[n]] = true
		s.mu.Unlock()
		body := s.job(ids[n], []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 2000}}, []outcome{{length: 2 * time.Second, how: "done"}})
		if status, _ := s.told(s.hosts[n%len(s.hosts)], http.MethodPost, q, ids[n], body, queueDeadline); status != http.StatusOK {
			return false, fmt.Errorf("a job was not accepted")
		}
		if trouble {
			time.Sleep(80 * time.Millisecond)
			continue
		}
		deadline := time.Now().Add(5 * time.Second)
		for len(s.startsOf(ids[n])) < 2 && time.Now().Before(deadline) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	traffic := s.record.now()
	s.record.note("the traffic ends")
	time.Sleep(finishBound + 20*time.Second)
	lost := 0
	for _, id := range ids {
		if len(s.startsOf(id)) > 0 {
			continue
		}
		lost++
		status, text := s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
		s.record.note("LOST: no task of job %s has started %.3f s after the end of the traffic, beside six idle runners; its state is %d %s",
			id, (s.record.now() - traffic).Seconds(), status, text)
	}
	s.record.note("%d of %d jobs have never started", lost, jobs)
	return lost > 0, nil
}
