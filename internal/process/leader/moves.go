package leader

import (
	"errors"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// moves passes waiting jobs to shards that have room. A move is one commit that
// deletes the job's record here and creates it there. It is conditional on the
// leadership, on the record and on there being no cancellation, so that a job is
// in one shard at any time and its cancellation is seen there.
type moves struct {
	term *term
	// revisions holds the revision of each job's record.
	revisions map[string]int64
	// loads holds the newest load of each other shard by service.
	loads map[int]publishedLoad
	// otherEndedAt is when the load of another shard was last seen to be removed,
	// as its leader's term ended; zero if none was.
	otherEndedAt time.Time
	// unsettled holds the jobs whose move got no answer. No other job moves until
	// it is known whether it took effect.
	unsettled []schedule.Move
	// rounds says when loads are published and moves are decided on, and inTransit
	// holds the work on its way by job.
	rounds    shard.Rounds
	inTransit map[string]*shard.Transit
	// publishing and probing are set while that call is in flight.
	publishing, probing bool
}

func newMoves(t *term, result *acquisitionResult) moves {
	return moves{
		term:      t,
		revisions: result.createRevisions,
		loads:     map[int]publishedLoad{},
		rounds: shard.Rounds{
			Own:    t.leader.config.Shard,
			Shards: t.leader.config.Shards,
		},
		inTransit: map[string]*shard.Transit{},
	}
}

// balance publishes this shard's load and moves jobs in rounds.
func (m *moves) balance(now time.Time) {
	config := &m.term.leader.config
	if config.Shards <= 1 || m.term.unoccupied {
		return
	}
	if m.rounds.PublishDue(now) {
		own := m.term.leader.board.Loads(now)
		m.publish(own)
		m.rounds.Published(own, now)
	}
	if !m.rounds.DecideDue(now) {
		return
	}
	own, since := m.rounds.Decide()
	loads := m.byService(own, now)
	m.term.transfers.balance(loads, now)
	if len(m.unsettled) > 0 {
		m.probe()
		return
	}
	if !now.Before(m.term.actUntil) {
		return
	}
	m.send(m.term.leader.board.MovesSince(config.Shard, loads, since, now))
}

// send commits the moves, a few jobs a commit.
func (m *moves) send(chosen []schedule.Move) {
	const entriesPerJob = 5
	const maxJobs = (store.MaxEntries - guardEntries) / entriesPerJob
	for len(chosen) > 0 {
		batch := chosen[:min(maxJobs, len(chosen))]
		chosen = chosen[len(batch):]
		commit, sent := store.Commit{}, []schedule.Move{}
		for _, move := range batch {
			if m.addTo(&commit, move) {
				sent = append(sent, move)
				m.depart(&move)
			}
		}
		m.term.writer.add(&pendingCommit{
			commit: commit,
			done:   func(err error, now time.Time) { m.sent(sent, err, now) },
		})
	}
}

// depart counts a move to the load of its target until that has it.
func (m *moves) depart(move *schedule.Move) {
	transit := &shard.Transit{
		To:          move.To,
		Service:     move.Service,
		MilliCores:  move.MilliCores,
		Filler:      move.Filler,
		LongRunning: move.Job.LongRunning(),
	}
	m.inTransit[move.Job.ID] = transit
	m.rounds.Sent(transit)
}

func (m *moves) addTo(commit *store.Commit, move schedule.Move) bool {
	id, config := move.Job.ID, &m.term.leader.config
	value, err := work.EncodeJob(move.Job)
	if err != nil || m.revisions[id] == 0 {
		klog.ErrorS(err, "job cannot be moved", "job", id, "revision", m.revisions[id])
		m.term.leader.board.Stay(id)
		return false
	}
	commit.If = append(commit.If, store.Condition{
		Key:      config.Keys.Job(id),
		Revision: m.revisions[id],
	}, store.Condition{
		Key: config.Keys.Cancel(id),
	})
	commit.Set = append(commit.Set, store.Write{
		Key:   KeysOf(move.To, config.Shards).Job(id),
		Value: value,
	}, store.Write{
		Key:   MovedKey(id),
		Value: []byte(strconv.Itoa(move.To)),
	})
	commit.Delete = append(commit.Delete, config.Keys.Job(id))
	return true
}

// sent handles the outcome of a commit of moves.
func (m *moves) sent(batch []schedule.Move, err error, now time.Time) {
	if errors.Is(err, store.ErrUnknown) {
		m.unsettled = append(m.unsettled, batch...)
		return
	}
	m.finish(batch, err == nil, err, now)
}

// probe finds out what became of moves without an answer, by a commit that is
// conditional on the jobs' records here. If it succeeds, the moves have not taken
// effect, and never will: they were conditional on the commit before. A record
// that is gone has moved.
func (m *moves) probe() {
	if m.probing {
		return
	}
	m.probing = true
	const maxJobs = store.MaxEntries - guardEntries
	batch := m.unsettled[:min(maxJobs, len(m.unsettled))]
	commit := store.Commit{}
	for _, move := range batch {
		commit.If = append(commit.If, store.Condition{
			Key:      m.term.keys().Job(move.Job.ID),
			Revision: m.revisions[move.Job.ID],
		})
	}
	m.term.writer.add(&pendingCommit{
		commit: commit,
		done:   func(err error, now time.Time) { m.probed(batch, err, now) },
	})
}

func (m *moves) probed(batch []schedule.Move, err error, now time.Time) {
	m.probing = false
	m.unsettled = m.unsettled[len(batch):]
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.finish(batch, false, nil, now)
	case errors.As(err, &conflict):
		present := map[string]bool{}
		for _, item := range conflict.Items {
			present[item.Key] = true
		}
		for _, move := range batch {
			if present[m.term.keys().Job(move.Job.ID)] {
				m.unsettled = append(m.unsettled, move)
			} else {
				m.finish([]schedule.Move{move}, true, nil, now)
			}
		}
	default:
		m.unsettled = append(m.unsettled, batch...)
	}
}

func (m *moves) finish(batch []schedule.Move, moved bool, err error, now time.Time) {
	board := m.term.leader.board
	for _, move := range batch {
		transit := m.inTransit[move.Job.ID]
		delete(m.inTransit, move.Job.ID)
		if moved {
			m.rounds.Arrived(transit, now)
			board.Departed(move.Job.ID)
			m.term.removed.add(move.Job.ID, m.revisions[move.Job.ID], m.term.writer.sequence)
			delete(m.revisions, move.Job.ID)
			m.term.owners.remove(move.Job.ID)
			m.term.leader.config.Counts.Add("jobs_moved", 1)
		} else {
			m.rounds.Returned(transit)
			board.Stay(move.Job.ID)
		}
		klog.InfoS("job moved", "job", move.Job.ID, "from", m.term.leader.config.Shard, "to", move.To,
			"cores", move.MilliCores, "done", moved, "err", err)
	}
}
