package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// maxRestarts limits the restarts that are kept until they are recorded.
const maxRestarts = 4096

// noteBegun notes that a worker has begun a run. It is a restart if the task is
// long-running and an earlier run of it has ended under this leader.
func (b *Board) noteBegun(key work.TaskKey, held *claim, now time.Time) {
	if held.confirmed {
		return
	}
	held.confirmed = true
	if t := b.taskOf(key, held); t != nil && !t.downSince.IsZero() && len(b.restarts) < maxRestarts {
		b.restarts = append(b.restarts, now.Sub(t.downSince))
	}
}

// noteOver notes that a run is over although its claim stays.
func (b *Board) noteOver(key work.TaskKey, held *claim, now time.Time) {
	if t := b.taskOf(key, held); t != nil && held.confirmed {
		t.downSince = now
	}
}

// taskOf returns the long-running task that a claim is for, nil if no task wants it.
func (b *Board) taskOf(key work.TaskKey, held *claim) *task {
	j := b.open[key.Job]
	if j == nil || !held.longRunning {
		return nil
	}
	if _, _, t := j.find(key); t != nil && t.phase == claimed && t.run == held.run {
		return t
	}
	return nil
}

// Restarts returns the times from an end of a long-running task to its next start,
// of the starts since the last call.
func (b *Board) Restarts() []time.Duration {
	out := b.restarts
	b.restarts = nil
	return out
}
