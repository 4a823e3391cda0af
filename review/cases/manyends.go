package main

import (
	"fmt"
	"time"
)

// namedCase is a case with the plans of its runs.
type namedCase struct {
	play  testCase
	plans func(id, task string) plan
}

var cases = map[string]namedCase{
	"many-ends": {
		play: manyEnds,
		plans: func(string, string) plan {
			return plan{
				size: size{
					CPU:   100,
					MemMB: 64,
				},
				duration: time.Second,
				ending:   "done",
			}
		},
	},
}

// worker is the usual runner: 32 cores, 125 GB.
var worker = size{
	CPU:   32000,
	MemMB: 128000,
}

// smallSite adds three hosts in three zones, and runners in turn in each zone.
func smallSite(s *site, runners int) error {
	zones := []string{"recife", "jaboatao", "olinda"}
	for _, zone := range zones {
		if err := s.addHost(fmt.Sprintf("frontend-%s-1", zone), zone, 0.4); err != nil {
			return err
		}
	}
	for i := range runners {
		zone := zones[i%len(zones)]
		if _, err := s.addRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), zone, fmt.Sprintf("r1-%d", i%len(zones)), worker); err != nil {
			return err
		}
	}
	return s.begin()
}

// manyEnds plays an outage of the store while a step of many small tasks runs.
func manyEnds(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if err := s.submit(id, "planning of many small parts", []map[string]any{
		{"count": 9000, "cpu": 100, "mem_mb": 64, "estimate_ms": 1000},
	}); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.record.say("the store is down")
		s.store.setDown(true, false)
		time.Sleep(4500 * time.Millisecond)
		s.store.setDown(false, false)
		s.record.say("the store is back")
	}
	state := s.await(id, 60*time.Second, "completed", "failed")
	starts, done := s.judge.counts()
	s.record.say("the job is %s; %d starts, %d runs ended done", state, starts, done)
	time.Sleep(time.Second) // the last ends are taken note of
	if state != "completed" {
		return nil, fmt.Errorf("the job is %q and not completed", state)
	}
	return s.judge.twice(), nil
}
