package schedule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/request/work"
)

// requireConsistent checks that all totals of a board equal the sums that they
// stand for.
func requireConsistent(t require.TestingT, b *Board) {
	reserved, kept := map[string]worker.Size{}, map[string]worker.Size{}
	for _, held := range b.reservations {
		reserved[held.worker] = reserved[held.worker].Add(held.size)
		if held.restart {
			kept[held.worker] = kept[held.worker].Add(held.size)
		}
	}
	accounts := map[*quota.Account]worker.Size{}
	for id, w := range b.workers {
		sums := &workerState{
			idle:    w.Capacity.MilliCores,
			serving: map[string]int{},
			steps:   map[stepKey]int{},
			fillers: map[string]int64{},
			claims:  map[work.TaskKey]*claim{},
		}
		for key, held := range w.claims {
			plain := *held
			plain.account = nil
			sums.addClaim(key, &plain)
			if held.account != nil {
				accounts[held.account] = accounts[held.account].Add(held.requestedSize())
			}
		}
		requireSame(t, sums.used, w.used, "used on", id)
		requireSame(t, sums.idle, w.idle, "idle on", id)
		requireSame(t, sums.suspicion, w.suspicion, "suspicion on", id)
		requireSame(t, reserved[id], w.reserved, "reserved on", id)
		requireSame(t, kept[id], w.keptForRestarts, "kept for restarts on", id)
		requireSame(t, true, maps.Equal(sums.serving, w.serving), "serving on", id)
		requireSame(t, true, maps.Equal(sums.steps, w.steps), "steps on", id)
		requireSame(t, true, maps.Equal(sums.fillers, w.fillers), "fillers on", id)
	}
	for _, account := range b.quotas.Accounts() {
		running, _ := account.Use()
		requireSame(t, accounts[account], running, "use of", account.Name)
	}
	for _, j := range b.jobs {
		requireCounted(t, b, j)
	}
}

// requireSame is require.Equal without its cost when the values are the same: it is
// called some hundred times a step.
func requireSame[T comparable](t require.TestingT, want, got T, what, id string) {
	if want != got {
		require.Equal(t, want, got, what+" "+id)
	}
}

// requireCounted checks the counts over a job's tasks, and that each claimed task
// has its claim.
func requireCounted(t require.TestingT, b *Board, j *job) {
	left, claims := 0, 0
	for _, occ := range j.occurrences {
		occLeft := 0
		for _, step := range occ.steps {
			waits, stepLeft := 0, 0
			for _, next := range step.tasks {
				switch next.phase {
				case waiting:
					waits++
				case claimed:
					claims++
					w := b.workers[next.worker]
					requireSame(t, true, w != nil, "worker of", j.work.ID)
					held := w.claims[next.key]
					requireSame(t, true, held != nil && held.run == next.run && !held.orphaned, "claim of", j.work.ID)
				case done:
				}
				if next.phase != done {
					stepLeft++
				}
			}
			requireSame(t, waits, step.waiting, "waiting tasks of", j.work.ID)
			requireSame(t, stepLeft, step.left, "tasks left of a step of", j.work.ID)
			occLeft += stepLeft
		}
		requireSame(t, occLeft, occ.left, "tasks left of an occurrence of", j.work.ID)
		left += occLeft
	}
	requireSame(t, left, j.left, "tasks left of", j.work.ID)
	requireSame(t, claims, j.claims, "claims of", j.work.ID)
}

// requireNextEvents checks that each claim has an event that keeps or releases it:
// an order that waits to be sent or for its answer, a report, or the end of a lease.
func (sim *asyncSimulation) requireNextEvents() {
	b := sim.board
	queued := map[int64]bool{}
	for _, start := range b.pendingRetries {
		queued[start.Run] = true
	}
	for _, next := range b.unrecordedStarts {
		queued[next.start.Run] = true
	}
	stops := map[asyncOrder]bool{}
	for _, stop := range b.effects.Stops {
		stops[asyncOrder{
			kind:   "stop",
			worker: stop.Worker,
			key:    stop.Key,
			run:    stop.Run,
		}] = true
	}
	for id, w := range b.workers {
		requireSame(sim.t, true, w.reachable || !w.leaseEnd.After(sim.now.Add(testActTerm+b.longestLease())), "lease of", id)
		for key, held := range w.claims {
			order := asyncOrder{
				kind:   "start",
				worker: id,
				key:    key,
				run:    held.run,
			}
			if held.startDue && !queued[held.run] && sim.inFlight[order] == 0 {
				require.Fail(sim.t, "a claim waits for a start that is not sent", "%s run %d on %s", key, held.run, id)
			}
			order.kind = "stop"
			if !held.stopping.IsZero() && held.barred.IsZero() && sim.inFlight[order] == 0 && !stops[order] {
				require.Fail(sim.t, "a claim waits for a stop that is not sent", "%s run %d on %s", key, held.run, id)
			}
			if held.stopping.IsZero() && held.barred.IsZero() && !held.startDue && !held.confirmed && !held.needsStop(b.jobs[key.Job]) {
				require.Fail(sim.t, "a claim has no next event", "%s run %d on %s", key, held.run, id)
			}
		}
	}
}

// requireNothingIdle checks that no job has had nothing running for the given time
// while one of its tasks has room for it twice over and less than half of its
// service's capacity is in use; a long-running one, that no task has.
func (sim *asyncSimulation) requireNothingIdle(longest time.Duration) {
	running := map[work.TaskKey]bool{}
	jobs := map[string]bool{}
	for _, simWorker := range sim.machines {
		for key := range simWorker.running {
			running[key], jobs[key.Job] = true, true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		j := sim.board.open[id]
		idle := j != nil && (j.work.LongRunning() || !jobs[id]) && sim.couldRun(j, running)
		switch {
		case !idle:
			delete(sim.idleSince, id)
		case sim.idleSince[id].IsZero():
			sim.idleSince[id] = sim.now
		case sim.now.Sub(sim.idleSince[id]) > longest:
			require.Fail(sim.t, "a job has nothing running beside free capacity", sim.describe(id))
		}
	}
}

// couldRun reports whether a task of a job whose turn has come does not run and has
// room twice over.
func (sim *asyncSimulation) couldRun(j *job, running map[work.TaskKey]bool) bool {
	const settled = 6 * time.Second // from the last run of a long-running task
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			if step.left == 0 || !occ.ready(step, sim.now) {
				continue
			}
			for _, t := range step.tasks {
				if t.phase == done || running[t.key] || step.spec.LongRunning && sim.now.Sub(sim.lastRun[t.key]) < settled {
					continue
				}
				count := 1
				if step.spec.Gang {
					count = len(step.tasks)
				}
				if room, used := sim.roomFor(sim.board.serviceOf(j), step.spec, t.key); room >= 2*count && used < 0.5 {
					return true
				}
			}
		}
	}
	return false
}

// roomFor returns how many tasks of a step fit on the workers beside what runs
// there, and the part of the service's cores that is in use.
func (sim *asyncSimulation) roomFor(service string, spec *work.Step, key work.TaskKey) (room int, used float64) {
	inUse, all := int64(0), int64(0)
	for _, simWorker := range sim.machines {
		if simWorker.down || simWorker.listing.Draining || simWorker.listing.Service != service {
			continue
		}
		free, sameStep := simWorker.listing.Capacity, 0
		for other := range simWorker.running {
			free = free.Sub(sim.specs[other.Job].Steps[other.Step].Size)
			if stepOf(other) == stepOf(key) {
				sameStep++
			}
		}
		inUse += simWorker.listing.Capacity.MilliCores - free.MilliCores
		all += simWorker.listing.Capacity.MilliCores
		if spec.Label != "" && !slices.Contains(simWorker.listing.Labels, spec.Label) {
			continue
		}
		fits := fitting(spec.Size, free)
		if spec.Spread > 0 {
			fits = min(fits, max(0, spec.Spread-sameStep))
		}
		room += fits
	}
	return room, ratio(inUse, all)
}

// requireSameAsRunning checks that what the board has claimed on a worker has not
// differed from what runs there for longer than a start and a stop take.
func (sim *asyncSimulation) requireSameAsRunning() {
	const longest = 2 * (asyncCallTimeout + testStopGrace)
	require.Empty(sim.t, sim.board.Differences(longest))
	for id, w := range sim.board.workers {
		if sim.sameAsRunning(id, w) {
			delete(sim.differsSince, id)
		} else if sim.differsSince[id].IsZero() {
			sim.differsSince[id] = sim.now
		} else if sim.now.Sub(sim.differsSince[id]) > longest {
			require.Fail(sim.t, "claims differ from what runs on "+id, sim.describe(""))
		}
	}
}

func (sim *asyncSimulation) sameAsRunning(id string, w *workerState) bool {
	simWorker := sim.at(id)
	if simWorker == nil || simWorker.listing.ID != id {
		return len(w.claims) == 0
	}
	for key, held := range w.claims {
		if running := simWorker.running[key]; running == nil || running.run != held.run {
			return false
		}
	}
	return len(w.claims) == len(simWorker.running)
}

// describe lists what a board knows of a job and of all workers, for failures.
func (sim *asyncSimulation) describe(id string) string {
	out := ""
	if j := sim.board.jobs[id]; j != nil {
		out = sim.describeJob(j)
	}
	for _, name := range slices.Sorted(maps.Keys(sim.board.workers)) {
		w := sim.board.workers[name]
		out += fmt.Sprintf("worker %s: service %s, free %+v, reserved %+v, idle %d, usable %t, trusted %t, reachable %t, reported %t, lease %s\n", name, w.Service, w.free(), w.reserved, w.idle,
			sim.board.usable(w, sim.now), w.health.trusted(sim.now), w.reachable, w.reportedToken == sim.token, w.leaseEnd.Sub(sim.now))
		for key, held := range w.claims {
			out += fmt.Sprintf("  %s run %d confirmed %t startDue %t stopping %t barred %t orphaned %t throttle %d in use %d\n", key, held.run, held.confirmed, held.startDue, !held.stopping.IsZero(), !held.barred.IsZero(), held.orphaned,
				held.throttle, held.inUse)
		}
	}
	for _, simWorker := range sim.machines {
		for key, running := range simWorker.running {
			out += fmt.Sprintf("%s runs %s: %+v\n", simWorker.listing.ID, key, *running)
		}
	}
	return out
}

func (sim *asyncSimulation) describeJob(j *job) string {
	out := fmt.Sprintf("now %s, job %s of queue %s, inherited %d, %d left, %d claims\n", sim.now.Sub(testStart), j.work.ID, j.work.Queue, j.inherited, j.left, j.claims)
	for _, occ := range j.occurrences {
		for s, step := range occ.steps {
			out += fmt.Sprintf("step %d: %+v, ready %t\n", s, *step.spec, occ.ready(step, sim.now))
			for _, t := range step.tasks {
				out += fmt.Sprintf("  %+v\n", *t)
			}
		}
	}
	return out
}
