package leader

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Leader competes for the leadership and carries it out.
type Leader struct {
	config Config
	events chan func(now time.Time)
	// calls bounds the orders under way.
	calls chan struct{}

	// The fields below belong to the loop.

	board *schedule.Board
	reign *reign
	// known is who leads by the newest view, with the lead key's revision.
	known         Member
	knownRevision int64
	// takeAt is when this host tries for the vacant leadership.
	takeAt    time.Time
	taking    bool
	catalog   *catalog.Catalog
	evacuated map[string]bool
	decided   time.Time
	stopping  bool

	// leading is read from other goroutines.
	leading atomic.Bool
}

// New returns a leader that is not yet running.
func New(config Config) *Leader {
	return &Leader{
		config:    config,
		events:    make(chan func(now time.Time), ring),
		calls:     make(chan struct{}, mostCalls),
		catalog:   &catalog.Catalog{},
		evacuated: map[string]bool{},
	}
}

// post hands an event to the loop.
func (l *Leader) post(event func(now time.Time)) {
	l.events <- event
}

// SetCatalog puts a version of the configuration into force.
func (l *Leader) SetCatalog(newest *catalog.Catalog) {
	l.post(func(time.Time) {
		l.catalog = newest
		if l.board != nil {
			l.board.SetCatalog(newest)
		}
	})
}

// Evacuate sets the zones that get no new task.
func (l *Leader) Evacuate(zones map[string]bool) {
	l.post(func(time.Time) {
		l.evacuated = zones
		if l.board != nil {
			l.board.Evacuate(zones)
		}
	})
}

// Run is the loop; it ends with the context.
func (l *Leader) Run(ctx context.Context) {
	watcher := store.NewWatcher(store.WatcherConfig{
		Client:  l.config.Store,
		Prefix:  keyLead,
		Wait:    leadWait,
		Timeout: callTimeout,
		Clock:   l.config.Clock,
		View: func(view store.View) {
			l.post(func(now time.Time) { l.seeLead(view, now) })
		},
	})
	go watcher.Run(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event(l.config.Clock())
			l.drain()
		case <-ticker.C:
		}
		l.step(ctx)
	}
}

// drain handles what has come in meanwhile, so that one decision serves all.
func (l *Leader) drain() {
	const most = 256 // then the timers get their turn
	for range most {
		select {
		case event := <-l.events:
			event(l.config.Clock())
		default:
			return
		}
	}
}

func (l *Leader) step(ctx context.Context) {
	now := l.config.Clock()
	l.compete(ctx, now)
	if l.reign == nil || !l.reign.ready {
		return
	}
	l.reign.renew(ctx, now)
	if wait := decideGap - now.Sub(l.decided); wait > 0 {
		l.reign.wakeIn(wait)
		return
	}
	l.decided = now
	l.reign.look(now)
	l.board.LimitStarts(mostOrders - len(l.reign.waiting))
	allowed := now.Before(l.reign.actUntil)
	l.reign.carryOut(l.board.Decide(now, allowed), now)
	l.reign.record(now)
	l.reign.forget(now)
	l.reign.keepLearned(now)
	l.reign.summarise(now)
}

// Question is what a front asks of the leader.
type Question struct {
	// Job asks for the state of a job, Queue for the number of jobs waiting.
	Job, Queue string
}

// Answer is what the leader knows; Known is false if it cannot tell.
type Answer struct {
	Known   bool
	State   work.State
	Pending int
}

// Ask answers a question if this host leads; reply is called once.
func (l *Leader) Ask(question Question, reply func(answer Answer)) {
	if !l.leading.Load() {
		reply(Answer{})
		return
	}
	l.post(func(time.Time) { reply(l.answer(question)) })
}

func (l *Leader) answer(question Question) Answer {
	if l.reign == nil || !l.reign.ready {
		return Answer{}
	}
	if question.Queue != "" {
		return Answer{
			Known:   true,
			Pending: l.board.Pending(question.Queue),
		}
	}
	state, known := l.board.State(question.Job)
	return Answer{
		Known: known,
		State: state,
	}
}

// Resign gives the leadership up, so that another host takes it at once.
func (l *Leader) Resign(ctx context.Context) {
	done := make(chan struct{})
	l.post(func(time.Time) {
		l.stopping = true
		if l.reign == nil {
			close(done)
			return
		}
		revision := l.reign.token
		l.lose("resigned")
		resignation := &resignation{
			store:    l.config.Store,
			revision: revision,
			done:     done,
		}
		go resignation.run(ctx)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// resignation removes the lead key.
type resignation struct {
	store    store.Client
	revision int64
	done     chan struct{}
}

func (r *resignation) run(ctx context.Context) {
	defer close(r.done)
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.store.Commit(limited, store.Commit{
		If: []store.Condition{
			{
				Key:      keyLead,
				Revision: r.revision,
			},
		},
		Delete: []string{keyLead},
	})
	klog.InfoS("leadership resigned", "token", r.revision, "err", err)
}
