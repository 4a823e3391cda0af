package schedule

// Exclusion is why a worker is passed over for a task. The zero value is that of a
// worker that may be given the task.
type Exclusion uint8

// The exclusions. Those up to Failing hold for all tasks of a service.
const (
	NotExcluded Exclusion = iota
	// Unlisted workers are missing from the discovery list.
	Unlisted
	// OldEntry means that the worker has started again and its entry is that of the
	// incarnation before.
	OldEntry
	// DrainingWorker means that the worker is about to shut down.
	DrainingWorker
	// Unreachable workers have not answered the last call.
	Unreachable
	// LeaseWithheld means that the store may have a record which says that no lease
	// is requested of the worker.
	LeaseWithheld
	// Unconfirmed means that the leadership was not confirmed since the worker's first
	// report.
	Unconfirmed
	// NotReported workers have not reported under the token.
	NotReported
	// EvacuatedZone means that the worker's zone was withdrawn.
	EvacuatedZone
	// Refusing workers have refused a start a moment ago.
	Refusing
	// Failing workers are excluded after failures.
	Failing
	// TicketDenied means that the step's ticket for the worker was refused.
	TicketDenied
	// LabelMissing means that the worker lacks the label that the step requires.
	LabelMissing
	// SpreadReached means that as many tasks of the step run there as may.
	SpreadReached
	// ReservedCapacity means that the task would fit into capacity that is kept for
	// other tasks.
	ReservedCapacity
	// InsufficientCapacity means that the task exceeds the free capacity.
	InsufficientCapacity
	// Interfering means that a filler would take too much from serving tasks there.
	Interfering

	exclusionCount
)

var exclusionWords = [exclusionCount]string{
	"none", "unlisted", "old_entry", "draining", "unreachable", "lease_withheld", "unconfirmed", "not_reported",
	"evacuated_zone", "refusing", "failing", "ticket_denied", "label", "spread", "reserved", "capacity", "interference",
}

// String is the exclusion's word in logs.
func (e Exclusion) String() string {
	return exclusionWords[e]
}

// Exclusions counts workers by why they are passed over. At NotExcluded it has
// those that are not.
type Exclusions [exclusionCount]int

// Words returns the counts that are not zero, by word.
func (e *Exclusions) Words() map[string]int {
	out := map[string]int{}
	for cause, count := range e {
		if count > 0 {
			out[Exclusion(cause).String()] = count
		}
	}
	return out
}
