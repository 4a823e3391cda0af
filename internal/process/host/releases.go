package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Accepted is the reply to an operator whose release note was accepted.
type Accepted struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"note_id"`
	// AlreadyAccepted means that the note had already been accepted by an
	// earlier request.
	AlreadyAccepted bool `json:"before,omitempty"`
	// DryRun means that nothing was written.
	DryRun bool `json:"dry_run,omitempty"`
	// Difference lists what the note changes, one change a line.
	Difference []string `json:"difference,omitempty"`
	// InForce lists the hosts that report the version in force, and Unconfirmed
	// the other hosts that are neither dead nor left, as far as this host
	// knows.
	InForce     []string `json:"in_force"`
	Unconfirmed []string `json:"not_heard,omitempty"`
}

// releases accepts release notes on one host.
type releases struct {
	control *Control
}

// storedRelease is the current release in the store, and whether the note at
// hand has already been accepted.
type storedRelease struct {
	// state is empty, not nil, if the store holds no release.
	state    *release.State
	revision int64
	// earlier is the version under which the note was accepted earlier; 0 if it
	// was not.
	earlier uint64
}

var errStoreBehind = errors.New("the store holds an older release than the one in force and is being repaired; try again")

// inForceWait bounds the wait for other hosts to report an accepted version in
// force, before the operator gets the reply.
const inForceWait = 1500 * time.Millisecond

// accept checks a note against the current release, writes the next release and
// brings it into force here; a dry run only checks. Its error is a
// *release.ConflictError, a platform error or the reason why the note is
// refused.
func (r *releases) accept(ctx context.Context, note *release.Note, text []byte, dryRun bool) (Accepted, error) {
	r.control.RunInLoop(ctx, func() { r.control.accepting++ })
	defer r.control.RunInLoop(context.Background(), func() { r.control.accepting-- })
	found, err := r.read(ctx, note.ID)
	if err != nil {
		return Accepted{}, err
	}
	if found.earlier != 0 {
		return r.awaitInForce(ctx, Accepted{
			Version:         found.earlier,
			NoteID:          note.ID,
			AlreadyAccepted: true,
		}), nil
	}
	next, err := note.Apply(found.state)
	if err != nil {
		return Accepted{}, err
	}
	accepted := Accepted{
		Version:    next.Version,
		NoteID:     note.ID,
		DryRun:     dryRun,
		Difference: release.Difference(found.state, next),
	}
	if dryRun {
		return accepted, nil
	}
	if err := r.write(ctx, note.ID, found, next, text); err != nil {
		return Accepted{}, err
	}
	klog.InfoS("release note accepted", "version", next.Version, "note", note.ID)
	r.control.RunInLoop(ctx, func() {
		r.control.adopt(next, "operator")
		for _, remote := range r.control.view.Alive() {
			r.control.sendState(remote.Info.Host)
		}
		r.control.sendHeartbeats()
	})
	return r.awaitInForce(ctx, accepted), nil
}

// read fetches the current release and any earlier acceptance of the note.
func (r *releases) read(ctx context.Context, id string) (storedRelease, error) {
	response, err := r.control.config.Store.Txn(ctx, "release_read", platform.TxnRequest{
		Success: []platform.Op{platform.Get(currentKey), platform.Get(notePrefix + id)},
	})
	if err != nil {
		return storedRelease{}, fmt.Errorf("%w: nothing was written", platform.ErrUnavailable)
	}
	return r.parse(response)
}

// parse decodes the replies for the current release and the note, in this
// order. It returns errStoreBehind, along with what was found, if the store
// holds an older release than the one in force.
func (r *releases) parse(response platform.TxnResponse) (storedRelease, error) {
	found := storedRelease{
		state: &release.State{},
	}
	if current := rangeOf(response, 0); len(current.Kvs) > 0 {
		state, err := release.Decode(current.Kvs[0].Value)
		if err != nil {
			return found, err
		}
		found.state, found.revision = state, int64(current.Kvs[0].ModRevision)
	}
	if earlier := rangeOf(response, 1); len(earlier.Kvs) > 0 {
		version, err := strconv.ParseUint(string(earlier.Kvs[0].Value), 10, 64)
		if err != nil {
			return found, fmt.Errorf("%w: key %s holds no release version but %q", release.ErrState, earlier.Kvs[0].Key, earlier.Kvs[0].Value)
		}
		found.earlier = version
	}
	if inForce := r.control.Snapshot().State; inForce != nil && inForce.Version > found.state.Version {
		return found, errStoreBehind
	}
	return found, nil
}

// historyEntry is one accepted note as stored in the platform's store.
type historyEntry struct {
	Version uint64    `json:"version"`
	NoteID  string    `json:"note_id"`
	At      time.Time `json:"at"`
	Host    string    `json:"host"`
	Text    string    `json:"text"`
}

// maxWriteAttempts bounds the attempts of a write whose outcome is unknown.
const maxWriteAttempts = 8

// write makes next the current release if found is still the current one, and
// returns a *release.ConflictError if it is not. A write whose outcome is
// unknown is sent again; the stored ID of the note shows whether an earlier
// attempt was applied. It returns platform.ErrUnknown if that stays open.
func (r *releases) write(ctx context.Context, id string, found storedRelease, next *release.State, text []byte) error {
	version := strconv.FormatUint(next.Version, 10)
	history, err := json.Marshal(historyEntry{
		Version: next.Version,
		NoteID:  id,
		At:      r.control.config.Clock().UTC(),
		Host:    r.control.config.Self.Host,
		Text:    string(text),
	})
	if err != nil {
		return err
	}
	txn := platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(currentKey, found.revision), platform.KeyAbsent(notePrefix + id)},
		Success: append(putRelease(next),
			platform.Put(notePrefix+id, []byte(version)),
			platform.Put(historyPrefix+fmt.Sprintf("%012d", next.Version), history),
		),
		Failure: []platform.Op{platform.Get(currentKey), platform.Get(notePrefix + id)},
	}
	for range maxWriteAttempts {
		response, err := r.control.config.Store.Txn(ctx, "release_write", txn)
		switch {
		case err == nil && response.Succeeded:
			return nil
		case err == nil:
			return r.conflict(response, next.Version)
		case ctx.Err() != nil:
			return platform.ErrUnknown
		}
		time.Sleep(r.control.config.Settings.Platform.Poll)
	}
	return platform.ErrUnknown
}

// conflict returns the error for a write that was refused, because another note
// was accepted first. It returns nil if the store shows this note accepted
// under version, which means that an earlier attempt was applied.
func (r *releases) conflict(response platform.TxnResponse, version uint64) error {
	current, err := r.parse(response)
	if err != nil && !errors.Is(err, errStoreBehind) {
		return err
	}
	if current.earlier == version {
		return nil
	}
	return &release.ConflictError{
		Version: current.state.Version,
		NoteID:  current.state.NoteID,
	}
}

// awaitInForce waits for at most inForceWait until every host that is neither
// dead nor left reports the version in force. It returns accepted with the
// hosts that do and those that do not.
func (r *releases) awaitInForce(ctx context.Context, accepted Accepted) Accepted {
	deadline := time.Now().Add(inForceWait)
	for {
		snapshot := r.control.Snapshot()
		accepted.InForce, accepted.Unconfirmed = []string{r.control.config.Self.Host}, nil
		for _, peer := range snapshot.Peers {
			if peer.ReleaseVersion >= accepted.Version {
				accepted.InForce = append(accepted.InForce, peer.Info.Host)
			} else if peer.Status != "dead" && peer.Status != "left" {
				accepted.Unconfirmed = append(accepted.Unconfirmed, peer.Info.Host)
			}
		}
		if len(accepted.Unconfirmed) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return accepted
		}
		time.Sleep(controlTick)
	}
}

// notifyDispatcher notifies the dispatcher of a zone that a job's record has
// changed. It does nothing if no dispatcher is known.
func (c *Control) notifyDispatcher(zone, id string) {
	holder := c.Snapshot().Holders[rightName(zone, dispatchRight)]
	switch holder {
	case "":
		return
	case c.config.Self.Host:
		c.config.ReadNow()
	default:
		_ = c.config.Hub.Send(holder, message.KindJobHint, message.JobHint{
			Jobs: []string{id},
		})
	}
}
