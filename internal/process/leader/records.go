package leader

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// writer sends a term's commits one at a time. Each is conditional on the lead
// key and on the preceding commit, so that a commit whose answer was lost
// cannot take effect after a later one and overwrite a newer record.
type writer struct {
	term *term
	busy bool
	// waiting holds the commits not yet sent, in order.
	waiting []*pendingCommit
	// sequence is the revision of keySequence, which every commit writes.
	sequence int64
}

// pendingCommit is one commit that waits or is in flight.
type pendingCommit struct {
	writer *writer
	// token is the one under which it was sent.
	token  int64
	commit store.Commit
	// done is called in the loop with the outcome, unless the term has ended.
	done func(err error, now time.Time)
}

// add queues a commit.
func (w *writer) add(pending *pendingCommit) {
	pending.writer = w
	w.waiting = append(w.waiting, pending)
	w.next()
}

func (w *writer) next() {
	if w.busy || len(w.waiting) == 0 {
		return
	}
	w.busy = true
	pending := w.waiting[0]
	w.waiting = w.waiting[1:]
	pending.token = w.term.token
	pending.commit.If = append(pending.commit.If, store.Condition{
		Key:      w.term.keys().Lead,
		Revision: w.term.token,
	}, store.Condition{
		Key:      w.term.keys().Sequence,
		Revision: w.sequence,
	})
	pending.commit.Set = append(pending.commit.Set, store.Write{
		Key: w.term.keys().Sequence,
	})
	go pending.run(w.term.ctx)
}

// guardEntries is how many entries the writer adds to a commit.
const guardEntries = 3

func (p *pendingCommit) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	config := &p.writer.term.leader.config
	sent := config.Clock()
	revision, err := config.Store.Commit(limited, p.commit)
	config.RecordDuration("commit", config.Clock().Sub(sent))
	p.writer.term.post(func(now time.Time) { p.writer.handleCommitted(p, revision, err, now) })
}

func (w *writer) handleCommitted(pending *pendingCommit, revision int64, err error, now time.Time) {
	w.busy = false
	if err == nil {
		w.sequence = revision
		w.term.fences.committed(revision)
	}
	w.term.checkConflict(pending.token, err, now)
	if w.term.leader.term != w.term {
		return
	}
	pending.done(err, now)
	w.next()
}

// checkConflict handles a commit that failed on its conditions: the leadership
// was lost or has lapsed, or an earlier commit whose answer was lost took
// effect. A commit that was sent before the term was resumed says nothing about
// the leadership.
func (t *term) checkConflict(token int64, err error, now time.Time) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || t.unoccupied {
		return
	}
	var lead, sequence int64
	for _, item := range conflict.Items {
		switch item.Key {
		case t.keys().Lead:
			lead = item.Revision
		case t.keys().Sequence:
			sequence = item.Revision
		}
	}
	if token == t.token && lead > t.token {
		t.leader.stepDown("a commit conflicted with another leader")
		return
	}
	if token == t.token && lead != t.token {
		t.lapse(now)
	}
	t.writer.sequence = sequence
}

// saveProgress writes the progress of jobs: job ends soon, other progress along
// with them or in batches.
func (t *term) saveProgress(now time.Time) {
	if t.savingProgress || t.unoccupied || now.Sub(t.progressSavedAt) < endsBatchDelay {
		return
	}
	const maxRecords = store.MaxEntries - guardEntries
	records := t.leader.board.Records(now.Sub(t.progressSavedAt) >= progressBatchDelay, maxRecords)
	if len(records) == 0 {
		return
	}
	commit := store.Commit{}
	for i := range records {
		value, err := work.EncodeProgress(&records[i].Progress)
		if err != nil {
			klog.ErrorS(err, "progress cannot be written", "job", records[i].Job)
			continue
		}
		commit.Set = append(commit.Set, store.Write{
			Key:   t.keys().State(records[i].Job),
			Value: value,
		})
		for _, number := range records[i].Shards {
			commit.Set = append(commit.Set, store.Write{
				Key: KeysOf(number, t.leader.config.Shards).Cancel(records[i].Job),
			})
		}
	}
	t.savingProgress, t.progressSavedAt = true, now
	t.writer.add(&pendingCommit{
		commit: commit,
		done:   func(err error, now time.Time) { t.progressSaved(records, err, now) },
	})
}

func (t *term) progressSaved(records []schedule.Record, err error, now time.Time) {
	t.savingProgress = false
	if errors.Is(err, store.ErrRefused) {
		ids := make([]string, 0, len(records))
		for _, record := range records {
			ids = append(ids, record.Job)
		}
		klog.ErrorS(err, "progress refused by the store", "jobs", ids)
		t.leader.board.Refused(ids, now)
		return
	}
	if err != nil {
		klog.InfoS("progress not written", "records", len(records), "err", err)
	}
	for _, record := range records {
		if err == nil && record.Urgent {
			klog.InfoS("job ended", "job", record.Job, "state", record.Progress.State, "version", record.Version)
		}
		t.leader.board.Written(record.Job, record.Version, err == nil)
	}
}

// rosterMode encodes times with microseconds: a successor tells incarnations of a
// worker apart by the time at which they began.
var rosterMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// rosterState tracks which workers are in the roster in the store.
type rosterState struct {
	stored        map[Target]bool
	pendingCommit bool
	triedAt       time.Time
}

func (s *rosterState) contains(target Target) bool {
	return s.stored[target]
}

func rosterTargets(roster []schedule.Listing) map[Target]bool {
	targets := make(map[Target]bool, len(roster))
	for _, listing := range roster {
		targets[Target{
			ID:      listing.ID,
			Address: listing.Address,
		}] = true
	}
	return targets
}

// saveRoster writes the roster before a worker in it is used: a successor must
// know every worker that may run a task, even if it is no longer on the list.
func (t *term) saveRoster(now time.Time) {
	if t.roster.pendingCommit || t.unoccupied || now.Sub(t.roster.triedAt) < tick {
		return
	}
	roster := t.leader.board.Roster()
	current := rosterTargets(roster)
	missing := false
	for target := range current {
		missing = missing || !t.roster.contains(target)
	}
	// A successor would wait for a removed worker that is still in the roster.
	removed := len(t.roster.stored) > len(current) && now.Sub(t.roster.triedAt) >= rosterPruneInterval
	if !missing && !removed {
		return
	}
	value, err := rosterMode.Marshal(roster)
	if err != nil {
		klog.ErrorS(err, "roster cannot be written")
		return
	}
	t.roster.pendingCommit, t.roster.triedAt = true, now
	t.writer.add(&pendingCommit{
		commit: store.Commit{
			Set: []store.Write{
				{
					Key:   t.keys().Roster,
					Value: value,
				},
			},
		},
		done: func(err error, _ time.Time) {
			t.roster.pendingCommit = false
			klog.InfoS("roster written", "workers", len(roster), "err", err)
			if err == nil {
				t.roster.stored = rosterTargets(roster)
				t.leader.board.RosterStored(roster)
			}
		},
	})
}
