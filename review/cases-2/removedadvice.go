package main

import (
	"fmt"
	"net/http"
	"time"
)

// removedAdvice removes a queue with advice from the configuration between the two
// steps of one of its jobs.
func removedAdvice(s *site, trouble bool) (bool, error) {
	q := queue{
		name:     "quote",
		attempts: 2,
		advice:   true,
	}
	kept := queue{
		name:     "cutplan",
		attempts: 2,
	}
	if err := s.serveAdvice(adviceTerms{
		decide: 50 * time.Millisecond,
		each:   5 * time.Millisecond,
		valid:  3 * time.Second,
	}); err != nil {
		return false, err
	}
	if err := s.open(4, 3, q, kept); err != nil {
		return false, err
	}
	id := newID()
	s.ticketed[id] = true
	body := s.job(id, []step{
		{Count: 2, CPU: 2000, MemMB: 1024, EstimateMS: 4000},
		{Count: 2, CPU: 2000, MemMB: 1024, EstimateMS: 1000, After: []int{0}},
	}, []outcome{
		{length: 4 * time.Second, how: "done"},
		{length: time.Second, how: "done"},
	})
	if status, _ := s.told(s.hosts[0], http.MethodPost, q, id, body, queueDeadline); status != http.StatusOK {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		s.configure(9, kept)
	}
	s.record.note("the traffic ends")
	time.Sleep(finishBound + 3*time.Second)
	now, last, done := s.record.now(), time.Duration(0), 0
	for _, begun := range s.startsOf(id) {
		last = max(last, begun.end)
		if begun.how == "done" {
			done++
		}
	}
	if done == 4 {
		return false, nil
	}
	s.record.note("LOST: %d of 4 tasks of job %s are done; nothing of it has run since %.3f s, for %.3f s, beside four idle runners",
		done, id, last.Seconds(), (now - last).Seconds())
	return now-last > 3*time.Second, nil
}
