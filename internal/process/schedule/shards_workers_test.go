package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shardWorker keeps the state that the protocol requires of a worker.
type shardWorker struct {
	listing Listing
	shard   int
	listed  bool
	token   int64
	running map[work.TaskKey]*shardRun
	barred  map[work.TaskKey]int64
	ended   []EndedTask
	number  int64
	// until is when its runs lapse.
	until time.Time
	// cutOff is set once the worker is lost.
	cutOff bool
	used   int64
	// polledAt is when a leader last polled it and polledBy its token; reported is
	// the last end that it has reported.
	polledAt           time.Time
	polledBy, reported int64
	// nextEnd is not later than the first end of a run.
	nextEnd time.Time
	// sorted are the tasks that run, nil after a change.
	sorted []work.TaskKey
}

type shardRun struct {
	run   int64
	began time.Time
	// ends is when the run ends by itself, zero if it does not, and ending how.
	ends        time.Time
	ending      Ending
	milliCores  int64
	longRunning bool
}

func newShardWorker(id string, number, address int, born time.Time) *shardWorker {
	return &shardWorker{
		listing: Listing{
			ID:      id,
			Address: testAddress(address),
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: shardsCores,
			},
			Born: born,
		},
		shard:   number,
		listed:  true,
		running: map[work.TaskKey]*shardRun{},
		barred:  map[work.TaskKey]int64{},
	}
}

// inventory is what the worker reports.
func (w *shardWorker) inventory(now time.Time) Inventory {
	out := Inventory{
		Born:     w.listing.Born,
		Ended:    slices.Clone(w.ended),
		Sent:     now,
		Received: now,
	}
	for _, key := range w.keys() {
		run := w.running[key]
		const whole = 100
		percent := int(whole * now.Sub(run.began) / time.Second)
		if !run.longRunning {
			percent = int(whole * now.Sub(run.began) / (run.ends.Sub(run.began) + shardsStep))
		}
		out.Running = append(out.Running, RunningTask{
			Key:        key,
			Run:        run.run,
			Percent:    min(whole, percent),
			MilliCores: run.milliCores,
		})
	}
	return out
}

// keys returns the tasks that run, in order.
func (w *shardWorker) keys() []work.TaskKey {
	if w.sorted == nil {
		w.sorted = slices.SortedFunc(maps.Keys(w.running), compareKeys)
	}
	return w.sorted
}

// forget drops the ends that the leader has stored.
func (w *shardWorker) forget(seen int64) {
	w.ended = slices.DeleteFunc(w.ended, func(end EndedTask) bool { return end.Number <= seen })
}

// start handles a start at a worker. A task has one run at a time over all
// workers of all shards.
func (sim *shardsSimulation) start(w *shardWorker, token int64, start Start) Verdict {
	if token < w.token {
		return Fenced
	}
	spec := sim.store.jobs[start.Key.Job].spec.Steps[start.Key.Step]
	current := w.running[start.Key]
	switch {
	case current != nil && current.run == start.Run:
		return Accepted
	case start.Run <= w.barred[start.Key]:
		return Outdated
	case w.used+spec.Size.MilliCores > shardsCores:
		return NoRoom
	}
	if other := sim.running[start.Key]; other != nil {
		require.Fail(sim.t, "task runs twice", "%s is started on %s of shard %d while it runs on %s of shard %d",
			start.Key, w.listing.ID, w.shard, other.listing.ID, other.shard)
	}
	w.token, w.until = token, later(w.until, sim.now.Add(testLeaseTerm))
	run := sim.newRun(start.Run, &spec)
	if !run.ends.IsZero() && run.ends.Before(w.nextEnd) {
		w.nextEnd = run.ends
	}
	w.running[start.Key], w.sorted = run, nil
	w.used += spec.Size.MilliCores
	sim.running[start.Key] = w
	return Accepted
}

// newRun draws how a run ends: 3 % fail. A long-running task fails at some time
// within 20 s of its start, so that most failures meet a service that is full.
func (sim *shardsSimulation) newRun(number int64, spec *work.Step) *shardRun {
	run := &shardRun{
		run:         number,
		began:       sim.now,
		milliCores:  spec.Size.MilliCores,
		longRunning: spec.LongRunning,
	}
	const failing = 0.03
	fails := sim.random.Float64() < failing
	switch {
	case fails && spec.LongRunning:
		run.ends, run.ending = sim.now.Add(sim.spread(200*time.Millisecond, 20*time.Second)), EndedFailed
	case fails:
		run.ends, run.ending = sim.now.Add(sim.spread(0, spec.Estimate)), EndedFailed
	case !spec.LongRunning:
		run.ends, run.ending = sim.now.Add(spec.Estimate), EndedDone
	}
	return run
}

func (sim *shardsSimulation) stop(w *shardWorker, stop Stop) {
	w.barred[stop.Key] = max(w.barred[stop.Key], stop.Run)
	if run := w.running[stop.Key]; run != nil && run.run <= stop.Run {
		sim.end(w, stop.Key, EndedStopped)
	}
}

func (sim *shardsSimulation) end(w *shardWorker, key work.TaskKey, ending Ending) {
	run := w.running[key]
	delete(w.running, key)
	delete(sim.running, key)
	w.sorted = nil
	w.used -= run.milliCores
	w.number++
	w.barred[key] = max(w.barred[key], run.run)
	w.ended = append(w.ended, EndedTask{
		Number: w.number,
		Key:    key,
		Run:    run.run,
		Ending: ending,
	})
}

// endRuns ends the runs that are done, have failed or have lapsed.
func (sim *shardsSimulation) endRuns(w *shardWorker) {
	lapsed := sim.now.After(w.until)
	if !lapsed && sim.now.Before(w.nextEnd) {
		return
	}
	const farOff = time.Hour
	w.nextEnd = sim.now.Add(farOff)
	for _, key := range w.keys() {
		run := w.running[key]
		switch {
		case lapsed:
			sim.end(w, key, EndedLapsed)
		case !run.ends.IsZero() && !sim.now.Before(run.ends):
			sim.end(w, key, run.ending)
		case !run.ends.IsZero():
			w.nextEnd = earlier(w.nextEnd, run.ends)
		}
	}
}
