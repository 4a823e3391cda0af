package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
)

// reasonsOf returns why nothing of the open jobs runs, by job.
func (sim *simulation) reasonsOf() map[string]Waiting {
	out := map[string]Waiting{}
	for id := range sim.board.open {
		if waits, ok := sim.board.Waiting(id, sim.now); ok {
			out[id] = waits
		}
	}
	return out
}

// requireReasons checks that each open job of which a step is ready has a run, or a
// reason to wait with an end. decided is set right after a decision: then no job may
// be without a reason.
func (sim *simulation) requireReasons(decided bool) {
	sim.requireDownReasons(decided)
	reasons := sim.reasonsOf()
	for _, id := range slices.Sorted(maps.Keys(sim.board.open)) {
		j := sim.board.open[id]
		waits, ok := reasons[id]
		switch ready := readyTasks(j, sim.now); {
		case len(ready) == 0:
			require.False(sim.t, ok, "job %s has no step that is ready, and %s as a reason to wait", id, waits.Reason)
		case slices.ContainsFunc(ready, sim.board.hasRun):
			require.False(sim.t, ok, "job %s has a run, and %s as a reason to wait", id, waits.Reason)
		default:
			require.True(sim.t, ok, "job %s has neither a run nor a reason to wait", id)
			require.True(sim.t, waits.Ends(), "nothing ends the wait of %s for %s; workers %v", waits.Task, waits.Reason, waits.Excluded.Words())
			require.False(sim.t, waits.Since.After(sim.now), "%s waits since %s", waits.Task, waits.Since)
			if decided {
				require.NotEqual(sim.t, NoReason, waits.Reason, "%s could start, and the decision has not started it", waits.Task)
				require.False(sim.t, waits.isOver(sim.now), "the time is over that ends the wait of %s for %s", waits.Task, waits.Reason)
			}
		}
	}
}

// requireDownReasons checks that each long-running task which does not run although its
// turn has come has a reason with an end, if its job was started, whatever else of the
// job runs.
func (sim *simulation) requireDownReasons(decided bool) {
	report := sim.board.WaitReport(WaitRequest{
		FollowsJob: followNone.FollowsJob,
		MaxDown:    1000,
	}, sim.now)
	found, counted := map[work.TaskKey]DownTask{}, 0
	for _, down := range report.LongestDown {
		found[down.Task] = down
	}
	for _, count := range report.Down {
		counted += count
	}
	require.Len(sim.t, found, counted)
	for _, id := range slices.Sorted(maps.Keys(sim.board.open)) {
		j := sim.board.open[id]
		for _, t := range readyTasks(j, sim.now) {
			down, ok := found[t.key]
			delete(found, t.key)
			if !j.work.LongRunning() || !j.everClaimed && !j.progress.Started || sim.board.hasRun(t) {
				require.False(sim.t, ok, "%s runs, is quick or was not started, and is down for %s", t.key, down.Reason)
				continue
			}
			require.True(sim.t, ok, "%s is down without a reason", t.key)
			require.True(sim.t, down.Ends(), "nothing ends the wait of %s for %s; workers %v", t.key, down.Reason, down.Excluded.Words())
			require.False(sim.t, down.Since.After(sim.now), "%s is down since %s", t.key, down.Since)
			require.False(sim.t, down.Room && !down.ServiceRoom, "%s has room in the shard and none in the service", t.key)
			if decided {
				require.NotEqual(sim.t, NoReason, down.Reason, "%s could start, and the decision has not started it", t.key)
				require.False(sim.t, down.isOver(sim.now), "the time is over that ends the wait of %s for %s", t.key, down.Reason)
			}
		}
	}
	require.Empty(sim.t, found, "tasks are down whose turn has not come")
}

// isOver reports whether the time is over that ends a wait.
func (w *Waiting) isOver(now time.Time) bool {
	return !w.Until.IsZero() && w.Until.Before(now) && w.Reason.Awaits() == ""
}

// readyTasks returns the tasks of ready steps that are not done.
func readyTasks(j *job, now time.Time) []*task {
	var out []*task
	for _, t := range j.openTasks() {
		if occ, step, _ := j.find(t.key); occ.ready(step, now) {
			out = append(out, t)
		}
	}
	return out
}

// hasRun reports whether a worker that answers has confirmed a run of the task, was
// not told to end it, and still lists it.
func (b *Board) hasRun(t *task) bool {
	w := b.workers[t.worker]
	if t.phase != claimed || w == nil || w.claims[t.key] == nil {
		return false
	}
	held := w.claims[t.key]
	return held.run == t.run && held.confirmed && w.reachable && held.stopping.IsZero() && held.barred.IsZero() && held.unlistedSince.IsZero()
}

// decideWithReasons decides, with checks of the reasons before and after the
// decision and after the answers.
func (sim *simulation) decideWithReasons() {
	before, reserved := sim.reasonsOf(), maps.Clone(sim.board.reservations)
	effects := sim.board.Decide(sim.now, true)
	sim.requireReasons(true)
	after := sim.reasonsOf()
	sim.requireStarts(before, after, reserved, len(effects.Starts)+len(sim.board.unrecordedStarts))
	capacity := sim.board.heldCapacity()
	again := sim.board.Decide(sim.now, true)
	stillHeld := sim.board.heldCapacity()
	for name := range capacity {
		if !stillHeld[name] {
			clear(after) // a run that was preempted before its start was sent
		}
	}
	sim.requireNoStarts(after, again.Starts)
	sim.board.effects = Effects{
		Starts:         append(effects.Starts, again.Starts...),
		Stops:          append(effects.Stops, again.Stops...),
		Throttles:      append(effects.Throttles, again.Throttles...),
		TicketRequests: append(effects.TicketRequests, again.TicketRequests...),
		Crashes:        append(effects.Crashes, again.Crashes...),
		Preemptions:    append(effects.Preemptions, again.Preemptions...),
	}
	sim.decide(sim.board, true) // carries them out
	sim.requireReasons(false)
}

// requireStarts checks that a decision has started something if a job was without
// a reason before it, and still waits. Some reasons begin with a decision: it declines
// workers for racks, measures the utilization that lets fillers interfere, counts what
// may be running on workers that have not reported against the limits, and keeps
// capacity for tasks that go first. An urgent task that this leaves without a worker gets
// capacity of its own by preemption.
func (sim *simulation) requireStarts(before, after map[string]Waiting, reserved map[work.TaskKey]reservation, started int) {
	for _, id := range slices.Sorted(maps.Keys(before)) {
		waits, still := after[id]
		switch {
		case before[id].Reason != NoReason || !still:
		case slices.Contains([]Reason{RackWait, Interference, Quota, ReservedForOthers}, waits.Reason):
		case waits.Reason == Reserved && sim.keptForOthers(before[id].Task, reserved):
		default:
			require.Positive(sim.t, started, "%s could start, and the decision has started nothing; %s", before[id].Task, waits.Reason)
		}
	}
}

// keptForOthers reports whether the decision has begun to keep capacity for another task,
// given the reservations before it.
func (sim *simulation) keptForOthers(task work.TaskKey, before map[work.TaskKey]reservation) bool {
	for key := range sim.board.reservations {
		if _, known := before[key]; !known && key != task {
			return true
		}
	}
	return false
}

// heldCapacity returns the claims and the reservations.
func (b *Board) heldCapacity() map[string]bool {
	out := map[string]bool{}
	for id, w := range b.workers {
		for key, held := range w.claims {
			out[fmt.Sprintf("%s %s %d", id, key, held.run)] = true
		}
	}
	for key := range b.reservations {
		out[key.String()] = true
	}
	return out
}

// requireNoStarts checks that another decision at the same time has started nothing
// of the jobs that have a reason to wait. Whether a wait for a rack goes on is decided
// anew.
func (sim *simulation) requireNoStarts(reasons map[string]Waiting, starts []Start) {
	for _, start := range starts {
		waits, ok := reasons[start.Key.Job]
		require.True(sim.t, !ok || waits.Reason == RackWait || waits.Reason >= StartUnanswered, "%s waits for %s, and starts", start.Key, waits.Reason)
	}
}

// tickWithReasons is tick, with checks of the reasons.
func (sim *simulation) tickWithReasons() {
	sim.advance()
	sim.deliverList(sim.board)
	for _, id := range []string{"w0", "w1", "w2"} {
		if rapid.Bool().Draw(sim.t, "look") {
			sim.poll(sim.board, id)
		}
	}
	sim.writeUnreachable()
	sim.write()
	if !sim.storeDown {
		sim.board.Confirmed(sim.now)
	}
	sim.decideWithReasons()
	sim.tickPrevious()
}

// Guards against jobs that wait in silence: with every fault of the simulation, each
// open job of which a step is ready has a run, or a reason to wait with an end, and
// one without a reason is started by the next decision.
func TestEveryWaitHasAReason(t *testing.T) {
	tests := map[string]func(sim *simulation){
		"quick":        func(*simulation) {},
		"long-running": func(sim *simulation) { sim.longRunning = true },
		"refusals":     func(sim *simulation) { sim.longRunning, sim.refuses = true, true },
		"resignations": func(sim *simulation) { sim.longRunning, sim.resigns = true, true },
		"gangs":        func(sim *simulation) { sim.gangs = true },
		"preemptions": func(sim *simulation) {
			sim.longRunning, sim.preempts = true, true
			sim.board.config.Notice = simulationStep
		},
		"unreachable workers recorded": func(sim *simulation) { sim.recordsUnreachable = true },
		"ends omitted":                 func(sim *simulation) { sim.endsListed = 1 },
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			seen := Reasons{}
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(t)
				tests[name](sim)
				sim.runWithReasons(&seen)
			})
			t.Log(seen.words())
		})
	}
}

// The same with organisations whose limits change.
func TestEveryWaitOfAnOrganisationHasAReason(t *testing.T) {
	t.Parallel()
	seen := Reasons{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newQuotaSimulation(t)
		sim.runWithReasons(&seen)
	})
	t.Log(seen.words())
}

// The same with preferred racks.
func TestEveryWaitForARackHasAReason(t *testing.T) {
	t.Parallel()
	seen := Reasons{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range 120 {
			sim.submitSome()
			sim.preferRacks()
			sim.injectFault()
			sim.tickWithReasons()
			sim.count(&seen)
		}
	})
	t.Log(seen.words())
}

// runWithReasons submits jobs and injects faults for twelve seconds.
func (sim *simulation) runWithReasons(seen *Reasons) {
	for range 120 {
		sim.submitSome()
		sim.injectFault()
		if sim.refuses {
			sim.injectRefusals()
		}
		if sim.quotas != nil {
			sim.changeQuota()
		}
		sim.tickWithReasons()
		sim.count(seen)
	}
}

func (sim *simulation) submitSome() {
	if sim.next < 6 && rapid.IntRange(0, 4).Draw(sim.t, "submit") == 0 {
		sim.submit()
	}
}

// count adds the reasons of the waiting jobs and of the tasks that are down.
func (sim *simulation) count(seen *Reasons) {
	for _, waits := range sim.reasonsOf() {
		seen[waits.Reason]++
	}
	for reason, count := range sim.board.WaitReport(followNone, sim.now).Down {
		seen[reason] += count
	}
}

// words returns the counts that are not zero, by word.
func (r *Reasons) words() map[string]int {
	out := map[string]int{}
	for reason, count := range r {
		if count > 0 {
			out[Reason(reason).String()] = count
		}
	}
	return out
}
