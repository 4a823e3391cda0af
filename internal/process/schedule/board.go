// Package schedule decides which task runs on which worker, and when. It does
// no I/O and reads no clock: callers pass in reports with their time, and get
// back the orders to send and the records to write.
//
// Only the leader gives orders, each with its fencing token, and workers refuse
// lower tokens. A start needs no write to the store, but for that of a
// long-running task. Before a new leader starts a task that an earlier one may
// have started, each worker where it may be must have reported under the new
// token, or its runs must certainly have ended: all workers of any service, or
// those that a record or a handover names.
package schedule

import (
	"math"
	"time"

	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Config holds the time limits of a Board.
type Config struct {
	// LeaseTerm is the longest lease that a worker grants to its runs.
	LeaseTerm time.Duration
	// StopGrace is how long a worker may take to stop a task.
	StopGrace time.Duration
	// ActTerm is how long a leader may act after its leadership was last
	// confirmed.
	ActTerm time.Duration
	// ListGrace is how long a worker may be missing from the discovery list
	// before it is considered gone.
	ListGrace time.Duration
	// MaxOverTarget is how long fillers may keep a tail latency above its target.
	MaxOverTarget time.Duration
	// KeepEnded is how long ended jobs are kept in memory.
	KeepEnded time.Duration
	// Notice is how long a long-running task that was down still counts as
	// unavailable; zero if unknown, then none is preempted for a quick task.
	Notice time.Duration
	// HoldsLongRunning delays the start of a long-running job until a round of
	// moves has left it in this shard.
	HoldsLongRunning bool
	// Shard is the number of this leader's shard, of Shards among which the limits
	// of organisations are divided; zero shards mean one.
	Shard, Shards int
	// RemoteFactor is the ratio of a task's run time off its preferred rack to
	// that on it, zero if it is not known.
	RemoteFactor float64
}

// Board is the whole state of the scheduler. It is owned by one goroutine.
type Board struct {
	config  Config
	catalog *catalog.Catalog
	// token is the fencing token of the current term; zero while there is none.
	token int64
	// now is the time of the newest input.
	now time.Time
	// lastScan is when all runs were last checked for stalled tasks and unanswered
	// stops.
	lastScan time.Time
	// termStart is when leadership was acquired. earlierTermEnd is when the leader
	// before is known to have lost it.
	termStart, earlierTermEnd time.Time
	// confirmedAt is when the newest call was sent that confirmed the leadership,
	// and confirmAfter when it was last found that a start has to wait for a later
	// one.
	confirmedAt, confirmAfter time.Time
	// removedAt is when a worker was last removed.
	removedAt time.Time
	// runs counts the starts under this token.
	runs int64
	// fenced is set once a worker has refused the token as outdated.
	fenced bool

	jobs map[string]*job
	// bytes estimates the memory of jobs.
	bytes int64
	// open holds the jobs that are not in a final state.
	open    map[string]*job
	workers map[string]*workerState
	// utilization is by service, as of the last decision. anyLowUtilization is set if
	// that of any service is low.
	utilization       map[string]*utilization
	anyLowUtilization bool
	// cancelled holds jobs whose cancellation arrived before their record.
	cancelled map[string]bool
	// evacuated holds the withdrawn zones, which get no new tasks.
	evacuated map[string]bool
	// services holds each service that a configuration or a job has named.
	services map[string]bool

	// startsLeft is how many more starts may be decided now.
	startsLeft int
	// ticketRequestsLeft is how many more requests for tickets may be made now, and
	// ticketRequestsWaiting how many the last decision left for later.
	ticketRequestsLeft, ticketRequestsWaiting int
	// startsAllowed is set if the last decision was allowed to start tasks.
	startsAllowed bool
	// shortages are those of the last decision that placed tasks, nil once capacity has
	// come free since.
	shortages    map[poolKey]*shortage
	reservations map[work.TaskKey]reservation
	// reservationsLeft is how many more reservations this decision may make.
	reservationsLeft int
	keeps            restartKeeps
	urgentCapacity   *urgentCapacity
	estimates        *estimates
	// order ranks the waiting jobs, and shortAt is when each service last lacked
	// capacity for a waiting task.
	order        *rank.Order
	shortAt      map[string]time.Time
	interference *interference
	effects      Effects
	// unrecordedStarts are starts of long-running tasks whose placements are not
	// in the store yet.
	unrecordedStarts []unrecordedStart
	// restarts are the times from ends of long-running tasks to their next starts that
	// were not recorded yet.
	restarts []time.Duration
	// pendingRetries are starts to send again if their claims still hold.
	pendingRetries []Start
	// unsaved holds the jobs whose progress is newer than their record.
	unsaved map[string]*job
	// lost holds the workers that may have crashed under one of their tasks.
	lost map[string]*lostWorker
	// quotas holds the accounts of the organisations. possiblyRunning are the
	// inherited jobs of organisations whose tasks may be running unknown to this
	// leader.
	quotas          *quota.Book
	possiblyRunning []*job
	unreachable     unreachable
	// placement decides on waits for preferred racks.
	placement *placement
	// sentPieces are the transfers that the loads of other shards may not show yet.
	sentPieces []sentPiece
}

// NewBoard returns an empty board.
func NewBoard(config Config) *Board {
	return &Board{
		config:         config,
		catalog:        &catalog.Catalog{},
		jobs:           map[string]*job{},
		open:           map[string]*job{},
		workers:        map[string]*workerState{},
		utilization:    map[string]*utilization{},
		cancelled:      map[string]bool{},
		evacuated:      map[string]bool{},
		services:       map[string]bool{},
		reservations:   map[work.TaskKey]reservation{},
		urgentCapacity: newUrgentCapacity(),
		estimates:      newEstimates(),
		order:          rank.NewOrder(rank.AllRules()),
		shortAt:        map[string]time.Time{},
		interference:   newInterference(),
		unsaved:        map[string]*job{},
		lost:           map[string]*lostWorker{},
		quotas:         quota.NewBook(config.Shard, config.Shards),
		placement:      newPlacement(),
		unreachable: unreachable{
			withheld: map[string]bool{},
			removed:  map[string]bool{},
		},
		startsLeft: math.MaxInt,

		ticketRequestsLeft: math.MaxInt,
	}
}

// LimitStarts sets how many starts the leader can send before the next
// decision. Load pattern: many wide jobs arrive at once at a leader with little
// processor time. Without the limit their starts would queue up as orders, and
// a quick job that arrives later would wait behind them.
func (b *Board) LimitStarts(limit int) {
	b.startsLeft = max(0, limit)
}

// Begin starts a term under a token above all earlier ones. The known jobs and
// workers are kept, but every worker has to report again.
func (b *Board) Begin(token int64, now time.Time) {
	b.token, b.termStart, b.earlierTermEnd, b.now, b.runs, b.fenced = token, now, now, now, 0, false
	b.confirmedAt = now
	for _, w := range b.workers {
		w.reportedToken, w.settledToken = 0, 0
	}
}

// Confirmed records that a call which was sent at a time has confirmed the
// leadership.
func (b *Board) Confirmed(sent time.Time) {
	b.confirmedAt = later(b.confirmedAt, sent)
}

// NeedsConfirmation reports whether starts wait until the leadership is confirmed
// again.
func (b *Board) NeedsConfirmation() bool {
	return b.confirmAfter.After(b.confirmedAt)
}

// mayOrder reports whether a worker may be sent starts. A worker that has started
// again knows no token: it would carry out the start of a leader that was replaced
// before. So the leadership must be confirmed after its first report.
func (b *Board) mayOrder(w *workerState) bool {
	return b.orderExclusion(w) == NotExcluded
}

// orderExclusion returns why a worker may not be sent starts.
func (b *Board) orderExclusion(w *workerState) Exclusion {
	switch {
	case !w.reachable:
		return Unreachable
	case !b.MayRequestLease(w.ID):
		return LeaseWithheld
	case w.confirmAfter.After(b.confirmedAt):
		return Unconfirmed
	}
	return NotExcluded
}

// EarlierTermEnded records when the leader before is known to have lost the
// leadership, if that is earlier than the start of this term.
func (b *Board) EarlierTermEnded(at time.Time) {
	b.earlierTermEnd = earlier(b.earlierTermEnd, at)
}

// Fenced reports whether a worker has seen a higher token than this leader's.
func (b *Board) Fenced() bool {
	return b.fenced
}

// SetCatalog puts a version of the configuration into force.
func (b *Board) SetCatalog(newest *catalog.Catalog) {
	b.keepTerms(newest)
	b.catalog = newest
	for name := range newest.Services {
		b.services[name] = true
	}
	for name := range newest.Queues {
		b.services[newest.Queues[name].Service] = true
	}
	b.quotas.SetOrganisations(newest.Version, newest.Organisations)
}

// Evacuate sets the withdrawn zones, which get no new tasks.
func (b *Board) Evacuate(zones map[string]bool) {
	b.evacuated = zones
}

// nextRun returns the number of a start; numbers rise from term to term.
func (b *Board) nextRun() int64 {
	b.runs++
	return b.newestRun()
}

// runsPerToken is the most starts of a term. All numbers stay far below 2^53.
const runsPerToken = 1 << 20

// newestRun returns the number of the newest start.
func (b *Board) newestRun() int64 {
	return b.token*runsPerToken + b.runs
}

// nextRunOf returns the number of a start of a task. Another shard that started it
// before may have a higher token.
func (b *Board) nextRunOf(t *task) int64 {
	return max(b.nextRun(), t.run+1, t.lastRun+1)
}

// serviceOf returns the service that runs the job's queue now.
func (b *Board) serviceOf(j *job) string {
	if queue, ok := b.catalog.Queues[j.work.Queue]; ok {
		return queue.Service
	}
	terms, _ := b.termsOf(j)
	return terms.Service
}

// attemptsOf returns the most attempts of a task of the job, zero for no limit.
func (b *Board) attemptsOf(j *job) int {
	terms, _ := b.termsOf(j)
	return terms.MaxAttempts
}

// IsOpen reports whether a job is known and not in a final state.
func (b *Board) IsOpen(id string) bool {
	return b.open[id] != nil
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (b *Board) Pending(queue string) int {
	count := 0
	for _, j := range b.open {
		if j.work.Queue == queue && !j.progress.Started {
			count++
		}
	}
	return count
}

// State returns the state of a job of this shard as far as it is in the store.
func (b *Board) State(id string) (state work.State, known bool) {
	j := b.jobs[id]
	if j == nil || j.partial {
		return work.Queued, false
	}
	if j.progress.State.Final() {
		if j.durable < j.version {
			return work.Running, true
		}
		return j.progress.State, true
	}
	if j.progress.Started {
		return work.Running, true
	}
	return work.Queued, true
}
