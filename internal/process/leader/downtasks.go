package leader

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// reportDownTasks counts the long-running tasks that are down by reason, and logs those
// that have been down for longest, and once each when their waits have ended.
func (t *term) reportDownTasks(report *schedule.WaitReport, now time.Time) {
	for reason, count := range report.Down {
		if count > 0 {
			t.leader.config.Counts.Add("down_task_seconds_"+schedule.Reason(reason).String(), int64(count))
		}
	}
	for _, ended := range t.followedTasks.update(report.FollowedDown) {
		state, _ := t.leader.board.State(ended.Job)
		klog.InfoS("wait of task ended", "shard", t.leader.config.Shard, "token", t.token, "job", ended.Job, "task", ended.Task,
			"service", ended.Service, "organisation", ended.Organisation, "reason", ended.Reason.String(), "waited", now.Sub(ended.Since),
			"state", state.String(), "worker", t.leader.board.ClaimedOn(ended.Task))
	}
	if t.followedTasks == nil {
		t.followedTasks = followedWaits{}
	}
	for i := range report.LongestDown {
		down := &report.LongestDown[i]
		t.followedTasks.follow(down.Task.String(), down.Waiting)
		t.logDownTask(down, now)
	}
}

func (t *term) logDownTask(down *schedule.DownTask, now time.Time) {
	klog.InfoS("task waits", "shard", t.leader.config.Shard, "token", t.token, "job", down.Job, "task", down.Task, "queue", down.Queue,
		"service", down.Service, "organisation", down.Organisation, "reason", down.Reason.String(), "awaits", down.Reason.Awaits(),
		"ends_in", endsIn(&down.Waiting, now), "waited", now.Sub(down.Since), "worker", down.Worker, "workers", down.Excluded.Words(),
		"unsettled", down.Unsettled, "cores", down.Size.MilliCores, "memory", down.Size.MemoryBytes,
		"accelerators", down.Size.Accelerators, "free", down.Free, "largest_free", down.LargestFree, "room", down.Room,
		"service_free", down.ServiceFree, "service_largest_free", down.ServiceLargestFree, "service_room", down.ServiceRoom,
		"other_shards", down.Shards)
}
