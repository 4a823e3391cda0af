package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a task that runs twice as long elsewhere although its rack is
// about to come free, and against one that waits for a rack which stays full.
func TestTaskWaitsForItsRackIfThatIsSooner(t *testing.T) {
	tests := map[string]struct {
		occupied time.Duration
		factor   float64
		change   func(spec *work.Step)
		waits    bool
	}{
		"rack free soon": {
			occupied: 400 * time.Millisecond,
			factor:   2,
			waits:    true,
		},
		"rack full for longer than the loss": {
			occupied: 5 * time.Second,
			factor:   2,
		},
		"factor not known": {
			occupied: 400 * time.Millisecond,
		},
		"no rack asked for": {
			occupied: 400 * time.Millisecond,
			factor:   2,
			change:   func(spec *work.Step) { spec.Rack = "" },
		},
		"rack does not exist": {
			occupied: 400 * time.Millisecond,
			factor:   2,
			change:   func(spec *work.Step) { spec.Rack = "r9" },
		},
		"long-running task": {
			occupied: 400 * time.Millisecond,
			factor:   2,
			change:   func(spec *work.Step) { spec.LongRunning = true },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newRackFleet(t, 2, 2, tt.factor)
			fleet.fill("r0", 2, tt.occupied)
			step := onRack("r0", 1, 8000, time.Second)
			if tt.change != nil {
				tt.change(&step)
			}
			fleet.add("a", "quotes", step)
			if !tt.waits {
				effects := decideAndSave(fleet.board, fleet.now)
				require.Len(t, effects.Starts, 1)
				assert.Equal(t, "r1", rackOf(effects.Starts[0].Worker))
				assert.Zero(t, fleet.board.placement.counts.Started)
				return
			}
			require.Empty(t, fleet.decide())
			starts := fleet.run(time.Second)
			require.Len(t, starts, 1)
			assert.Equal(t, "r0", rackOf(starts[0].Worker))
			counts := fleet.board.Summary(fleet.now).Placement
			assert.Equal(t, int64(1), counts.Started)
			assert.Equal(t, int64(1), counts.Near)
			assert.InDelta(t, counts.Expected.Seconds(), counts.Actual.Seconds(), 0.15)
			require.Len(t, fleet.board.EndedWaits(), 1)
		})
	}
}

// Guards against all tasks of many jobs waiting for the same place: the wait of
// each includes those ahead.
func TestWaitIncludesTasksAhead(t *testing.T) {
	fleet := newRackFleet(t, 3, 2, 2)
	fleet.fill("r0", 2, 400*time.Millisecond)
	for i := range 6 {
		fleet.add(fmt.Sprint("a", i), "plans", onRack("r0", 1, 8000, time.Second))
	}
	assert.Len(t, fleet.decide(), 4, "two wait, behind whom a wait is longer than the loss")
	assert.Equal(t, 2, fleet.board.Summary(fleet.now).Placement.Waiting)
}

// Guards against a wait that makes a job miss an objective which it would meet
// elsewhere: the runs on the rack take far longer than expected.
func TestWaitKeepsTheObjective(t *testing.T) {
	fleet := newRackFleet(t, 2, 2, 2)
	fleet.fill("r0", 2, time.Second)
	for _, runs := range fleet.runs {
		for _, run := range runs {
			run.end = fleet.now.Add(time.Minute)
		}
	}
	fleet.add("a", "quotes", onRack("r0", 1, 8000, 1200*time.Millisecond))
	objective := fleet.board.open["a"].objective.Sub(fleet.now)
	require.Equal(t, 3400*time.Millisecond, objective, "twice the run time and a second")
	require.Empty(t, fleet.decide())
	fleet.run(objective)
	require.Contains(t, fleet.finished, "a")
	assert.LessOrEqual(t, fleet.finished["a"], objective)
	assert.Equal(t, int64(1), fleet.board.Summary(fleet.now).Placement.GivenUp)
}

// Guards against tasks that wait for a rack which is lost, is withdrawn with its
// zone, or drains.
func TestTasksGoElsewhereWhenTheirRackIsLost(t *testing.T) {
	tests := map[string]func(fleet *rackFleet){
		"lost": func(fleet *rackFleet) { fleet.loseRack("r0") },
		"drains": func(fleet *rackFleet) {
			listings := fleet.listings()
			for id, listing := range listings {
				listing.Draining = rackOf(id) == "r0"
				listings[id] = listing
			}
			fleet.board.SetWorkers(listings, true, fleet.now)
		},
		"withdrawn": func(fleet *rackFleet) {
			listings := fleet.listings()
			for id, listing := range listings {
				if rackOf(id) == "r0" {
					listing.Zone = "olinda"
				}
				listings[id] = listing
			}
			fleet.board.SetWorkers(listings, true, fleet.now)
			fleet.board.Evacuate(map[string]bool{
				"olinda": true,
			})
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newRackFleet(t, 2, 2, 2)
			fleet.fill("r0", 2, 900*time.Millisecond)
			fleet.add("a", "plans", onRack("r0", 2, 8000, 2*time.Second))
			require.Empty(t, fleet.decide())
			lose(fleet)
			starts := fleet.decide()
			require.Len(t, starts, 2)
			for _, start := range starts {
				assert.Equal(t, "r1", rackOf(start.Worker))
			}
		})
	}
}

// Guards against a wait that begins anew under each leader: the time since the
// job was accepted counts.
func TestTakeoverDoesNotRestartWaits(t *testing.T) {
	tests := map[string]struct {
		waited time.Duration
		waits  bool
	}{
		"accepted just now": {
			waited: 100 * time.Millisecond,
			waits:  true,
		},
		"waited as long as the loss": {
			waited: time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newRackFleet(t, 2, 2, 2)
			job := testJob("a", "plans", onRack("r0", 1, 8000, time.Second))
			job.Accepted = fleet.now.Add(-tt.waited)
			fleet.board = fleet.newBoard(testToken + 1)
			fleet.fill("r0", 2, 400*time.Millisecond)
			fleet.board.AddJob(job, nil, true, fleet.now, fleet.now)
			starts := fleet.decide()
			if tt.waits {
				assert.Empty(t, starts)
			} else {
				assert.Len(t, starts, 1)
			}
		})
	}
}

// Guards against waits that take precedence over limits and ranks: a waiting
// task holds nothing, and a job of a lower rank uses the places elsewhere.
func TestWaitHoldsNothing(t *testing.T) {
	fleet := newRackFleet(t, 2, 2, 2)
	fleet.fill("r0", 2, 400*time.Millisecond)
	fleet.add("a", "quotes", onRack("r0", 2, 8000, time.Second))
	fleet.add("b", "plans", tasks(2, 8000))
	starts := fleet.decide()
	require.Len(t, starts, 2)
	for _, start := range starts {
		assert.Equal(t, "b", start.Key.Job)
	}
	starts = fleet.run(time.Second)
	require.Len(t, starts, 2)
	for _, start := range starts {
		assert.Equal(t, "a", start.Key.Job)
		assert.Equal(t, "r0", rackOf(start.Worker))
	}
}

// Guards against estimates that mix run times on the rack with those elsewhere,
// and against learned figures that are lost with the leader.
func TestRemoteRatioIsLearnedAndPassedOn(t *testing.T) {
	fleet := newRackFleet(t, 2, 2, 1.5)
	fleet.board.config.RemoteFactor = 4
	for i := range 60 {
		fleet.add(fmt.Sprint("near", i), "plans", onRack("r0", 1, 8000, time.Second))
		fleet.add(fmt.Sprint("far", i), "plans", onRack("r9", 1, 8000, time.Second))
		fleet.run(1800 * time.Millisecond)
	}
	assert.InDelta(t, 1.5, fleet.board.remoteFactor("plans"), 0.15)
	assert.InDelta(t, 1, fleet.board.estimates.factors["plans"], 0.1, "estimates are those of runs on the rack")
	successor := fleet.newBoard(testToken + 1)
	successor.RestoreLearned(fleet.board.Learned(), fleet.now)
	assert.InDelta(t, fleet.board.remoteFactor("plans"), successor.remoteFactor("plans"), 1e-9)
}
