package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
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
	unknown := 0
	for _, id := range ids {
		if !w.answersState(id) {
			unknown++
		}
	}
	idle := w.idleThroughout(ids, 3*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(idle) > 0 {
		w.breaks("LOST: for 3 s, %d of %d ordinary jobs have nothing running, with most of the room free, %s after the end of the traffic", len(idle), len(ids), finish)
	}
	if unknown > 0 {
		w.breaks("LOST: no host answers for %d of %d ordinary jobs, %s after the end of the traffic", unknown, len(ids), finish)
	}
	return nil
}

// answersState reports whether a host answers for a job.
func (w *world) answersState(id string) bool {
	for _, h := range w.hosts {
		if status, _ := w.call(h, http.MethodGet, "/lohu930/"+id, nil); status == http.StatusOK {
			return true
		}
	}
	return false
}

// idleThroughout returns the jobs that are not done and have nothing running for a time, in
// which under half of the runners' cores and memory is in use and two runners or more have
// room for a task of theirs.
func (w *world) idleThroughout(ids []string, lasting time.Duration) []string {
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !w.hasRoom() {
			w.note("the runners have no room")
			return nil
		}
		w.mu.Lock()
		for id := range idle {
			if w.isDoneOrRuns(id) {
				delete(idle, id)
			}
		}
		w.mu.Unlock()
	}
	return slices.Sorted(maps.Keys(idle))
}

// isDoneOrRuns reports whether a task of a job runs or has ended done. The caller holds the
// lock.
func (w *world) isDoneOrRuns(id string) bool {
	for task, all := range w.runs {
		for _, each := range all {
			if jobOf(task) == id && (each.ended.IsZero() || each.how == "done") {
				return true
			}
		}
	}
	return false
}

// hasRoom reports whether under half of all cores and memory is in use, and two runners
// have room for a task of an ordinary job.
func (w *world) hasRoom() bool {
	used, all, roomy := size{}, size{}, 0
	for _, r := range w.runners {
		r.mu.Lock()
		if r.life != nil {
			own := r.used(r.life)
			used.CPU, used.MemMB = used.CPU+own.CPU, used.MemMB+own.MemMB
			all.CPU, all.MemMB = all.CPU+r.capacity.CPU, all.MemMB+r.capacity.MemMB
			if r.capacity.CPU-own.CPU >= 2000 && r.capacity.MemMB-own.MemMB >= 1024 {
				roomy++
			}
		}
		r.mu.Unlock()
	}
	return 2*used.CPU < all.CPU && 2*used.MemMB < all.MemMB && roomy >= 2
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
