package schedule

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
)

// injectRefusals lets workers drain and restart, withdraws and returns their zone,
// and lets the leader take its leadership again.
func (sim *simulation) injectRefusals() {
	id := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(sim.t, "refusing worker")
	switch rapid.SampledFrom([]string{"none", "none", "none", "none", "none", "drain", "withdraw", "return", "resume"}).Draw(sim.t, "refusal") {
	case "drain":
		sim.workers[id].listing.Draining = true
		sim.workers[id].listing.Remaining = time.Second
		sim.workers[id].restartsAt = sim.now.Add(time.Second)
	case "withdraw":
		sim.board.Evacuate(map[string]bool{"recife": true})
	case "return":
		sim.board.Evacuate(nil)
	case "resume":
		sim.token += 10
		sim.board.Begin(sim.token, sim.now)
	}
	for id, simWorker := range sim.workers {
		if !simWorker.restartsAt.IsZero() && !sim.now.Before(simWorker.restartsAt) {
			sim.restart(id)
		}
	}
}

// calm ends all faults: from here on calls get through and are answered.
func (sim *simulation) calm() {
	sim.calmed, sim.storeDown = true, false
	sim.board.Evacuate(nil)
	for id, simWorker := range sim.workers {
		simWorker.partitioned = false
		if simWorker.listing.Draining {
			sim.restart(id)
		}
	}
}

// startFate is what happens to a start. Before calm it may also be refused, or
// not leave the leader.
func (sim *simulation) startFate() string {
	fates := []string{"ok", "ok", "ok", "lost", "unanswered", "late"}
	switch {
	case sim.calmed:
		return "ok"
	case sim.refuses:
		fates = append(fates, "not sent", "not sent", "unhealthy")
	}
	return rapid.SampledFrom(fates).Draw(sim.t, "fate")
}

// stopFate is what happens to a stop.
func (sim *simulation) stopFate() string {
	if !sim.refuses || sim.calmed {
		return "ok"
	}
	return rapid.SampledFrom([]string{"ok", "ok", "lost", "unanswered", "not sent", "unhealthy"}).Draw(sim.t, "stop fate")
}

// requireResolved checks that the worker has confirmed each claim that is older
// than the given age.
func (sim *simulation) requireResolved(age time.Duration) {
	for id, w := range sim.board.workers {
		for key, held := range w.claims {
			require.True(sim.t, held.confirmed || sim.now.Sub(held.started) < age, "%s run %d on %s is neither confirmed nor released", key, held.run, id)
		}
	}
}

// waitingTasks returns the long-running tasks of open jobs that wait although a
// worker has capacity for them.
func (sim *simulation) waitingTasks() map[work.TaskKey]*task {
	out := map[work.TaskKey]*task{}
	free := slices.ContainsFunc([]string{"w0", "w1", "w2"}, func(id string) bool {
		return len(sim.workers[id].running) < 3
	})
	for _, j := range sim.board.open {
		for _, t := range j.openTasks() {
			if free && j.work.LongRunning() && t.phase == waiting && t.notBefore.Before(sim.now) {
				out[t.key] = t
			}
		}
	}
	return out
}
