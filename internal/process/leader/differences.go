package leader

import (
	"time"

	"k8s.io/klog/v2"
)

// reportDifferences logs the worker whose claims have differed for longest from what
// it reports, and counts such workers: one line a second at most. Starts and stops
// that are under way differ for two calls and the stop of a run.
func (t *term) reportDifferences(now time.Time) {
	config := &t.leader.config
	found := t.leader.board.Differences(2 * (callTimeout + config.Board.StopGrace))
	config.Counts.Add("claims_differ_worker_seconds", int64(len(found)))
	if len(found) == 0 {
		return
	}
	first := found[0]
	klog.InfoS("claims differ from report", "shard", config.Shard, "token", t.token, "workers", len(found), "worker", first.Worker,
		"claimed", first.Claimed, "reported", first.Reported, "for", now.Sub(first.Since), "task", first.Key, "run", first.Run, "listed", first.Listed)
}
