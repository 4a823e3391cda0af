package host

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/dispatch"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Snapshot is the state of the control loop that other goroutines may read. It
// does not change once it is published.
type Snapshot struct {
	// At is when the snapshot was taken.
	At time.Time
	// State is nil before the first release is known.
	State *release.State
	// InForceAt is when State came into force here.
	InForceAt time.Time
	// Authority is this host's authority to dispatch jobs in its zone.
	Authority dispatch.Authority
	// Holders holds, by right, the host that claims to hold it.
	Holders map[string]string
	// Epochs holds, by right, the epoch that the holder claims.
	Epochs map[string]uint64
	Peers  []PeerStatus
	// Rights are the rights that this host holds.
	Rights []message.Claim
	// StoreUp means that the newest poll of the store succeeded.
	StoreUp bool
	// ConfirmedAt is the newest time at which the version in force was
	// certainly the current one; zero if there is none.
	ConfirmedAt time.Time
	// FreeCapacity is the free capacity of the zones whose dispatcher reports
	// it, by zone name.
	FreeCapacity map[string]worker.Size
	// Lent is always empty.
	Lent map[string]int
}

// PeerStatus is what this host knows about another entry host.
type PeerStatus struct {
	Info   message.Info  `json:"info"`
	Status member.Status `json:"status"`
	// LastSeenAt is when its newest heartbeat was received.
	LastSeenAt     time.Time `json:"heard_at"`
	ReleaseVersion uint64    `json:"release_version"`
	// InForceAt is when a heartbeat first reported ReleaseVersion as in force
	// there.
	InForceAt time.Time `json:"in_force_at"`
	// NotAccepting means that it reports that it can't reach the store and is
	// accepting no release note.
	NotAccepting bool `json:"quiet"`
}
