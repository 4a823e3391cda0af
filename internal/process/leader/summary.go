package leader

import (
	"time"

	"k8s.io/klog/v2"
)

// maxLoggedWorkers limits the lines about unsettled workers in one summary.
const maxLoggedWorkers = 4

// summarise logs the state of the schedule once per summaryInterval.
func (t *term) summarise(now time.Time) {
	if now.Sub(t.summarisedAt) < summaryInterval {
		return
	}
	t.summarisedAt = now
	summary := t.leader.board.Summary(now)
	unsettled := t.leader.board.Unsettled(now)
	t.countUrgent(summary.Urgent)
	klog.InfoS("schedule", "shard", t.leader.config.Shard, "token", t.token, "open", summary.Open, "waiting", summary.Waiting,
		"delayed", summary.Delayed, "unsettled", len(unsettled), "running", summary.Running,
		"fillers", summary.Fillers, "serving", summary.Serving, "workers", summary.Workers, "capacity", summary.Capacity,
		"booked", summary.Allocated, "unused", summary.Unused, "paced", summary.Throttled, "memory_share", summary.MemoryShare,
		"preempted_down", summary.Down, "events", len(t.leader.events), "orders", len(t.waiting), "late", t.leader.lag.judge.delay,
		"long_running_skew", t.moves.skew(now))
	t.summariseOrganisations(now)
	t.reportWaits(summary.Placement)
	t.reportReasons(now)
	t.reportDifferences(now)
	if summary.Delayed == 0 {
		return
	}
	for _, worker := range unsettled[:min(len(unsettled), maxLoggedWorkers)] {
		klog.InfoS("takeover waits for worker", "shard", t.leader.config.Shard, "token", t.token, "worker", worker.ID, "listed", worker.Listed,
			"draining", worker.Draining, "reachable", worker.Reachable, "remaining", worker.Remaining)
	}
}
