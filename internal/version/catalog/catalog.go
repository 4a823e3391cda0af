// Package catalog holds one version of the operators' configuration: the
// queues that callers hand jobs to and the services whose workers run them.
package catalog

import (
	"strings"
	"time"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	// Service names the workers that run the queue's jobs.
	Service string
	// Priority 0 goes first and may take the place of others.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed; zero
	// means that there is no bound.
	MaxAttempts int
	// Stretch times the longest chain of work, and Target on top, is the time
	// within which a job should be done.
	Stretch float64
	Target  time.Duration
	// Timeout bounds one call of a caller.
	Timeout time.Duration
	// Advised says that only workers with a ticket may run a step. DecideTime
	// and EachTime are what a call for tickets takes, TicketTerm how long they
	// hold at least.
	Advised                          bool
	DecideTime, EachTime, TicketTerm time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded says that its workers refuse what does not fit.
	Guarded bool
	// Standby says that its machines are switched off.
	Standby bool
}

// Catalog is one version; it does not change.
type Catalog struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	// MostBodyBytes bounds a caller's body.
	MostBodyBytes int64
}

// Route finds the queue for a host and path and returns what follows its prefix.
func (c *Catalog) Route(host, path string) (queue Queue, rest string, found bool) {
	for _, one := range c.Queues {
		if one.Host != host || !strings.HasPrefix(path, one.Prefix) {
			continue
		}
		if !found || len(one.Prefix) > len(queue.Prefix) {
			queue, found = one, true
		}
	}
	return queue, strings.TrimPrefix(path, queue.Prefix), found
}
