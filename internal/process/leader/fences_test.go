package leader

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// fencedWorker is a worker that remembers the highest token, until it restarts.
type fencedWorker struct {
	incarnation int
	token       int64
	// heardOf is the incarnation whose report the leader used last, -1 without one.
	heardOf int
}

func (w *fencedWorker) born() time.Time {
	return competitionStart.Add(time.Duration(w.incarnation) * time.Second)
}

// callCopy is a start, or a poll that acknowledges ends or requests a lease, on its way to
// a worker.
type callCopy struct {
	worker string
	token  int64
	// incarnation is the one that the leader knew when it sent the call.
	incarnation int
}

// fencing drives the links of a term by hand: calls arrive late or never, polls get
// lost, workers restart and leave the list, commits fail, and leaders follow
// each other.
type fencing struct {
	t       *rapid.T
	leader  *Leader
	workers map[string]*fencedWorker
	copies  []callCopy
	// revision is that of the store, failing is set while it refuses commits.
	revision int64
	failing  bool
	now      time.Time
}

func newFencing(t *rapid.T) *fencing {
	f := &fencing{
		t:       t,
		workers: map[string]*fencedWorker{},
		now:     competitionStart,
	}
	f.leader = New(Config{
		Store: store.Client{
			Commit: func(context.Context, store.Commit) (int64, error) {
				if f.failing {
					return 0, store.ErrUnavailable
				}
				f.revision++
				return f.revision, nil
			},
		},
		Board: schedule.Config{
			LeaseTerm: time.Hour,
			ActTerm:   time.Hour,
		},
		Keys:           soloKeys,
		Duties:         &Duties{},
		Clock:          func() time.Time { return competitionStart },
		Counts:         new(expvar.Map).Init(),
		RecordDuration: func(string, time.Duration) {},
	})
	f.leader.callSlots = nil // orders stay in term.waiting
	for _, id := range []string{"w0", "w1"} {
		f.workers[id] = &fencedWorker{}
	}
	f.lead()
	return f
}

// lead begins the term of another leader.
func (f *fencing) lead() {
	for f.leader.term != nil && f.leader.term.writer.busy {
		f.commitAnswered()
	}
	f.revision++
	t := &term{
		leader:   f.leader,
		ctx:      f.t.Context(),
		token:    f.revision,
		ready:    true,
		actUntil: f.now.Add(time.Hour),
		links:    map[string]*link{},
	}
	t.writer.term = t
	f.leader.term, f.leader.board = t, schedule.NewBoard(f.leader.config.Board)
	f.leader.board.Begin(t.token, f.now)
	for id, worker := range f.workers {
		worker.heardOf = -1
		f.list(id)
	}
}

// list opens a new link to a worker, as for one that has come back to the list.
func (f *fencing) list(id string) {
	t := f.leader.term
	listing := schedule.Listing{
		ID:      id,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	f.leader.board.AddRoster([]schedule.Listing{listing}, f.now)
	t.roster.stored = rosterTargets(f.leader.board.Roster())
	t.links[id] = &link{
		term: t,
		target: Target{
			ID:      id,
			Address: listing.Address,
		},
		polls:      make(chan Poll, 1),
		withoutAck: true,
	}
	f.workers[id].heardOf = -1
}

func (f *fencing) start(id string) {
	t := f.leader.term
	t.order(&call{
		start: &schedule.Start{
			Worker: id,
		},
	}, id, f.now)
	for _, order := range t.waiting {
		f.copies = append(f.copies, callCopy{
			worker:      id,
			token:       order.lease.Token,
			incarnation: f.workers[id].heardOf,
		})
	}
	t.waiting = nil
}

// arrive delivers one of the calls, in any order. An incarnation that the leader has
// heard of must refuse those that were sent before.
func (f *fencing) arrive() {
	if len(f.copies) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.copies)-1).Draw(f.t, "copy")
	late := f.copies[index]
	f.copies = append(f.copies[:index], f.copies[index+1:]...)
	worker := f.workers[late.worker]
	if late.token < worker.token {
		return
	}
	worker.token = late.token
	if worker.heardOf == worker.incarnation {
		require.Equal(f.t, worker.incarnation, late.incarnation, "%s accepts a call with token %d that was sent before it restarted", late.worker, late.token)
	}
}

// poll polls all workers; some polls are not answered.
func (f *fencing) poll(answered func() bool) {
	t := f.leader.term
	f.now = f.now.Add(pollRetryGap)
	t.pollWorkers(f.now)
	for _, id := range slices.Sorted(maps.Keys(t.links)) {
		polled := t.links[id]
		select {
		case poll := <-polled.polls:
			if poll.LastSeen > 0 || poll.Until > 0 {
				f.copies = append(f.copies, callCopy{
					worker:      id,
					token:       poll.Token,
					incarnation: f.workers[id].heardOf,
				})
			}
			f.answer(id, polled, poll, answered())
		default:
		}
	}
}

func (f *fencing) answer(id string, polled *link, poll Poll, answered bool) {
	worker := f.workers[id]
	switch {
	case !answered:
		polled.handleReport(poll, schedule.Inventory{}, 0, errors.New("no answer"), f.now)
		return
	case poll.Token < worker.token:
		polled.handleReport(poll, schedule.Inventory{}, 0, ErrFenced, f.now)
		require.NotNil(f.t, f.leader.term, "the leader must not be fenced by itself")
		return
	}
	worker.token = poll.Token
	polled.handleReport(poll, schedule.Inventory{
		Born:     worker.born(),
		Sent:     f.now,
		Received: f.now,
	}, time.Hour, nil, f.now)
	if !polled.restarted {
		worker.heardOf = worker.incarnation
	}
}

// commitAnswered waits for the commit in flight, if there is one.
func (f *fencing) commitAnswered() {
	if f.leader.term.writer.busy {
		event := <-f.leader.events
		event.handle(f.now)
	}
}

func (f *fencing) event() {
	ids := rapid.SampledFrom([]string{"w0", "w1"})
	sometimes := func() bool { return rapid.IntRange(0, 2).Draw(f.t, "answered") > 0 }
	switch rapid.SampledFrom([]string{
		"start", "start", "start", "arrive", "arrive", "poll", "poll", "poll", "restart", "leave",
		"commit", "answer", "store fails", "store recovers", "other leader", "resumed",
	}).Draw(f.t, "event") {
	case "start":
		if id := ids.Draw(f.t, "worker"); f.workers[id].heardOf >= 0 {
			f.start(id)
		}
	case "arrive":
		f.arrive()
	case "poll":
		f.poll(sometimes)
	case "restart":
		worker := f.workers[ids.Draw(f.t, "worker")]
		worker.incarnation++
		worker.token = 0
	case "leave":
		f.list(ids.Draw(f.t, "worker"))
	case "commit":
		f.leader.term.writer.add(&pendingCommit{
			done: func(error, time.Time) {},
		})
	case "answer":
		f.commitAnswered()
	case "store fails":
		f.settle(true)
	case "store recovers":
		f.settle(false)
	case "other leader":
		if rapid.IntRange(0, 3).Draw(f.t, "really") == 0 {
			f.lead()
		}
	case "resumed":
		f.settle(f.failing)
		f.revision++
		f.leader.term.resume(&acquisitionResult{
			token: f.revision,
			sent:  f.now,
		})
		f.leader.board.Begin(f.revision, f.now)
	}
}

// settle changes whether the store fails once no commit is in flight.
func (f *fencing) settle(failing bool) {
	for f.leader.term.writer.busy {
		f.commitAnswered()
	}
	f.failing = failing
}

// Guards against a copy of a call that takes effect at a later incarnation of its worker.
// It knows no stop and no end of a run that it starts: a done task ran again (review case
// 7). It forgets ends of its own for those that a poll acknowledges (review case 11).
// Random sequences of late copies, lost polls, restarts, failed commits and changes of
// leader.
func TestCopiesOfCallsDoNotReachLaterIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFencing(t)
		for range 80 {
			f.event()
		}
		f.settle(false)
		for range 6 {
			f.poll(func() bool { return true })
			f.settle(false)
		}
		for id, worker := range f.workers {
			require.Equal(t, worker.incarnation, worker.heardOf, "the reports of %s must be used once the store answers", id)
		}
		for len(f.copies) > 0 {
			f.arrive()
		}
	})
}
