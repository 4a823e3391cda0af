package main

import "time"

func init() { cases["flap"] = flap }

// flap: a runner goes down and up by turns. The task of a job that lasts may run there
// only. None of its runs ends failed.
func flap(w *world, trouble bool) error {
	press, err := w.addRunners(12, true)
	if err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	stop := w.usualLoad()
	defer stop()
	time.Sleep(time.Second)
	const id = "5c0e7a21d94b36f8"
	if err := w.submit(&jobRecord{
		id:    id,
		steps: []map[string]any{{"count": 1, "cpu": int64(2000), "mem_mb": int64(1024), "requires": "press", "persistent": true}},
		lasts: []time.Duration{0}, // until it is stopped
	}, nil); err != nil {
		return err
	}
	if trouble {
		const (
			gap     = 860 * time.Millisecond
			lasting = 5400 * time.Millisecond
		)
		time.Sleep(300 * time.Millisecond)
		for began := time.Now(); time.Since(began) < lasting; {
			press.crash()
			time.Sleep(gap)
			if err := press.start(); err != nil {
				return err
			}
			time.Sleep(gap)
		}
	}
	if !w.awaitState(id, "failed", 10*time.Second) {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, each := range w.runs[id+".0.0.0"] {
		if each.how == "failed" {
			w.noteLocked("run %d has ended failed: the state has a cause", each.number)
			return nil
		}
	}
	w.breaks("LOST: job %s is shown as failed, and none of its %d runs has ended failed", id, len(w.runs[id+".0.0.0"]))
	return nil
}
