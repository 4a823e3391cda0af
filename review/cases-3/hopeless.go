package main

import "time"

func init() { cases["hopeless"] = hopeless }

// hopeless: a job comes that can never be done, as its tasks ask for far more memory
// than any runner has. The service's runners start whatever they are told to.
func hopeless(w *world, trouble bool) error {
	if _, err := w.addRunners(12, false); err != nil {
		return err
	}
	if err := w.deploy(false, 2); err != nil {
		return err
	}
	stop := w.usualLoad()
	defer stop()
	if trouble {
		if err := w.submit(&jobRecord{
			id:     "5c0e7a21d94b36f8",
			steps:  []map[string]any{{"count": 4, "cpu": int64(2000), "mem_mb": int64(1) << 53, "estimate_ms": 2000}},
			lasts:  []time.Duration{2 * time.Second},
			ending: "done",
		}, nil); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	return nil
}
