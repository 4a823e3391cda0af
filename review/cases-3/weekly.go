package main

import (
	"strings"
	"time"
)

func init() { cases["weekly"] = weekly }

// weekly: a job comes that can never be done, as it is to run every week, so often that
// the last occurrences are due in hundreds of years. The first one is due in an hour.
func weekly(w *world, trouble bool) error {
	if _, err := w.addRunners(12, true); err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	const (
		id       = "5c0e7a21d94b36f8"
		interval = 7 * 24 * time.Hour
	)
	count := 52
	if trouble {
		count = 20000
	}
	if err := w.submit(&jobRecord{
		id:     id,
		steps:  []map[string]any{{"count": 1, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 300}},
		lasts:  []time.Duration{300 * time.Millisecond},
		ending: "done",
	}, map[string]any{
		"repeat_count": count,
		"first_run_ms": time.Now().Add(time.Hour).UnixMilli(),
		"interval_ms":  interval.Milliseconds(),
	}); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	early := 0
	first := ""
	for task := range w.runs {
		if strings.HasPrefix(task, id) {
			early++
			first = task
		}
	}
	if early > 0 {
		w.breaks("ORDER: %d tasks have started (one of them %s), and the first one is due in an hour", early, first)
	}
	return nil
}
