package leader

import (
	"context"
	"time"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// term is one period of leadership of this host. It is used only by the loop.
type term struct {
	// room grants memory for jobs to the hosts that accept them.
	room   room
	leader *Leader
	ctx    context.Context
	cancel context.CancelFunc
	token  int64
	lease  int64
	// firstToken is the token that the term began with; token rises if the term
	// is resumed. No earlier leader can have started a job that was created after
	// firstToken.
	firstToken int64
	// ready is set until the term ends.
	ready bool
	// unoccupied is set while the lead key is gone and, as far as is known,
	// nobody else has acquired the leadership.
	unoccupied bool
	// actUntil is when starts and lease requests must cease: ActTerm after the
	// store last confirmed the leadership.
	actUntil  time.Time
	renewedAt time.Time
	renewing  bool
	// renewalAnsweredAt is when the last renewal was answered or failed.
	renewalAnsweredAt time.Time
	// renewalFailed is set if the last renewal was not answered.
	renewalFailed bool

	// listings are the decoded entries of the list of workers.
	listings map[string]schedule.Listing
	// listReadAt is when the list of workers was last read, listFailedAt when
	// reading it last failed.
	listReadAt, listFailedAt time.Time
	links                    map[string]*link
	// waiting holds the orders that wait for a call slot.
	waiting []*call

	// requestingTickets is set while a request for tickets is in flight.
	requestingTickets bool

	// decideDue is when the next decision is due, zero if none is.
	decideDue time.Time

	savingProgress    bool
	savingUnreachable bool
	progressSavedAt   time.Time
	oldJobs           oldJobs
	roster            rosterState
	placements        placementsState
	learned           learnedState
	writer            writer
	summarisedAt      time.Time
	// reportedWaits are the waits for preferred racks that were logged and counted.
	reportedWaits schedule.WaitCounts
	urgentCounts  schedule.UrgentCounts
	// followedWaits are those of jobs, followedTasks those of long-running tasks.
	followedWaits followedWaits
	followedTasks followedWaits
	waking        bool
	moves         moves
	transfers     transfers
	quotas        quotas
	fences        fences
	removed       removedRecords
	// workRevision is that of the newest view of the jobs and cancellations.
	workRevision int64
	owners       owners
	bars         bars
	// deletingBars is set while a commit that deletes bars is in flight, and
	// barsSearchedAt is when bars to delete were last looked for.
	deletingBars   bool
	barsSearchedAt time.Time
}

func (t *term) keys() *Keys {
	return &t.leader.config.Keys
}

// begin starts a term from the state that the acquisition loaded.
func (l *Leader) begin(ctx context.Context, result *acquisitionResult, now time.Time) {
	termCtx, cancel := context.WithCancel(ctx)
	t := &term{
		leader:       l,
		ctx:          termCtx,
		cancel:       cancel,
		token:        result.token,
		firstToken:   result.token,
		lease:        result.lease,
		ready:        true,
		actUntil:     result.sent.Add(ActTerm),
		renewedAt:    now,
		listings:     map[string]schedule.Listing{},
		listFailedAt: now,
		links:        map[string]*link{},
		removed:      removedRecords{},
		owners:       owners{},
		bars:         bars{},
		workRevision: result.revision,
		room:         newRoom(l.config.JobBytes),
	}
	t.writer = writer{
		term:     t,
		sequence: result.sequence,
	}
	t.oldJobs.term = t
	l.term = t
	l.takeDuty()
	l.board = schedule.NewBoard(l.config.Board)
	l.board.SetCatalog(l.catalog)
	l.board.Evacuate(l.evacuatedZones)
	l.board.Begin(result.token, now)
	l.board.EarlierTermEnded(result.earlierEnd)
	l.board.RestoreLearned(result.learned, now)
	l.board.AddRoster(result.roster, now)
	l.board.ApplyUnreachable(result.unreachable, result.unreachableAt)
	t.roster.stored = rosterTargets(result.roster)
	for _, job := range result.jobs {
		t.owners.add(job)
		inherited := result.createRevisions[job.ID] < result.token
		l.board.AddJob(job, result.progress[job.ID], inherited, now, l.config.TimeOfDay())
	}
	t.transfers = newTransfers(t)
	t.transfers.restore(result, now)
	if result.placements {
		l.board.TrustPlacements()
		t.placements.complete = true
	}
	if result.handover != nil {
		l.board.ApplyHandover(*result.handover)
	}
	for _, id := range result.cancels {
		l.board.Cancel(id, now)
	}
	for id, stored := range result.bars {
		t.observeBar(id, stored.bar, stored.revision, now)
	}
	t.moves = newMoves(t, result)
	l.lag.began(result.resignations, now)
	t.quotas = newQuotas(t)
	l.leading.Store(true)
	t.watchStore(result.revision)
	t.updateLinks(now)
}

func (t *term) end() {
	t.cancel()
	t.ready = false
}

// resume continues the term under a new token, if nobody else led in between.
func (t *term) resume(result *acquisitionResult) {
	t.token, t.lease, t.unoccupied = result.token, result.lease, false
	t.placements = placementsState{
		complete: result.placements,
	}
	t.actUntil = result.sent.Add(ActTerm)
}

// post sends an event to the loop, which drops it if the term has ended
// meanwhile.
func (t *term) post(event func(now time.Time)) {
	t.leader.post(func(now time.Time) {
		if t.leader.term == t {
			event(now)
		}
	})
}

// wakeIn wakes the loop for another step after wait.
func (t *term) wakeIn(wait time.Duration) {
	if t.waking {
		return
	}
	t.waking = true
	time.AfterFunc(wait, func() {
		t.leader.post(func(time.Time) { t.waking = false })
	})
}
