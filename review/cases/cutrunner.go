package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	cases["cut-runner"] = namedCase{
		play: cutRunner,
		plans: func(string, string) plan {
			return plan{
				size: size{
					CPU:   3500,
					MemMB: 6400,
				},
				duration: 1500 * time.Millisecond,
				ending:   "done",
			}
		},
	}
}

// finish is finish_s: how long after the end of the traffic jobs are asked for.
const finish = 14 * time.Second

// cutRunner cuts one of seven runners off for five seconds while a few jobs
// arrive.
func cutRunner(s *site, trouble bool) ([]string, error) {
	const runners = 7
	if err := smallSite(s, runners); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	step := []map[string]any{{"count": 1, "cpu": 3500, "mem_mb": 6400, "estimate_ms": 1500}}
	ids := []string{}
	for round := range 2 {
		// An earlier job shows which runner a lone task is started on.
		earlier := newID()
		if err := s.submit(earlier, "cutting plan "+earlier, step); err != nil {
			return nil, err
		}
		var chosen *runner
		for end := time.Now().Add(5 * time.Second); chosen == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			chosen = s.judge.runnerOf(earlier + ".0.0.0")
		}
		if state := s.await(earlier, 10*time.Second, "completed"); chosen == nil || state != "completed" {
			return nil, fmt.Errorf("the earlier job is %q", state)
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		if trouble {
			s.record.say("runner %s is cut off and runs on", chosen.id)
			go chosen.link.begin()
		}
		time.Sleep(150 * time.Millisecond)
		id := newID()
		if err := s.submit(id, "cutting plan "+id, step); err != nil {
			return nil, err
		}
		s.record.say("job %s of round %d is accepted", id, round+1)
		ids = append(ids, earlier, id)
		time.Sleep(time.Until(began.Add(5 * time.Second)))
		if trouble {
			chosen.link.end()
			s.record.say("runner %s is reached again", chosen.id)
		}
		time.Sleep(6 * time.Second)
	}
	s.record.say("the traffic has ended")
	time.Sleep(finish)
	// A look at each job, and whether it has something running in 3 s.
	breaks := []string{}
	ran := map[string]bool{}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		// The rule holds only with capacity for a task twice over.
		if s.room(s.plans("", "").size) < 2 {
			return nil, errors.New("there is no capacity for a task twice over")
		}
		for _, id := range ids {
			ran[id] = ran[id] || s.judge.runnerOf(id+".0.0.0") != nil
		}
	}
	for _, id := range ids {
		state := s.stateOf(id)
		s.record.say("job %s is %q", id, state)
		if state != "completed" && !ran[id] {
			breaks = append(breaks, fmt.Sprintf("job %s, accepted and not cancelled, is %q %v after the end of the traffic and has nothing running for 3 s; all %d runners are free", id, state, finish, runners))
		}
	}
	return breaks, nil
}
