// Package leader competes for the leadership of the deployment and, while this
// host holds it, polls the workers, sends the orders that the schedule decides
// on and writes durable state to the store. One goroutine, the loop, owns the
// board; calls to the store and to workers run in other goroutines and report
// to the loop as events.
package leader

import (
	"context"
	"errors"
	"expvar"
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
)

// ErrFenced is returned by a poll that the worker refused because it has seen a
// higher token.
var ErrFenced = errors.New("worker has seen a higher token")

// ErrBroken is returned by a poll whose connection was closed or reset before the
// answer. The worker may have carried out the call, and may go on.
var ErrBroken = errors.New("connection to worker broke")

// Target is the worker that a call is sent to.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Lease accompanies each call to a worker.
type Lease struct {
	// Token is the fencing token of the leadership; a worker refuses tokens
	// lower than the highest that it has seen.
	Token int64
	// Until is when the lease of all runs on the worker expires and they end, on
	// the worker's own clock; zero leaves the lease as it is.
	Until time.Duration
}

// Poll asks a worker for its runs and renews its lease.
type Poll struct {
	Lease
	// LastSeen is the number of the last run end that is acknowledged: the
	// worker may forget ends up to it.
	LastSeen int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Calls are the calls to workers. Each returns by the end of its context. The
// duration returned is the worker's steady clock, zero if the worker did not
// report it.
type Calls struct {
	Poll     func(ctx context.Context, target Target, poll Poll) (inventory schedule.Inventory, clock time.Duration, err error)
	Start    func(ctx context.Context, target Target, lease Lease, start schedule.Start) (schedule.Verdict, time.Duration)
	Stop     func(ctx context.Context, target Target, lease Lease, stop schedule.Stop) (schedule.Verdict, time.Duration)
	Throttle func(ctx context.Context, target Target, lease Lease, throttle schedule.Throttle) (schedule.Verdict, time.Duration)
	// Advise requests tickets. It returns the granted ones by worker, and how
	// long they are valid.
	Advise func(ctx context.Context, request schedule.TicketRequest) (granted map[string]string, validFor time.Duration, err error)
}

// Member identifies a host that leads and where its peers reach it.
type Member struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation is unique to each start of the process.
	Incarnation string         `cbor:"2,keyasint"`
	Peers       netip.AddrPort `cbor:"3,keyasint"`
}

// Config configures a Leader.
type Config struct {
	Self  Member
	Store store.Client
	// Shard is the number of the shard to lead, of Shards in all; Keys are its
	// keys.
	Shard, Shards int
	// UsualShard returns the shard that a new job belongs to.
	UsualShard func(id string) int
	Keys       Keys
	// Duties counts the shards that this host leads.
	Duties *Duties
	Calls  Calls
	Board  schedule.Config
	// JobBytes is the memory for all jobs of the shard; zero means no limit.
	JobBytes int64
	// WorkersPrefix is the key prefix of the list of workers; Worker decodes an
	// entry of it. Owns reports whether a worker belongs to the shard.
	WorkersPrefix string
	Worker        func(item store.Item) (schedule.Listing, error)
	Owns          func(listing schedule.Listing) bool
	// AcquireDelay delays an attempt to acquire the leadership, so that the hosts
	// with the most processor time try first.
	AcquireDelay time.Duration
	// MilliCores is the processor time that this host may use, in thousandths of a
	// core.
	MilliCores int64
	// Reach tries to reach a worker without an order; SendProbe asks another host
	// which workers it reaches. Without Reach, lost links are no cause to resign.
	Reach     func(ctx context.Context, worker netip.AddrPort) bool
	SendProbe func(host string, probe Probe)
	// Answers reports whether the leader on a host seems to be there, as far as this
	// host's links to it show. Without it, every leader does.
	Answers func(host string) bool
	// advice gives the leaders on this host their turns to request tickets; the Group
	// sets it.
	advice *adviceTurns
	// reports holds the reports of other hosts; the Group sets it.
	reports *hostReports
	// Clock is monotonic and includes time during which the machine is
	// suspended; TimeOfDay is wall-clock time, which may jump.
	Clock     func() time.Time
	TimeOfDay func() time.Time
	// Counts counts orders by outcome, run ends by kind, and leaderships
	// acquired and lost. RecordDuration records the duration of a call, by kind.
	Counts         *expvar.Map
	RecordDuration func(call string, took time.Duration)
	// LeaderChanged is called with the new leader when it changes; the zero
	// Member means that nobody leads.
	LeaderChanged func(member Member)
}

// Intervals, timeouts and limits.
const (
	// leaseTTL is the time to live of the lead key's lease in the store. It
	// allows for a few lost renewals.
	leaseTTL      = 2 * time.Second
	renewInterval = 500 * time.Millisecond
	// confirmGap replaces renewInterval while starts wait for a confirmation.
	confirmGap  = 50 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	// resumeTime is how long a leader may take to find out that the store answers
	// again, and to acquire its leadership. After an outage the other hosts leave a
	// lapsed one to it for so long if it seems to be there: it knows where all tasks
	// run, and a successor has to find out.
	resumeTime = callTimeout + 100*time.Millisecond
	// outageDelayFactor multiplies AcquireDelay then, as hosts notice the end of an
	// outage up to half a second apart.
	outageDelayFactor = 3
	// catchUpWait is how long the last read of a new leader waits for changes.
	catchUpWait = time.Millisecond
	// pageRetryGap is the pause after a page of a listing that could not be read.
	pageRetryGap = 100 * time.Millisecond
	// pollWait is how long a poll waits for a run to end. Workers' leases are
	// renewed at least that often, and last three times as long.
	pollWait = 1500 * time.Millisecond
	// servingPollWait replaces pollWait on workers where fillers (best-effort
	// tasks) run beside serving tasks, whose latency figures cover the last half
	// second.
	servingPollWait = 500 * time.Millisecond
	// maxServingPolls limits the polls a second that are sent only for these
	// figures: servingPollWait is stretched in large deployments, so that they
	// cost about a tenth of a core.
	maxServingPolls = 700
	// pollGap is the minimum time between two polls of a worker, so that run
	// ends that come close together share an answer.
	pollGap = 40 * time.Millisecond
	// unsavedPollGap replaces pollGap while run ends of the worker wait to be
	// saved: they are not acknowledged yet, so that a poll returns at once.
	unsavedPollGap = 150 * time.Millisecond
	// drainPollGap replaces pollGap for a draining worker: a task need not be
	// run again if its end is received just before the worker leaves.
	drainPollGap = 20 * time.Millisecond
	// pollRetryGap is the time between polls of a worker that does not answer.
	pollRetryGap = 250 * time.Millisecond
	// endsBatchDelay is how long the end of a job waits for others to share a
	// commit; progressBatchDelay is the same for all other progress.
	endsBatchDelay     = 8 * time.Millisecond
	progressBatchDelay = 100 * time.Millisecond
	// workersReadGap is the pause between two reads of the list of workers.
	workersReadGap = 400 * time.Millisecond
	// jobsReadGap is the pause between two reads of new jobs.
	jobsReadGap = 25 * time.Millisecond
	// workWatchWait is how long a watch of jobs, cancellations or workers waits
	// for changes. A store that drops its history may never answer a waiting
	// watch; jobs and cancellations are then late by this much.
	workWatchWait = time.Second
	// leadWatchWait is the same for the lead key, which seldom changes.
	leadWatchWait = 2 * time.Second
	// eventBuffer is the number of events that can wait for the loop.
	eventBuffer = 4096
	// maxCalls limits the orders in flight. It is small, so that each is
	// answered well within its timeout on a small host; no timeout runs for the
	// orders that wait.
	maxCalls = 32
	// maxOrders limits the orders that may wait for a call slot when starts are
	// decided on: enough to keep all slots busy until the next decision.
	maxOrders = 2 * maxCalls
	// summaryInterval is how often the state of the schedule is logged.
	summaryInterval = time.Second
	// tick is the maximum time between two decisions. followTick replaces it on
	// a host that does not lead, where it covers only a missed event.
	tick       = 100 * time.Millisecond
	followTick = 2 * time.Second
	// decideGap is the minimum time between two decisions, and between two
	// rounds of polls: both go through all workers.
	decideGap = 15 * time.Millisecond
	// rosterPruneInterval is the minimum time between two commits that only
	// remove workers from the roster.
	rosterPruneInterval = time.Second
	// placementsInterval is how often a leader that took over from one without
	// placements checks whether all are recorded.
	placementsInterval = time.Second
	// learnedInterval is how often the learned state is saved. It is the most
	// that is lost when a leader dies.
	learnedInterval = 2 * time.Second
	// balanceInterval is how often a leader publishes its load and moves jobs, when
	// no other leader begins a round earlier; loadsReadGap is the pause between two reads of the loads. A load older than
	// loadAge is not used.
	balanceInterval = shard.RoundInterval
	loadsReadGap    = 100 * time.Millisecond
	loadAge         = 2 * time.Second
	// quotaInterval is how often a leader revises its parts of limits, besides
	// after each change of the record or of what others want, quotaGap the minimum
	// time between two revisions. A transfer takes two intervals and a few calls to
	// the store, well within the 2 s in which a shard can use 90 % of a limit.
	quotaInterval = 250 * time.Millisecond
	quotaGap      = 100 * time.Millisecond
	// quotaReadGap is the pause between two reads of the record.
	quotaReadGap = 50 * time.Millisecond
	// deleteInterval is how often the records of old jobs are deleted.
	deleteInterval = 5 * time.Second
)

// ActTerm is how long a leader may act after its last confirmation by the
// store. It is long enough to bridge a short outage. A successor has to assume,
// for every worker that it cannot reach, that the former leader acted this
// long.
const ActTerm = 3 * time.Second
