package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["stop-after-outage"] = namedCase{
		play: stopAfterOutage,
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

// stopAfterOutage plays an outage of the store in which its leases run out,
// after which the store is slow for some seconds, as a rolling restart begins.
func stopAfterOutage(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	ids := []string{}
	for range 12 {
		id := newID()
		if err := s.submit(id, "cutting plan "+id, []map[string]any{
			{"count": 4, "cpu": 2000, "mem_mb": 4000, "estimate_ms": 700},
			{"count": 4, "cpu": 2000, "mem_mb": 4000, "estimate_ms": 700, "after": []int{0}},
		}); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if state := s.await(id, 20*time.Second, "completed"); state != "completed" {
			return nil, fmt.Errorf("job %s is %q and not completed", id, state)
		}
	}
	starts, done := s.judge.counts()
	s.record.say("all %d jobs are completed; %d starts, %d runs ended done", len(ids), starts, done)
	time.Sleep(time.Second)
	leading := s.leading()
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
	// The rolling restart.
	for _, h := range append([]*host{leading}, others(s.hosts, leading)...) {
		exited := h.exited
		s.terminate(h)
		<-exited
		time.Sleep(300 * time.Millisecond)
		if err := s.startHost(h); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	_ = syscall.SIGTERM
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		s.record.say("job %s is now %q", id, s.stateOf(id))
	}
	starts, done = s.judge.counts()
	s.record.say("%d starts, %d runs ended done", starts, done)
	return s.judge.twice(), nil
}

func others(all []*host, one *host) []*host {
	out := []*host{}
	for _, h := range all {
		if h != one {
			out = append(out, h)
		}
	}
	return out
}
