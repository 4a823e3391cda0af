// Package worker defines the published protocol of the workers, JSON over
// HTTP, and a client for it.
//
// All times in these messages are readings of the worker's own monotonic
// clock, in milliseconds since its boot. A message that arrives late can
// therefore never extend a lease, or start a task, beyond the time that its
// sender assumed.
package worker

// TaskState is the state of an attempt as its worker reports it.
type TaskState string

// The states of an attempt on a worker. All except TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means that the attempt ran and was stopped before it
	// finished.
	TaskStopped TaskState = "stopped"
	// TaskNeverStarted means that the attempt never ran and that the worker
	// will refuse to start it.
	TaskNeverStarted TaskState = "never_started"
)

// Final reports whether the state is final.
func (s TaskState) Final() bool {
	return s != TaskRunning
}

// Size is an amount of a worker's resources.
type Size struct {
	// MilliCores is in thousandths of a core, never negative.
	MilliCores int64 `json:"milli_cores"`
	// MemoryBytes is never negative.
	MemoryBytes int64 `json:"memory_bytes"`
	// Accelerators is a whole number, never negative.
	Accelerators int64 `json:"accelerators"`
}

// Task is the state of one attempt on a worker.
type Task struct {
	Attempt string    `json:"attempt"`
	Job     string    `json:"job"`
	State   TaskState `json:"state"`
	// Committed is what the worker has reserved for the attempt.
	Committed Size `json:"committed"`
	// Used is what the attempt used at some recent time.
	Used Size `json:"used"`
	// Checkpoint is the newest checkpoint, empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// RanMS is how long the attempt has run, in milliseconds.
	RanMS int64 `json:"ran_ms"`
	// Throttle limits the attempt to a percentage of full speed, 1 to 100.
	Throttle int `json:"throttle"`
	// Detail says why the attempt failed.
	Detail string `json:"detail,omitempty"`
}

// Heartbeat is sent by the dispatcher to extend the leases of running tasks.
type Heartbeat struct {
	Dispatcher string `json:"dispatcher"`
	// Epoch is a fencing token: the worker ignores a heartbeat with a lower
	// one than the highest it has seen.
	Epoch uint64 `json:"epoch"`
	// Boot and SeenClockMS repeat Boot and ClockMS of the worker's last
	// answer; lease terms are counted from SeenClockMS.
	Boot        string `json:"boot"`
	SeenClockMS int64  `json:"seen_clock_ms"`
	// TermMS is the lease term in milliseconds.
	TermMS int64 `json:"term_ms"`
	// Extend lists the attempts whose leases are extended.
	Extend []string `json:"extend,omitempty"`
	// Forget lists finished attempts whose results are stored, so that the
	// worker need not report them any more.
	Forget []string `json:"forget,omitempty"`
}

// Inventory answers a Heartbeat and lists all attempts on the worker.
type Inventory struct {
	// Boot changes with each restart of the worker. ClockMS is its clock, in
	// milliseconds since that boot.
	Boot    string `json:"boot"`
	ClockMS int64  `json:"clock_ms"`
	// Epoch is the highest that the worker has seen; a Heartbeat with a lower
	// one had no effect.
	Epoch uint64 `json:"epoch"`
	// Total is the worker's total capacity.
	Total Size   `json:"total"`
	Tasks []Task `json:"tasks"`
}

// Start asks a worker to run one attempt.
type Start struct {
	Attempt  string `json:"attempt"`
	Job      string `json:"job"`
	Customer string `json:"customer"`
	Class    string `json:"class"`
	Epoch    uint64 `json:"epoch"`
	Boot     string `json:"boot"`
	// NotAfterMS is the latest time at which the worker may start the attempt;
	// LeaseUntilMS is when the first lease expires.
	NotAfterMS   int64 `json:"not_after_ms"`
	LeaseUntilMS int64 `json:"lease_until_ms"`
	Size         Size  `json:"size"`
	// Checkpoint is where to resume, empty for the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Payload is passed on unchanged from the caller.
	Payload []byte `json:"payload,omitempty"`
}

// Command is the body of a checkpoint, stop or throttle of one attempt.
type Command struct {
	Epoch uint64 `json:"epoch"`
	// Boot is the boot that the command is for; the worker refuses it if it
	// has restarted since.
	Boot string `json:"boot"`
	// Throttle is a percentage of full speed, for throttle only.
	Throttle int `json:"throttle,omitempty"`
}

// Reply answers Start and Command.
type Reply struct {
	// Refused says why the worker did nothing; empty if it acted.
	Refused Refusal `json:"refused,omitempty"`
	Task    Task    `json:"task"`
	ClockMS int64   `json:"clock_ms"`
}

// Refusal is the reason why a worker refused a message.
type Refusal string

// The refusals of a worker. Each applies only to the message that it answers:
// another start of the same attempt may have been accepted. Only RefusedBarred
// is final.
const (
	RefusedEpoch Refusal = "stale_epoch"
	RefusedBoot  Refusal = "other_boot"
	RefusedLate  Refusal = "too_late"
	// RefusedBarred means that a stop of the attempt arrived before its start.
	RefusedBarred   Refusal = "barred"
	RefusedCapacity Refusal = "no_room"
)
