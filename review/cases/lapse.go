package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	plans := func(string, string) plan {
		return plan{
			size: size{
				CPU:   6400,
				MemMB: 13000,
			},
			duration: time.Hour,
			ending:   "done",
		}
	}
	cases["lapse"] = namedCase{
		play:  func(s *site, trouble bool) ([]string, error) { return lastingTasks(s, trouble, 4, s.lapseAndCrash) },
		plans: plans,
	}
	cases["takeover"] = namedCase{
		play:  func(s *site, trouble bool) ([]string, error) { return lastingTasks(s, trouble, 2, s.killAndCrash) },
		plans: plans,
	}
}

// Spans of the rule on tasks that last: a task is looked at from sinceLastRun
// after its last run, and must run within idleLimit in calm that has lasted for
// calmBefore.
const (
	sinceLastRun = 6 * time.Second
	idleLimit    = 3 * time.Second
	calmBefore   = 4 * time.Second
)

// lapseAndCrash is an outage of the store in which the leases run out, while a
// runner crashes for good.
func (s *site) lapseAndCrash(crashing *runner) error {
	s.record.say("the store is down, its leases run out")
	s.store.setDown(true, true)
	time.Sleep(800 * time.Millisecond)
	crashing.crash()
	time.Sleep(3700 * time.Millisecond)
	s.store.setDown(false, false)
	s.record.say("the store is back")
	return nil
}

// killAndCrash kills the leading host after a runner has crashed for good. The
// host is back 3 s later.
func (s *site) killAndCrash(crashing *runner) error {
	leading := s.leading()
	crashing.crash()
	time.Sleep(300 * time.Millisecond)
	s.signal(leading, syscall.SIGKILL)
	<-leading.exited
	time.Sleep(3 * time.Second)
	if err := s.startHost(leading); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// lastingTasks plays a disturbance up to the given number of times beside tasks
// that last, each time with the runner that has the most of them, one of
// seventeen to fourteen. It ends with the first break.
func lastingTasks(s *site, trouble bool, rounds int, disturbance func(crashing *runner) error) ([]string, error) {
	const runners, tasks = 17, 34
	if err := smallSite(s, runners); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if err := s.submit(id, "stock reconciliation", []map[string]any{
		{"count": tasks, "cpu": 6400, "mem_mb": 13000, "estimate_ms": 320, "persistent": true},
	}); err != nil {
		return nil, err
	}
	names := []string{}
	for index := range tasks {
		names = append(names, fmt.Sprintf("%s.0.0.%d", id, index))
	}
	if missing := s.awaitRunning(names, 20*time.Second); missing != "" {
		return nil, fmt.Errorf("task %s does not start", missing)
	}
	s.record.say("all %d tasks run", tasks)
	breaks := &idleTasks{
		site:  s,
		names: names,
	}
	breaks.begin()
	time.Sleep(8 * time.Second) // their runs have lasted for longer than a lease
	for range rounds {
		if trouble {
			breaks.disturb(true)
			if err := disturbance(s.busiest()); err != nil {
				return nil, err
			}
			breaks.disturb(false)
		}
		time.Sleep(18 * time.Second)
		if breaks.any() {
			break
		}
	}
	return breaks.end(), nil
}

// busiest returns the runner with the most runs.
func (s *site) busiest() *runner {
	var best *runner
	most := 0
	for _, r := range s.runners {
		r.mu.Lock()
		if r.up && len(r.running) > most {
			best, most = r, len(r.running)
		}
		r.mu.Unlock()
	}
	return best
}

// room returns how many tasks of a size fit on the runners that are up.
func (s *site) room(need size) int {
	count := 0
	for _, r := range s.runners {
		r.mu.Lock()
		free := r.capacity
		for _, each := range r.running {
			free.CPU -= each.plan.size.CPU
			free.MemMB -= each.plan.size.MemMB
		}
		if r.up {
			count += max(0, min(free.CPU/need.CPU, free.MemMB/need.MemMB))
		}
		r.mu.Unlock()
	}
	return count
}

// awaitRunning waits until all tasks run, and returns one that does not.
func (s *site) awaitRunning(names []string, limit time.Duration) string {
	end := time.Now().Add(limit)
	for {
		missing := ""
		for _, name := range names {
			if s.judge.runnerOf(name) == nil {
				missing = name
			}
		}
		if missing == "" || time.Now().After(end) {
			return missing
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// idleTasks notes the tasks that last and do not run for longer than the rule
// allows.
type idleTasks struct {
	site  *site
	names []string

	mu        sync.Mutex
	disturbed bool
	calmSince time.Time
	broken    map[string]string
	stop      chan struct{}
}

func (t *idleTasks) begin() {
	t.calmSince, t.broken, t.stop = time.Now(), map[string]string{}, make(chan struct{})
	go t.loop()
}

func (t *idleTasks) disturb(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbed, t.calmSince = on, time.Now()
}

func (t *idleTasks) loop() {
	lastRan, idleSince := map[string]time.Time{}, map[string]time.Time{}
	for _, name := range t.names {
		lastRan[name] = time.Now()
	}
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now := time.Now()
		// The rule holds only with capacity for a task twice over.
		const twiceOver = 2
		capacity := t.site.room(t.site.plans("", "").size) >= twiceOver
		t.mu.Lock()
		calm := !t.disturbed && now.Sub(t.calmSince) >= calmBefore
		for _, name := range t.names {
			if t.site.judge.runnerOf(name) != nil {
				lastRan[name] = now
			}
			if !calm || !capacity || now.Sub(lastRan[name]) < sinceLastRun {
				delete(idleSince, name)
				continue
			}
			if idleSince[name].IsZero() {
				idleSince[name] = now
			}
			if now.Sub(idleSince[name]) >= idleLimit && t.broken[name] == "" {
				t.broken[name] = fmt.Sprintf("%s lasts and has not run for %.1f s, the last %.1f s of them in calm and with capacity for it",
					name, now.Sub(lastRan[name]).Seconds(), now.Sub(t.calmSince).Seconds())
				t.site.record.say("%s", t.broken[name])
			}
		}
		t.mu.Unlock()
	}
}

func (t *idleTasks) any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.broken) > 0
}

func (t *idleTasks) end() []string {
	close(t.stop)
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []string{}
	for _, line := range t.broken {
		out = append(out, line)
	}
	return out
}
