package main

import (
	"fmt"
	"sync"
	"time"
)

// doneRun is a run that has ended done.
type doneRun struct {
	runner *runner
	run    *run
	number int64
	at     time.Time
	// noted is when last_seen reached the end. lapsedBefore is set if the
	// runner's lease lapsed between the two.
	noted        time.Time
	lapsedBefore bool
}

// startedRun is a start.
type startedRun struct {
	runner string
	run    *run
	at     time.Time
}

// judge notes what the runners saw and checks it by the rules.
type judge struct {
	record *record

	mu sync.Mutex
	// running holds the runners that run a task, by task.
	running map[string]map[*runner]*run
	starts  map[string][]startedRun
	done    map[string][]*doneRun
	failed  map[string]int
	// specs holds what clients sent, by job.
	specs map[string]string
	// overlaps lists tasks with two runs at the same time.
	overlaps, unasked []string
}

func newJudge(r *record) *judge {
	return &judge{
		record:  r,
		running: map[string]map[*runner]*run{},
		starts:  map[string][]startedRun{},
		done:    map[string][]*doneRun{},
		failed:  map[string]int{},
		specs:   map[string]string{},
	}
}

func (j *judge) started(r *runner, each *run, spec string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.add("runner %s starts %s run %d", r.id, each.task, each.number)
	if sent, ok := j.specs[jobOf(each.task)]; !ok || sent != spec {
		j.unasked = append(j.unasked, fmt.Sprintf("%s run %d on %s: not what a client sent", each.task, each.number, r.id))
	}
	for other, held := range j.running[each.task] {
		j.overlaps = append(j.overlaps, fmt.Sprintf("%s run %d starts on %s while run %d is on %s", each.task, each.number, r.id, held.number, other.id))
	}
	if j.running[each.task] == nil {
		j.running[each.task] = map[*runner]*run{}
	}
	j.running[each.task][r] = each
	j.starts[each.task] = append(j.starts[each.task], startedRun{
		runner: r.id,
		run:    each,
		at:     time.Now(),
	})
}

func (j *judge) ended(r *runner, each *run, ending string, number int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.add("runner %s: end %d, %s run %d %s", r.id, number, each.task, each.number, ending)
	delete(j.running[each.task], r)
	switch ending {
	case "done":
		j.done[each.task] = append(j.done[each.task], &doneRun{
			runner: r,
			run:    each,
			number: number,
			at:     time.Now(),
		})
	case "failed":
		j.failed[jobOf(each.task)]++
	}
}

// gone notes that a run ended with its runner.
func (j *judge) gone(r *runner, each *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.add("runner %s: %s run %d is gone with its runner", r.id, each.task, each.number)
	delete(j.running[each.task], r)
}

// noted notes that last_seen has reached an end.
func (j *judge) noted(r *runner, end endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if end.ending != "done" {
		return
	}
	for _, each := range j.done[end.run.task] {
		if each.runner == r && each.number == end.number && each.noted.IsZero() {
			each.noted = time.Now()
		}
	}
}

// lapsed notes that the lease of a runner has run out: ends that are not noted
// by then need not be.
func (j *judge) lapsed(r *runner) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.done {
		for _, each := range list {
			if each.runner == r && each.noted.IsZero() {
				each.lapsedBefore = true
			}
		}
	}
}

// notedOf returns the runners whose end done of one of the tasks was taken note
// of, and those whose was not.
func (j *judge) notedOf(tasks []string) (noted, other []*runner) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, task := range tasks {
		for _, end := range j.done[task] {
			if end.noted.IsZero() {
				other = append(other, end.runner)
			} else {
				noted = append(noted, end.runner)
			}
		}
	}
	return noted, other
}

// twice returns the breaks of TWICE: two runs of a task at the same time, and
// starts after an end done that was taken note of before or later.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := append([]string{}, j.overlaps...)
	for task, list := range j.done {
		for _, end := range list {
			if end.noted.IsZero() || end.lapsedBefore {
				continue
			}
			for _, start := range j.starts[task] {
				if start.at.After(end.at) {
					out = append(out, fmt.Sprintf("%s run %d started on %s %.3f s after run %d had ended done on %s (taken note of %.3f s after that end)",
						task, start.run.number, start.runner, start.at.Sub(end.at).Seconds(), end.run.number, end.runner.id, end.noted.Sub(end.at).Seconds()))
				}
			}
		}
	}
	return out
}

// counts returns the numbers of starts and of ends done.
func (j *judge) counts() (starts, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.starts {
		starts += len(list)
	}
	for _, list := range j.done {
		done += len(list)
	}
	return starts, done
}

// runnerOf returns the runner that runs a task now, nil if none does.
func (j *judge) runnerOf(task string) *runner {
	j.mu.Lock()
	defer j.mu.Unlock()
	for r := range j.running[task] {
		return r
	}
	return nil
}
