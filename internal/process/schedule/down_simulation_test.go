package schedule

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// replayFaults are the faults of a replay. A nil value has none.
type replayFaults struct {
	random *rand.Rand
	// calm is set once there are no further faults.
	calm bool
}

// percent is true with a probability.
func (f *replayFaults) percent(chance int) bool {
	return f != nil && !f.calm && f.random.IntN(100) < chance
}

// refusal is the answer of a worker to a start. It also ends the starts of others there
// for a while, so that few of the many quick tasks are refused.
func (f *replayFaults) refusal(longRunning bool) Verdict {
	switch {
	case !longRunning && !f.percent(3), !f.percent(3):
		return Accepted
	case f.percent(50):
		return NoRoom
	}
	return Unhealthy
}

// apply lets 3 of 100 quick runs fail, which last for 0.6 to 2.7 s, and half of the
// long-running ones, which start less often, within 10 s.
func (f *replayFaults) apply(run *fleetRun, now time.Time) {
	const shortest, longest, fails = 600 * time.Millisecond, 2700 * time.Millisecond, 10 * time.Second
	switch {
	case f == nil:
	case !run.longRunning:
		run.fails, run.ends = f.percent(3), now.Add(shortest+time.Duration(f.random.Int64N(int64(longest-shortest))))
	case f.percent(50):
		run.fails, run.ends = true, now.Add(time.Duration(f.random.Int64N(int64(fails))))
	}
}

// downSimulation is a replay of one full shard with faults. It observes the
// long-running tasks that are down.
type downSimulation struct {
	*replay
	// small is set if quick tasks are much smaller than long-running ones.
	small bool
	// besideRoom is since when a task that is down has had room twice over, and
	// besideQuick since when long-running runs alone have left room for it.
	besideRoom, besideQuick map[work.TaskKey]time.Time
	// longest are the longest of these times, and restarts counts the tasks that were
	// down.
	longestBesideRoom, longestBesideQuick time.Duration
	down                                  map[work.TaskKey]bool
	restarts                              int
}

func newDownSimulation(t *testing.T, seed uint64, workers int) *downSimulation {
	sim := &downSimulation{
		replay:      newReplay(t, workers, seed),
		besideRoom:  map[work.TaskKey]time.Time{},
		besideQuick: map[work.TaskKey]time.Time{},
		down:        map[work.TaskKey]bool{},
	}
	sim.faults = &replayFaults{
		random: rand.New(rand.NewPCG(seed, 2)),
	}
	return sim
}

// loseWorkers lets a worker crash every 6 s, for longer than its leases last.
func (sim *downSimulation) loseWorkers() {
	const every, outage = 6 * time.Second, 13 * time.Second
	for _, id := range sim.ids {
		if w := sim.workers[id]; w.lost && sim.now.Sub(w.lostAt) >= outage {
			w.lost, w.born, w.ended, w.number = false, sim.now, nil, 0
			sim.list()
			sim.report(id)
		}
	}
	if sim.now.Sub(testStart)%every != 0 {
		return
	}
	if w := sim.workers[sim.ids[sim.faults.random.IntN(len(sim.ids))]]; !w.lost {
		w.lost, w.lostAt = true, sim.now
		clear(w.running)
	}
}

// step advances the simulation by one step, with quick jobs in proportion to the fleet.
func (sim *downSimulation) step() {
	switch {
	case sim.small && sim.faults.percent(len(sim.ids)*2):
		sim.addSmall()
	case !sim.small && sim.faults.percent(len(sim.ids)):
		sim.addQuick()
	}
	sim.deliver()
	for _, id := range sim.ids {
		if sim.workers[id].lost {
			sim.board.MarkUnreachable(id, sim.now)
		}
	}
	sim.list()
	sim.carryOut(sim.board.Decide(sim.now, true))
	sim.observe()
}

// addLasting adds long-running jobs of up to 4 tasks of 4 to 22 cores until they ask for
// a share of the fleet.
func (sim *downSimulation) addLasting(share float64, maxUnavailable int) {
	for asked := int64(0); asked < int64(share*float64(len(sim.ids)*replayCores)); {
		spec := testJob(fmt.Sprintf("%016x", 0xa0000+len(sim.longRunning)), "quotes", work.Step{
			Count: 1 + sim.random.IntN(4),
			Size: worker.Size{
				MilliCores: 1000 * (4 + sim.random.Int64N(19)),
			},
			LongRunning:    true,
			MaxUnavailable: maxUnavailable,
			TailTarget:     time.Second,
			Image:          "image",
		})
		spec.Accepted = sim.now
		asked += spec.Steps[0].Size.MilliCores * int64(spec.Steps[0].Count)
		sim.longRunning = append(sim.longRunning, spec)
		sim.board.AddJob(spec, nil, false, sim.now, sim.now)
	}
}

// addSmall adds a quick job of 20 tasks of 1 to 3 cores.
func (sim *downSimulation) addSmall() {
	sim.next++
	spec := testJob(fmt.Sprintf("%016x", sim.next), "quotes", work.Step{
		Count: 20,
		Size: worker.Size{
			MilliCores: 1000 + sim.random.Int64N(2000),
		},
		Estimate: quickRunTime,
	})
	spec.Accepted = sim.now
	sim.board.AddJob(spec, nil, false, sim.now, sim.now)
}

// observe measures for how long tasks have been down beside room.
func (sim *downSimulation) observe() {
	for _, spec := range sim.longRunning {
		j, size := sim.board.jobs[spec.ID], spec.Steps[0].Size.MilliCores
		for _, t := range j.occurrences[0].steps[0].tasks {
			down := t.phase == waiting && !t.endedAt.IsZero() && !sim.now.Before(t.entitledSince())
			if down && !sim.down[t.key] {
				sim.restarts++
			}
			sim.down[t.key] = down
			places, besideLong := 0, 0
			if down {
				places, besideLong = sim.room(size)
			}
			sim.longestBesideRoom = max(sim.longestBesideRoom, sim.lasts(sim.besideRoom, t.key, places >= 2))
			sim.longestBesideQuick = max(sim.longestBesideQuick, sim.lasts(sim.besideQuick, t.key, besideLong >= 1))
		}
	}
}

// lasts returns for how long a condition of a task has held.
func (sim *downSimulation) lasts(since map[work.TaskKey]time.Time, key work.TaskKey, holds bool) time.Duration {
	if !holds {
		delete(since, key)
		return 0
	}
	if _, ok := since[key]; !ok {
		since[key] = sim.now
	}
	return sim.now.Sub(since[key])
}

// room returns how many tasks of a size fit beside all runs, and beside the
// long-running ones alone, on the workers that may be given tasks.
func (sim *downSimulation) room(size int64) (places, besideLong int) {
	for _, id := range sim.ids {
		if w := sim.board.workers[id]; w == nil || !sim.board.usable(w, sim.now) {
			continue
		}
		free, left := int64(replayCores), int64(replayCores)
		for _, run := range sim.workers[id].running {
			free -= run.milliCores
			if run.longRunning {
				left -= run.milliCores
			}
		}
		places += int(free / size)
		besideLong += int(left / size)
	}
	return places, besideLong
}

// Guards against long-running tasks that stay down in a full shard: quick tasks, more
// than there is capacity for, and long-running ones that were never started take what
// comes free, while runs fail, workers are lost and starts are refused. On the users'
// bench they were down for 10 to 18 s.
func TestNoLongRunningTaskStaysDownBesideQuickOnes(t *testing.T) {
	t.Parallel()
	const seeds = uint64(2)
	tests := map[string]struct {
		share          float64
		maxUnavailable int
		small          bool
	}{
		"three quarters claimed": {
			share: 0.75,
		},
		"three quarters claimed, preemptions": {
			share:          0.75,
			maxUnavailable: 2,
		},
		"nine tenths claimed, preemptions": {
			share:          0.9,
			maxUnavailable: 2,
		},
		"more than all asked for": {
			share: 1.1,
		},
		"half claimed, small quick tasks": {
			share: 0.5,
			small: true,
		},
		"three quarters claimed, small quick tasks": {
			share: 0.75,
			small: true,
		},
		"nine tenths claimed, small quick tasks, preemptions": {
			share:          0.9,
			maxUnavailable: 2,
			small:          true,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt := tests[name]
			restarts, started, besideRoom, besideQuick := 0, 0, time.Duration(0), time.Duration(0)
			for seed := range seeds {
				sim := newDownSimulation(t, seed, 12)
				sim.small = tt.small
				sim.addLasting(tt.share, tt.maxUnavailable)
				for range 1500 {
					sim.loseWorkers()
					sim.step()
				}
				restarts, started = restarts+sim.restarts, started+len(sim.started)
				besideRoom, besideQuick = max(besideRoom, sim.longestBesideRoom), max(besideQuick, sim.longestBesideQuick)
			}
			assert.LessOrEqual(t, besideRoom, 3*time.Second)
			assert.LessOrEqual(t, besideQuick, 6*time.Second)
			t.Logf("%d tasks down, longest %v beside room and %v beside quick tasks, of which %d started", restarts, besideRoom, besideQuick, started)
		})
	}
}
