package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	// shardsCalm is how long after a disturbance waits begin to count.
	shardsCalm = 4 * time.Second
	// stopsWithin is how long a run may go on after its job was cancelled.
	stopsWithin = 3 * time.Second
	// roomFor is how many tasks of its size must fit for a task's wait to count.
	roomFor = 2
)

// shardsWatch follows the long-running tasks.
type shardsWatch struct {
	disturbedAt time.Time
	jobs        []*work.Job
	tasks       []*watchedTask
	// waits are the ended waits beside room.
	waits []roomWait
	// restarts counts the times for which a task was down, up to the next run or the
	// end of its job.
	restarts int
}

// watchedTask is a long-running task. ran is set once it has had a run.
type watchedTask struct {
	key     work.TaskKey
	record  *shardJob
	ran, up bool
	wait    roomWait
	// lasting is for how long there has been room without a break.
	lasting time.Duration
}

// roomWait is a time for which a task was down.
type roomWait struct {
	key        work.TaskKey
	milliCores int64
	from       time.Time
	// beside is for how long there was room in the service, longest the longest
	// time without a break; own is the part with room in its own shard.
	beside, longest, own time.Duration
	// shard is its own at the end. fits is how many tasks of its size fit in each
	// shard then, and free the free cores there in whole.
	shard      int
	fits, free []int
}

func (s *shardsWatch) add(record *shardJob) {
	s.jobs = append(s.jobs, record.spec)
	for i := range record.spec.Steps[0].Count {
		s.tasks = append(s.tasks, &watchedTask{
			key: work.TaskKey{
				Job:   record.spec.ID,
				Index: i,
			},
			record: record,
		})
	}
}

func (s *shardsWatch) openJobs(jobs map[string]*shardJob) []string {
	var out []string
	for _, spec := range s.jobs {
		if jobs[spec.ID].open() {
			out = append(out, spec.ID)
		}
	}
	return out
}

func (w roomWait) String() string {
	return fmt.Sprintf("%s of shard %d, %d millicores, down from %.2f s, %.2f s beside room for two, longest %.2f s, %.2f s of it in its own shard; at last %v fit by shard, which have %v free cores",
		w.key, w.shard, w.milliCores, w.from.Sub(testStart).Seconds(), w.beside.Seconds(), w.longest.Seconds(), w.own.Seconds(), w.fits, w.free)
}

// check follows all long-running tasks for one step and makes the checks that
// hold at any time.
func (sim *shardsSimulation) check() {
	for _, watched := range sim.watched.tasks {
		sim.checkTask(watched)
	}
	if sim.steps%int(time.Second/shardsStep) == 0 {
		sim.requireOneOwner()
	}
}

func (sim *shardsSimulation) checkTask(watched *watchedTask) {
	record, on := watched.record, sim.running[watched.key]
	calm := sim.now.Sub(sim.watched.disturbedAt) >= shardsCalm
	isDown := on == nil && watched.ran
	if watched.ran && !watched.up && (on != nil || !record.open()) {
		sim.endWait(watched)
	}
	switch {
	case !record.open():
		watched.ran = false
		if on != nil && !on.cutOff && calm {
			require.LessOrEqual(sim.t, sim.now.Sub(record.cancelledAt), stopsWithin, "%s runs on after its job was cancelled", watched.key)
		}
	case on != nil:
		watched.ran, watched.up = true, true
	case isDown && watched.up:
		watched.up, watched.lasting = false, 0
		watched.wait = roomWait{
			key:        watched.key,
			milliCores: record.spec.Steps[0].Size.MilliCores,
			from:       sim.now,
		}
	case isDown && calm:
		sim.countWait(watched)
	}
}

// endWait ends the wait of a task that runs again, or whose job has ended.
func (sim *shardsSimulation) endWait(watched *watchedTask) {
	sim.watched.restarts++
	if watched.wait.beside > 0 {
		sim.watched.waits = append(sim.watched.waits, watched.wait)
	}
	watched.up = true
}

// countWait counts a step of a task's wait if there is room for it.
func (sim *shardsSimulation) countWait(watched *watchedTask) {
	record := watched.record
	fits, total := sim.fits(&record.spec.Steps[0], watched.key), 0
	for _, count := range fits {
		total += count
	}
	if total < roomFor {
		watched.lasting = 0
		return
	}
	wait := &watched.wait
	watched.lasting += shardsStep
	wait.beside += shardsStep
	wait.longest = max(wait.longest, watched.lasting)
	wait.shard, wait.fits, wait.free = record.shard, fits, sim.freeCores()
	if fits[record.shard] > 0 {
		wait.own += shardsStep
	}
}

// fits returns, by shard, how many tasks of a step fit on usable workers.
func (sim *shardsSimulation) fits(step *work.Step, key work.TaskKey) []int {
	out := make([]int, sim.plan.shards)
	for _, w := range sim.machines {
		count := int((shardsCores - w.used) / step.Size.MilliCores)
		if w.cutOff || !w.listed || count <= 0 {
			continue
		}
		if step.Spread > 0 {
			left := step.Spread
			for other := range w.running {
				if other.Job == key.Job && other.Step == key.Step {
					left--
				}
			}
			count = min(count, left)
		}
		out[w.shard] += max(0, count)
	}
	return out
}

// requireOneOwner checks that each open long-running task is in the hands of one
// leader, unless a shard has none or the job is on its way.
func (sim *shardsSimulation) requireOneOwner() {
	if slices.Contains(sim.leaders, nil) || sim.now.Sub(sim.watched.disturbedAt) < time.Second {
		return
	}
	for _, spec := range sim.watched.jobs {
		record := sim.store.jobs[spec.ID]
		if !record.open() || sim.now.Sub(spec.Accepted) < time.Second || sim.isDeparting(spec.ID) {
			continue
		}
		for i := range spec.Steps[0].Count {
			key := work.TaskKey{
				Job:   spec.ID,
				Index: i,
			}
			if sim.isInTransfer(key) {
				continue
			}
			var owners []int
			for _, leader := range sim.leaders {
				if sim.owns(leader.board, key) {
					owners = append(owners, leader.shard)
				}
			}
			require.Len(sim.t, owners, 1, "leaders that have %s, whose record is in shard %d: %v", key, record.shard, owners)
		}
	}
}

func (sim *shardsSimulation) isDeparting(id string) bool {
	return slices.ContainsFunc(sim.leaders, func(leader *shardLeader) bool {
		j := leader.board.jobs[id]
		return j != nil && j.departing
	})
}

// allWaits returns all waits beside room, the longest first.
func (sim *shardsSimulation) allWaits() []roomWait {
	out := slices.Clone(sim.watched.waits)
	for _, watched := range sim.watched.tasks {
		if watched.ran && !watched.up && watched.wait.beside > 0 {
			out = append(out, watched.wait)
		}
	}
	slices.SortFunc(out, func(a, c roomWait) int {
		if a.beside != c.beside {
			return int(c.beside - a.beside)
		}
		return compareKeys(a.key, c.key)
	})
	return out
}

// freeCores returns the free cores of each shard's workers.
func (sim *shardsSimulation) freeCores() []int {
	const perCore = 1000
	out := make([]int, sim.plan.shards)
	for _, w := range sim.machines {
		if !w.cutOff {
			out[w.shard] += int(shardsCores-w.used) / perCore
		}
	}
	return out
}
