package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["stop-after-lapse"] = namedCase{
		play: stopAfterLapse,
		plans: func(string, string) plan {
			return plan{
				size: size{
					CPU:   2000,
					MemMB: 4000,
				},
				duration: 700 * time.Millisecond,
				ending:   "done",
			}
		},
	}
}

// stopAfterLapse plays an outage of the store in which the leases run out. It is
// slow for some seconds afterwards, while the hosts are restarted in turn.
func stopAfterLapse(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	job := func() error {
		id := newID()
		return s.submit(id, "cutting plan "+id, []map[string]any{
			{"count": 4, "cpu": 2000, "mem_mb": 4000, "estimate_ms": 700},
		})
	}
	for range 6 {
		if err := job(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	for round := range 4 {
		leading := s.leading()
		s.record.say("round %d, host %s leads", round+1, leading.name)
		if trouble {
			s.record.say("the store is down, its leases run out")
			s.store.setDown(true, true)
			time.Sleep(4500 * time.Millisecond)
			s.store.setSlow(60 * answerTime)
			s.store.setDown(false, false)
			s.record.say("the store is back, its answers take %v", 60*answerTime)
			time.AfterFunc(4500*time.Millisecond, func() { s.store.setSlow(answerTime) })
			time.Sleep(time.Second)
		}
		stop := make(chan struct{})
		waiting := sync.WaitGroup{}
		waiting.Go(func() { s.askWhile(leading, stop) })
		exited := leading.exited
		s.terminate(leading)
		<-exited
		close(stop)
		waiting.Wait()
		time.Sleep(300 * time.Millisecond)
		if err := s.startHost(leading); err != nil {
			return nil, err
		}
		time.Sleep(8 * time.Second)
		s.mu.Lock()
		crashed := len(s.crashes) > 0
		s.mu.Unlock()
		if crashed {
			break
		}
	}
	if err := job(); err != nil {
		return nil, fmt.Errorf("the site does not serve at the end: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes, nil
}

// askWhile hands jobs in at one host until it is stopped, and notes the
// requests that were broken off without an answer.
func (s *site) askWhile(h *host, stop chan struct{}) {
	calls := sync.WaitGroup{}
	for {
		select {
		case <-stop:
			calls.Wait()
			return
		case <-time.After(50 * time.Millisecond):
		}
		calls.Go(func() {
			id := newID()
			spec := "cutting plan " + id
			s.judge.mu.Lock()
			s.judge.specs[id] = spec
			s.judge.mu.Unlock()
			began := time.Now()
			status, text := s.call(h, http.MethodPost, id, map[string]any{"spec": spec, "steps": []map[string]any{
				{"count": 1, "cpu": 2000, "mem_mb": 4000, "estimate_ms": 700},
			}})
			if took := time.Since(began); status == 0 && took > 20*time.Millisecond {
				s.record.say("a request that %s had taken ends without an answer after %d ms: %s", h.name, took.Milliseconds(), text)
			}
		})
	}
}
