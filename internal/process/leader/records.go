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

// guard makes a write hold only while the leadership is ours.
func (r *reign) guard() []store.Condition {
	return []store.Condition{
		{
			Key:      keyLead,
			Revision: r.token,
		},
	}
}

// writing is one commit under way.
type writing struct {
	reign  *reign
	commit store.Commit
	// done runs in the loop.
	done func(err error, now time.Time)
}

func (w *writing) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.reign.leader.config.Store.Commit(limited, w.commit)
	w.reign.post(func(now time.Time) {
		w.reign.judge(err, now)
		if w.reign.leader.reign == w.reign {
			w.done(err, now)
		}
	})
}

// judge looks at a failed write for a leadership that has gone.
func (r *reign) judge(err error, now time.Time) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || r.vacant {
		return
	}
	for _, item := range conflict.Items {
		if item.Key == keyLead && item.Revision > r.token {
			r.leader.lose("a write met another leader")
			return
		}
	}
	r.seeLead(Member{}, 0, now)
}

// record writes progress: ends of jobs soon, the rest in larger batches.
func (r *reign) record(now time.Time) {
	if r.recording || r.vacant || now.Sub(r.recordedAt) < gatherEnds {
		return
	}
	const most = store.MostEntries - 2 // room for the guard
	records := r.leader.board.Records(now.Sub(r.recordedAt) >= gatherRest, most)
	if len(records) == 0 {
		return
	}
	commit := store.Commit{
		If: r.guard(),
	}
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
	one := &writing{
		reign:  r,
		commit: commit,
		done:   func(err error, now time.Time) { r.recorded(records, err) },
	}
	go one.run(r.ctx)
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
	const most = store.MostEntries/3 - 1 // three keys a job, and the guard
	ids := r.leader.board.Forget(now, most)
	if len(ids) == 0 {
		return
	}
	commit := store.Commit{
		If: r.guard(),
	}
	for _, id := range ids {
		commit.Delete = append(commit.Delete, prefixJob+id, prefixCancel+id, prefixState+id)
	}
	one := &writing{
		reign:  r,
		commit: commit,
		done: func(err error, _ time.Time) {
			klog.InfoS("old jobs forgotten", "jobs", len(ids), "err", err)
		},
	}
	go one.run(r.ctx)
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
	one := &writing{
		reign: r,
		commit: store.Commit{
			If: r.guard(),
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
	}
	go one.run(r.ctx)
}
