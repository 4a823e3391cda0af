package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// removedQueue removes a queue from the configuration while one of its jobs runs,
// and restarts the leader as in a roll. Each run of the job's task fails.
func removedQueue(s *site, trouble bool) (bool, error) {
	const taskLength = 3 * time.Second
	q := queue{
		name:     "quote",
		attempts: 2,
	}
	kept := queue{
		name:     "cutplan",
		attempts: 2,
	}
	if err := s.open(4, 3, q, kept); err != nil {
		return false, err
	}
	id := newID()
	body := s.job(id, []step{{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 3000}}, []outcome{{length: taskLength, how: "failed"}})
	if status, _ := s.told(s.hosts[0], http.MethodPost, q, id, body, queueDeadline); status != http.StatusOK {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		s.configure(9, kept)
		time.Sleep(500 * time.Millisecond)
		s.leader().signal(syscall.SIGTERM, true)
	}
	time.Sleep(18 * time.Second)
	failed, broken := 0, false
	starts := s.startsOf(id)
	for _, begun := range starts {
		failed = 0
		for _, earlier := range starts {
			if earlier.how == "failed" && earlier.noted > 0 && earlier.end < begun.at {
				failed++
			}
		}
		if failed >= q.attempts {
			broken = true
			s.record.note("BUDGET: %s run %d began on %s at %.3f s, after %d runs had ended failed; max_attempts is %d",
				begun.task, begun.run, begun.runner, begun.at.Seconds(), failed, q.attempts)
		}
	}
	return broken, nil
}
