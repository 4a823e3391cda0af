package work

import "time"

// Terms are what a job's queue says of its jobs. They are recorded at the acceptance of
// a job, and in its progress if its queue has changed since and was then removed: without
// the queue they still bind the job.
type Terms struct {
	// Service names the service whose workers run the job.
	Service string `cbor:"1,keyasint,omitempty"`
	// Priority 0 is served first.
	Priority int `cbor:"2,keyasint,omitempty"`
	// MaxAttempts is how often a task may fail before the job fails; 0 means no limit.
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// Stretch and Target set the time within which the job should be done.
	Stretch float64       `cbor:"4,keyasint,omitempty"`
	Target  time.Duration `cbor:"5,keyasint,omitempty"`
	// RequiresTicket means that only a worker that holds a ticket may run a step. A
	// request for tickets takes TicketTime and TicketTimePerWorker for each worker; a
	// ticket is valid for MinTicketTerm.
	RequiresTicket      bool          `cbor:"6,keyasint,omitempty"`
	TicketTime          time.Duration `cbor:"7,keyasint,omitempty"`
	TicketTimePerWorker time.Duration `cbor:"8,keyasint,omitempty"`
	MinTicketTerm       time.Duration `cbor:"9,keyasint,omitempty"`
}
