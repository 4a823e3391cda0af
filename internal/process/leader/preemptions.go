package leader

import (
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// logPreemptions writes a line for each long-running run that is stopped for a
// quick task. The rate of preemptions is limited, and with it that of the lines.
func (t *term) logPreemptions(preemptions []schedule.Preemption) {
	for _, preemption := range preemptions {
		t.leader.config.Counts.Add("preempted_long_running", 1)
		klog.InfoS("long-running task preempted", "job", preemption.Key.Job, "task", preemption.Key, "run", preemption.Run,
			"worker", preemption.Worker, "for", preemption.For, "gain", preemption.Gain, "loss", preemption.Loss)
	}
}

// countUrgent publishes how often a quick task got no capacity, by reason.
func (t *term) countUrgent(counts schedule.UrgentCounts) {
	before := t.urgentCounts
	for name, count := range map[string]int64{
		"not_preempted_worthless": counts.Worthless - before.Worthless,
		"not_preempted_limited":   counts.Limited - before.Limited,
		"not_preempted_no_victim": counts.NoVictim - before.NoVictim,
	} {
		if count > 0 {
			t.leader.config.Counts.Add(name, count)
		}
	}
	t.urgentCounts = counts
}

// logPackingChanges writes a line when placements of long-running tasks begin or
// cease to leave pieces for quick tasks, at most ten a second and service.
func (t *term) logPackingChanges(changes []schedule.PackingChange) {
	for _, change := range changes {
		t.leader.config.Counts.Add("packing_changed", 1)
		klog.InfoS("packing of long-running tasks changed", "service", change.Service, "piece", change.MilliCores,
			"needed", change.Needed, "available", change.Available)
	}
}
