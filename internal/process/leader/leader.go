package leader

import (
	"context"
	"sync/atomic"
	"time"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Leader competes for the leadership and schedules jobs while it holds it.
type Leader struct {
	config Config
	events chan queuedEvent
	// callSlots limits the orders in flight.
	callSlots chan struct{}

	// The fields below, up to leading, are used only by the loop.

	// board and term are nil unless this host leads.
	board   *schedule.Board
	term    *term
	leadKey leadKey
	// vacatedBy is the token of the last leader whose lead key was seen to be
	// removed, vacantSince when; zero if it is not known.
	vacatedBy   int64
	vacantSince time.Time
	// watchFailedAt is when the watch of the lead key last failed.
	watchFailedAt time.Time
	// createdAt is when this process began to compete.
	createdAt time.Time
	// acquireAt is when this host tries to acquire an unoccupied leadership.
	acquireAt time.Time
	// yielding is set from a resignation in favour of a better host until the
	// lead key is gone; until yieldUntil this host leaves the leadership to others.
	yielding   bool
	yieldUntil time.Time
	lag        lagWatch
	// acquiring is set while an acquisition is in flight, and leaving if its outcome
	// is to be given up.
	acquiring      bool
	leaving        *resignation
	catalog        *catalog.Catalog
	evacuatedZones map[string]bool
	decidedAt      time.Time
	stopping       bool
	// onDuty is set while the shard is counted in Duties.
	onDuty bool

	// leading is also read by other goroutines.
	leading atomic.Bool
	// spawn runs a task in a goroutine of its own.
	spawn func(task func())
}

// New returns a Leader; Run starts it.
func New(config Config) *Leader {
	leader := &Leader{
		config:         config,
		events:         make(chan queuedEvent, eventBuffer),
		callSlots:      make(chan struct{}, maxCalls),
		catalog:        &catalog.Catalog{},
		evacuatedZones: map[string]bool{},
		spawn:          func(task func()) { go task() },
	}
	if config.Clock != nil {
		leader.createdAt = config.Clock()
	}
	return leader
}

// post sends an event to the loop.
func (l *Leader) post(event func(now time.Time)) {
	l.events <- queuedEvent{
		handle: event,
		at:     l.config.Clock(),
	}
}

// SetCatalog puts a configuration version in force.
func (l *Leader) SetCatalog(newest *catalog.Catalog) {
	l.post(func(now time.Time) {
		l.catalog = newest
		if l.board != nil {
			l.board.SetCatalog(newest)
			l.term.updateLinks(now) // entries of a new service can be used from here on
		}
	})
}

// Evacuate sets the zones in which no task is started.
func (l *Leader) Evacuate(zones map[string]bool) {
	l.post(func(time.Time) {
		l.evacuatedZones = zones
		if l.board != nil {
			l.board.Evacuate(zones)
		}
	})
}

// Run runs the loop until the context ends.
func (l *Leader) Run(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.handle(event)
			l.drainEvents()
		case <-timer.C:
		}
		l.step(ctx)
		timer.Reset(l.maxIdle(l.config.Clock()))
	}
}

// maxIdle is how long the loop may wait for an event. A host that neither leads
// nor is about to needs no timer: it hears of a free leadership by an event. An
// attempt to acquire one is made on time, so that the order of the hosts'
// delays is kept.
func (l *Leader) maxIdle(now time.Time) time.Duration {
	const minIdle = time.Millisecond
	switch {
	case l.term == nil && l.leadKey.revision != 0 && !l.formerIncarnationLeads():
		return followTick
	case l.term == nil && !l.acquiring && !l.acquireAt.IsZero():
		if due := l.acquireDue().Sub(now); due > 0 {
			return max(minIdle, min(tick, due))
		}
	}
	return tick
}

// drainEvents handles the events that are already queued, so that one decision
// covers them all.
func (l *Leader) drainEvents() {
	const maxEvents = 256 // bounded, so that timers are not starved
	for range maxEvents {
		select {
		case event := <-l.events:
			l.handle(event)
		default:
			return
		}
	}
}

func (l *Leader) handle(event queuedEvent) {
	now := l.config.Clock()
	l.lag.eventWaited(now.Sub(event.at))
	event.handle(now)
}

func (l *Leader) step(ctx context.Context) {
	now := l.config.Clock()
	l.compete(ctx, now)
	if l.term == nil || !l.term.ready {
		return
	}
	l.lag.stepped(now)
	l.term.renew(ctx, now)
	if l.term.checkLag(ctx, now) {
		return
	}
	if wait := decideGap - now.Sub(l.decidedAt); wait > 0 {
		if l.term.decideDue.IsZero() {
			l.term.decideDue = now.Add(wait)
		}
		l.term.wakeIn(wait)
		return
	}
	if !l.term.decideDue.IsZero() {
		l.lag.decisionLate(now.Sub(l.term.decideDue))
		l.term.decideDue = time.Time{}
	}
	l.decidedAt = now
	l.term.pollWorkers(now)
	l.board.LimitStarts(maxOrders - len(l.term.waiting))
	allowed := now.Before(l.term.actUntil)
	l.term.decide(now, allowed)
	l.term.saveUnreachable(now)
	l.term.saveProgress(now)
	l.term.savePlacements(now)
	l.term.oldJobs.delete(now)
	l.term.deleteBars(now)
	l.term.saveLearned(now)
	l.term.moves.balance(now)
	l.term.quotas.revise(now)
	l.term.recordRestarts()
	l.term.summarise(now)
}

// Question is a query to the leader on behalf of a caller.
type Question struct {
	// Job asks for the state of a job, Queue for the number of a queue's jobs
	// that have not started, Room for memory for jobs that the host is about to
	// accept, in bytes. One of them is set.
	Job, Queue string
	Room       int64
	// Host is the host that asks.
	Host string
	// Shard is the shard that is asked.
	Shard int
}

// Answer is the reply to a Question. Known is false if this host does not lead
// or does not know the job.
type Answer struct {
	Known   bool
	State   work.State
	Pending int
	// OwnerKnown is set if Organisation is the job's, empty for a job of none. A
	// leader of an earlier release does not know it.
	OwnerKnown   bool
	Organisation string
	// Room is the memory that the host may use for jobs that it accepts, at least
	// as much as it asked for; zero if there is not as much.
	Room int64
}

// Ask answers a question if this host leads the shard. It calls reply once, with the zero
// Answer if this host does not lead. Once Run has returned, a reply may never
// come.
func (l *Leader) Ask(question Question, reply func(answer Answer)) {
	if !l.leading.Load() {
		reply(Answer{})
		return
	}
	l.post(func(time.Time) { reply(l.answer(question)) })
}

func (l *Leader) answer(question Question) Answer {
	if l.term == nil || !l.term.ready {
		return Answer{}
	}
	if question.Room > 0 {
		return Answer{
			Known: true,
			Room:  l.term.room.grant(question.Host, question.Room, l.board.Bytes(), l.config.Clock()),
		}
	}
	if question.Queue != "" {
		return Answer{
			Known:   true,
			Pending: l.board.Pending(question.Queue),
		}
	}
	state, known := l.board.State(question.Job)
	return Answer{
		Known:        known,
		State:        state,
		OwnerKnown:   known,
		Organisation: l.term.owners[question.Job],
	}
}

// Resign gives up the leadership for good, so that another host can acquire it
// at once. It waits for the removal of the lead key until the context ends, also
// for that of an acquisition in flight.
func (l *Leader) Resign(ctx context.Context) {
	resigning := make(chan (<-chan struct{}), 1)
	l.post(func(now time.Time) {
		l.stopping = true
		resigning <- l.resign(ctx, "resigned", now)
	})
	select {
	case done := <-resigning:
		select {
		case <-done:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}
