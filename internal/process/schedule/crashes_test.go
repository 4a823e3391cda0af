package schedule

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// crashFleet is a fleet whose workers crash and come back, led by one board
// after another.
type crashFleet struct {
	board    *Board
	now      time.Time
	listings map[string]Listing
	// running and ended hold the runs of each worker.
	running  map[string]map[work.TaskKey]int64
	ended    map[string][]EndedTask
	specs    []*work.Job
	progress map[string]work.Progress
	// incarnations counts the workers ever started.
	incarnations int
	// starts counts the starts of each task.
	starts map[work.TaskKey]int
}

// newCrashFleet starts as many workers as given in each of two racks.
func newCrashFleet(perRack int) *crashFleet {
	fleet := &crashFleet{
		now:      testStart,
		listings: map[string]Listing{},
		running:  map[string]map[work.TaskKey]int64{},
		ended:    map[string][]EndedTask{},
		progress: map[string]work.Progress{},
		starts:   map[work.TaskKey]int{},
	}
	for i := range 2 * perRack {
		fleet.add(testAddress(i), fmt.Sprintf("rack%d", i/perRack))
	}
	fleet.newLeader(testToken)
	return fleet
}

func testAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 8000)
}

func (f *crashFleet) add(address netip.AddrPort, rack string) {
	f.incarnations++
	id := fmt.Sprintf("w%02d", f.incarnations)
	f.listings[id] = Listing{
		ID:      id,
		Address: address,
		Zone:    "recife",
		Rack:    rack,
		Service: "workshop",
		Capacity: worker.Size{
			MilliCores: 8000,
		},
		Born: testBorn.Add(time.Duration(f.incarnations) * time.Millisecond),
	}
}

func (f *crashFleet) newLeader(token int64) {
	f.board = NewBoard(testConfig())
	f.board.SetCatalog(testCatalog())
	f.board.Begin(token, f.now)
	for _, spec := range f.specs {
		progress, saved := f.progress[spec.ID]
		if !saved {
			f.board.AddJob(spec, nil, true, f.now, f.now)
			continue
		}
		f.board.AddJob(spec, &progress, true, f.now, f.now)
	}
	f.list()
	f.pollAll()
}

func (f *crashFleet) submit(spec *work.Job) {
	f.specs = append(f.specs, spec)
	f.board.AddJob(spec, nil, false, f.now, f.now)
}

func (f *crashFleet) list() {
	f.board.SetWorkers(maps.Clone(f.listings), true, f.now)
}

// pollAll has every worker report its runs.
func (f *crashFleet) pollAll() {
	for _, id := range slices.Sorted(maps.Keys(f.listings)) {
		inventory := Inventory{
			Born:     f.listings[id].Born,
			Ended:    f.ended[id],
			Sent:     f.now,
			Received: f.now,
		}
		for key, run := range f.running[id] {
			inventory.Running = append(inventory.Running, RunningTask{
				Key: key,
				Run: run,
			})
		}
		f.board.LeaseExtended(id, f.now)
		f.board.ApplyReport(id, inventory, f.now)
		f.board.Confirmed(f.now)
	}
}

// pass lets time pass with polls every half second, and saves all progress.
func (f *crashFleet) pass(wait time.Duration) {
	const gap = 500 * time.Millisecond
	for end := f.now.Add(wait); f.now.Before(end); {
		f.now = f.now.Add(gap)
		f.list()
		f.pollAll()
		f.save()
	}
}

func (f *crashFleet) save() {
	for _, record := range f.board.Records(true, 100) {
		f.progress[record.Job] = record.Progress
		f.board.Written(record.Job, record.Version, true)
	}
}

// decide starts what the board wants started and returns the starts.
func (f *crashFleet) decide() []Start {
	effects := f.board.Decide(f.now, true)
	f.save()
	recorded := f.board.Decide(f.now, true) // starts of long-running tasks
	effects.Starts = append(effects.Starts, recorded.Starts...)
	effects.Stops = append(effects.Stops, recorded.Stops...)
	accept(f.board, effects, f.now)
	for _, start := range effects.Starts {
		f.run(start.Worker, start.Key, start.Run)
	}
	for _, stop := range effects.Stops {
		delete(f.running[stop.Worker], stop.Key)
		f.board.StopReplied(stop, Accepted, f.now)
	}
	f.save()
	return effects.Starts
}

func (f *crashFleet) run(id string, key work.TaskKey, run int64) {
	if f.running[id] == nil {
		f.running[id] = map[work.TaskKey]int64{}
	}
	f.running[id][key] = run
	f.starts[key]++
}

// vanish ends all runs of workers, which answer no more.
func (f *crashFleet) vanish(ids []string) map[string]Listing {
	out := map[string]Listing{}
	for _, id := range ids {
		if _, listed := f.listings[id]; !listed {
			continue // named twice
		}
		out[id] = f.listings[id]
		delete(f.listings, id)
		delete(f.running, id)
		f.board.MarkUnreachable(id, f.now)
	}
	return out
}

// replace crashes workers: others come up at their addresses, under new ids.
func (f *crashFleet) replace(ids ...string) {
	f.crash(ids, func(string) bool { return false })
}

// restart crashes workers: they come back under their ids.
func (f *crashFleet) restart(ids ...string) {
	f.crash(ids, func(string) bool { return true })
}

// crash crashes workers, which come back under their ids or under new ones.
func (f *crashFleet) crash(ids []string, keepsID func(id string) bool) {
	f.revive(f.vanish(ids), keepsID)
}

func (f *crashFleet) revive(vanished map[string]Listing, keepsID func(id string) bool) {
	f.pass(time.Second)
	for _, id := range slices.Sorted(maps.Keys(vanished)) {
		listing := vanished[id]
		if !keepsID(id) {
			f.add(listing.Address, listing.Rack)
			continue
		}
		f.incarnations++
		listing.Born = testBorn.Add(time.Duration(f.incarnations) * time.Millisecond)
		f.listings[id] = listing
	}
	f.pass(2 * testLeaseTerm)
	f.board.Expire(f.now)
}

// isolate cuts workers off for longer than their leases.
func (f *crashFleet) isolate(ids ...string) {
	vanished := f.vanish(ids)
	f.pass(2 * testLeaseTerm)
	f.board.Expire(f.now)
	maps.Copy(f.listings, vanished)
}

// Load pattern: a task crashes each worker that starts it. It was started on one
// worker after another for as long as the day lasted.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	longRunning := tasks(1, 1000)
	longRunning.LongRunning = true
	tests := map[string]struct {
		step  work.Step
		crash func(f *crashFleet, id string)
	}{
		"workers come back under new ids": {
			step:  tasks(1, 1000),
			crash: func(f *crashFleet, id string) { f.replace(id) },
		},
		"workers come back under their ids": {
			step:  tasks(1, 1000),
			crash: func(f *crashFleet, id string) { f.restart(id) },
		},
		"long-running task": {
			step:  longRunning,
			crash: func(f *crashFleet, id string) { f.replace(id) },
		},
		"workers are slow to come back": {
			step: tasks(1, 1000),
			crash: func(f *crashFleet, id string) {
				old := f.listings[id]
				f.isolate(id)
				delete(f.listings, id)
				f.add(old.Address, old.Rack)
				f.pass(time.Second)
			},
		},
		"a new leader after each crash": {
			step: tasks(1, 1000),
			crash: func(f *crashFleet, id string) {
				f.replace(id)
				f.newLeader(f.board.token + 1)
				f.pass(2 * testLeaseTerm)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newCrashFleet(3)
			fleet.submit(testJob("a", "plans", tt.step))
			fleet.submit(testJob("b", "plans", tasks(1, 1000)))
			for range 2 * maxDoubtfulCrashes {
				fleet.decide()
				if deadly := fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0]; deadly.phase == claimed {
					tt.crash(fleet, deadly.worker)
				}
			}
			state, _ := fleet.board.State("a")
			assert.Equal(t, work.Failed, state)
			assert.Equal(t, maxCrashes, fleet.starts[firstTask("a")])
			state, _ = fleet.board.State("b")
			assert.NotEqual(t, work.Failed, state)
		})
	}
}

// A task is not given up for ends of workers that it can't have caused.
func TestTaskIsNotGivenUpForOtherEnds(t *testing.T) {
	rackOf := func(f *crashFleet, id string) []string {
		return slices.DeleteFunc(slices.Sorted(maps.Keys(f.listings)), func(other string) bool {
			return f.listings[other].Rack != f.listings[id].Rack
		})
	}
	tests := map[string]func(f *crashFleet, id string){
		"draining worker leaves": func(f *crashFleet, id string) {
			listing := f.listings[id]
			listing.Draining = true
			f.listings[id] = listing
			f.list()
			f.replace(id)
		},
		"worker is cut off": func(f *crashFleet, id string) {
			f.isolate(id)
			f.pass(time.Second)
		},
		"rack fails":    func(f *crashFleet, id string) { f.replace(rackOf(f, id)...) },
		"rack restarts": func(f *crashFleet, id string) { f.restart(rackOf(f, id)...) },
		"zone fails":    func(f *crashFleet, _ string) { f.replace(slices.Sorted(maps.Keys(f.listings))...) },
		"task has run for a lease term": func(f *crashFleet, id string) {
			f.pass(2 * testLeaseTerm)
			f.replace(id)
		},
		"task has outlived its start": func(f *crashFleet, id string) {
			f.pass(startupTime)
			f.replace(id)
		},
		"connection broke after the start": func(f *crashFleet, id string) {
			f.pass(startupTime / 2) // one report lists the run
			f.now = f.now.Add(startupTime / 2)
			f.board.ConnectionBroken(id, f.now)
			f.replace(id)
		},
		"worker leaves for good": func(f *crashFleet, id string) {
			old := f.listings[id]
			f.isolate(id)
			delete(f.listings, id)
			f.add(testAddress(100+f.incarnations), old.Rack)
			f.pass(time.Second)
		},
	}
	for name, crash := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newCrashFleet(3)
			fleet.submit(testJob("a", "plans", tasks(1, 1000)))
			for range 2 * maxDoubtfulCrashes {
				fleet.decide()
				task := fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0]
				require.Equal(t, claimed, task.phase)
				crash(fleet, task.worker)
			}
			assert.Equal(t, 2*maxDoubtfulCrashes, fleet.starts[firstTask("a")])
		})
	}
}

// Workers that crash one after the other have not failed with their rack: many
// tasks that crash their workers may be started at the same time.
func TestLaterCrashesInTheRackAreNoRackFailure(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(1, 1000)))
	starts := fleet.decide()
	require.Len(t, starts, 1)
	rack := fleet.listings[starts[0].Worker].Rack
	vanished := fleet.vanish([]string{starts[0].Worker})
	fleet.pass(2 * time.Second)
	var later []string
	for id, listing := range fleet.listings {
		if listing.Rack == rack {
			later = append(later, id)
		}
	}
	maps.Copy(vanished, fleet.vanish(later))
	fleet.revive(vanished, func(string) bool { return false })
	assert.Len(t, fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0].crashes, 1)
}

// A start without an answer may not have reached the worker that crashed.
func TestUnansweredStartIsNoSuspect(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(1, 1000)))
	effects := fleet.board.Decide(fleet.now, true)
	require.Len(t, effects.Starts, 1)
	fleet.board.StartReplied(effects.Starts[0], Unknown, fleet.now)
	fleet.replace(effects.Starts[0].Worker)
	assert.Empty(t, fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0].crashes)
}

// A worker may crash before it answers a start: one task was started six times.
func TestUnansweredStartOfProvenSuspectCounts(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(1, 1000)))
	for range enoughCrashes {
		starts := fleet.decide()
		require.Len(t, starts, 1)
		fleet.replace(starts[0].Worker)
	}
	effects := fleet.board.Decide(fleet.now, true)
	require.Len(t, effects.Starts, 1)
	fleet.board.StartReplied(effects.Starts[0], Unknown, fleet.now)
	fleet.replace(effects.Starts[0].Worker)
	assert.Equal(t, work.Failed, fleet.board.jobs["a"].progress.State)
}

// Guards against a task that crashes worker after worker and is not given up: the
// worker crashed without a word, and its end was noticed after startupTime.
func TestTaskIsGivenUpThoughCrashesAreNoticedLate(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(1, 1000)))
	for range maxCrashes {
		starts := fleet.decide()
		require.Len(t, starts, 1)
		crashed := starts[0].Worker
		listing := fleet.listings[crashed]
		delete(fleet.listings, crashed)
		fleet.pass(2 * startupTime) // its polls have timed out
		fleet.listings[crashed] = listing
		fleet.replace(crashed)
	}
	assert.Equal(t, work.Failed, fleet.board.jobs["a"].progress.State)
}

// Crashes count only in a row: a long-running task has outlived its worker's
// start of it many times before the third crash of its life.
func TestRunThatLastsClearsItsTask(t *testing.T) {
	fleet := newCrashFleet(3)
	step := tasks(1, 1000)
	step.LongRunning = true
	fleet.submit(testJob("a", "quotes", step))
	for range 2 * maxDoubtfulCrashes {
		starts := fleet.decide()
		require.Len(t, starts, 1)
		fleet.replace(starts[0].Worker)
		require.Len(t, fleet.decide(), 1)
		fleet.pass(2 * testLeaseTerm)
		task := fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0]
		assert.Empty(t, task.crashes)
		assert.Zero(t, fleet.board.workers[task.worker].suspicion)
		fleet.isolate(task.worker)
	}
}

// Of several tasks that were on the same workers each time, nobody knows which
// one is the cause: they get more attempts, but not without limit.
func TestEqualSuspectsAreGivenUpLater(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(2, 100)))
	j := fleet.board.jobs["a"]
	task := func(index int) *task { return j.occurrences[0].steps[0].tasks[index] }
	var counts []int
	for fleet.board.open["a"] != nil {
		for i := range 2 {
			w := fleet.board.workers[slices.Min(slices.Collect(maps.Keys(fleet.listings)))]
			held := fleet.board.claim(w, j, j.occurrences[0].steps[0], task(i), fleet.board.nextRun(), fleet.now)
			held.confirmed = true
			fleet.run(w.ID, task(i).key, held.run)
		}
		fleet.replace(task(0).worker)
		counts = append(counts, len(task(0).crashes))
	}
	assert.Equal(t, []int{1, 2, 3, 4}, counts)
}

// Suspects of a crash are started apart from each other, and other tasks apart
// from them.
func TestSuspectsAreKeptApart(t *testing.T) {
	fleet := newCrashFleet(3)
	fleet.submit(testJob("a", "plans", tasks(4, 1000)))
	starts := fleet.decide()
	require.Len(t, starts, 4)
	for _, start := range starts {
		require.Equal(t, starts[0].Worker, start.Worker, "best fit")
	}
	fleet.replace(starts[0].Worker)
	fleet.submit(testJob("b", "plans", tasks(4, 1000)))
	suspectWorkers, others := map[string]bool{}, map[string]bool{}
	for _, start := range fleet.decide() {
		if start.Key.Job == "a" {
			suspectWorkers[start.Worker] = true
		} else {
			others[start.Worker] = true
		}
	}
	assert.Len(t, suspectWorkers, 4)
	for id := range others {
		assert.NotContains(t, suspectWorkers, id)
	}
}

// However many tasks run beside it and whoever leads, a task that crashes its
// workers is started a bounded number of times.
func TestStartsOfDeadlyTasksAreBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		fleet := newCrashFleet(4)
		deadly := map[work.TaskKey]bool{}
		for i := range 3 {
			id := fmt.Sprintf("%016x", i)
			fleet.submit(testJob(id, "plans", tasks(rapid.IntRange(1, 6).Draw(t, "count"), 500)))
			deadly[firstTask(id)] = rapid.Bool().Draw(t, "deadly")
		}
		for range 40 {
			var crashed []string
			saved := true
			for _, start := range fleet.decide() {
				if deadly[start.Key] {
					saved = saved && len(fleet.progress[start.Key.Job].Crashes[0]) > 0
					crashed = append(crashed, start.Worker)
				}
			}
			vanished := fleet.vanish(crashed)
			if len(crashed) > 0 && saved && rapid.IntRange(0, 3).Draw(t, "leader before it is counted") == 0 {
				fleet.newLeader(fleet.board.token + 1)
			}
			fleet.revive(vanished, func(string) bool { return rapid.Bool().Draw(t, "same id") })
			if len(crashed) > 0 && rapid.IntRange(0, 3).Draw(t, "leader") == 0 {
				fleet.newLeader(fleet.board.token + 1)
			}
			fleet.pass(time.Second)
		}
		for key, count := range fleet.starts {
			want := work.Queued
			if deadly[firstTask(key.Job)] {
				want = work.Failed
			}
			require.Equal(t, want, fleet.board.jobs[key.Job].progress.State, key)
			if deadly[key] {
				require.LessOrEqual(t, count, maxDoubtfulCrashes, key)
			}
		}
	})
}

// A leader that is killed before it has counted a crash must not take it along:
// one task was started six times and more while leaders were killed.
func TestCrashesOfSuspectsOutliveTheLeader(t *testing.T) {
	tests := map[string]struct {
		// arrange sets up what the successor finds.
		arrange func(f *crashFleet, start Start)
		want    int
	}{
		"worker has crashed": {
			arrange: func(f *crashFleet, start Start) { f.vanish([]string{start.Worker}) },
			want:    2,
		},
		"run goes on": {
			arrange: func(*crashFleet, Start) {},
			want:    1,
		},
		"run has failed": {
			arrange: func(f *crashFleet, start Start) {
				delete(f.running[start.Worker], start.Key)
				f.ended[start.Worker] = []EndedTask{
					{
						Number: 1,
						Key:    start.Key,
						Run:    start.Run,
						Ending: EndedFailed,
					},
				}
			},
			want: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newCrashFleet(3)
			fleet.submit(testJob("a", "plans", tasks(1, 1000)))
			starts := fleet.decide()
			require.Len(t, starts, 1)
			fleet.replace(starts[0].Worker)
			starts = fleet.decide()
			require.Len(t, starts, 1)
			tt.arrange(fleet, starts[0])
			fleet.newLeader(fleet.board.token + 1)
			assert.Len(t, fleet.board.jobs["a"].occurrences[0].steps[0].tasks[0].crashes, tt.want)
		})
	}
}

func TestTaskChargedTooOftenUnderEarlierLeadersIsNotStarted(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), &work.Progress{
		Started: true,
		Crashes: map[int][]int64{
			0: {1, 2, 3, 4},
		},
	}, true, testStart, testStart)
	effects := board.Decide(testStart, true)
	assert.Empty(t, effects.Starts)
	assert.Equal(t, work.Failed, board.jobs["a"].progress.State)
}
