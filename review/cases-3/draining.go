package main

import (
	"errors"
	"os"
	"time"
)

func init() { cases["draining"] = draining }

// draining: a runner drains and is cut off from the store, so that its entry is removed
// while it works on. One look at it gets no answer: its connection is closed.
func draining(w *world, trouble bool) error {
	if _, err := w.addRunners(16, true); err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	if err := w.submit(&jobRecord{
		id:     id,
		steps:  []map[string]any{{"count": 3, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 9000}},
		lasts:  []time.Duration{9 * time.Second},
		ending: "done",
	}, nil); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	drained := w.whereRuns(id + ".0.0.0")
	if drained == nil {
		return errors.New("the job has not started")
	}
	drained.drain(10 * time.Second)
	// TROUBLE=cut plays only the cut, TROUBLE=look only the look without an answer.
	only := os.Getenv("TROUBLE")
	if trouble && only != "look" {
		drained.cutFromStore(5 * time.Second)
	}
	time.Sleep(3*heartbeat + 700*time.Millisecond)
	if trouble && only != "cut" {
		drained.closeOne()
	}
	if !w.awaitState(id, "completed", 20*time.Second) {
		w.note("job %s has not ended", id)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// whereRuns returns the runner that runs a task.
func (w *world) whereRuns(task string) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, each := range w.runs[task] {
		if each.ended.IsZero() {
			return w.runners[each.runner]
		}
	}
	return nil
}

// drain makes the runner report that it drains and has a time left.
func (r *runner) drain(left time.Duration) {
	r.mu.Lock()
	r.state, r.leaves = "draining", time.Now().Add(left)
	l := r.life
	r.mu.Unlock()
	r.world.note("runner %s drains, at least %s are left", r.id, left)
	r.beat(l)
}

// cutFromStore cuts the runner off from the store for a time. The store removes its entry
// after three heartbeat intervals of silence.
func (r *runner) cutFromStore(lasting time.Duration) {
	r.mu.Lock()
	r.cutUntil = time.Now().Add(lasting)
	r.mu.Unlock()
	r.world.note("runner %s is cut off from the store for %s", r.id, lasting)
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		cut := time.Now().Before(r.cutUntil)
		r.mu.Unlock()
		if cut {
			r.world.note("the entry of %s is removed", r.id)
			r.world.store.delete("servers/" + r.id)
		}
	})
}

// closeOne leaves the look that waits, or else the next one, without an answer: its
// connection is closed.
func (r *runner) closeOne() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closesLook = true
	if r.life != nil {
		close(r.life.changed)
		r.life.changed = make(chan struct{})
	}
}

// takeCloses reports whether a look is to be closed, once.
func (r *runner) takeCloses() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	closes := r.closesLook
	r.closesLook = false
	return closes
}
