// Package catalog holds one version of the operators' configuration: the
// queues that callers hand jobs to and the services whose workers run them.
package catalog

import (
	"strings"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Queue accepts jobs of one kind.
type Queue struct {
	Name string
	// Requests for this host whose path begins with Prefix go to the queue; of
	// several such queues, the longest prefix wins.
	Host, Prefix string
	// Service names the workers that run the queue's jobs.
	Service string
	// Priority 0 is served first, and its jobs may preempt others.
	Priority int
	// MaxAttempts is how often a task may fail before its job fails; 0 means no
	// limit.
	MaxAttempts int
	// Stretch and Target set the time within which a job should be done:
	// Stretch times the estimated run time of the longest chain of its steps,
	// plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout bounds one call of a caller.
	Timeout time.Duration
	// RequiresTicket means that only a worker that holds a ticket may run a
	// step. A request for tickets times out after TicketTime plus
	// TicketTimePerWorker for each worker asked; a ticket is valid for at least
	// MinTicketTerm.
	RequiresTicket                                 bool
	TicketTime, TicketTimePerWorker, MinTicketTerm time.Duration
	// Public queues accept calls without a key.
	Public bool
}

// Organisation is a customer whose jobs share the workers with those of other
// organisations.
type Organisation struct {
	Name string
	// Weight is its share of the capacity relative to other organisations when
	// capacity is short; it is above zero.
	Weight float64
	// Limit is the most that its tasks may have running on all workers together;
	// zero in a resource means no limit.
	Limit worker.Size
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity means that its workers refuse tasks that exceed their
	// capacity.
	EnforcesCapacity bool
	// Standby means that its machines are switched off.
	Standby bool
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	// RequiresKeys is set if the configuration lists organisations, also if none
	// of the entries can be used: calls need a key then, except at public queues.
	RequiresKeys bool
	// Organisations holds the organisations by name, Keys their keys.
	Organisations map[string]Organisation
	Keys          Keys
	// Limits bound what a caller may send.
	Limits Limits
}

// Authenticate returns the organisation that a key belongs to, and whether there
// is one.
func (c *Catalog) Authenticate(key string) (Organisation, bool) {
	name, known := c.Keys.Organisation(key)
	if !known {
		return Organisation{}, false
	}
	organisation, listed := c.Organisations[name]
	return organisation, listed
}

// Route returns the queue for a host and path, the path without the queue's
// prefix, and whether there is such a queue.
func (c *Catalog) Route(host, path string) (queue Queue, rest string, found bool) {
	for _, candidate := range c.Queues {
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if !found || len(candidate.Prefix) > len(queue.Prefix) {
			queue, found = candidate, true
		}
	}
	return queue, strings.TrimPrefix(path, queue.Prefix), found
}
