package main

import (
	"fmt"
	"time"
)

const gangSize = 4

func init() {
	cases["gang-done"] = namedCase{
		play: gangDone,
		plans: func(string, string) plan {
			return plan{
				size: size{
					CPU:   3500,
					MemMB: 6400,
				},
				duration: 3 * time.Second,
				ending:   "done",
				gang:     gangSize,
			}
		},
	}
}

// gangDone lets a gang end while the store turns the leading host away. Then one
// of the fourteen runners crashes.
func gangDone(s *site, trouble bool) ([]string, error) {
	if err := smallSite(s, 14); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for round := range 3 {
		if err := s.gangRound(round+1, trouble); err != nil {
			return nil, err
		}
		if breaks := s.judge.twice(); len(breaks) > 0 {
			return breaks, nil
		}
	}
	return nil, nil
}

func (s *site) gangRound(round int, trouble bool) error {
	id := newID()
	if err := s.submit(id, "cutting plan "+id, []map[string]any{
		{"count": gangSize, "cpu": 3500, "mem_mb": 6400, "estimate_ms": 3000, "gang": true, "max_per_server": 1},
	}); err != nil {
		return err
	}
	names := []string{}
	for index := range gangSize {
		names = append(names, fmt.Sprintf("%s.0.0.%d", id, index))
	}
	if missing := s.awaitRunning(names, 10*time.Second); missing != "" {
		return fmt.Errorf("task %s does not start", missing)
	}
	s.record.say("round %d: all tasks of the gang run", round)
	time.Sleep(2500 * time.Millisecond)
	leading := s.leading()
	if trouble {
		s.record.say("the store turns host %s away and serves the others", leading.name)
		s.store.setRejects(leading.name)
	}
	rejected := time.Now()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if noted, other := s.judge.notedOf(names); len(noted)+len(other) == gangSize {
			break
		}
	}
	s.record.say("the gang has ended done")
	if trouble {
		time.Sleep(700 * time.Millisecond)
		noted, other := s.judge.notedOf(names)
		s.record.say("%d of the ends are taken note of, %d are not", len(noted), len(other))
		if len(other) > 0 {
			other[0].crash()
		}
		time.Sleep(time.Until(rejected.Add(5 * time.Second)))
		s.store.setRejects("")
		s.record.say("the store serves host %s again", leading.name)
	}
	state := s.await(id, 30*time.Second, "completed", "failed")
	s.record.say("the job is %q", state)
	time.Sleep(2 * time.Second)
	if state != "completed" {
		return fmt.Errorf("the job is %q", state)
	}
	return nil
}
