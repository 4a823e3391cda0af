package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved"] = moved }

// moved: the operator sends a queue to another service and back. The second step of a job
// has begun on a runner of the other service by then. The leader is killed, and its
// successor's first look at that runner gets no answer.
func moved(w *world, trouble bool) error {
	const other = "besa22b"
	zones := []string{"recife", "jaboatao", "olinda"}
	for n := range 12 {
		r := w.newRunner(fmt.Sprintf("i-7f3a91%02x", n), zones[n%3], fmt.Sprintf("r%d-1", n%3+1), "a", size{
			CPU:   16000,
			MemMB: 32768,
		}, true)
		if n >= 6 {
			r.service = other
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	w.configureService(7, firstService, true, 2)
	if err := w.startHosts(); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	if err := w.submit(&jobRecord{
		id: id,
		steps: []map[string]any{
			{"count": 1, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 4000},
			{"count": 2, "cpu": int64(2000), "mem_mb": int64(1024), "estimate_ms": 20000, "after": []int{0}},
		},
		lasts:  []time.Duration{4 * time.Second, 20 * time.Second},
		ending: "done",
	}, nil); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.configureService(9, other, true, 2)
	time.Sleep(5 * time.Second)
	w.configureService(12, firstService, true, 2)
	time.Sleep(4 * time.Second)
	holder := w.whereRuns(id + ".0.1.0")
	if holder == nil || holder.service != other {
		return errors.New("the second step has not begun on the other service")
	}
	// TROUBLE=kill kills the leader only.
	if trouble {
		leader := w.leader()
		if leader == nil {
			return errors.New("no host leads")
		}
		before := w.leadRevision()
		_ = leader.process.Process.Signal(syscall.SIGKILL)
		<-leader.done
		w.note("host %s, which led, is killed", leader.name)
		if os.Getenv("TROUBLE") != "kill" {
			holder.leaveFirstLook(before)
		}
		time.Sleep(time.Second)
		if err := leader.start(); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	return nil
}

// leaveFirstLook leaves the first look with a token above one without an answer. It is
// carried out 2.5 s later.
func (r *runner) leaveFirstLook(above int64) {
	var once sync.Once
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = func(path string, call order) (time.Duration, bool) {
		unanswered := false
		if path == "/hold" && call.FencingToken > above {
			once.Do(func() { unanswered = true })
		}
		return 2500 * time.Millisecond, unanswered
	}
}
