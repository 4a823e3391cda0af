package leader

import (
	"context"
	"errors"
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a completed job that runs again: the one write that deletes its records
// was refused, the job was dropped all the same, and a later list of the records brought it
// back without its progress.
func TestRefusedDeletionIsRepeated(t *testing.T) {
	s := newSite(t)
	config := s.leaderConfig("recife-1")
	config.Board.KeepEnded = time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	refused := make(chan struct{}, 100)
	commit := config.Store.Commit
	config.Store.Commit = func(ctx context.Context, next store.Commit) (int64, error) {
		for _, key := range next.Delete {
			if key == soloKeys.Job("a") && len(refused) == 0 {
				refused <- struct{}{}
				return 0, store.ErrUnavailable
			}
		}
		return commit(ctx, next)
	}
	group := s.startConfigured(ctx, config, shard.Solo())
	s.submit("a")
	s.waitCompleted(group.leaders[0], "a")
	require.Eventually(t, func() bool { return len(refused) == 1 }, waitTimeout, 10*time.Millisecond)
	assert.Eventually(t, func() bool {
		_, err := s.store.Client().Get(t.Context(), soloKeys.Job("a"))
		return errors.Is(err, store.ErrAbsent)
	}, deleteInterval+2*time.Second, 10*time.Millisecond, "the deletion is repeated")
}

// deletions drives the deletion of ended jobs by hand: commits are refused or lose their
// answers, the history of the store is dropped, and ids are used again.
type deletions struct {
	t      *rapid.T
	memory *standin.Memory
	leader *Leader
	// heard is the revision up to which changes were delivered.
	heard int64
	// ended holds the revisions of the records whose jobs have ended.
	ended map[int64]bool
}

var deletionIDs = []string{"a", "b", "c"}

func newDeletions(t *rapid.T) *deletions {
	d := &deletions{
		t:      t,
		memory: standin.NewMemory(time.Now),
		ended:  map[int64]bool{},
	}
	group := NewGroup(GroupConfig{
		Leader: Config{
			Store:          d.memory.Client(),
			Board:          schedule.Config{},
			Clock:          time.Now,
			TimeOfDay:      time.Now,
			Counts:         new(expvar.Map).Init(),
			RecordDuration: func(string, time.Duration) {},
		},
		Layout:        shard.Solo(),
		LeaderChanged: func(int, Member) {},
	})
	d.leader = group.leaders[0]
	revision, err := d.memory.Client().Commit(context.Background(), store.Commit{
		Set: []store.Write{
			{
				Key: soloKeys.Lead,
			},
			{
				Key: soloKeys.Sequence,
			},
		},
	})
	require.NoError(t, err)
	term := &term{
		leader:  d.leader,
		ctx:     context.Background(),
		token:   revision,
		removed: removedRecords{},
		owners:  owners{},
		bars:    bars{},
	}
	term.writer = writer{
		term:     term,
		sequence: revision,
	}
	term.oldJobs.term = term
	d.leader.term, d.leader.board = term, schedule.NewBoard(d.leader.config.Board)
	d.leader.board.Begin(revision, time.Now())
	term.transfers = newTransfers(term)
	term.moves = newMoves(term, &acquisitionResult{
		createRevisions: map[string]int64{},
	})
	d.heard = revision
	return d
}

func (d *deletions) answer() {
	if d.leader.term.writer.busy {
		event := <-d.leader.events
		event.handle(time.Now())
	}
}

func (d *deletions) settle() {
	for d.leader.term.writer.busy {
		d.answer()
	}
}

// fault sets what becomes of the commits that follow.
func (d *deletions) fault(err error, late bool) {
	d.settle()
	d.memory.SetFault(func(call string) error {
		if call == "commit" {
			return err
		}
		return nil
	}, late)
}

// submit accepts a job by another host, unless there is one with the id.
func (d *deletions) submit(id string) {
	d.fault(nil, false)
	value, err := work.EncodeJob(&work.Job{
		ID:      id,
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{{
			Count: 1,
		}},
		Accepted: time.Now(),
	})
	require.NoError(d.t, err)
	_, _ = d.memory.Client().Commit(context.Background(), store.Commit{
		If: []store.Condition{
			{
				Key: soloKeys.Job(id),
			},
		},
		Set: []store.Write{
			{
				Key:   soloKeys.Job(id),
				Value: value,
			},
		},
	})
}

// end ends an open job, with its record in the store.
func (d *deletions) end(id string) {
	board := d.leader.board
	if !board.IsOpen(id) {
		return
	}
	d.ended[d.leader.term.moves.revisions[id]] = true
	board.Cancel(id, time.Now().Add(-time.Hour))
	for _, record := range board.Records(true, 100) {
		board.Written(record.Job, record.Version, true)
	}
}

// hear delivers the changes, or a list of all records if the history was dropped.
func (d *deletions) hear() {
	d.settle()
	d.memory.SetFault(func(string) error { return nil }, false)
	changes, err := d.memory.Client().Watch(context.Background(), soloKeys.work, d.heard, 0)
	if errors.Is(err, store.ErrCompacted) {
		d.list()
		return
	}
	require.NoError(d.t, err)
	d.heard = changes.Revision
	d.leader.term.observeWork(store.View{
		Events:   changes.Events,
		Revision: changes.Revision,
	}, time.Now())
}

func (d *deletions) list() {
	page, err := d.memory.Client().Page(context.Background(), soloKeys.work, "")
	require.NoError(d.t, err)
	d.heard = page.Revision
	d.leader.term.observeWork(store.View{
		Snapshot: true,
		Items:    page.Items,
		Revision: page.Revision,
	}, time.Now())
}

func (d *deletions) delete() {
	d.leader.term.oldJobs.triedAt = time.Time{}
	d.leader.term.oldJobs.delete(time.Now())
}

func (d *deletions) event() {
	ids := rapid.SampledFrom(deletionIDs)
	switch rapid.SampledFrom([]string{
		"submit", "submit", "end", "end", "hear", "hear", "delete", "delete", "delete", "answer", "answer",
		"refused", "no answer", "late", "no faults", "late writes", "history dropped",
	}).Draw(d.t, "event") {
	case "submit":
		d.submit(ids.Draw(d.t, "id"))
	case "end":
		d.end(ids.Draw(d.t, "id"))
	case "hear":
		d.hear()
	case "delete":
		d.delete()
	case "answer":
		d.answer()
	case "refused":
		d.fault(store.ErrUnavailable, false)
	case "no answer":
		d.fault(store.ErrUnknown, false)
	case "late":
		d.fault(store.ErrUnknown, true)
	case "no faults":
		d.fault(nil, false)
	case "late writes":
		d.settle()
		d.memory.ApplyDelayed()
	case "history dropped":
		d.settle()
		d.memory.Compact()
	}
}

// check checks that no job is open whose record is that of one that has ended.
func (d *deletions) check() {
	for _, id := range deletionIDs {
		if d.leader.board.IsOpen(id) {
			require.False(d.t, d.ended[d.leader.term.moves.revisions[id]], "job %s has ended and runs again", id)
		}
	}
}

// Guards against the same over random sequences of refusals, lost answers, late writes,
// dropped histories and ids that are used again: no job runs again after its end, the
// records of all ended jobs are deleted in the end, and each that was submitted is known.
func TestDeletedJobsDoNotComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDeletions(t)
		for range 60 {
			d.event()
			d.check()
		}
		d.fault(nil, false)
		d.memory.ApplyDelayed()
		for range 8 {
			d.hear()
			d.delete()
			d.settle()
			d.check()
		}
		page, err := d.memory.Client().Page(context.Background(), soloKeys.Job(""), "")
		require.NoError(t, err)
		for _, item := range page.Items {
			require.False(t, d.ended[item.Revision], "key %s of an ended job is left", item.Key)
			require.True(t, d.leader.board.IsOpen(item.Key[len(soloKeys.Job("")):]), "key %s is not known", item.Key)
		}
	})
}
