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

// writer sends a reign's commits one at a time. Each names the leadership and
// the commit before it, so that one whose answer was lost can never take effect
// after a later one: an older record would replace a newer.
type writer struct {
	reign *reign
	busy  bool
	// waiting commits are sent in order.
	waiting []*writing
	// sequence is the revision of the key that every commit writes.
	sequence int64
}

// writing is one commit.
type writing struct {
	writer *writer
	commit store.Commit
	// done runs in the loop.
	done func(err error, now time.Time)
}

// add queues a commit.
func (w *writer) add(one *writing) {
	one.writer = w
	w.waiting = append(w.waiting, one)
	w.next()
}

func (w *writer) next() {
	if w.busy || len(w.waiting) == 0 {
		return
	}
	w.busy = true
	one := w.waiting[0]
	w.waiting = w.waiting[1:]
	one.commit.If = []store.Condition{
		{
			Key:      keyLead,
			Revision: w.reign.token,
		},
		{
			Key:      keySequence,
			Revision: w.sequence,
		},
	}
	one.commit.Set = append(one.commit.Set, store.Write{
		Key: keySequence,
	})
	go one.run(w.reign.ctx)
}

// guardEntries is how many entries of a commit the writer needs.
const guardEntries = 3

func (o *writing) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	config := &o.writer.reign.leader.config
	begun := config.Clock()
	revision, err := config.Store.Commit(limited, o.commit)
	config.Took("commit", config.Clock().Sub(begun))
	o.writer.reign.post(func(now time.Time) { o.writer.written(o, revision, err, now) })
}

func (w *writer) written(one *writing, revision int64, err error, now time.Time) {
	w.busy = false
	if err == nil {
		w.sequence = revision
	}
	w.reign.judge(err, now)
	if w.reign.leader.reign != w.reign {
		return
	}
	one.done(err, now)
	w.next()
}

// judge looks at a failed write for a leadership that has gone, or for an
// earlier commit whose answer was lost.
func (r *reign) judge(err error, now time.Time) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || r.vacant {
		return
	}
	var lead, sequence int64
	for _, item := range conflict.Items {
		switch item.Key {
		case keyLead:
			lead = item.Revision
		case keySequence:
			sequence = item.Revision
		}
	}
	if lead > r.token {
		r.leader.lose("a write met another leader")
		return
	}
	if lead != r.token {
		r.seeLead(Member{}, 0, now)
	}
	r.writer.sequence = sequence
}

// record writes progress: ends of jobs soon, the rest with them or in batches.
func (r *reign) record(now time.Time) {
	if r.recording || r.vacant || now.Sub(r.recordedAt) < gatherEnds {
		return
	}
	const most = store.MostEntries - guardEntries
	records := r.leader.board.Records(now.Sub(r.recordedAt) >= gatherRest, most)
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
			Key:   prefixState + records[i].Job,
			Value: value,
		})
	}
	r.recording, r.recordedAt = true, now
	r.writer.add(&writing{
		commit: commit,
		done:   func(err error, _ time.Time) { r.recorded(records, err) },
	})
}

func (r *reign) recorded(records []schedule.Record, err error) {
	r.recording = false
	if err != nil {
		klog.InfoS("progress not written", "records", len(records), "err", err)
	}
	for _, one := range records {
		if err == nil && one.Urgent {
			klog.InfoS("job ended", "job", one.Job, "state", one.Progress.State, "version", one.Version)
		}
		r.leader.board.Written(one.Job, one.Version, err == nil)
	}
}

// forget drops the records of jobs that ended long ago.
func (r *reign) forget(now time.Time) {
	if now.Sub(r.forgottenAt) < forgetInterval || r.vacant {
		return
	}
	r.forgottenAt = now
	const most = (store.MostEntries - guardEntries) / 3 // three keys a job
	ids := r.leader.board.Forget(now, most)
	if len(ids) == 0 {
		return
	}
	commit := store.Commit{}
	for _, id := range ids {
		commit.Delete = append(commit.Delete, prefixJob+id, prefixCancel+id, prefixState+id)
	}
	r.writer.add(&writing{
		commit: commit,
		done: func(err error, _ time.Time) {
			klog.InfoS("old jobs forgotten", "jobs", len(ids), "err", err)
		},
	})
}

// rosterState is which workers the store knows that we may use.
type rosterState struct {
	stored  map[Target]bool
	writing bool
	triedAt time.Time
}

func (s *rosterState) holds(target Target) bool {
	return s.stored[target]
}

func rosterKeys(roster []schedule.Listing) map[Target]bool {
	keys := make(map[Target]bool, len(roster))
	for _, one := range roster {
		keys[Target{
			ID:      one.ID,
			Address: one.Address,
		}] = true
	}
	return keys
}

// keepRoster writes the workers that may be used before any is: a taker must
// know of each that may run something, also when it is not on the list.
func (r *reign) keepRoster(now time.Time) {
	if r.roster.writing || r.vacant || now.Sub(r.roster.triedAt) < tick {
		return
	}
	roster := r.leader.board.Roster()
	current := rosterKeys(roster)
	missing := false
	for target := range current {
		missing = missing || !r.roster.holds(target)
	}
	// A worker that is gone but still on the roster would make a taker wait.
	gone := len(r.roster.stored) > len(current) && now.Sub(r.roster.triedAt) >= pruneInterval
	if !missing && !gone {
		return
	}
	value, err := cbor.Marshal(roster)
	if err != nil {
		klog.ErrorS(err, "roster cannot be written")
		return
	}
	r.roster.writing, r.roster.triedAt = true, now
	r.writer.add(&writing{
		commit: store.Commit{
			Set: []store.Write{
				{
					Key:   keyRoster,
					Value: value,
				},
			},
		},
		done: func(err error, _ time.Time) {
			r.roster.writing = false
			klog.InfoS("roster written", "workers", len(roster), "err", err)
			if err == nil {
				r.roster.stored = rosterKeys(roster)
			}
		},
	})
}
