// Package leader holds the leadership of the deployment while this host has
// it: it hears the workers, gives the orders that the schedule decides on and
// writes what must last. One goroutine owns the board; calls to the store and
// to workers are made by others and come back to it as events.
package leader

import (
	"context"
	"errors"
	"expvar"
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/store"
)

// ErrFenced marks a look that the worker refused for a higher token.
var ErrFenced = errors.New("worker has seen a higher token")

// ErrClosed marks a look that the worker's side ended by closing the connection.
var ErrClosed = errors.New("worker closed the connection")

// Target is the worker that a call is for.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Lease is what each order to a worker carries.
type Lease struct {
	// Token is the leadership's; the worker refuses lower ones.
	Token int64
	// Until is when all runs on the worker end by themselves, on the worker's
	// own clock; zero leaves it as it is.
	Until time.Duration
}

// Look asks a worker what it runs.
type Look struct {
	Lease
	// LastSeen is the highest end that the worker may forget.
	LastSeen int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Calls are the orders to workers. Each returns by the end of its context.
// The worker's clock is zero if it did not say.
type Calls struct {
	Look  func(ctx context.Context, target Target, look Look) (inventory schedule.Inventory, clock time.Duration, err error)
	Start func(ctx context.Context, target Target, lease Lease, start schedule.Start) (schedule.Verdict, time.Duration)
	Stop  func(ctx context.Context, target Target, lease Lease, stop schedule.Stop) (schedule.Verdict, time.Duration)
	Pace  func(ctx context.Context, target Target, lease Lease, pace schedule.Pace) (schedule.Verdict, time.Duration)
	// Advise asks for tickets; it returns them by worker, with their term.
	Advise func(ctx context.Context, ask schedule.Ask) (granted map[string]string, term time.Duration, err error)
}

// Member is how a leader is found.
type Member struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation differs for each start of the process.
	Incarnation string         `cbor:"2,keyasint"`
	Peers       netip.AddrPort `cbor:"3,keyasint"`
}

// Config sets up a Leader.
type Config struct {
	Self  Member
	Store store.Client
	Calls Calls
	Board schedule.Config
	// Workers decodes the list of workers; WorkersPrefix is where it lies.
	WorkersPrefix string
	Worker        func(item store.Item) (schedule.Listing, error)
	// Patience delays a try for the leadership, so that the hosts with most
	// processor time come first.
	Patience time.Duration
	// Clock is steady and counts suspends; TimeOfDay may jump.
	Clock     func() time.Time
	TimeOfDay func() time.Time
	// Counts counts orders by outcome, ends by kind and leaderships; Took
	// records how long calls took, by kind.
	Counts *expvar.Map
	Took   func(call string, took time.Duration)
	// Changed tells who leads now; the zero Member for nobody.
	Changed func(member Member)
}

// Terms and bounds of the leadership.
const (
	// leaseTerm is how long the store keeps a leadership that is not renewed;
	// a few renewals may be lost.
	leaseTerm   = 2 * time.Second
	renewal     = 500 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	// lookWait is how long a look waits for an end. Leases of workers are
	// renewed at least that often, and last three times as long.
	lookWait = 1500 * time.Millisecond
	// watchWait is the same where fillers run beside serving tasks, whose
	// figures are of the last half second.
	watchWait = 500 * time.Millisecond
	// mostWatches stretches it in large deployments: looks a second for their
	// figures alone, about a tenth of a core.
	mostWatches = 700
	// lookGap is the least time between two looks at a worker, so that ends
	// which come together are heard together.
	lookGap = 40 * time.Millisecond
	// undurableGap is the least time while ends wait for the store, since a
	// look then returns at once.
	undurableGap = 150 * time.Millisecond
	// drainGap is the least time for a worker that drains: an end that is heard
	// just before it leaves need not be run again.
	drainGap = 20 * time.Millisecond
	// retryGap is the time between looks at a worker that does not answer.
	retryGap = 250 * time.Millisecond
	// gatherEnds is how long the end of a job waits for others to share a
	// write; gatherRest the same for all other progress.
	gatherEnds = 8 * time.Millisecond
	gatherRest = 100 * time.Millisecond
	// listGap is the pause between two reads of the list of workers.
	listGap = 400 * time.Millisecond
	// jobGap is the pause between two reads of new jobs.
	jobGap = 25 * time.Millisecond
	// workWait is how long a watch of the work waits for changes. A store that
	// drops its history may never answer a watch that waits: jobs and
	// cancellations are late by this much then.
	workWait = time.Second
	// leadWait is the same for the lead key, which seldom changes.
	leadWait = 2 * time.Second
	// ring bounds the events that wait for the loop.
	ring = 4096
	// mostCalls bounds the orders under way at a time.
	// Few, so that each is answered well within its timeout on a small host;
	// the rest wait their turn without a timer running.
	mostCalls = 32
	// mostOrders bounds the orders that wait for a call when starts are decided
	// on: enough to keep all calls busy until the next decision.
	mostOrders = 2 * mostCalls
	// mostQuestions bounds the calls for tickets under way at a time: the
	// service takes them in turn and turns away more than 32.
	mostQuestions = 8
	// summaryInterval is how often the state of the schedule is logged.
	summaryInterval = time.Second
	// tick is the longest time between two decisions.
	tick = 100 * time.Millisecond
	// decideGap is the least time between two decisions, and between two rounds
	// of looks: both go through all workers.
	decideGap = 15 * time.Millisecond
	// pruneInterval is the least time between two writes that only take workers
	// off the roster.
	pruneInterval = time.Second
	// learnedInterval is how often what was learned is written: a leader that
	// dies takes that much with it.
	learnedInterval = 2 * time.Second
	// forgetInterval is how often old records are dropped.
	forgetInterval = 5 * time.Second
)

// ActTerm is how long a leader may act after its last confirmation by the
// store. It outlasts a short outage; a taker reckons with it for every worker
// that it cannot hear.
const ActTerm = 3 * time.Second

// Keys in the store.
const (
	prefixWork   = "mustardreach/work/"
	keyLead      = prefixWork + "lead"
	prefixJob    = prefixWork + "job/"
	prefixCancel = prefixWork + "cancel/"
	prefixState  = "mustardreach/state/"
	// keyEpoch changes with every leadership and never goes.
	keyEpoch  = "mustardreach/epoch"
	keyRoster = "mustardreach/roster"
	// keyLearned has what the schedule has learned.
	keyLearned = "mustardreach/learned"
	// keySequence is written by every commit of a leader.
	keySequence = "mustardreach/sequence"
)
