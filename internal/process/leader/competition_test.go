package leader

import (
	"context"
	"expvar"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// competition drives the leader of one host by hand: calls to the store are made at
// once, their outcomes and the changes of the lead key are delivered later, and the
// time is a variable.
type competition struct {
	t      *rapid.T
	ctx    context.Context
	memory *standin.Memory
	leader *Leader
	// heard is the revision up to which changes of the lead key were delivered,
	// and last the newest of them.
	heard int64
	last  store.Event
	// passed is the time since competitionStart; watchers read the clock too.
	passed atomic.Int64
}

var competitionStart = time.Unix(1000, 0)

func (c *competition) now() time.Time {
	return competitionStart.Add(time.Duration(c.passed.Load()))
}

func (c *competition) wait(span time.Duration) {
	c.passed.Add(int64(span))
}

func newCompetition(ctx context.Context, t *rapid.T) *competition {
	c := &competition{
		t:   t,
		ctx: ctx,
	}
	c.memory = standin.NewMemory(c.now)
	client := c.memory.Client()
	watch := client.Watch
	client.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
		if wait == catchUpWait {
			return watch(ctx, prefix, after, 0)
		}
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	page := client.Page
	client.Page = func(ctx context.Context, prefix, after string) (store.Page, error) {
		if prefix != soloKeys.work && prefix != soloKeys.state {
			<-ctx.Done()
			return store.Page{}, ctx.Err()
		}
		return page(ctx, prefix, after)
	}
	group := NewGroup(GroupConfig{
		Leader: Config{
			Self: Member{
				Host:        "recife-1",
				Incarnation: "recife-1",
			},
			Store: client,
			Board: schedule.Config{
				LeaseTerm: 6 * time.Second,
				StopGrace: 200 * time.Millisecond,
				ActTerm:   ActTerm,
				KeepEnded: time.Minute,
			},
			WorkersPrefix:  "workers/",
			Clock:          c.now,
			TimeOfDay:      c.now,
			Counts:         new(expvar.Map).Init(),
			RecordDuration: func(string, time.Duration) {},
		},
		Layout:        shard.Solo(),
		LeaderChanged: func(int, Member) {},
	})
	c.leader = group.leaders[0]
	c.leader.spawn = func(task func()) { task() }
	c.leader.catalog = &catalog.Catalog{
		Version: 1,
	}
	value, err := work.EncodeJob(&work.Job{
		ID:      "a",
		Queue:   "quotes",
		Service: "workshop",
		Steps: []work.Step{
			{
				Count: 1,
			},
		},
		Accepted: c.now(),
	})
	require.NoError(t, err)
	c.commit(store.Commit{
		Set: []store.Write{
			{
				Key:   soloKeys.Job("a"),
				Value: value,
			},
		},
	})
	c.list()
	return c
}

// commit makes a commit of another host, whatever the faults of this one.
func (c *competition) commit(commit store.Commit) {
	c.memory.SetFault(func(string) error { return nil }, false)
	_, _ = c.memory.Client().Commit(c.ctx, commit) // a condition may not hold
}

// leadItem is the lead key in the store, without a revision if there is none.
func (c *competition) leadItem() store.Item {
	c.memory.SetFault(func(string) error { return nil }, false)
	item, _ := c.memory.Client().Get(c.ctx, soloKeys.Lead)
	return item
}

// list delivers a listing of the lead key.
func (c *competition) list() {
	c.memory.SetFault(func(string) error { return nil }, false)
	page, err := c.memory.Client().Page(c.ctx, soloKeys.Lead, "")
	require.NoError(c.t, err)
	c.leader.observeLeadKey(store.View{
		Snapshot: true,
		Items:    page.Items,
		Revision: page.Revision,
	}, c.now())
}

// hear delivers the next change of the lead key, if there is one.
func (c *competition) hear() bool {
	c.memory.SetFault(func(string) error { return nil }, false)
	changes, err := c.memory.Client().Watch(c.ctx, soloKeys.Lead, c.heard, 0)
	require.NoError(c.t, err)
	if len(changes.Events) == 0 {
		return false
	}
	c.last = changes.Events[0]
	c.heard = c.last.Revision
	c.deliver(c.last)
	return true
}

func (c *competition) deliver(event store.Event) {
	c.leader.observeLeadKey(store.View{
		Events:   []store.Event{event},
		Revision: event.Revision,
	}, c.now())
}

// answer handles the oldest outcome that is queued.
func (c *competition) answer() bool {
	select {
	case event := <-c.leader.events:
		event.handle(c.now())
		return true
	default:
		return false
	}
}

// step lets the leader compete and renew, with a fault of the store.
func (c *competition) step(fault string) {
	c.memory.SetFault(func(call string) error {
		switch {
		case fault == "outage":
			return store.ErrUnavailable
		case fault == "unanswered" && call == "commit":
			return store.ErrUnknown
		}
		return nil
	}, false)
	c.leader.compete(c.ctx, c.now())
	if c.leader.term != nil && c.leader.term.ready {
		c.leader.term.renew(c.ctx, c.now())
	}
}

// event is one of the events that docs/design/leadership.md lists.
func (c *competition) event() {
	l := c.leader
	switch rapid.SampledFrom([]string{
		"step", "step", "step", "step", "step without store", "step without answer", "answer", "answer", "answer", "hear", "hear", "hear again", "list",
		"lapse", "other leads", "other ends", "fenced", "resigns", "stops", "wait", "wait",
	}).Draw(c.t, "event") {
	case "step":
		c.step("")
	case "step without store":
		c.step("outage")
	case "step without answer":
		c.step("unanswered")
	case "answer":
		c.answer()
	case "hear":
		c.hear()
	case "hear again":
		if c.last.Key != "" {
			c.deliver(c.last)
		}
	case "list":
		c.list()
	case "lapse":
		c.memory.ExpireLeases()
	case "other leads":
		c.otherLeads()
	case "other ends":
		c.otherEnds()
	case "fenced":
		if l.term != nil {
			l.stepDown("fenced by a worker")
		}
	case "resigns":
		if l.term != nil {
			l.yielding, l.yieldUntil = true, c.now().Add(resignDelay)
			l.resign(c.ctx, "resigned for lag", c.now())
		}
	case "stops":
		if !l.stopping && rapid.IntRange(0, 2).Draw(c.t, "really") == 0 {
			l.stopping = true
			l.resign(c.ctx, "resigned", c.now())
		}
	case "wait":
		c.wait(time.Duration(rapid.IntRange(1, 30).Draw(c.t, "tenths")) * 100 * time.Millisecond)
	}
}

// otherLeads lets another host acquire the leadership if it is free.
func (c *competition) otherLeads() {
	value, err := cbor.Marshal(Member{
		Host:        "olinda-1",
		Incarnation: "olinda-1",
	})
	require.NoError(c.t, err)
	c.commit(store.Commit{
		If: []store.Condition{
			{
				Key: soloKeys.Lead,
			},
		},
		Set: []store.Write{
			{
				Key:   soloKeys.Lead,
				Value: value,
			},
			{
				Key:   soloKeys.Epoch,
				Value: value,
			},
		},
	})
}

func (c *competition) otherEnds() {
	if item := c.leadItem(); item.Revision != 0 && item.Lease == 0 {
		c.commit(store.Commit{
			Delete: []string{soloKeys.Lead},
		})
	}
}

func (c *competition) check() {
	l := c.leader
	require.Equal(c.t, l.term != nil, l.board != nil)
	if l.term == nil {
		return
	}
	_, known := l.board.State("a")
	require.True(c.t, known, "a term must know the jobs in the store")
	require.Equal(c.t, l.term.token, l.board.Handover(c.now()).Token)
	require.False(c.t, l.stopping, "a host that stops must not lead")
}

// Guards against a host that panics or leads without knowledge when an event comes
// in a state that was not expected: a SIGTERM while a lapsed leader took its lead
// again crashed it. All events in all states, in random orders; in the end the
// host leads, or has given up the lead if it stops.
func TestCompetitionSurvivesAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCompetition(ctx, t)
		for range 60 {
			c.event()
			c.check()
		}
		c.otherEnds()
		for range 100 {
			c.wait(tick)
			for c.answer() || c.hear() {
				c.check()
			}
			c.step("")
			c.check()
		}
		item := c.leadItem()
		if c.leader.stopping {
			require.Zero(t, item.Revision, "the lead key must be gone")
			return
		}
		require.NotNil(t, c.leader.term)
		require.False(t, c.leader.term.unoccupied)
		require.Equal(t, item.Revision, c.leader.term.token)
	})
}

func TestMain(m *testing.M) {
	const cases = 300
	golden.Main(m, cases)
}
