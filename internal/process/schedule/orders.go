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
	// Spec is the job's, and Checkpoint the task's, empty for the beginning.
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
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Worker string
	Key    work.TaskKey
	Run    int64
	// Percent is from 0 to 100.
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
}

// Effects is what the board wants done.
type Effects struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Asks   []Ask
}

// Verdict is a worker's answer to an order.
type Verdict uint8

// The verdicts. Only Accepted and Unknown may have had an effect.
const (
	Accepted Verdict = iota
	// Unknown means that no answer came: the order may be carried out yet.
	Unknown
	// NotSent means that the order has not left this host.
	NotSent
	// Fenced means that the worker has seen a higher token.
	Fenced
	// Outdated means that the run is not above one that ended or was barred.
	Outdated
	// TooLate means that the lease in the order was over on arrival.
	TooLate
	// NoRoom means that the task does not fit.
	NoRoom
	// NoTicket means that the ticket is missing or has lapsed.
	NoTicket
	// Unhealthy means that the worker turns work away.
	Unhealthy
	// OtherWorker means that somebody else answers at the address.
	OtherWorker
	// Malformed means that the worker does not take the order as it is.
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

// RunningTask is one row of what a worker runs.
type RunningTask struct {
	Key work.TaskKey
	Run int64
	// Checkpoint is the newest one, empty without one.
	Checkpoint string
	// Percent is how far it has come; a lasting task serves at 100.
	Percent int
	// Tail is the tail latency of a serving task over the last half second.
	Tail time.Duration
	// MilliCores is the processor time in use by any other task.
	MilliCores int64
}

// Ending is how a run ended.
type Ending uint8

// The endings.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	// EndedLapsed ended with its lease.
	EndedLapsed
	// EndedBroken ended because another member of its gang did.
	EndedBroken
	// EndedAlone waited too long for the rest of its gang.
	EndedAlone
)

var endingWords = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String is the ending's word in logs.
func (e Ending) String() string {
	return endingWords[e]
}

// EndedTask is one row of what has ended on a worker.
type EndedTask struct {
	// Number rises by one with each end in one life of a worker.
	Number     int64
	Key        work.TaskKey
	Run        int64
	Ending     Ending
	Checkpoint string
}

// Inventory is a worker's word about itself.
type Inventory struct {
	// Born is when this life of the worker began.
	Born    time.Time
	Running []RunningTask
	// Ended lists ends in rising order, up to the first 500 not yet forgotten.
	Ended []EndedTask
	// Sent and Received are our times of the call.
	Sent, Received time.Time
}
