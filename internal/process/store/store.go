// Package store is the seam to the key-value service that keeps all that must
// last. An adapter fills the functions; the errors say whether a call may have
// taken effect.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that the call may have taken effect, or still may.
	ErrUnknown = errors.New("store outcome unknown")
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("key absent")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("lease ended")
	// ErrCompacted means that the history asked for is gone: read all again.
	ErrCompacted = errors.New("history compacted")
	// ErrRefused means that the store will never take the call as it is.
	ErrRefused = errors.New("store refused the call")
)

// Item is one key and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change, above zero; Created that of the
	// key's creation.
	Revision, Created int64
	// Lease removes the key when it ends; zero means none.
	Lease int64
}

// Event is one change. A removal has only Key and Revision.
type Event struct {
	Item
	Removed bool
}

// Listing is all items under a prefix. Revision is one that the items are at
// least as new as: a watch goes on from it.
type Listing struct {
	Items    []Item
	Revision int64
}

// Changes are events in order; the next watch goes on from Revision.
type Changes struct {
	Events   []Event
	Revision int64
}

// Condition holds while the key was last changed at Revision; zero means that
// the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets one key.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Commit is all or nothing; all conditions hold together with it.
type Commit struct {
	If     []Condition
	Set    []Write
	Delete []string
}

// MostEntries bounds If, Set and Delete of one Commit together.
const MostEntries = 32

// ConflictError means that a condition did not hold and nothing was done.
type ConflictError struct {
	// Items are the conditions' keys as they are; absent keys are left out.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition not met, %d keys read", len(e.Items))
}

// Client is the store. All functions are safe for concurrent use and return
// by the end of their context. Errors are those of this package.
type Client struct {
	// Get reads one key. ErrAbsent if it does not exist.
	Get func(ctx context.Context, key string) (Item, error)
	// List reads all keys with the prefix.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to the given time for changes after a revision.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit writes and returns the revision. ConflictError, ErrNoLease.
	Commit func(ctx context.Context, commit Commit) (int64, error)
	// Grant begins a lease.
	Grant func(ctx context.Context, term time.Duration) (lease int64, err error)
	// Keep renews a lease. ErrNoLease if it has ended.
	Keep func(ctx context.Context, lease int64) error
}
