package leader

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	// minLoggedWait is how long a job must wait beside free capacity, or a long-running
	// task be down, for a line about it. It is a third of the time after which users
	// count a job as lost.
	minLoggedWait = time.Second
	// maxLoggedWaits limits the lines about waiting jobs in one summary, and those about
	// long-running tasks that are down.
	maxLoggedWaits = 8
	// maxFollowedWaits limits the jobs for which the end of their wait is logged, and
	// the long-running tasks.
	maxFollowedWaits = 64
)

// followedWaits holds the newest reasons of the jobs or the tasks that were logged, by
// their names, until their waits end.
type followedWaits map[string]schedule.Waiting

// reportReasons counts why tasks wait, and logs the longest waits beside free
// capacity: a line a second for a job of each service and organisation, and one when
// the wait of such a job has ended.
func (t *term) reportReasons(now time.Time) {
	report := t.leader.board.WaitReport(schedule.WaitRequest{
		FollowsJob:  t.followedWaits.has,
		FollowsTask: func(key work.TaskKey) bool { return t.followedTasks.has(key.String()) },
		MaxDown:     maxLoggedWaits,
		MinDown:     minLoggedWait,
		Elsewhere:   t.elsewhere(now),
	}, now)
	for reason, count := range report.Tasks {
		if count > 0 {
			t.leader.config.Counts.Add("waiting_task_seconds_"+schedule.Reason(reason).String(), int64(count))
		}
	}
	for _, ended := range t.followedWaits.update(report.Followed) {
		state, _ := t.leader.board.State(ended.Job)
		klog.InfoS("wait of job ended", "shard", t.leader.config.Shard, "token", t.token, "job", ended.Job, "service", ended.Service,
			"organisation", ended.Organisation, "reason", ended.Reason.String(), "waited", now.Sub(ended.Since), "state", state.String())
	}
	if t.followedWaits == nil {
		t.followedWaits = followedWaits{}
	}
	for _, waits := range longWaits(report.Longest, now) {
		t.followedWaits.follow(waits.Job, waits)
		t.logWait(waits, now)
	}
	t.reportDownTasks(&report, now)
}

// endsIn is the time to the end of a wait, zero if it ends with an event.
func endsIn(waits *schedule.Waiting, now time.Time) time.Duration {
	if waits.Until.IsZero() {
		return 0
	}
	return waits.Until.Sub(now)
}

func (t *term) logWait(waits schedule.Waiting, now time.Time) {
	klog.InfoS("job waits", "shard", t.leader.config.Shard, "token", t.token, "job", waits.Job, "task", waits.Task, "queue", waits.Queue,
		"service", waits.Service, "organisation", waits.Organisation, "reason", waits.Reason.String(), "awaits", waits.Reason.Awaits(),
		"ends_in", endsIn(&waits, now), "waited", now.Sub(waits.Since), "worker", waits.Worker, "workers", waits.Excluded.Words(),
		"unsettled", waits.Unsettled)
}

// longWaits returns the waits to log, given those of all services and organisations
// in order.
func longWaits(longest []schedule.Waiting, now time.Time) []schedule.Waiting {
	count := 0
	for count < min(len(longest), maxLoggedWaits) && now.Sub(longest[count].Since) >= minLoggedWait {
		count++
	}
	return longest[:count]
}

// has reports whether a job or a task is followed.
func (f followedWaits) has(name string) bool {
	_, ok := f[name]
	return ok
}

// follow notes that the wait of a job or a task was logged.
func (f followedWaits) follow(name string, waits schedule.Waiting) {
	if _, known := f[name]; known || len(f) < maxFollowedWaits {
		f[name] = waits
	}
}

// update notes the newest reasons, and removes and returns the waits that have ended,
// by name, up to maxLoggedWaits. A wait has ended too if another one has begun since.
func (f followedWaits) update(newest map[string]schedule.Waiting) []schedule.Waiting {
	var out []schedule.Waiting
	for _, name := range slices.Sorted(maps.Keys(f)) {
		next, waits := newest[name]
		switch {
		case waits && next.Since.Equal(f[name].Since):
			f[name] = next
		case len(out) < maxLoggedWaits:
			out = append(out, f[name])
			delete(f, name)
		}
	}
	return out
}
