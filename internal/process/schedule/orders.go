package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Start tells a worker to begin a run of a task.
type Start struct {
	Worker string
	Key    work.TaskKey
	// Run rises with each start of a task; members of a gang share it.
	Run int64
	// Spec is the job's specification and Checkpoint the task's newest
	// checkpoint, empty to start from the beginning.
	Spec, Checkpoint string
	// Ticket admits the step to the worker; empty where none is needed.
	Ticket string
}

// Stop tells a worker to end a run, or to bar it if it has not begun.
type Stop struct {
	Worker string
	Key    work.TaskKey
	Run    int64
	// Reason is for the log.
	Reason string
	// Incarnation is that of the worker which has the run, zero if no claim has it.
	Incarnation time.Time
}

// Throttle sets the throttle level of a run.
type Throttle struct {
	Worker string
	Key    work.TaskKey
	Run    int64
	// Percent of full speed, from 0 to 100.
	Percent int
}

// Record is a job's progress to be written.
type Record struct {
	Job string
	// Version is passed to Written once the record is in the store.
	Version int64
	// Urgent records end a job: its caller waits for them.
	Urgent   bool
	Progress work.Progress
	// Shards are the other shards with tasks of a job that has ended. They must hear
	// of it by the same commit.
	Shards []int
}

// Effects are the orders and ticket requests that a decision results in, and
// the crashes found since the one before.
type Effects struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	TicketRequests []TicketRequest
	Crashes        []Crash
	// Preemptions lists the long-running runs among Stops that are stopped for a
	// quick task.
	Preemptions    []Preemption
	PackingChanges []PackingChange
}

// Verdict is a worker's answer to an order.
type Verdict uint8

// The verdicts. Only Accepted and Unknown orders may have had an effect.
const (
	Accepted Verdict = iota
	// Unknown means that no answer came: the order may still take effect.
	Unknown
	// NotSent means that the order has not left this host.
	NotSent
	// Fenced means that the worker has seen a higher token.
	Fenced
	// Outdated means that a run with this number or a higher one has ended or
	// was barred.
	Outdated
	// TooLate means that the lease in the order was over on arrival.
	TooLate
	// NoRoom means that the task exceeds the free capacity.
	NoRoom
	// NoTicket means that the ticket is missing or has expired.
	NoTicket
	// Unhealthy means that the worker accepts no work.
	Unhealthy
	// OtherWorker means that another worker answers at the address.
	OtherWorker
	// Malformed means that the worker rejects the order as invalid.
	Malformed
)

var verdictWords = [...]string{
	"accepted", "unknown", "not_sent", "fenced", "outdated", "too_late",
	"no_room", "no_ticket", "unhealthy", "other_worker", "malformed",
}

// String is the verdict's word in logs.
func (v Verdict) String() string {
	return verdictWords[v]
}

// RunningTask is one run of a worker's inventory.
type RunningTask struct {
	Key work.TaskKey
	Run int64
	// Checkpoint is the newest one, empty without one.
	Checkpoint string
	// Percent is the progress of the task; a long-running task serves at 100.
	Percent int
	// Tail is the tail latency of a serving task over the last half second.
	Tail time.Duration
	// MilliCores is the processor time in use by a task that is not serving.
	MilliCores int64
}

// Ending is how a run ended.
type Ending uint8

// The endings.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	// EndedLapsed ended because its lease expired.
	EndedLapsed
	// EndedBroken ended because another member of its gang did.
	EndedBroken
	// EndedAlone timed out waiting for the rest of its gang.
	EndedAlone
)

var endingWords = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String is the ending's word in logs.
func (e Ending) String() string {
	return endingWords[e]
}

// EndedTask is one ended run of a worker's inventory.
type EndedTask struct {
	// Number rises by one with each end in one incarnation of a worker.
	Number     int64
	Key        work.TaskKey
	Run        int64
	Ending     Ending
	Checkpoint string
}

// Inventory is a worker's report of its runs.
type Inventory struct {
	// Born is when this incarnation of the worker began.
	Born    time.Time
	Running []RunningTask
	// Ended lists the ends not yet forgotten in rising order. EndsOmitted is set
	// if later ones may have been left out: then a run that is in neither list may
	// have ended, in whatever way.
	Ended       []EndedTask
	EndsOmitted bool
	// Renewed is set if the call requested a lease.
	Renewed bool
	// Sent and Received are when this host sent the call and got the answer.
	Sent, Received time.Time
}
