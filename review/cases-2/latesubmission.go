package main

import (
	"fmt"
	"net/http"
	"time"
)

// lateSubmission leaves the write of one submission without an answer and carries
// it out seconds later. The caller, who was told 504, cancels the job meanwhile.
func lateSubmission(s *site, trouble bool) (bool, error) {
	const (
		heldFor = 5500 * time.Millisecond
		// callerWait is how long the caller waits for an answer.
		callerWait = 700
	)
	q := queue{
		name:     "reconcile",
		attempts: 2,
	}
	if err := s.open(4, 3, q); err != nil {
		return false, err
	}
	id, host := newID(), s.others()[0]
	steps := []step{{Count: 2, CPU: 2000, MemMB: 1024, EstimateMS: 1000, Persistent: true}}
	if trouble {
		held := false
		s.store.delay = func(write *txn) time.Duration {
			if held || !write.sets("/job/"+id) {
				return 0
			}
			held = true
			return heldFor
		}
	}
	// Other jobs are submitted around it, so that one write of three at most gets no
	// answer.
	for n := range 5 {
		if n == 2 {
			continue
		}
		other := newID()
		body := s.job(other, []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 500}}, []outcome{{length: 500 * time.Millisecond, how: "done"}})
		if status, _ := s.told(s.hosts[n%len(s.hosts)], http.MethodPost, q, other, body, queueDeadline); status != http.StatusOK {
			return false, fmt.Errorf("another job was not accepted")
		}
	}
	status, _ := s.told(host, http.MethodPost, q, id, s.job(id, steps, []outcome{{}}), callerWait)
	if trouble && status != http.StatusGatewayTimeout && status != 0 {
		return false, fmt.Errorf("the submission got %d", status)
	}
	cancelled, _ := s.told(s.others()[1], http.MethodDelete, q, id, nil, queueDeadline)
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return false, fmt.Errorf("the cancellation got %d", cancelled)
	}
	acknowledged := s.record.now()
	// The store counts as disturbed until the longest delay of a late write is over.
	const longestDelay = 6 * time.Second
	time.Sleep(longestDelay + stableWindow + cancelBound + stopGrace + time.Second)
	judged := s.record.now()
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	broken := false
	for _, begun := range s.startsOf(id) {
		// With no disruption near: the run has gone on through a whole stretch of
		// cancel_ms and stop_grace_ms in which the store was stable.
		if begun.at > acknowledged+cancelBound && begun.end == 0 {
			broken = true
			s.record.note("the store is stable from %.3f s on; the run goes on at %.3f s", (acknowledged + longestDelay + stableWindow).Seconds(), judged.Seconds())
			s.record.note("UNASKED: %s run %d began on %s at %.3f s, %.3f s after the cancellation was acknowledged with %d; ended at %.3f s %s",
				begun.task, begun.run, begun.runner, begun.at.Seconds(), (begun.at - acknowledged).Seconds(), cancelled, begun.end.Seconds(), begun.how)
		}
	}
	return broken, nil
}
