package schedule

import (
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Handover is what a leader that resigns knows of the runs of all tasks, so that
// its successor waits for a worker only with the tasks that may be there.
type Handover struct {
	// Token is the token of the term that ends.
	Token int64 `cbor:"1,keyasint"`
	// Claims lists the tasks that may be running on a worker, or whose end there is
	// not in the store, by worker.
	Claims map[string][]work.TaskKey `cbor:"2,keyasint,omitempty"`
	// Uncertain are inherited jobs with tasks that still wait for workers, on
	// which an earlier leader may have started them. Ids rise.
	Uncertain []string `cbor:"3,keyasint,omitempty"`
	// Waits is, by worker, the time until every run there is over if no call
	// extends its leases.
	Waits map[string]time.Duration `cbor:"4,keyasint,omitempty"`
}

// Handover returns what a successor should know when the term ends at now.
func (b *Board) Handover(now time.Time) Handover {
	out := Handover{
		Token:  b.token,
		Claims: map[string][]work.TaskKey{},
		Waits:  make(map[string]time.Duration, len(b.workers)),
	}
	for id, w := range b.workers {
		out.Waits[id] = max(0, w.leaseEnd.Sub(now))
		keys := slices.Collect(maps.Keys(w.claims))
		if b.HasUnsavedEnds(id) {
			for _, end := range w.ends {
				keys = append(keys, end.key)
			}
		}
		if len(keys) > 0 {
			out.Claims[id] = keys
		}
	}
	for _, j := range b.inheritedJobs() {
		for _, t := range j.openTasks() {
			if !t.located {
				out.Uncertain = append(out.Uncertain, j.work.ID)
				break
			}
			for _, worker := range b.unsettledWorkers(t) {
				out.Claims[worker] = append(out.Claims[worker], t.key)
			}
		}
	}
	for id, keys := range out.Claims {
		slices.SortFunc(keys, compareKeys)
		out.Claims[id] = slices.Compact(keys)
	}
	slices.Sort(out.Uncertain)
	return out
}

// openTasks returns the tasks of this shard that are not done.
func (j *job) openTasks() []*task {
	var out []*task
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if t.phase != done && t.phase != elsewhere {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// ApplyHandover applies the handover of the leader before to the inherited jobs
// known so far.
func (b *Board) ApplyHandover(handover Handover) {
	for id, wait := range handover.Waits {
		if w := b.workers[id]; w != nil && w.reportedToken != b.token {
			w.leaseEnd = earlier(w.leaseEnd, b.earlierTermEnd.Add(wait))
		}
	}
	for _, j := range b.inheritedJobs() {
		if _, uncertain := slices.BinarySearch(handover.Uncertain, j.work.ID); uncertain {
			continue
		}
		j.hasLocated = true
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				for _, t := range step.tasks {
					t.located, t.lastWorkers = true, nil
				}
			}
		}
	}
	for id, keys := range handover.Claims {
		for _, key := range keys {
			if j := b.jobs[key.Job]; j != nil {
				if _, _, t := j.find(key); t != nil {
					t.lastWorkers = append(t.lastWorkers, id)
				}
			}
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
