package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lateCopy holds one order back on its way to a runner, which carries out the next
// copy and later starts again under its id. Then the first copy arrives.
func lateCopy(s *site, trouble bool) (bool, error) {
	const (
		heldFor    = 9 * time.Second
		taskLength = 2 * time.Second
	)
	q := queue{
		name:     "quote",
		attempts: 2,
	}
	if err := s.open(8, 3, q); err != nil {
		return false, err
	}
	id := newID()
	held := ""
	if trouble {
		for _, r := range s.runners {
			r.link.delay = func(request []byte) time.Duration {
				s.mu.Lock()
				defer s.mu.Unlock()
				if held != "" || !bytes.HasPrefix(request, []byte("POST /run-start")) || !strings.Contains(string(request), id+".0.0.0") {
					return 0
				}
				held = r.id
				s.record.note("link of runner %s: a start of %s.0.0.0 gets no answer and arrives %s later", r.id, id, heldFor)
				return heldFor
			}
		}
	}
	body := s.job(id, []step{{Count: 4, CPU: 2000, MemMB: 1024, EstimateMS: 2000}}, []outcome{{length: taskLength, how: "done"}})
	if status, _ := s.told(s.hosts[0], http.MethodPost, q, id, body, queueDeadline); status != http.StatusOK {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	if trouble {
		s.mu.Lock()
		victim := held
		s.mu.Unlock()
		if victim == "" {
			return false, fmt.Errorf("no start was held back")
		}
		s.runner(victim).restart(500 * time.Millisecond)
	}
	time.Sleep(9 * time.Second)
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	return twice(s, id), nil
}
