package leader

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// maxLoggedWorkers limits the lines about unsettled workers in one summary.
const maxLoggedWorkers = 4

// summarise logs the state of the schedule once per summaryInterval.
func (t *term) summarise(now time.Time) {
	if now.Sub(t.summarisedAt) < summaryInterval {
		return
	}
	summary := t.leader.board.Summary(now)
	if !t.summarisedAt.IsZero() {
		t.countWaits(summary.Waits, now.Sub(t.summarisedAt))
	}
	t.summarisedAt = now
	unsettled := t.leader.board.Unsettled(now)
	klog.InfoS("schedule", "shard", t.leader.config.Shard, "token", t.token, "open", summary.Open, "waiting", summary.Waiting,
		"delayed", summary.Delayed, "unsettled", len(unsettled), "running", summary.Running,
		"fillers", summary.Fillers, "serving", summary.Serving, "workers", summary.Workers, "capacity", summary.Capacity,
		"booked", summary.Allocated, "unused", summary.Unused, "paced", summary.Throttled, "memory_share", summary.MemoryShare,
		"late", summary.Late, "hopeless", summary.Hopeless, "places", summary.Places, "waits", summary.Waits.String(),
		"events", len(t.leader.events), "orders", len(t.waiting))
	if summary.Delayed == 0 {
		return
	}
	for _, worker := range unsettled[:min(len(unsettled), maxLoggedWorkers)] {
		klog.InfoS("takeover waits for worker", "shard", t.leader.config.Shard, "token", t.token, "worker", worker.ID, "listed", worker.Listed,
			"draining", worker.Draining, "closed", worker.Closed, "reachable", worker.Reachable, "remaining", worker.Remaining)
	}
}

// countWaits adds the time that tasks have waited since the last summary to the
// counters: the rate of a counter is the number of tasks waiting.
func (t *term) countWaits(waits schedule.Waits, elapsed time.Duration) {
	for _, wait := range waits {
		name := "waited_ms_" + wait.Reason.String() + "_" + wait.Size.String()
		t.leader.config.Counts.Add(name, int64(wait.Tasks)*elapsed.Milliseconds())
	}
}
