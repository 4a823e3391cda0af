package schedule

// Reason is why a task of a step that is ready does not run. The zero value is that
// of a task that the next decision starts.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota

	// LeadershipInDoubt means that the last decision was not allowed to start
	// anything, and Superseded that a worker has seen a higher token.
	LeadershipInDoubt
	Superseded
	// Departing jobs and tasks move to another shard or back, Balancing jobs wait for a
	// round of moves.
	Departing
	Balancing
	// Takeover means that an earlier leader may have started the task on a worker
	// that is not accounted for.
	Takeover
	// Confirmation means that what a worker has said, or its end, counts only once
	// the leadership is confirmed.
	Confirmation
	// OtherRun means that a run of the task that nobody wants is being stopped.
	OtherRun
	// RetryPause delays the start after a refusal.
	RetryPause
	// Quota means that the limit of the organisation does not admit the task, and
	// QuotaUnknown that its limit is not known.
	Quota
	QuotaUnknown
	// NoWorker means that no worker of the service may be given tasks.
	NoWorker
	// TicketRequested means that the answer to a request for tickets is awaited,
	// TicketTurn that the request waits for those of other steps, TicketRetry that the
	// next request is delayed, and TicketRefused that every worker with capacity was
	// refused.
	TicketRequested
	TicketTurn
	TicketRetry
	TicketRefused
	// RackWait means that a free worker was declined for the preferred rack.
	RackWait
	// Reserved means that capacity is kept for the task on a worker and is being
	// freed.
	Reserved
	// ReservedForOthers means that the task would fit into capacity that is kept for
	// others.
	ReservedForOthers
	// NoCapacity means that the task exceeds the free capacity of every worker that
	// may run it.
	NoCapacity
	// Interference means that a filler would take too much from serving tasks.
	Interference
	// NoLabel means that no worker has the label that the step requires.
	NoLabel
	// SpreadLimit means that as many tasks of the step run on each worker as may.
	SpreadLimit
	// StartsLimited means that the last decision has made as many starts as can be
	// sent.
	StartsLimited
	// SizeRuledOut means that a worker has room, but the last decision did not
	// search for it as a task of no larger size did not fit. Nothing ends it.
	SizeRuledOut
	// PassedOver means that a worker has room, but the last decision ended its search for
	// the step at an earlier task, which may use less.
	PassedOver

	// The reasons below are states of the task's claim.

	// StartUnanswered means that a start was sent, StartRetry that one that got no
	// answer will be sent again.
	StartUnanswered
	StartRetry
	// PlacementUnsaved means that the start waits for its placement to be in the
	// store.
	PlacementUnsaved
	// StopUnanswered means that the run is being stopped, StopDue that a stop will be
	// sent, and StopAccepted that the worker has accepted it or has barred the run,
	// and its report is awaited.
	StopUnanswered
	StopDue
	StopAccepted
	// WorkerUnreachable means that the run may go on until its lease is over.
	WorkerUnreachable
	// RunUnlisted means that the newest report of the worker lacks the run and does not
	// say that it has ended.
	RunUnlisted
	// ClaimInconsistent means that no order, answer, report or lease belongs to the
	// claim. Nothing ends it.
	ClaimInconsistent

	reasonCount
)

// reasonWords are the words in logs and counters, and the events that end the
// waits. A reason without an event ends by a time or by nothing.
var reasonWords = [reasonCount]struct {
	word, event string
}{
	NoReason:          {"none", "decision"},
	LeadershipInDoubt: {"leadership_in_doubt", "leadership_confirmation"},
	Superseded:        {"superseded", "end_of_term"},
	Departing:         {"departing", "move_outcome"},
	Balancing:         {"balancing", "balance_round"},
	Takeover:          {"takeover", "worker_report"},
	Confirmation:      {"confirmation", "leadership_confirmation"},
	OtherRun:          {"other_run", "run_end"},
	RetryPause:        {"retry_pause", ""},
	Quota:             {"quota", "organisation_run_end"},
	QuotaUnknown:      {"quota_unknown", "configuration"},
	NoWorker:          {"no_worker", "usable_worker"},
	TicketRequested:   {"ticket_requested", "ticket_answer"},
	TicketTurn:        {"ticket_turn", "ticket_answer"},
	TicketRetry:       {"ticket_retry", ""},
	TicketRefused:     {"ticket_refused", "new_worker"},
	RackWait:          {"rack_wait", "rack_capacity"},
	Reserved:          {"reserved", "run_end"},
	ReservedForOthers: {"reserved_for_others", "run_end"},
	NoCapacity:        {"no_capacity", "run_end"},
	Interference:      {"interference", "headroom"},
	NoLabel:           {"no_label", "new_worker"},
	SpreadLimit:       {"spread_limit", "run_end"},
	StartsLimited:     {"starts_limited", "call_slot"},
	SizeRuledOut:      {"size_ruled_out", ""},
	PassedOver:        {"passed_over", ""},
	StartUnanswered:   {"start_unanswered", "start_answer"},
	StartRetry:        {"start_retry", "worker_report"},
	PlacementUnsaved:  {"placement_unsaved", "store_write"},
	StopUnanswered:    {"stop_unanswered", "stop_answer"},
	StopDue:           {"stop_due", "stop"},
	StopAccepted:      {"stop_accepted", "worker_report"},
	WorkerUnreachable: {"worker_unreachable", "lease_end"},
	RunUnlisted:       {"run_unlisted", "worker_report"},
	ClaimInconsistent: {"claim_inconsistent", ""},
}

// String is the reason's word in logs and counters.
func (r Reason) String() string {
	return reasonWords[r].word
}

// Awaits names the event that ends a wait for the reason, empty if none does.
func (r Reason) Awaits() string {
	return reasonWords[r].event
}

// Reasons counts tasks by reason.
type Reasons [reasonCount]int

// reasonOf is the reason that an exclusion of workers gives a task.
func reasonOf(cause Exclusion) Reason {
	switch cause {
	case TicketDenied:
		return TicketRefused
	case LabelMissing:
		return NoLabel
	case SpreadReached:
		return SpreadLimit
	case ReservedCapacity:
		return ReservedForOthers
	case InsufficientCapacity:
		return NoCapacity
	case Interfering:
		return Interference
	}
	return NoWorker
}
