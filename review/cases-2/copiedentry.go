package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// copiedEntry cuts a runner off for a few seconds while it works on a job. Another
// writer has an entry in the list of runners that has the runner's address and a
// service that no configuration names.
func copiedEntry(s *site, trouble bool) (bool, error) {
	const (
		cutFor     = 5500 * time.Millisecond
		taskLength = 9 * time.Second
	)
	q := queue{
		name:     "cutplan",
		attempts: 2,
	}
	if err := s.open(6, 3, q); err != nil {
		return false, err
	}
	id := newID()
	body := s.job(id, []step{{Count: 4, CPU: 3000, MemMB: 1024, EstimateMS: 9000}}, []outcome{{length: taskLength, how: "done"}})
	if status, _ := s.told(s.hosts[0], http.MethodPost, q, id, body, queueDeadline); status != http.StatusOK {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	starts := s.startsOf(id)
	if len(starts) != 4 {
		return false, fmt.Errorf("%d of 4 tasks have started", len(starts))
	}
	victim := s.runner(starts[0].runner)
	if trouble {
		// With TROUBLE=cut the runner is cut off without the entry, for comparison.
		if os.Getenv("TROUBLE") != "cut" {
			entry := victim.entry(1)
			entry["service"], entry["born"] = "inventory", time.Now().UnixMilli()
			s.store.put("servers/x-inventory-1", entry)
			s.record.note("another writer: entry servers/x-inventory-1 with service \"inventory\" and address %s", victim.address)
		}
		time.Sleep(2 * time.Second)
		victim.link.setCut(true)
		s.record.note("runner %s is cut off and runs on", victim.id)
		time.Sleep(cutFor)
		victim.link.setCut(false)
		s.record.note("runner %s is reached again", victim.id)
	}
	time.Sleep(12 * time.Second)
	s.told(s.hosts[0], http.MethodGet, q, id, nil, queueDeadline)
	return twice(s, id), nil
}

// twice reports whether two runs of one task went on at the same time, or a run
// began after one had ended done with that end taken note of.
func twice(s *site, id string) bool {
	broken := false
	starts := s.startsOf(id)
	for i, first := range starts {
		for _, second := range starts[i+1:] {
			if second.task != first.task {
				continue
			}
			overlap := first.end == 0 || second.at < first.end
			afterDone := first.how == "done" && first.noted > 0 && second.at > first.end
			if overlap || afterDone {
				broken = true
				s.record.note("TWICE: %s run %d on %s began at %.3f s, run %d on %s went on from %.3f s to %.3f s (%s)",
					second.task, second.run, second.runner, second.at.Seconds(), first.run, first.runner,
					first.at.Seconds(), first.end.Seconds(), first.how)
			}
		}
	}
	return broken
}
