package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 2 * time.Second

// advanceGangs lets gangs work whose members all run, and breaks those that have
// lost a member since.
func (sim *simulation) advanceGangs() {
	members := map[gangRun]map[string]*simulatedRun{}
	for id, simWorker := range sim.workers {
		for key, running := range simWorker.running {
			if !sim.specs[key.Job].Steps[key.Step].Gang {
				continue
			}
			gang := gangRun{
				step: stepOf(key),
				run:  running.run,
			}
			if members[gang] == nil {
				members[gang] = map[string]*simulatedRun{}
			}
			members[gang][id+" "+key.String()] = running
		}
	}
	gangs := slices.SortedFunc(maps.Keys(members), func(a, c gangRun) int {
		return cmp.Or(cmp.Compare(a.step.job, c.step.job), cmp.Compare(a.step.step, c.step.step), cmp.Compare(a.run, c.run))
	})
	for _, gang := range gangs {
		whole := len(members[gang]) == sim.specs[gang.step.job].Steps[gang.step.step].Count
		var ending Ending
		var work time.Duration
		for _, name := range slices.Sorted(maps.Keys(members[gang])) {
			running := members[gang][name]
			switch {
			case whole:
				running.whole = true
				work = max(work, running.work)
			case running.whole:
				ending = EndedBroken
			case sim.now.Sub(running.began) > gangWait:
				ending = EndedAlone
			}
			running.work -= simulationStep
		}
		switch {
		case whole && work <= 0:
			sim.endGang(gang, EndedDone)
		case ending != EndedDone:
			sim.endGang(gang, ending)
		}
	}
}

// gangRun is one run of a gang.
type gangRun struct {
	step stepKey
	run  int64
}

// endGang ends all members that run.
func (sim *simulation) endGang(gang gangRun, ending Ending) {
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		simWorker := sim.workers[id]
		keys := slices.SortedFunc(maps.Keys(simWorker.running), compareKeys)
		for _, key := range slices.DeleteFunc(keys, func(key work.TaskKey) bool {
			return stepOf(key) != gang.step || simWorker.running[key].run != gang.run
		}) {
			sim.end(simWorker, key, ending)
		}
	}
}
