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

// The world below plays workers, store and network around one or two boards:
// orders get lost, unanswered or late, workers are cut off and start again,
// leaders die after any write or take over from one that still believes. The
// checks are on what the workers saw.

const (
	worldLease = 6 * time.Second
	worldGrace = 200 * time.Millisecond
	worldAct   = 3 * time.Second
	worldStep  = 100 * time.Millisecond
)

func testConfig() Config {
	return Config{
		LeaseTerm: worldLease,
		StopGrace: worldGrace,
		ActTerm:   worldAct,
		ListGrace: 2500 * time.Millisecond,
		HarmTerm:  4 * time.Second,
		KeepEnded: time.Minute,
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
				Name:    "workshop",
				Guarded: true,
			},
		},
	}
}

type playedRun struct {
	run  int64
	work time.Duration
}

// playedWorker keeps what the protocol says that a worker keeps.
type playedWorker struct {
	listing Listing
	token   int64
	running map[work.TaskKey]*playedRun
	barred  map[work.TaskKey]int64
	ended   []EndedTask
	number  int64
	until   time.Time
	cut     bool
}

type lateStart struct {
	worker string
	token  int64
	until  time.Time
	start  Start
	at     time.Time
}

type world struct {
	t       *rapid.T
	now     time.Time
	token   int64
	board   *Board
	old     *Board
	oldEnds time.Time
	workers map[string]*playedWorker
	specs   map[string]*work.Job
	created map[string]int64
	// progress is what the store has.
	progress map[string]work.Progress
	roster   []Listing
	cancels  []string
	late     []lateStart
	// ever are tasks that have ended done, noted or not.
	ever map[work.TaskKey]bool
	// done are tasks whose end a worker was allowed to forget.
	done   map[work.TaskKey]bool
	failed map[work.TaskKey]int
	next   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:        t,
		now:      time.Unix(1000, 0),
		workers:  map[string]*playedWorker{},
		specs:    map[string]*work.Job{},
		created:  map[string]int64{},
		progress: map[string]work.Progress{},
		ever:     map[work.TaskKey]bool{},
		done:     map[work.TaskKey]bool{},
		failed:   map[work.TaskKey]int{},
	}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = newPlayed(id, w.now)
	}
	w.lead()
	return w
}

func newPlayed(id string, born time.Time) *playedWorker {
	return &playedWorker{
		listing: Listing{
			ID:      id,
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 4000,
			},
			Born: born,
		},
		running: map[work.TaskKey]*playedRun{},
		barred:  map[work.TaskKey]int64{},
	}
}

// lead makes a new board from what the store has. The one before goes on for
// its act term, as a leader does that does not know yet.
func (w *world) lead() {
	w.old, w.oldEnds = w.board, w.now.Add(worldAct)
	w.token += 10
	w.board = NewBoard(testConfig())
	w.board.SetCatalog(testCatalog())
	w.board.Begin(w.token, w.now)
	w.board.Remember(w.roster, w.now)
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
	w.list(w.board)
}

func (w *world) list(board *Board) {
	listings := map[string]Listing{}
	for id, one := range w.workers {
		if !one.cut {
			listings[id] = one.listing
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

// arrive is a start at a worker.
func (w *world) arrive(id string, token int64, until time.Time, start Start) Verdict {
	one := w.workers[id]
	switch {
	case token < one.token:
		return Fenced
	case until.Before(w.now):
		return TooLate
	case one.running[start.Key] != nil && one.running[start.Key].run == start.Run:
		return Accepted
	case start.Run <= one.barred[start.Key]:
		return Outdated
	case len(one.running) >= 4:
		return NoRoom
	}
	one.token = token
	w.checkStart(start)
	one.running[start.Key] = &playedRun{
		run:  start.Run,
		work: rapid.SampledFrom([]time.Duration{worldStep, time.Second}).Draw(w.t, "work"),
	}
	one.until = later(one.until, until)
	return Accepted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) checkStart(start Start) {
	for id, one := range w.workers {
		require.Nil(w.t, one.running[start.Key], "%s is started while it runs on %s", start.Key, id)
	}
	require.False(w.t, w.done[start.Key], "%s is started after its end was taken note of", start.Key)
	spec := w.specs[start.Key.Job]
	attempts := testCatalog().Queues[spec.Queue].MaxAttempts
	require.Less(w.t, w.failed[start.Key], attempts, "%s is started after its last attempt", start.Key)
	for _, earlier := range spec.Steps[start.Key.Step].After {
		for i := range spec.Steps[earlier].Count {
			key := start.Key
			key.Step, key.Index = earlier, i
			require.True(w.t, w.ever[key], "%s is started before %s is done", start.Key, key)
		}
	}
}

// decide carries out what a board wants, with the network's tricks.
func (w *world) decide(board *Board, allowed bool) {
	effects := board.Decide(w.now, allowed)
	for _, stop := range effects.Stops {
		one := w.workers[stop.Worker]
		if one == nil || one.cut || board.token < one.token {
			board.Stopped(stop, NotSent, w.now)
			continue
		}
		one.token = board.token
		one.barred[stop.Key] = max(one.barred[stop.Key], stop.Run)
		if running := one.running[stop.Key]; running != nil && running.run <= stop.Run {
			w.end(one, stop.Key, EndedStopped)
		}
		board.Stopped(stop, Accepted, w.now)
	}
	for _, start := range effects.Starts {
		w.send(board, start)
	}
}

func (w *world) send(board *Board, start Start) {
	until := w.now.Add(worldLease)
	board.Extended(start.Worker, w.now)
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "unanswered", "late"}).Draw(w.t, "fate")
	one := w.workers[start.Worker]
	if one == nil || one.cut {
		fate = "lost"
	}
	verdict := Unknown
	switch fate {
	case "ok":
		verdict = w.arrive(start.Worker, board.token, until, start)
	case "unanswered":
		_ = w.arrive(start.Worker, board.token, until, start)
	case "late":
		w.late = append(w.late, lateStart{
			worker: start.Worker,
			token:  board.token,
			until:  until,
			start:  start,
			at:     w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(w.t, "delay")) * time.Second),
		})
	}
	board.Replied(start, verdict, w.now)
}

func (w *world) end(one *playedWorker, key work.TaskKey, ending Ending) {
	running := one.running[key]
	delete(one.running, key)
	if ending == EndedDone {
		w.ever[key] = true
	}
	one.number++
	one.barred[key] = max(one.barred[key], running.run)
	one.ended = append(one.ended, EndedTask{
		Number: one.number,
		Key:    key,
		Run:    running.run,
		Ending: ending,
	})
}

// look is one exchange of a board with a worker.
func (w *world) look(board *Board, id string) {
	one := w.workers[id]
	if one.cut || board.token < one.token {
		board.Unheard(id, w.now)
		return
	}
	one.token = board.token
	seen, life := board.LastSeen(id)
	if !life.Equal(one.listing.Born) {
		seen = 0
	}
	var kept []EndedTask
	for _, end := range one.ended {
		if end.Number > seen {
			kept = append(kept, end)
			continue
		}
		w.noted(end)
	}
	one.ended = kept
	if len(one.running) > 0 || board == w.board {
		one.until = later(one.until, w.now.Add(worldLease))
		board.Extended(id, w.now)
	}
	inventory := Inventory{
		Born:     one.listing.Born,
		Ended:    kept,
		Sent:     w.now,
		Received: w.now,
	}
	for _, key := range slices.SortedFunc(maps.Keys(one.running), compareKeys) {
		running := one.running[key]
		inventory.Running = append(inventory.Running, RunningTask{
			Key: key,
			Run: running.run,
		})
	}
	board.Heard(id, inventory, w.now)
}

func (w *world) noted(end EndedTask) {
	switch end.Ending {
	case EndedDone:
		w.done[end.Key] = true
	case EndedFailed:
		w.failed[end.Key]++
	}
}

// write moves records into the store; only the newest leader's are taken.
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

// pass lets time go by.
func (w *world) pass() {
	w.now = w.now.Add(worldStep)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		one := w.workers[id]
		for _, key := range slices.SortedFunc(maps.Keys(one.running), compareKeys) {
			running := one.running[key]
			running.work -= worldStep
			switch {
			case w.now.After(one.until):
				w.end(one, key, EndedLapsed)
			case running.work <= 0:
				ending := EndedDone
				if rapid.IntRange(0, 9).Draw(w.t, "fails") == 0 {
					ending = EndedFailed
				}
				w.end(one, key, ending)
			}
		}
	}
	var kept []lateStart
	for _, one := range w.late {
		if w.now.Before(one.at) {
			kept = append(kept, one)
			continue
		}
		if !w.workers[one.worker].cut {
			_ = w.arrive(one.worker, one.token, one.until, one.start)
		}
	}
	w.late = kept
}

func (w *world) trouble() {
	id := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(w.t, "worker")
	switch rapid.SampledFrom([]string{"none", "none", "none", "none", "leader", "reborn", "cut", "heal", "cancel"}).Draw(w.t, "trouble") {
	case "leader":
		w.lead()
	case "reborn":
		w.reborn(id)
	case "cut":
		w.workers[id].cut = true
	case "heal":
		w.workers[id].cut = false
	case "cancel":
		if len(w.specs) > 0 {
			job := fmt.Sprintf("%016x", rapid.IntRange(1, w.next).Draw(w.t, "job"))
			w.cancels = append(w.cancels, job)
			w.board.Cancel(job, w.now)
		}
	}
}

// reborn starts a worker anew: it runs nothing and has seen no token. An order
// that it would have carried out late is forgotten with its former life.
func (w *world) reborn(id string) {
	w.workers[id] = newPlayed(id, w.now)
	w.late = slices.DeleteFunc(w.late, func(one lateStart) bool { return one.worker == id })
}

func (w *world) turn() {
	w.pass()
	w.list(w.board)
	for _, id := range []string{"w0", "w1", "w2"} {
		if rapid.Bool().Draw(w.t, "look") {
			w.look(w.board, id)
		}
	}
	w.write()
	w.decide(w.board, true)
	if w.old != nil && w.now.Before(w.oldEnds) {
		w.decide(w.old, true)
	}
}

func TestNoTaskRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 120 {
			if w.next < 6 && rapid.IntRange(0, 4).Draw(t, "submit") == 0 {
				w.submit()
			}
			w.trouble()
			w.turn()
		}
	})
}

// TestAllWorkEnds lets troubles stop: every job comes to its end.
func TestAllWorkEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 60 {
			if w.next < 4 {
				w.submit()
			}
			w.trouble()
			w.turn()
		}
		for _, one := range w.workers {
			one.cut = false
		}
		for range 600 {
			w.turn()
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
