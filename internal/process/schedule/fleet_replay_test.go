package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

// The replay models workers that accept every order and report at intervals.
const (
	replayStep   = 20 * time.Millisecond
	replayPoll   = 100 * time.Millisecond
	replayStop   = 100 * time.Millisecond // a task takes this long to stop
	replayWarmUp = time.Second            // a long-running task then reports 100 percent
	replayNotice = 5500 * time.Millisecond
	replayCores  = 64000
	quickRunTime = 800 * time.Millisecond
)

type fleetRun struct {
	run int64
	// ends is when the run ends; zero for a long-running task.
	ends        time.Time
	started     time.Time
	stopped     bool
	milliCores  int64
	longRunning bool
	// fails is set if the run ends as failed.
	fails bool
}

type replayWorker struct {
	running map[work.TaskKey]*fleetRun
	ended   []EndedTask
	number  int64
	born    time.Time
	// lost is set while the worker is down, lostAt when it went down.
	lost   bool
	lostAt time.Time
}

// replay runs a Board against a fleet without a network and records what
// callers would see.
type replay struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	board   *Board
	ids     []string
	workers map[string]*replayWorker
	quick   map[string]*fleetJob
	// longRunning holds the long-running jobs, lastUp when each of their tasks
	// was last seen below 100 percent.
	longRunning  []*work.Job
	lastDown     map[work.TaskKey]time.Time
	endedAt      map[work.TaskKey]time.Time
	fittingSince map[work.TaskKey]time.Time
	started      map[work.TaskKey]time.Time
	available    int
	samples      int
	stops        map[string]int
	// overMissed counts stops beyond MaxUnavailable, idleWaits the tasks that
	// waited although capacity was free.
	overMissed, idleWaits int
	next                  int
	// unanswered makes stops take effect without an answer to the leader.
	unanswered bool
	// faults are those of the runs and workers, nil if there are none.
	faults *replayFaults
}

type fleetJob struct {
	spec      *work.Job
	arrived   time.Time
	done      time.Time
	objective time.Duration
	value     float64
}

func newReplay(t testing.TB, workers int, seed uint64) *replay {
	r := &replay{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          testStart,
		workers:      map[string]*replayWorker{},
		quick:        map[string]*fleetJob{},
		lastDown:     map[work.TaskKey]time.Time{},
		endedAt:      map[work.TaskKey]time.Time{},
		fittingSince: map[work.TaskKey]time.Time{},
		started:      map[work.TaskKey]time.Time{},
		stops:        map[string]int{},
	}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		r.ids = append(r.ids, id)
		r.workers[id] = &replayWorker{
			running: map[work.TaskKey]*fleetRun{},
			born:    testBorn,
		}
	}
	r.newLeader(testToken)
	return r
}

// newLeader replaces the board by one that knows only the store's contents and
// what the workers report.
func (r *replay) newLeader(token int64) {
	previous := r.board
	config := testConfig()
	config.Notice = replayNotice
	r.board = NewBoard(config)
	r.board.SetCatalog(testCatalog())
	r.board.Begin(token, r.now)
	r.list()
	if previous != nil {
		for _, j := range previous.open {
			progress := j.snapshot()
			r.board.AddJob(j.work, &progress, true, r.now, r.now)
		}
		r.board.TrustPlacements()
	}
	for _, id := range r.ids {
		r.report(id)
	}
}

// list delivers the discovery list.
func (r *replay) list() {
	listings := map[string]Listing{}
	for i, id := range r.ids {
		if r.workers[id].lost {
			continue
		}
		listings[id] = Listing{
			ID:      id,
			Address: testAddress(i),
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores:  replayCores,
				MemoryBytes: 250 << 30,
			},
			Born: r.workers[id].born,
		}
	}
	r.board.SetWorkers(listings, true, r.now)
}

// addLongRunning adds long-running jobs of 14 tasks of 4 to 22 cores until they
// ask for the given share of the fleet.
func (r *replay) addLongRunning(share float64, maxUnavailable int) {
	asked, limit := int64(0), int64(share*float64(len(r.ids)*replayCores))
	for asked < limit {
		size := 1000 * (4 + r.random.Int64N(19))
		count := min(14, max(1, int((limit-asked)/size)))
		spec := testJob(fmt.Sprintf("%016x", 0xa0000+len(r.longRunning)), "quotes", work.Step{
			Count: count,
			Size: worker.Size{
				MilliCores:  size,
				MemoryBytes: 1 << 30,
			},
			LongRunning:    true,
			MaxUnavailable: maxUnavailable,
			TailTarget:     time.Second,
			Image:          fmt.Sprintf("image%d", len(r.longRunning)%5),
		})
		spec.Accepted = r.now
		asked += size * int64(count)
		r.longRunning = append(r.longRunning, spec)
		r.board.AddJob(spec, nil, false, r.now, r.now)
	}
}

// addQuick adds a quick job of one or two steps of 10 tasks of 2 to 22 cores,
// 7.5 on average.
func (r *replay) addQuick() {
	r.next++
	spec := testJob(fmt.Sprintf("%016x", r.next), "quotes")
	spec.Accepted = r.now
	steps, total := 1, 0.0
	if r.random.Float64() < 0.6 {
		steps = 2
	}
	for s := range steps {
		u := r.random.Float64()
		step := work.Step{
			Count: 10,
			Size: worker.Size{
				MilliCores:  2000 + int64(20000*u*u*u*(1+0.2*u)/1.2),
				MemoryBytes: 1 << 28,
			},
			Estimate:    quickRunTime,
			Checkpoints: true,
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		spec.Steps = append(spec.Steps, step)
		total += quickRunTime.Seconds() * float64(step.Size.MilliCores) * float64(step.Count)
	}
	const meanWork = 16 * 0.8 * 7000
	r.quick[spec.ID] = &fleetJob{
		spec:      spec,
		arrived:   r.now,
		objective: time.Duration(2*steps)*quickRunTime + time.Second,
		value:     rank.Value(total, meanWork),
	}
	r.board.AddJob(spec, nil, false, r.now, r.now)
}

// run advances the replay. One quick job arrives at a random time in each
// interval of the rate, in jobs per second: at random intervals, a small fleet
// would see far larger bursts, relative to its size, than the one it stands for.
func (r *replay) run(duration time.Duration, rate float64) {
	begin := r.now
	var next time.Time
	for count := 0; r.now.Before(begin.Add(duration)); r.advance() {
		if rate <= 0 {
			continue
		}
		if next.IsZero() {
			next = begin.Add(time.Duration((float64(count) + r.random.Float64()) / rate * float64(time.Second)))
		}
		if !r.now.Before(next) {
			r.addQuick()
			count++
			next = time.Time{}
		}
	}
}

func (r *replay) advance() {
	r.deliver()
	r.carryOut(r.board.Decide(r.now, true))
	r.sample()
}

// deliver advances the time and delivers the reports that are due.
func (r *replay) deliver() {
	r.now = r.now.Add(replayStep)
	round := int(r.now.Sub(testStart) / replayStep)
	polls := int(replayPoll / replayStep)
	for i, id := range r.ids {
		if r.workers[id].lost {
			continue
		}
		r.finishRuns(id)
		if (i+round)%polls == 0 {
			r.report(id)
		}
	}
}

func (r *replay) carryOut(effects Effects) {
	for _, stop := range effects.Stops {
		r.stop(stop)
	}
	for _, start := range effects.Starts {
		r.start(start)
	}
	save(r.board)
}

// unavailableBeside counts the other members of a long-running step that do not
// report 100 percent or did not within the notice period.
func (r *replay) unavailableBeside(key work.TaskKey) int {
	count := 0
	for i := range r.board.jobs[key.Job].work.Steps[key.Step].Count {
		member := key
		member.Index = i
		if down, ok := r.lastDown[member]; member != key && ok && r.now.Sub(down) <= replayNotice {
			count++
		}
	}
	return count
}

// sample observes the long-running tasks and the quick jobs that are done.
func (r *replay) sample() {
	running := map[work.TaskKey]*fleetRun{}
	free := map[string]int64{}
	for id, w := range r.workers {
		free[id] = replayCores
		for key, run := range w.running {
			running[key] = run
			free[id] -= run.milliCores
		}
	}
	for _, spec := range r.longRunning {
		for i := range spec.Steps[0].Count {
			key := work.TaskKey{
				Job:   spec.ID,
				Index: i,
			}
			r.samples++
			if run := running[key]; run != nil && !run.stopped && run.percent(r.now) == 100 {
				r.available++
			} else {
				r.lastDown[key] = r.now
			}
			r.checkIdleWait(key, running[key] != nil, free, spec.Steps[0].Size.MilliCores)
		}
	}
	for id, j := range r.quick {
		if state, known := r.board.State(id); known && state == work.Completed && j.done.IsZero() {
			j.done = r.now
		}
	}
}

// checkIdleWait counts a long-running task that ended 6 s ago or more and has
// waited 3 s more while two tasks of its size would have fitted.
func (r *replay) checkIdleWait(key work.TaskKey, running bool, free map[string]int64, size int64) {
	ended, known := r.endedAt[key]
	waits := !running && known && r.now.Sub(ended) >= 6*time.Second
	places := int64(0)
	if waits {
		for _, cores := range free {
			places += cores / size
		}
	}
	if places < 2 {
		delete(r.fittingSince, key)
		return
	}
	since, ok := r.fittingSince[key]
	if !ok {
		r.fittingSince[key] = r.now
		return
	}
	if r.now.Sub(since) >= 3*time.Second {
		r.idleWaits++
		delete(r.fittingSince, key)
	}
}
