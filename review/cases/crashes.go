package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["crashes"] = namedCase{
		play: threeCrashes,
		plans: func(_, task string) plan {
			each := plan{
				size: size{
					CPU:   3500,
					MemMB: 6400,
				},
				duration: 5 * time.Second,
				ending:   "done",
			}
			return each
		},
	}
}

// threeCrashes crashes one of eight runners three times, each time the one that
// runs the task of a job.
func threeCrashes(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 8); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if err := s.submit(id, "cutting plan", []map[string]any{
		{"count": 1, "cpu": 3500, "mem_mb": 6400, "estimate_ms": 5000},
	}); err != nil {
		return nil, err
	}
	task := id + ".0.0.0"
	if missing := s.awaitRunning([]string{task}, 10*time.Second); missing != "" {
		return nil, fmt.Errorf("the task does not start")
	}
	for crash := range 3 {
		if !trouble {
			break
		}
		// A runner may take 20 s to have its task again; it is not judged here.
		if missing := s.awaitRunning([]string{task}, 20*time.Second); missing != "" {
			s.record.say("the task does not run before crash %d", crash+1)
			break
		}
		time.Sleep(1500 * time.Millisecond)
		crashed := s.judge.runnerOf(task)
		if crashed == nil {
			break
		}
		crashed.crash()
		time.Sleep(time.Second)
		if err := s.replace(crashed, fmt.Sprintf("%s-%d", strings.TrimSuffix(crashed.id, "-1"), crash+1)); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	state := s.await(id, 30*time.Second, "completed", "failed")
	s.judge.mu.Lock()
	failed, starts := s.judge.failed[id], len(s.judge.starts[task])
	s.judge.mu.Unlock()
	s.record.say("the job is %q after %d runs, of which %d ended failed", state, starts, failed)
	if state == "failed" && failed == 0 {
		return []string{fmt.Sprintf("job %s, accepted and not cancelled, is shown as failed after %d runs of its task, none of which ended failed", id, starts)}, nil
	}
	if state != "completed" {
		return nil, fmt.Errorf("the job is %q", state)
	}
	return nil, nil
}

// replace starts another life of a runner at the address of one that has
// crashed.
func (s *site) replace(crashed *runner, id string) error {
	listener, err := listenAgain(crashed.listener.Addr().String())
	if err != nil {
		return err
	}
	next := newRunner(id, crashed.zone, crashed.rack, crashed.capacity, s.store, s.judge, s.plans)
	next.link = crashed.link
	next.address = crashed.address
	next.begin(listener)
	s.runners = append(s.runners, next)
	return nil
}
