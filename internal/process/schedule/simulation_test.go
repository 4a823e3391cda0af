package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// The world simulates workers, store and network around one or two boards.
// Orders are lost, left unanswered or delayed; workers are partitioned and
// restart; leaders crash after any write, or are replaced while they still
// consider themselves leader. The checks are on what the workers saw.

const (
	worldLease = 6 * time.Second
	worldGrace = 200 * time.Millisecond
	worldAct   = 3 * time.Second
	worldStep  = 100 * time.Millisecond
)

func testConfig() Config {
	return Config{
		LeaseTerm:     worldLease,
		StopGrace:     worldGrace,
		ActTerm:       worldAct,
		ListGrace:     2500 * time.Millisecond,
		MaxOverTarget: 4 * time.Second,
		KeepEnded:     time.Minute,
	}
}

func testCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 1,
		Queues: map[string]catalog.Queue{
			"quotes": {
				Name:        "quotes",
				Service:     "workshop",
				MaxAttempts: 3,
				Stretch:     2,
				Target:      time.Second,
			},
			"plans": {
				Name:        "plans",
				Service:     "workshop",
				Priority:    2,
				MaxAttempts: 2,
				Stretch:     2,
				Target:      time.Second,
			},
		},
		Services: map[string]catalog.Service{
			"workshop": {
				Name:             "workshop",
				EnforcesCapacity: true,
			},
		},
	}
}

type simulatedRun struct {
	run  int64
	work time.Duration
}

// simulatedWorker keeps the state that the protocol requires of a worker.
type simulatedWorker struct {
	listing     Listing
	token       int64
	running     map[work.TaskKey]*simulatedRun
	barred      map[work.TaskKey]int64
	ended       []EndedTask
	number      int64
	until       time.Time
	partitioned bool
}

type delayedStart struct {
	worker string
	token  int64
	until  time.Time
	start  Start
	at     time.Time
}

type world struct {
	t             *rapid.T
	now           time.Time
	token         int64
	board         *Board
	previous      *Board
	previousUntil time.Time
	workers       map[string]*simulatedWorker
	specs         map[string]*work.Job
	created       map[string]int64
	// progress is what the store holds.
	progress map[string]work.Progress
	roster   []Listing
	cancels  []string
	delayed  []delayedStart
	// everDone are tasks that have ended done, acknowledged or not.
	everDone map[work.TaskKey]bool
	// acknowledged are tasks whose end a worker was allowed to forget.
	acknowledged map[work.TaskKey]bool
	failed       map[work.TaskKey]int
	next         int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:            t,
		now:          time.Unix(1000, 0),
		workers:      map[string]*simulatedWorker{},
		specs:        map[string]*work.Job{},
		created:      map[string]int64{},
		progress:     map[string]work.Progress{},
		everDone:     map[work.TaskKey]bool{},
		acknowledged: map[work.TaskKey]bool{},
		failed:       map[work.TaskKey]int{},
	}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = newSimulatedWorker(id, w.now)
	}
	w.newLeader()
	return w
}

func newSimulatedWorker(id string, born time.Time) *simulatedWorker {
	return &simulatedWorker{
		listing: Listing{
			ID:      id,
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 4000,
			},
			Born: born,
		},
		running: map[work.TaskKey]*simulatedRun{},
		barred:  map[work.TaskKey]int64{},
	}
}

// newLeader makes a new board from the contents of the store. The previous one
// goes on for its act term, as a leader does that has not noticed yet.
func (w *world) newLeader() {
	w.previous, w.previousUntil = w.board, w.now.Add(worldAct)
	w.token += 10
	w.board = NewBoard(testConfig())
	w.board.SetCatalog(testCatalog())
	w.board.Begin(w.token, w.now)
	w.board.AddRoster(w.roster, w.now)
	for id, spec := range w.specs {
		var progress *work.Progress
		if saved, ok := w.progress[id]; ok {
			progress = &saved
		}
		w.board.AddJob(spec, progress, w.created[id] < w.token, w.now, w.now)
	}
	for _, id := range w.cancels {
		w.board.Cancel(id, w.now)
	}
	w.deliverList(w.board)
}

func (w *world) deliverList(board *Board) {
	listings := map[string]Listing{}
	for id, simWorker := range w.workers {
		if !simWorker.partitioned {
			listings[id] = simWorker.listing
		}
	}
	board.SetWorkers(listings, true, w.now)
	if board == w.board {
		w.roster = board.Roster()
	}
}

func (w *world) submit() {
	w.next++
	id := fmt.Sprintf("%016x", w.next)
	spec := &work.Job{
		ID:       id,
		Queue:    rapid.SampledFrom([]string{"quotes", "plans"}).Draw(w.t, "queue"),
		Service:  "workshop",
		Accepted: w.now,
	}
	for s := range rapid.IntRange(1, 2).Draw(w.t, "steps") {
		step := work.Step{
			Count: rapid.IntRange(1, 3).Draw(w.t, "count"),
			Size: worker.Size{
				MilliCores: 1000,
			},
			Estimate:    time.Second,
			Checkpoints: rapid.Bool().Draw(w.t, "checkpoints"),
		}
		if s > 0 {
			step.After = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	w.specs[id] = spec
	w.created[id] = w.token + 1
	w.board.AddJob(spec, nil, false, w.now, w.now)
}

// deliverStart handles a start at a worker.
func (w *world) deliverStart(id string, token int64, until time.Time, start Start) Verdict {
	simWorker := w.workers[id]
	switch {
	case token < simWorker.token:
		return Fenced
	case until.Before(w.now):
		return TooLate
	case simWorker.running[start.Key] != nil && simWorker.running[start.Key].run == start.Run:
		return Accepted
	case start.Run <= simWorker.barred[start.Key]:
		return Outdated
	case len(simWorker.running) >= 4:
		return NoRoom
	}
	simWorker.token = token
	w.checkStart(start)
	simWorker.running[start.Key] = &simulatedRun{
		run:  start.Run,
		work: rapid.SampledFrom([]time.Duration{worldStep, time.Second}).Draw(w.t, "work"),
	}
	simWorker.until = later(simWorker.until, until)
	return Accepted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) checkStart(start Start) {
	for id, simWorker := range w.workers {
		require.Nil(w.t, simWorker.running[start.Key], "%s is started while it runs on %s", start.Key, id)
	}
	require.False(w.t, w.acknowledged[start.Key], "%s is started after its end was acknowledged", start.Key)
	spec := w.specs[start.Key.Job]
	attempts := testCatalog().Queues[spec.Queue].MaxAttempts
	require.Less(w.t, w.failed[start.Key], attempts, "%s is started after its last attempt", start.Key)
	for _, earlier := range spec.Steps[start.Key.Step].After {
		for i := range spec.Steps[earlier].Count {
			key := start.Key
			key.Step, key.Index = earlier, i
			require.True(w.t, w.everDone[key], "%s is started before %s is done", start.Key, key)
		}
	}
}

// decide carries out a board's orders, with faults of the network.
func (w *world) decide(board *Board, allowed bool) {
	effects := board.Decide(w.now, allowed)
	for _, stop := range effects.Stops {
		simWorker := w.workers[stop.Worker]
		if simWorker == nil || simWorker.partitioned || board.token < simWorker.token {
			board.Stopped(stop, NotSent, w.now)
			continue
		}
		simWorker.token = board.token
		simWorker.barred[stop.Key] = max(simWorker.barred[stop.Key], stop.Run)
		if running := simWorker.running[stop.Key]; running != nil && running.run <= stop.Run {
			w.end(simWorker, stop.Key, EndedStopped)
		}
		board.Stopped(stop, Accepted, w.now)
	}
	for _, start := range effects.Starts {
		w.send(board, start)
	}
}

func (w *world) send(board *Board, start Start) {
	until := w.now.Add(worldLease)
	board.LeaseExtended(start.Worker, w.now)
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "unanswered", "late"}).Draw(w.t, "fate")
	simWorker := w.workers[start.Worker]
	if simWorker == nil || simWorker.partitioned {
		fate = "lost"
	}
	verdict := Unknown
	switch fate {
	case "ok":
		verdict = w.deliverStart(start.Worker, board.token, until, start)
	case "unanswered":
		_ = w.deliverStart(start.Worker, board.token, until, start)
	case "late":
		w.delayed = append(w.delayed, delayedStart{
			worker: start.Worker,
			token:  board.token,
			until:  until,
			start:  start,
			at:     w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(w.t, "delay")) * time.Second),
		})
	}
	board.Replied(start, verdict, w.now)
}

func (w *world) end(simWorker *simulatedWorker, key work.TaskKey, ending Ending) {
	running := simWorker.running[key]
	delete(simWorker.running, key)
	if ending == EndedDone {
		w.everDone[key] = true
	}
	simWorker.number++
	simWorker.barred[key] = max(simWorker.barred[key], running.run)
	simWorker.ended = append(simWorker.ended, EndedTask{
		Number: simWorker.number,
		Key:    key,
		Run:    running.run,
		Ending: ending,
	})
}

// poll is one exchange of a board with a worker.
func (w *world) poll(board *Board, id string) {
	simWorker := w.workers[id]
	if simWorker.partitioned || board.token < simWorker.token {
		board.MarkUnreachable(id, w.now)
		return
	}
	simWorker.token = board.token
	seen, incarnation := board.LastSeen(id)
	if !incarnation.Equal(simWorker.listing.Born) {
		seen = 0
	}
	var kept []EndedTask
	for _, end := range simWorker.ended {
		if end.Number > seen {
			kept = append(kept, end)
			continue
		}
		w.acknowledge(end)
	}
	simWorker.ended = kept
	if len(simWorker.running) > 0 || board == w.board {
		simWorker.until = later(simWorker.until, w.now.Add(worldLease))
		board.LeaseExtended(id, w.now)
	}
	inventory := Inventory{
		Born:     simWorker.listing.Born,
		Ended:    kept,
		Sent:     w.now,
		Received: w.now,
	}
	for _, key := range slices.SortedFunc(maps.Keys(simWorker.running), compareKeys) {
		running := simWorker.running[key]
		inventory.Running = append(inventory.Running, RunningTask{
			Key: key,
			Run: running.run,
		})
	}
	board.ApplyReport(id, inventory, w.now)
}

func (w *world) acknowledge(end EndedTask) {
	switch end.Ending {
	case EndedDone:
		w.acknowledged[end.Key] = true
	case EndedFailed:
		w.failed[end.Key]++
	}
}

// write stores records; only those of the newest leader are accepted.
func (w *world) write() {
	for _, record := range w.board.Records(true, 100) {
		if rapid.IntRange(0, 9).Draw(w.t, "write") == 0 {
			w.board.Written(record.Job, record.Version, false)
			continue
		}
		w.progress[record.Job] = record.Progress
		w.board.Written(record.Job, record.Version, true)
	}
}

// advance moves the time forward by one step.
func (w *world) advance() {
	w.now = w.now.Add(worldStep)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		simWorker := w.workers[id]
		for _, key := range slices.SortedFunc(maps.Keys(simWorker.running), compareKeys) {
			running := simWorker.running[key]
			running.work -= worldStep
			switch {
			case w.now.After(simWorker.until):
				w.end(simWorker, key, EndedLapsed)
			case running.work <= 0:
				ending := EndedDone
				if rapid.IntRange(0, 9).Draw(w.t, "fails") == 0 {
					ending = EndedFailed
				}
				w.end(simWorker, key, ending)
			}
		}
	}
	var kept []delayedStart
	for _, order := range w.delayed {
		if w.now.Before(order.at) {
			kept = append(kept, order)
			continue
		}
		if !w.workers[order.worker].partitioned {
			_ = w.deliverStart(order.worker, order.token, order.until, order.start)
		}
	}
	w.delayed = kept
}

func (w *world) injectFault() {
	id := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(w.t, "worker")
	switch rapid.SampledFrom([]string{"none", "none", "none", "none", "leader", "reborn", "cut", "heal", "cancel"}).Draw(w.t, "trouble") {
	case "leader":
		w.newLeader()
	case "reborn":
		w.restart(id)
	case "cut":
		w.workers[id].partitioned = true
	case "heal":
		w.workers[id].partitioned = false
	case "cancel":
		if len(w.specs) > 0 {
			job := fmt.Sprintf("%016x", rapid.IntRange(1, w.next).Draw(w.t, "job"))
			w.cancels = append(w.cancels, job)
			w.board.Cancel(job, w.now)
		}
	}
}

// restart replaces a worker by a new incarnation: it has no runs and has seen
// no token. Delayed orders to it are dropped with the earlier incarnation.
func (w *world) restart(id string) {
	w.workers[id] = newSimulatedWorker(id, w.now)
	w.delayed = slices.DeleteFunc(w.delayed, func(order delayedStart) bool { return order.worker == id })
}

func (w *world) tick() {
	w.advance()
	w.deliverList(w.board)
	for _, id := range []string{"w0", "w1", "w2"} {
		if rapid.Bool().Draw(w.t, "look") {
			w.poll(w.board, id)
		}
	}
	w.write()
	w.decide(w.board, true)
	if w.previous != nil && w.now.Before(w.previousUntil) {
		w.decide(w.previous, true)
	}
}

func TestNoTaskRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 120 {
			if w.next < 6 && rapid.IntRange(0, 4).Draw(t, "submit") == 0 {
				w.submit()
			}
			w.injectFault()
			w.tick()
		}
	})
}

// TestAllWorkEnds stops the faults after a while: every job must then end.
func TestAllWorkEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 60 {
			if w.next < 4 {
				w.submit()
			}
			w.injectFault()
			w.tick()
		}
		for _, simWorker := range w.workers {
			simWorker.partitioned = false
		}
		for range 600 {
			w.tick()
		}
		for id := range w.specs {
			state, known := w.board.State(id)
			require.True(t, known)
			require.True(t, state.Final(), "job %s is %s", id, state)
		}
	})
}

func TestMain(m *testing.M) {
	const cases = 150
	golden.Main(m, cases)
}
