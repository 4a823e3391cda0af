package leader

import (
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// reportWaits adds the waits for preferred racks since the last summary to the
// counters, and logs them: one line with the totals and one for each of the few
// ended waits that the schedule keeps.
func (t *term) reportWaits(counts schedule.WaitCounts) {
	l := t.leader
	before := t.reportedWaits
	if counts == before {
		return
	}
	t.reportedWaits = counts
	l.config.Counts.Add("rack_waits_started", counts.Started-before.Started)
	l.config.Counts.Add("rack_waits_ended_near", counts.Near-before.Near)
	l.config.Counts.Add("rack_waits_given_up", counts.GivenUp-before.GivenUp)
	l.config.Counts.Add("rack_waits_expected_ms", (counts.Expected - before.Expected).Milliseconds())
	l.config.Counts.Add("rack_waits_actual_ms", (counts.Actual - before.Actual).Milliseconds())
	klog.InfoS("waits for preferred racks", "shard", l.config.Shard, "token", t.token, "waiting", counts.Waiting,
		"started", counts.Started, "ended_near", counts.Near, "given_up", counts.GivenUp,
		"expected", counts.Expected, "actual", counts.Actual)
	for _, ended := range l.board.EndedWaits() {
		klog.InfoS("wait for preferred rack ended", "shard", l.config.Shard, "job", ended.Job, "queue", ended.Queue, "rack", ended.Rack,
			"worker", ended.Worker, "near", ended.Near, "expected", ended.Expected, "actual", ended.Actual)
	}
}
