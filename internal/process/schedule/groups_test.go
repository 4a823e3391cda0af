package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

func oneRack(gang bool, count int) work.Step {
	step := tasks(count, 8000)
	step.OneRack, step.Gang = true, gang
	return step
}

func racksOfStarts(starts []Start) map[string]int {
	out := map[string]int{}
	for _, start := range starts {
		out[rackOf(start.Worker)]++
	}
	return out
}

// Guards against steps that ask for one rack and are spread over several although
// one can hold them, and against those that no rack can hold waiting for one. All
// three racks have three workers, and each task needs a worker of its own.
func TestGroupIsPlacedWholeOnOneRack(t *testing.T) {
	tests := map[string]struct {
		count  int
		factor float64
		// occupied is by rack the number of workers that are in use for a while.
		occupied map[string]int
		lasting  time.Duration
		// want is the number of tasks by rack that start at once; nil if the group
		// waits, after which wantLater start.
		want, wantLater map[string]int
	}{
		"all racks free": {
			count:  3,
			factor: 2,
			want:   map[string]int{"r0": 3},
		},
		"fills a rack that is partly in use": {
			count:    2,
			factor:   2,
			occupied: map[string]int{"r1": 1},
			want:     map[string]int{"r1": 2},
		},
		"only one rack can hold it": {
			count:    3,
			occupied: map[string]int{"r0": 1, "r1": 1},
			want:     map[string]int{"r2": 3},
		},
		"waits for the first rack that can": {
			count:     3,
			factor:    2,
			occupied:  map[string]int{"r0": 1, "r1": 1, "r2": 1},
			lasting:   400 * time.Millisecond,
			wantLater: map[string]int{"r0": 3},
		},
		"racks are in use for too long": {
			count:    3,
			factor:   2,
			occupied: map[string]int{"r0": 1, "r1": 1, "r2": 1},
			lasting:  10 * time.Second,
			want:     map[string]int{"r0": 2, "r1": 1},
		},
		"factor not known": {
			count:    3,
			occupied: map[string]int{"r0": 1, "r1": 1, "r2": 1},
			lasting:  400 * time.Millisecond,
			want:     map[string]int{"r0": 2, "r1": 1},
		},
		"no rack can hold it": {
			count:  4,
			factor: 2,
			want:   map[string]int{"r0": 3, "r1": 1},
		},
	}
	for name, tt := range tests {
		for kind, gang := range map[string]bool{
			"gang":  true,
			"tasks": false,
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				fleet := newRackFleet(t, 3, 3, tt.factor)
				for rack, count := range tt.occupied {
					fleet.fill(rack, count, max(time.Second, tt.lasting))
				}
				if tt.lasting > 0 && tt.lasting < time.Second {
					fleet.run(time.Second - tt.lasting)
				}
				fleet.add("a", "plans", oneRack(gang, tt.count))
				starts := fleet.decide()
				if tt.want != nil {
					assertSpread(t, tt.want, starts)
					return
				}
				require.Empty(t, starts)
				require.Equal(t, 1, fleet.board.Summary(fleet.now).Placement.Waiting, "a group waits as one")
				assertSpread(t, tt.wantLater, fleet.run(time.Second))
				counts := fleet.board.Summary(fleet.now).Placement
				assert.Equal(t, int64(1), counts.Started)
				assert.Equal(t, int64(1), counts.Near)
				assert.Zero(t, counts.GivenUp)
			})
		}
	}
}

// assertSpread compares how many tasks are on each rack, without the racks' names
// where several are alike.
func assertSpread(t *testing.T, want map[string]int, starts []Start) {
	t.Helper()
	total := 0
	for _, count := range want {
		total += count
	}
	require.Len(t, starts, total)
	if len(want) == 1 {
		assert.Len(t, racksOfStarts(starts), 1, "on one rack")
		return
	}
	assert.Greater(t, len(racksOfStarts(starts)), 1, "on several racks")
}

// Guards against a gang whose members stay on the rack of the data although the
// rack cannot hold them all: it starts whole or not at all.
func TestGangOnRackOfItsData(t *testing.T) {
	tests := map[string]struct {
		occupied int
		lasting  time.Duration
		want     map[string]int
	}{
		"fits": {
			want: map[string]int{"r0": 2},
		},
		"fits soon": {
			occupied: 2,
			lasting:  400 * time.Millisecond,
		},
		"fits too late": {
			occupied: 2,
			lasting:  10 * time.Second,
			want:     map[string]int{"r0": 1, "r1": 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newRackFleet(t, 2, 3, 2)
			if tt.occupied > 0 {
				fleet.fill("r0", tt.occupied, tt.lasting)
			}
			step := onRack("r0", 2, 8000, time.Second)
			step.Gang = true
			fleet.add("a", "plans", step)
			if starts := fleet.decide(); tt.want != nil {
				assert.Equal(t, tt.want, racksOfStarts(starts))
				return
			}
			assert.Equal(t, map[string]int{"r0": 2}, racksOfStarts(fleet.run(time.Second)))
		})
	}
}

// Guards against a restarted task that leaves the rack of the others.
func TestRestartedTaskJoinsItsGroup(t *testing.T) {
	fleet := newRackFleet(t, 3, 3, 2)
	fleet.add("a", "plans", oneRack(false, 2))
	starts := fleet.decide()
	require.Len(t, starts, 2)
	home := rackOf(starts[0].Worker)
	require.Equal(t, home, rackOf(starts[1].Worker))
	delete(fleet.runs[starts[0].Worker], starts[0].Key)
	starts = fleet.tick()
	require.Len(t, starts, 1)
	assert.Equal(t, home, rackOf(starts[0].Worker))
}

// Guards against a group that is kept waiting by a rack which is lost.
func TestGroupGoesElsewhereWhenItsRackIsLost(t *testing.T) {
	for name, gang := range map[string]bool{
		"gang":  true,
		"tasks": false,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newRackFleet(t, 3, 3, 2)
			fleet.fill("r0", 1, 900*time.Millisecond)
			fleet.fill("r1", 2, 10*time.Second)
			fleet.fill("r2", 1, 10*time.Second)
			fleet.add("a", "plans", oneRack(gang, 3))
			fleet.board.open["a"].work.Steps[0].Estimate = 2 * time.Second
			require.Empty(t, fleet.decide())
			require.Equal(t, 1, fleet.board.Summary(fleet.now).Placement.Waiting)
			fleet.loseRack("r0")
			assertSpread(t, map[string]int{"r1": 1, "r2": 2}, fleet.decide())
		})
	}
}
