package main

import (
	"fmt"
	"syscall"
	"time"
)

// hangUp tells two hosts that their settings have changed while they start and
// wait for the store, which is down.
func hangUp(s *site, trouble bool) (bool, error) {
	q := queue{
		name:     "quote",
		attempts: 2,
	}
	if err := s.open(4, 3, q); err != nil {
		return false, err
	}
	hosts := s.others()
	if trouble {
		s.store.setSilent(true)
	}
	for _, h := range hosts {
		h.signal(syscall.SIGKILL, true)
	}
	time.Sleep(restartDelay + 1200*time.Millisecond)
	for range 3 {
		for _, h := range hosts {
			h.signal(syscall.SIGHUP, false)
		}
		time.Sleep(restartDelay + 400*time.Millisecond)
	}
	if trouble {
		s.store.setSilent(false)
	}
	time.Sleep(4 * time.Second)
	crashed := 0
	for _, h := range s.hosts {
		h.mu.Lock()
		if len(h.ends) >= 3 {
			crashed++
			s.record.note("FAULT: host %s ended by itself %d times: %v", h.name, len(h.ends), h.ends)
		}
		h.mu.Unlock()
	}
	if crashed == 1 {
		return false, fmt.Errorf("only one host ended three times")
	}
	return crashed >= 2, nil
}
