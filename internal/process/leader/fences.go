package leader

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// fenceRetryGap is the least time between two commits that are made only for their
// revision.
const fenceRetryGap = 100 * time.Millisecond

// fence is the fencing token of one worker in one term.
type fence struct {
	// token is sent with the calls to the worker, unless the term's is higher.
	token int64
	// acted is the highest token that was sent with a call which acts on arrival: a
	// start, or a poll that acknowledges ends or requests a lease; zero without one. A
	// copy of that call may still arrive, also at a later incarnation of the worker. It
	// knows neither the run nor a stop of it, and numbers its own ends from one.
	acted int64
}

// fences holds the fencing tokens of the workers. A report of another incarnation of
// a worker is used only if its poll had a higher token than every call that was sent
// before and acts on arrival: from then on that incarnation refuses all copies of them. Tokens
// are revisions of the term's own commits, which are above the tokens of all earlier
// leaders and below those of all later ones.
type fences struct {
	// workers is by id. Workers that were removed stay, since they may come back.
	workers map[string]fence
	// newest is the revision of the newest commit of the term.
	newest int64
	// committing is set while a commit for a revision is in flight, triedAt is when
	// it was made.
	committing bool
	triedAt    time.Time
}

// tokenOf returns the token for calls to a worker.
func (t *term) tokenOf(id string) int64 {
	return max(t.token, t.fences.workers[id].token)
}

// sent records the token of a call that acts on arrival.
func (f *fences) sent(id string, token int64) {
	state := f.workers[id]
	state.acted = max(state.acted, token)
	f.set(id, state)
}

func (f *fences) set(id string, state fence) {
	if f.workers == nil {
		f.workers = map[string]fence{}
	}
	f.workers[id] = state
}

// barsEarlier reports whether a worker that has accepted a call with the token
// refuses the copies of all earlier calls that act on arrival.
func (f *fences) barsEarlier(id string, token int64) bool {
	return token > f.workers[id].acted
}

// committed records a commit of the term.
func (f *fences) committed(revision int64) {
	f.newest = max(f.newest, revision)
}

// raiseToken makes the token of a worker higher than those of all calls that were sent
// to it and act on arrival: at once if the term has made a commit since the last of them, and
// otherwise when it has made one for this.
func (t *term) raiseToken(id string, now time.Time) {
	f := &t.fences
	state := f.workers[id]
	switch {
	case f.barsEarlier(id, t.tokenOf(id)):
	case f.newest > state.acted:
		state.token = f.newest
		f.set(id, state)
	case !f.committing && !t.unoccupied && now.Sub(f.triedAt) >= fenceRetryGap:
		f.committing, f.triedAt = true, now
		t.writer.add(&pendingCommit{
			commit: store.Commit{},
			done: func(err error, _ time.Time) {
				f.committing = false
				klog.InfoS("revision for tokens written", "shard", t.leader.config.Shard, "revision", f.newest, "err", err)
			},
		})
	}
}
