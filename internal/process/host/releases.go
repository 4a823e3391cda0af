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

// Accepted is what an operator learns of an accepted note.
type Accepted struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"note_id"`
	// Before means that the note had been accepted earlier.
	Before bool `json:"before,omitempty"`
	// DryRun means that nothing was written.
	DryRun bool `json:"dry_run,omitempty"`
	// Difference is what the note changes, a line each.
	Difference []string `json:"difference,omitempty"`
	// InForce and NotHeard are hosts as far as this one knows.
	InForce  []string `json:"in_force"`
	NotHeard []string `json:"not_heard,omitempty"`
}

// releases accepts release notes for one host.
type releases struct {
	control *Control
}

// stored is what the platform holds of the release.
type stored struct {
	state    *release.State
	revision int64
	// before is the version under which the note was accepted earlier.
	before uint64
}

var errStoreBehind = errors.New("the store holds an older release than is in force and is being put right; try again")

// announceWait bounds the wait for other hosts before a note is accepted.
const announceWait = 1500 * time.Millisecond

// accept checks a note against what is in force and brings it into force. Its
// error is a *release.ConflictError, a platform error or a reason to refuse.
func (r *releases) accept(ctx context.Context, note *release.Note, text []byte, dryRun bool) (Accepted, error) {
	r.control.Ask(ctx, func() { r.control.accepting++ })
	defer r.control.Ask(context.Background(), func() { r.control.accepting-- })
	found, err := r.read(ctx, note.ID)
	if err != nil {
		return Accepted{}, err
	}
	if found.before != 0 {
		return r.announce(ctx, Accepted{
			Version: found.before,
			NoteID:  note.ID,
			Before:  true,
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
	r.control.Ask(ctx, func() {
		r.control.adopt(next, "operator")
		for _, known := range r.control.view.Alive() {
			r.control.give(known.Info.Host)
		}
		r.control.sendHeartbeats()
	})
	return r.announce(ctx, accepted), nil
}

func (r *releases) read(ctx context.Context, id string) (stored, error) {
	response, err := r.control.config.Store.Txn(ctx, "release_read", platform.TxnRequest{
		Success: []platform.Op{platform.Get(currentKey), platform.Get(notePrefix + id)},
	})
	if err != nil {
		return stored{}, fmt.Errorf("%w: nothing was written", platform.ErrUnavailable)
	}
	return r.parse(response)
}

func (r *releases) parse(response platform.TxnResponse) (stored, error) {
	found := stored{
		state: &release.State{},
	}
	if current := rangeOf(response, 0); len(current.Kvs) > 0 {
		state, err := release.Decode(current.Kvs[0].Value)
		if err != nil {
			return found, err
		}
		found.state, found.revision = state, int64(current.Kvs[0].ModRevision)
	}
	if before := rangeOf(response, 1); len(before.Kvs) > 0 {
		version, err := strconv.ParseUint(string(before.Kvs[0].Value), 10, 64)
		if err != nil {
			return found, release.ErrState
		}
		found.before = version
	}
	if inForce := r.control.Snapshot().State; inForce != nil && inForce.Version > found.state.Version {
		return found, errStoreBehind
	}
	return found, nil
}

// historyEntry is one accepted note as kept in the platform.
type historyEntry struct {
	Version uint64    `json:"version"`
	NoteID  string    `json:"note_id"`
	At      time.Time `json:"at"`
	Host    string    `json:"host"`
	Text    string    `json:"text"`
}

// settleTries bounds how often a write with a lost answer is repeated.
const settleTries = 8

// write makes the next state the current one, if the state it was made from
// still is. A lost answer is settled by the same write again: the note's id
// tells whether it had taken effect.
func (r *releases) write(ctx context.Context, id string, found stored, next *release.State, text []byte) error {
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
	for range settleTries {
		response, err := r.control.config.Store.Txn(ctx, "release_write", txn)
		switch {
		case err == nil && response.Succeeded:
			return nil
		case err == nil:
			return r.lost(response, next.Version)
		case ctx.Err() != nil:
			return platform.ErrUnknown
		}
		time.Sleep(r.control.config.Settings.Platform.Poll)
	}
	return platform.ErrUnknown
}

// lost tells who was first, unless it was this note itself.
func (r *releases) lost(response platform.TxnResponse, version uint64) error {
	stands, err := r.parse(response)
	if err != nil && !errors.Is(err, errStoreBehind) {
		return err
	}
	if stands.before == version {
		return nil
	}
	return &release.ConflictError{
		Version: stands.state.Version,
		NoteID:  stands.state.NoteID,
	}
}

// announce waits until every live host has the version in force, within
// bounds, and says which have it.
func (r *releases) announce(ctx context.Context, accepted Accepted) Accepted {
	deadline := time.Now().Add(announceWait)
	for {
		snapshot := r.control.Snapshot()
		accepted.InForce, accepted.NotHeard = []string{r.control.config.Self.Host}, nil
		for _, one := range snapshot.Peers {
			if one.ReleaseVersion >= accepted.Version {
				accepted.InForce = append(accepted.InForce, one.Info.Host)
			} else if one.Status != "dead" && one.Status != "left" {
				accepted.NotHeard = append(accepted.NotHeard, one.Info.Host)
			}
		}
		if len(accepted.NotHeard) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return accepted
		}
		time.Sleep(controlTick)
	}
}

// hintJob tells the dispatcher of a zone that a record has changed.
func (c *Control) hintJob(zone, id string) {
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
