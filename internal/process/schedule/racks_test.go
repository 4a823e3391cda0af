package schedule

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// rackFleet is a board with workers on several racks and the runs that it has
// started on them.
type rackFleet struct {
	t      *testing.T
	board  *Board
	now    time.Time
	factor float64
	random *rand.Rand
	runs   map[string]map[work.TaskKey]*rackRun
	ends   map[string]int64
	// arrivals and finished are by job; near and far count starts.
	arrivals  map[string]time.Time
	finished  map[string]time.Duration
	near, far int
}

type rackRun struct {
	run        int64
	start, end time.Time
}

const rackTick = 50 * time.Millisecond

// newRackFleet returns a fleet of which each worker has eight cores and each rack
// is named r0, r1 and so on. Tasks take factor times as long off their rack.
func newRackFleet(t *testing.T, racks, perRack int, factor float64) *rackFleet {
	t.Helper()
	fleet := &rackFleet{
		t:        t,
		now:      testStart,
		factor:   factor,
		random:   rand.New(rand.NewPCG(7, 11)),
		runs:     map[string]map[work.TaskKey]*rackRun{},
		ends:     map[string]int64{},
		arrivals: map[string]time.Time{},
		finished: map[string]time.Duration{},
	}
	for i := range racks * perRack {
		fleet.runs[fmt.Sprintf("r%d-w%d", i/perRack, i%perRack)] = map[work.TaskKey]*rackRun{}
	}
	fleet.board = fleet.newBoard(testToken)
	fleet.tick()
	return fleet
}

// newBoard returns the board of a leader to which all workers have reported.
func (f *rackFleet) newBoard(token int64) *Board {
	config := testConfig()
	config.RemoteFactor = f.factor
	board := NewBoard(config)
	board.SetCatalog(testCatalog())
	board.Begin(token, f.now)
	board.SetWorkers(f.listings(), true, f.now)
	return board
}

func (f *rackFleet) listings() map[string]Listing {
	out := map[string]Listing{}
	i := 0
	for id := range f.runs {
		out[id] = Listing{
			ID:      id,
			Address: testAddress(i),
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 8000,
			},
			Labels: []string{"plain", rackOf(id)},
			Rack:   rackOf(id),
			Born:   testBorn,
		}
		i++
	}
	return out
}

func rackOf(worker string) string {
	return worker[:2]
}

func onRack(rack string, count int, milliCores int64, estimate time.Duration) work.Step {
	step := tasks(count, milliCores)
	step.Rack, step.Estimate = rack, estimate
	return step
}

// add submits a job that arrives now.
func (f *rackFleet) add(id, queue string, steps ...work.Step) {
	job := testJob(id, queue, steps...)
	job.Accepted = f.now
	f.board.AddJob(job, nil, false, f.now, f.now)
	f.arrivals[id] = f.now
}

// decide carries out a decision and returns its starts.
func (f *rackFleet) decide() []Start {
	effects := f.board.Decide(f.now, true)
	accept(f.board, effects, f.now)
	for _, stop := range effects.Stops {
		delete(f.runs[stop.Worker], stop.Key)
	}
	for _, start := range effects.Starts {
		_, step, _ := f.board.jobs[start.Key.Job].find(start.Key)
		length := float64(step.spec.Estimate) * (0.9 + 0.2*f.random.Float64())
		switch {
		case step.spec.Rack == "":
		case step.spec.Rack == rackOf(start.Worker):
			f.near++
		default:
			f.far++
			length *= f.factor
		}
		f.runs[start.Worker][start.Key] = &rackRun{
			run:   start.Run,
			start: f.now,
			end:   f.now.Add(time.Duration(length)),
		}
	}
	return effects.Starts
}

// tick reports all runs, ends those that are due, and decides.
func (f *rackFleet) tick() []Start {
	f.now = f.now.Add(rackTick)
	for _, id := range slices.Sorted(maps.Keys(f.runs)) {
		f.report(id, f.runs[id])
	}
	save(f.board)
	for id, arrived := range f.arrivals {
		if state, _ := f.board.State(id); state == work.Completed {
			f.finished[id] = f.now.Sub(arrived)
			delete(f.arrivals, id)
		}
	}
	return f.decide()
}

func (f *rackFleet) report(id string, runs map[work.TaskKey]*rackRun) {
	inventory := Inventory{
		Born:     testBorn,
		Sent:     f.now,
		Received: f.now,
	}
	for _, key := range slices.SortedFunc(maps.Keys(runs), compareKeys) {
		run := runs[key]
		if f.now.Before(run.end) {
			inventory.Running = append(inventory.Running, RunningTask{
				Key:     key,
				Run:     run.run,
				Percent: int(100 * f.now.Sub(run.start) / run.end.Sub(run.start)),
			})
			continue
		}
		delete(runs, key)
		f.ends[id]++
		inventory.Ended = append(inventory.Ended, EndedTask{
			Number: f.ends[id],
			Key:    key,
			Run:    run.run,
			Ending: EndedDone,
		})
	}
	f.board.ApplyReport(id, inventory, f.now)
	f.board.Confirmed(f.now)
}

// run ticks for a time and returns the starts.
func (f *rackFleet) run(duration time.Duration) []Start {
	var out []Start
	for range duration / rackTick {
		out = append(out, f.tick()...)
	}
	return out
}

// loseRack removes the workers of a rack from the fleet.
func (f *rackFleet) loseRack(rack string) {
	for id := range f.runs {
		if rackOf(id) == rack {
			f.board.MarkUnreachable(id, f.now)
			delete(f.runs, id)
		}
	}
}

// fill occupies a rack with tasks of one job.
func (f *rackFleet) fill(rack string, perRack int, estimate time.Duration) {
	f.add("fill-"+rack, "plans", onRack(rack, perRack, 8000, estimate))
	starts := f.tick()
	require.Len(f.t, starts, perRack)
	for _, start := range starts {
		require.Equal(f.t, rack, rackOf(start.Worker))
	}
}
