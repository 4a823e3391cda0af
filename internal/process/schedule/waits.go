package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// WaitReason is why a task that is ready has not started.
type WaitReason uint8

// The reasons. WaitCapacity includes the tasks that wait because the starts of a
// decision are limited.
const (
	WaitCapacity WaitReason = iota
	// WaitQuota is the limit of the job's organisation.
	WaitQuota
	// WaitTicket is a ticket that the step still needs.
	WaitTicket
	// WaitTakeover is a worker that may run the task under an earlier leader.
	WaitTakeover
	// WaitPlace is a place that is kept for the job until its task fits.
	WaitPlace
)

var waitReasonWords = [...]string{"capacity", "quota", "ticket", "takeover", "place"}

// String is the reason's word in logs and counters.
func (r WaitReason) String() string {
	return waitReasonWords[r]
}

// WaitSize is the size class of a task: the cores that it asks for, as a part of
// those of the largest worker.
type WaitSize uint8

// The size classes.
const (
	WaitSmall WaitSize = iota
	WaitMedium
	WaitLarge
)

// Medium tasks ask for more than a sixteenth of the largest worker's cores, large
// ones for more than a quarter: fewer than four of them fit on a worker.
const (
	mediumPart = 16
	largePart  = 4
)

var waitSizeWords = [...]string{"small", "medium", "large"}

// String is the class's word in logs and counters.
func (s WaitSize) String() string {
	return waitSizeWords[s]
}

// Wait says how long the waiting tasks of a size class have waited for a reason.
type Wait struct {
	Reason WaitReason
	Size   WaitSize
	// Tasks counts them. Longest and Total are the longest wait and the sum.
	Tasks          int
	Longest, Total time.Duration
}

// Waits lists the size classes and reasons with waiting tasks, in a fixed order.
type Waits []Wait

// String is the form in logs: reason, class, tasks, mean and longest wait.
func (w Waits) String() string {
	var out []string
	for _, wait := range w {
		mean := wait.Total / time.Duration(wait.Tasks)
		out = append(out, fmt.Sprintf("%s/%s %d %s %s", wait.Reason, wait.Size, wait.Tasks,
			mean.Round(time.Millisecond), wait.Longest.Round(time.Millisecond)))
	}
	return strings.Join(out, ", ")
}

// add adds a step's waiting tasks.
func (w Waits) add(reason WaitReason, size WaitSize, tasks int, waited time.Duration) Waits {
	if tasks == 0 {
		return w
	}
	i := slices.IndexFunc(w, func(wait Wait) bool { return wait.Reason == reason && wait.Size == size })
	if i < 0 {
		i = len(w)
		w = append(w, Wait{
			Reason: reason,
			Size:   size,
		})
	}
	w[i].Tasks += tasks
	w[i].Longest = max(w[i].Longest, waited)
	w[i].Total += time.Duration(tasks) * waited
	return w
}

func (w Waits) sort() {
	slices.SortFunc(w, func(a, c Wait) int { return cmp.Or(cmp.Compare(a.Reason, c.Reason), cmp.Compare(a.Size, c.Size)) })
}

// largestWorker returns the most cores of a listed worker.
func (b *Board) largestWorker() int64 {
	largest := int64(0)
	for _, w := range b.workers {
		if w.listed {
			largest = max(largest, w.Capacity.MilliCores)
		}
	}
	return largest
}

func waitSize(milliCores, largest int64) WaitSize {
	switch {
	case milliCores*largePart > largest:
		return WaitLarge
	case milliCores*mediumPart > largest:
		return WaitMedium
	}
	return WaitSmall
}

// waitReason returns why the tasks of a step wait that may be started.
func (b *Board) waitReason(j *job, step *stepState, now time.Time) WaitReason {
	switch {
	case j.overQuota:
		return WaitQuota
	case b.catalog.Queues[j.work.Queue].RequiresTicket && !step.hasTicket(now):
		return WaitTicket
	case j.rank.Placed:
		return WaitPlace
	}
	return WaitCapacity
}

func (s *stepState) hasTicket(now time.Time) bool {
	if s.advice == nil {
		return false
	}
	for _, held := range s.advice.tickets {
		if now.Add(ticketMargin).Before(held.until) {
			return true
		}
	}
	return false
}

// readySince returns when the tasks of a ready step could start at first.
func (j *job) readySince(occ *occurrence, step *stepState) time.Time {
	since := j.arrived
	if occ.due.After(since) {
		since = occ.due
	}
	for _, earlier := range step.spec.After {
		for _, t := range occ.steps[earlier].tasks {
			if t.endedAt.After(since) {
				since = t.endedAt
			}
		}
	}
	return since
}
