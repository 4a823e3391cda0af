// Package schedule decides which task runs on which worker, and when. It does
// no I/O and reads no clock: what was heard goes in with its time, orders and
// records to be written come out.
//
// A start needs no write. Only the holder of the leadership gives orders, each
// with the holder's token, and workers refuse lower tokens. A new holder hears
// every worker under its own token before it starts what may be running there.
package schedule

import (
	"math"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Config sets up a Board.
type Config struct {
	// LeaseTerm is the longest lease that a worker grants to what it runs.
	LeaseTerm time.Duration
	// StopGrace is how long a worker may take to stop a task.
	StopGrace time.Duration
	// ActTerm is how long a holder may act after its last confirmation.
	ActTerm time.Duration
	// ListGrace is how long a worker may be missing from the list before it is
	// taken as gone.
	ListGrace time.Duration
	// HarmTerm is how long a tail may be over its target by fillers' doing.
	HarmTerm time.Duration
	// KeepEnded is how long ended jobs are remembered.
	KeepEnded time.Duration
}

// Board is the whole state of scheduling. It is owned by one goroutine.
type Board struct {
	config  Config
	catalog *catalog.Catalog
	// token is that of the present leadership; zero while there is none.
	token int64
	// now is the time of the newest input.
	now time.Time
	// scanned is when all runs were last gone through.
	scanned time.Time
	// begun is when the leadership was taken.
	begun time.Time
	// runs counts starts under this token.
	runs int64
	// fencedBy is the token of a worker's refusal, zero without one.
	fenced bool

	jobs map[string]*job
	// open holds the jobs that are not final.
	open    map[string]*job
	workers map[string]*workerState
	// roomLeft says that much of the workers' room was free at the last
	// decision.
	roomLeft bool
	// cancelled are jobs whose cancellation came before their record.
	cancelled map[string]bool
	// evacuated zones get no new task.
	evacuated map[string]bool

	// startsLeft is how many more starts may be decided on now.
	startsLeft   int
	reservations map[work.TaskKey]reservation
	// reserveLeft is how many more may be made in this decision.
	reserveLeft  int
	estimates    *estimates
	interference *interference
	effects      Effects
	// again are starts to be sent once more, if their claims still stand.
	again []Start
	// dirty are jobs whose progress is newer than its record.
	dirty map[string]*job
}

// NewBoard returns an empty board.
func NewBoard(config Config) *Board {
	return &Board{
		config:       config,
		catalog:      &catalog.Catalog{},
		jobs:         map[string]*job{},
		open:         map[string]*job{},
		workers:      map[string]*workerState{},
		cancelled:    map[string]bool{},
		evacuated:    map[string]bool{},
		reservations: map[work.TaskKey]reservation{},
		estimates:    newEstimates(),
		interference: newInterference(),
		dirty:        map[string]*job{},
		startsLeft:   math.MaxInt,
	}
}

// LimitStarts tells how many starts the holder can send before the next
// decision. Load pattern: many wide jobs come at once to a holder with little
// processor time; what is decided on early then waits in line as an order, and
// a quick job that comes later waits behind it.
func (b *Board) LimitStarts(most int) {
	b.startsLeft = max(0, most)
}

// Begin starts a leadership under a token above all earlier ones. What is
// known of jobs and workers stays; every worker has to be heard anew.
func (b *Board) Begin(token int64, now time.Time) {
	b.token, b.begun, b.now, b.runs, b.fenced = token, now, now, 0, false
	for _, w := range b.workers {
		w.heardUnder = 0
	}
}

// Fenced tells whether a worker has seen a higher token than ours.
func (b *Board) Fenced() bool {
	return b.fenced
}

// SetCatalog puts a version of the configuration into force.
func (b *Board) SetCatalog(newest *catalog.Catalog) {
	b.catalog = newest
}

// Evacuate sets the zones that get no new task.
func (b *Board) Evacuate(zones map[string]bool) {
	b.evacuated = zones
}

// nextRun numbers a start; numbers rise across leaderships.
func (b *Board) nextRun() int64 {
	const runsPerToken = 1 << 20 // starts of one leadership, far below 2^53 in all
	b.runs++
	return b.token*runsPerToken + b.runs
}

// serviceOf is the service that runs the job's queue now.
func (b *Board) serviceOf(j *job) string {
	if queue, ok := b.catalog.Queues[j.work.Queue]; ok {
		return queue.Service
	}
	return j.work.Service
}

// attemptsOf is how often a task of the job may fail; zero means no bound.
func (b *Board) attemptsOf(j *job) int {
	if queue, ok := b.catalog.Queues[j.work.Queue]; ok {
		j.attempts = queue.MaxAttempts
	}
	return j.attempts
}

// Pending counts a queue's accepted jobs of which no task has started.
func (b *Board) Pending(queue string) int {
	count := 0
	for _, j := range b.open {
		if j.work.Queue == queue && !j.progress.Began {
			count++
		}
	}
	return count
}

// State tells how a job stands, as far as it is in the store.
func (b *Board) State(id string) (state work.State, known bool) {
	j := b.jobs[id]
	if j == nil {
		return work.Queued, false
	}
	if j.progress.State.Final() {
		if j.durable < j.version {
			return work.Running, true
		}
		return j.progress.State, true
	}
	if j.progress.Began {
		return work.Running, true
	}
	return work.Queued, true
}
