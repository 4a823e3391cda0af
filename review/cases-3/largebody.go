package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["largebody"] = largeBody }

// largeBody: clients that the users don't control send three large bodies of legal size at
// once: jobs of two steps that are repeated, whose second step names the first one again
// and again. Ordinary callers hand in small jobs afterwards.
func largeBody(w *world, trouble bool) error {
	if _, err := w.addRunners(12, true); err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	if trouble {
		if accepted := w.submitLarge(); accepted == 0 {
			return errors.New("no large body was accepted")
		}
	}
	const ordinary = 10
	ids := []string{}
	for n := range ordinary {
		j := &jobRecord{
			id:     fmt.Sprintf("77aa7a21d94b36%02x", n),
			steps:  []map[string]any{{"count": 4, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 300}},
			lasts:  []time.Duration{300 * time.Millisecond},
			ending: "done",
		}
		if err := w.submit(j, nil); err != nil {
			w.note("%v", err)
			continue
		}
		ids = append(ids, j.id)
		time.Sleep(500 * time.Millisecond)
	}
	w.note("end of the traffic, %d ordinary jobs were accepted", len(ids))
	time.Sleep(finish)
	idle, unknown := []string{}, []string{}
	for _, id := range ids {
		if state := w.state(id); state == "" {
			unknown = append(unknown, id)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if w.runs[id+".0.0.0"] == nil {
			idle = append(idle, id)
		}
	}
	if len(idle) > 0 {
		w.breaks("LOST: %d of %d ordinary jobs, accepted %s ago or longer, have never had anything running; all runners are free", len(idle), len(ids), finish)
	}
	if len(unknown) > 0 {
		w.breaks("LOST: the state of %d of %d ordinary jobs is not answered %s after the end of the traffic", len(unknown), len(ids), finish)
	}
	return nil
}

// finish is finish_s.
const finish = 14 * time.Second

// submitLarge sends the large bodies and returns how many jobs were accepted.
func (w *world) submitLarge() int {
	const (
		bodies  = 3
		repeats = 10000
		entries = 130900
	)
	steps := []map[string]any{
		{"count": 1, "cpu": int64(50), "mem_mb": int64(16), "estimate_ms": 50},
		{"count": 1, "cpu": int64(50), "mem_mb": int64(16), "estimate_ms": 50, "after": make([]int, entries)},
	}
	more := map[string]any{"repeat_count": repeats, "first_run_ms": time.Now().UnixMilli(), "interval_ms": 1000}
	var sending sync.WaitGroup
	var accepted atomic.Int64
	for n := range bodies {
		sending.Go(func() {
			j := &jobRecord{
				id:     fmt.Sprintf("5c0e7a21d94b36f%x", n),
				steps:  steps,
				lasts:  []time.Duration{50 * time.Millisecond, 50 * time.Millisecond},
				ending: "done",
			}
			text, _ := json.Marshal(map[string]any{"spec": "order " + j.id, "steps": steps, "repeat_count": repeats, "first_run_ms": more["first_run_ms"], "interval_ms": 1000})
			w.note("a body of %d bytes, max_body_bytes is 262144", len(text))
			if w.submit(j, more) == nil {
				accepted.Add(1)
			}
		})
	}
	sending.Wait()
	w.note("%d large jobs were accepted", accepted.Load())
	return int(accepted.Load())
}
