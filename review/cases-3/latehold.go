package main

import (
	"sync"
	"time"
)

func init() { cases["latehold"] = lateHold }

// lateHold: a runner leaves orders unanswered, crashes and starts again under its id,
// and then carries out one of them late: a look with the number of an end of its
// earlier life.
func lateHold(w *world, trouble bool) error {
	press, err := w.addRunners(8, true)
	if err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	step := func(count int) []map[string]any {
		return []map[string]any{{"count": count, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 300, "requires": "press"}}
	}
	lasts := []time.Duration{300 * time.Millisecond}
	if err := w.submit(&jobRecord{id: "5c0e7a21d94b36f8", steps: step(3), lasts: lasts, ending: "done"}, nil); err != nil {
		return err
	}
	w.awaitState("5c0e7a21d94b36f8", "completed", 5*time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		select {
		case <-press.leaveUnanswered():
		case <-time.After(10 * time.Second):
			w.note("no second look got no answer")
		}
		time.Sleep(300 * time.Millisecond)
		press.crash()
		time.Sleep(300 * time.Millisecond)
		if err := press.start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.submit(&jobRecord{id: "77aa7a21d94b36f9", steps: step(1), lasts: lasts, ending: "done"}, nil); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	w.awaitState("77aa7a21d94b36f9", "completed", 10*time.Second)
	return nil
}

// leaveUnanswered leaves every second look unanswered for 5.5 s, from the next one on.
// Each is carried out 2.5 s later. The channel is closed with the second of them.
func (r *runner) leaveUnanswered() <-chan struct{} {
	const (
		lasting = 5500 * time.Millisecond
		delay   = 2500 * time.Millisecond
	)
	var mu sync.Mutex
	var began time.Time
	count, second := 0, make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.note("runner %s leaves every second look unanswered from now on", r.id)
	r.late = func(path string, _ order) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if began.IsZero() {
			began = time.Now()
		}
		if path != "/hold" || time.Since(began) > lasting {
			return 0, false
		}
		count++
		if count == 3 {
			close(second)
		}
		return delay, count%2 == 1
	}
	return second
}
