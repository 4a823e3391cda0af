// Package right decides which host holds an exclusive duty, such as dispatching
// the jobs of a zone. A right is a record in the platform's store, acquired and
// renewed by compare-and-swap. The package does no I/O: the caller passes in
// what was read, written and received, with its time, and sends the writes that
// the package returns.
//
// Two hosts never hold a right at once, because of three rules. A holder counts
// its term from when it sent the renewal. A candidate counts only time in which
// it saw the store up and the record unchanged, and waits for the term plus an
// allowance for clock drift and a margin. While the store is unreachable, the
// holder continues only if every host that could acquire the right has
// abstained from acquiring it for one term.
package right

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Instance identifies one run of one host.
type Instance struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Address is where the instance listens for peers.
	Address netip.AddrPort `json:"address"`
}

// Record is the stored state of a right.
type Record struct {
	// Holder is empty after a graceful handover.
	Holder Instance `json:"holder"`
	// Epoch grows by at least one with each change of holder.
	Epoch uint64 `json:"epoch"`
	// WriteSeq grows with each write, so that no two writes are equal.
	WriteSeq uint64 `json:"beat"`
	// Roster lists the instances that may acquire the right when it expires.
	// Without the store, the holder needs abstentions from all of them to
	// continue.
	Roster []Instance `json:"roster"`
}

// ErrRecord marks stored text that is not a right record.
var ErrRecord = errors.New("not a right record")

// Encode returns the record as JSON for the store.
func (r Record) Encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return text
}

// DecodeRecord parses the output of Encode; its error wraps ErrRecord.
func DecodeRecord(text []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(text, &record); err != nil {
		return record, fmt.Errorf("%w: %v", ErrRecord, err)
	}
	return record, nil
}

// Fence returns the fencing text, EPOCH/HOST/INCARNATION, that guards writes
// made by one holder in one epoch.
func (r Record) Fence() string {
	return fmt.Sprintf("%d/%s/%s", r.Epoch, r.Holder.Host, r.Holder.Incarnation)
}

func (r Record) inRoster(instance Instance) bool {
	for _, member := range r.Roster {
		if member == instance {
			return true
		}
	}
	return false
}

// Liveness is what membership knows of an instance.
type Liveness int

// The values of Liveness. Dead requires proof: the address refuses connections,
// a later incarnation answers there, or the host announced that it was leaving.
const (
	Unresponsive Liveness = iota
	Alive
	Dead
)

// Observation is one successful read of the record.
type Observation struct {
	// SentAt is when the read was sent, ReceivedAt when the answer arrived.
	SentAt, ReceivedAt time.Time
	// StoreRevision is the revision of the whole store; it falls only if the
	// store was rolled back to an older state.
	StoreRevision int64
	// Revision is that of the record's last change; 0 means no record.
	Revision int64
	Record   Record
}

// Write is one compare-and-swap to be sent.
type Write struct {
	// Expect is the revision that the stored record must still have.
	Expect int64
	Record Record
	// Acquire means that the write acquires the right, so the fence changes with
	// the record.
	Acquire bool
	// SentAt is when the write was decided on; the term runs from here.
	SentAt time.Time
}
