// Package store defines the client of the key-value service that holds all
// durable state. An adapter supplies the functions, and the errors say whether
// a call may have taken effect.
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
	// ErrNoLease means that the lease has expired.
	ErrNoLease = errors.New("lease expired")
	// ErrCompacted means that the requested history has been compacted: the
	// caller must list all keys again.
	ErrCompacted = errors.New("history compacted")
	// ErrRefused means that the call is invalid and a retry will fail too.
	ErrRefused = errors.New("store refused the call")
)

// Item is one key and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last change, above zero;
	// CreateRevision that of the key's creation.
	Revision, CreateRevision int64
	// Lease is the lease whose expiry removes the key; zero means none.
	Lease int64
}

// Event is one change of a key. A removal has only Key and Revision set.
type Event struct {
	Item
	Removed bool
}

// Listing is all items under a prefix. The items are at least as new as
// Revision, so a watch can continue from it.
type Listing struct {
	Items    []Item
	Revision int64
}

// Changes are events in order. The next watch continues from Revision.
type Changes struct {
	Events   []Event
	Revision int64
}

// Condition holds if the key was last changed at Revision; zero means that the
// key must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets one key. Lease is as in Item.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Commit is one atomic transaction: its writes and deletions are applied
// together, and only if all conditions hold at that moment.
type Commit struct {
	If     []Condition
	Set    []Write
	Delete []string
}

// MaxEntries is the maximum number of entries in If, Set and Delete of one
// Commit together.
const MaxEntries = 32

// ConflictError means that a condition did not hold and nothing was written.
type ConflictError struct {
	// Items are the current items of the keys in If; absent keys are left out.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition not met, %d keys read", len(e.Items))
}

// RevisionOf returns the revision of a key in If, zero if it is absent.
func (e *ConflictError) RevisionOf(key string) int64 {
	for _, item := range e.Items {
		if item.Key == key {
			return item.Revision
		}
	}
	return 0
}

// Client is the set of store calls. All functions are safe for concurrent use,
// return when their context ends at the latest, and return the errors of this
// package.
type Client struct {
	// Get reads one key. ErrAbsent if it does not exist.
	Get func(ctx context.Context, key string) (Item, error)
	// Page reads the first keys with the prefix that follow after a key; empty
	// for the first page. A Reader reads all of them.
	Page func(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to the given time for changes after a revision.
	// ErrCompacted if the store no longer has them.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit applies the transaction and returns its revision. ConflictError
	// if a condition did not hold, ErrNoLease if a lease of Set has expired.
	Commit func(ctx context.Context, commit Commit) (int64, error)
	// Grant creates a lease that expires after the term unless renewed.
	Grant func(ctx context.Context, term time.Duration) (lease int64, err error)
	// Renew renews a lease. ErrNoLease if it has expired.
	Renew func(ctx context.Context, lease int64) error
}
