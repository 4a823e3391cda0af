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
	time.Sleep(finishBound)
	now := s.record.now()
	used, capacity := int64(0), int64(0)
	for _, r := range s.runners {
		r.mu.Lock()
		for task := range r.running {
			used += r.sizes[task]
		}
		capacity += r.capacity
		r.mu.Unlock()
	}
	s.record.note("finish_s after the traffic: %d of %d millicores are in use; a job needs 2000", used, capacity)
	waiting := []string{}
	for _, id := range ids {
		idle := true
		for _, begun := range s.startsOf(id) {
			idle = idle && begun.end != 0 && begun.end < now-3*time.Second && begun.how != "done"
		}
		if idle {
			waiting = append(waiting, id)
		}
	}
	// Nothing has ended since, if the same jobs wait after another 20 s.
	time.Sleep(20 * time.Second)
	lost := 0
	for _, id := range waiting {
		status, text := s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
		room := capacity-used >= 2*2000 && 2*used < capacity
		if room {
			lost++
		}
		s.record.note("LOST: job %s had nothing running for 3 s at the check, room %t; starts so far %d; state %d %s",
			id, room, len(s.startsOf(id)), status, text)
	}
	s.record.note("%d of %d jobs were lost by the rule, of %.3f s of traffic", lost, jobs, traffic.Seconds())
	return lost > 0, nil
}
