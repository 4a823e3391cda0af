package host

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/dispatch"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Snapshot is what the control loop lets the other loops see. It is never
// changed after it is published.
type Snapshot struct {
	At time.Time
	// State is nil before the first release is known.
	State *release.State
	// InForceAt is when State came into force here.
	InForceAt time.Time
	Authority dispatch.Authority
	// Holders is by right who claims to hold it.
	Holders map[string]string
	// Epochs is by right the epoch that the holder claims.
	Epochs map[string]uint64
	Peers  []PeerStatus
	// Rights are those held here.
	Rights []message.Claim
	// StoreUp means that the newest read succeeded.
	StoreUp bool
	// ConfirmedAt is the newest confirmation of the version in force.
	ConfirmedAt  time.Time
	FreeCapacity map[string]worker.Size
	// Lent is slots counted as used, by lender held here.
	Lent map[string]int
}

// PeerStatus is what is known of another entry host.
type PeerStatus struct {
	Info           message.Info  `json:"info"`
	Status         member.Status `json:"status"`
	HeardAt        time.Time     `json:"heard_at"`
	ReleaseVersion uint64        `json:"release_version"`
	// InForceAt is when the version was first heard to be in force there.
	InForceAt time.Time `json:"in_force_at"`
	Quiet     bool      `json:"quiet"`
}
