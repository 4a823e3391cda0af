package main

import (
	"fmt"
	"net"
	"time"
)

func init() {
	cases["crashes"] = namedCase{
		play: threeCrashes,
		plans: func(string, string) plan {
			return plan{
				size: size{
					CPU:   6400,
					MemMB: 13000,
				},
				duration: time.Hour,
				ending:   "done",
			}
		},
	}
}

// threeCrashes crashes one of eight runners three times, each time the one that
// runs the same task of a job that lasts.
func threeCrashes(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 8); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if err := s.submit(id, "tray watch", []map[string]any{
		{"count": 3, "cpu": 6400, "mem_mb": 13000, "estimate_ms": 320, "persistent": true, "max_per_server": 1},
	}); err != nil {
		return nil, err
	}
	names := []string{id + ".0.0.0", id + ".0.0.1", id + ".0.0.2"}
	for crash := range 3 {
		if missing := s.awaitRunning(names, 20*time.Second); missing != "" {
			return nil, fmt.Errorf("task %s does not run", missing)
		}
		if !trouble {
			continue
		}
		time.Sleep(1500 * time.Millisecond)
		crashed := s.judge.runnerOf(names[0])
		if crashed == nil {
			return nil, fmt.Errorf("task %s does not run", names[0])
		}
		crashed.crash()
		time.Sleep(time.Second)
		if err := s.replace(crashed, fmt.Sprintf("i-%08x", 0x7f3b0000+crash)); err != nil {
			return nil, err
		}
	}
	state := s.await(id, 15*time.Second, "failed")
	s.judge.mu.Lock()
	failed := s.judge.failed[id]
	s.judge.mu.Unlock()
	s.record.say("the job is %q, %d of its runs ended failed", state, failed)
	switch {
	case state == "failed" && failed == 0:
		return []string{fmt.Sprintf("job %s, accepted and not cancelled, lasts and is shown as failed, though none of its runs ended failed", id)}, nil
	case state != "running":
		return nil, fmt.Errorf("the job is %q", state)
	}
	return nil, nil
}

// replace starts another life of a runner at the address of one that has
// crashed.
func (s *site) replace(crashed *runner, id string) error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", crashed.listener.Addr().String()); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	next := newRunner(id, crashed.zone, crashed.rack, crashed.capacity, s.store, s.judge, s.plans)
	next.link, next.address = crashed.link, crashed.address
	next.begin(listener)
	s.runners = append(s.runners, next)
	return nil
}
