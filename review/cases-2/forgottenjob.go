package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// forgottenJob refuses the one write that deletes a completed job and drops the
// store's history over two minutes later. It takes about 180 s, more than a case may
// last, although the status of jobs is kept for one second only.
func forgottenJob(s *site, trouble bool) (bool, error) {
	q := queue{
		name:     "cutplan",
		attempts: 2,
	}
	s.statusSeconds = 1
	if err := s.open(4, 3, q); err != nil {
		return false, err
	}
	submit := func(id string) error {
		body := s.job(id, []step{{Count: 2, CPU: 2000, MemMB: 1024, EstimateMS: 1000}}, []outcome{{length: time.Second, how: "done"}})
		if status, _ := s.told(s.hosts[0], http.MethodPost, q, id, body, queueDeadline); status != http.StatusOK {
			return fmt.Errorf("a job was not accepted")
		}
		return nil
	}
	id, refused := newID(), false
	if trouble {
		s.store.refuse = func(write *txn) bool {
			for _, key := range write.DeleteKeys {
				if !refused && strings.HasSuffix(key, "/job/"+id) {
					refused = true
					return true
				}
			}
			return false
		}
	}
	if err := submit(id); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	time.Sleep(120 * time.Second)
	if err := submit(newID()); err != nil {
		return false, err
	}
	time.Sleep(45 * time.Second)
	if trouble {
		if !refused {
			return false, fmt.Errorf("no deletion was refused")
		}
		s.store.compact(func() { _ = submit(newID()) })
	}
	time.Sleep(8 * time.Second)
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	return twice(s, id), nil
}
