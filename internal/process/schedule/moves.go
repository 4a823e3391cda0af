package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Move is a job that leaves the shard.
type Move struct {
	Job *work.Job
	To  int
	// Service is the one that runs the job, and MilliCores what its waiting tasks
	// ask for.
	Service    string
	MilliCores int64
	// Filler is set if most of that is for fillers.
	Filler bool
}

const (
	// moveDelay is how long a job waits before it may move: the next decisions
	// may place it.
	moveDelay = 150 * time.Millisecond
	// maxBalanceHold limits how long a long-running job waits for a round of moves:
	// two rounds, and the time until the loads of others are here. A load that is
	// missing must not hold it for longer.
	maxBalanceHold = 1500 * time.Millisecond
	// maxMoves limits the moves of one round, each of which is a few writes to
	// the store.
	maxMoves = 40
)

// Loads returns the load of each service. Label lists are sorted.
func (b *Board) Loads(now time.Time) map[string]shard.Load {
	loads := map[string]shard.Load{}
	usable := map[string][]*workerState{}
	for _, w := range b.workers {
		if !b.usable(w, now) {
			continue
		}
		usable[w.Service] = append(usable[w.Service], w)
		load := loads[w.Service]
		load.Capacity += w.Capacity.MilliCores
		load.Free += max(0, w.free().MilliCores)
		load.Unused += max(0, w.idle)
		for _, label := range w.Labels {
			if !slices.Contains(load.Labels, label) {
				load.Labels = append(load.Labels, label)
			}
		}
		loads[w.Service] = load
	}
	for _, w := range b.workers {
		if load, ok := loads[w.Service]; ok {
			load.LongRunning += w.longRunningCores()
			loads[w.Service] = load
		}
	}
	for _, j := range b.open {
		if j.departing || j.left == j.claims {
			continue
		}
		firm, fillers := j.waitingCores(now)
		load := loads[b.serviceOf(j)]
		load.Waiting += firm
		load.WaitingFillers += fillers
		if j.rank.LongRunning {
			load.LongRunning += firm
		}
		loads[b.serviceOf(j)] = load
	}
	for service, load := range loads {
		slices.Sort(load.Labels)
		load.Pieces = largestPieces(usable[service])
		loads[service] = load
	}
	return loads
}

// longRunningCores is what the worker's long-running tasks claim, in millicores.
func (w *workerState) longRunningCores() int64 {
	cores := int64(0)
	for _, held := range w.claims {
		if held.longRunning && !held.orphaned {
			cores += held.size.MilliCores
		}
	}
	return cores
}

// waitingCores returns what the tasks that could start ask for, in millicores.
func (j *job) waitingCores(now time.Time) (firm, fillers int64) {
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			if step.waiting == 0 || !occ.ready(step, now) {
				continue
			}
			cores := int64(step.waiting) * max(1, step.spec.Size.MilliCores)
			if step.spec.Filler {
				fillers += cores
			} else {
				firm += cores
			}
		}
	}
	return firm, fillers
}

// Moves picks the jobs that should go to other shards, given the loads of all
// shards by service. Load pattern: one shard has more work than capacity while
// another has room; or no worker here has the label that a job requires. Only
// jobs of which nothing was ever started move: whoever leads the other shard may
// then start them without waiting for workers of this one. The jobs picked are
// not started here until Stay is called.
func (b *Board) Moves(own int, loads map[string]map[int]shard.Load, now time.Time) []Move {
	return b.MovesSince(own, loads, now, now)
}

// MovesSince is Moves with loads of which some were computed before now: all of them
// have the jobs that were known to their leaders at since. A held job that came later
// is left for the next round.
func (b *Board) MovesSince(own int, loads map[string]map[int]shard.Load, since, now time.Time) []Move {
	candidates := b.ranked(func(j *job) bool {
		return j.movable(now) && (!j.seen.After(since) || !b.held(j) || now.Sub(j.seen) >= maxBalanceHold)
	}, now)
	budgets := map[budgetKey]map[int]int64{}
	var out []Move
	for _, j := range candidates {
		if len(out) == maxMoves {
			break
		}
		firm, fillers := j.waitingCores(now)
		if firm+fillers == 0 {
			continue
		}
		key := budgetKey{
			service:     b.serviceOf(j),
			filler:      fillers > firm,
			longRunning: j.rank.LongRunning,
		}
		if _, ok := budgets[key]; !ok {
			budgets[key] = key.budgets(loads[key.service], own)
		}
		j.balanced = true
		target, ok := chooseShard(j, budgets[key], firm+fillers, loads[key.service], own)
		if !ok {
			continue
		}
		if budgets[key] != nil {
			budgets[key][target] -= firm + fillers
		}
		j.departing = true
		out = append(out, Move{
			Job:        j.work,
			To:         target,
			Service:    key.service,
			MilliCores: firm + fillers,
			Filler:     key.filler,
		})
	}
	return out
}

type budgetKey struct {
	service             string
	filler, longRunning bool
}

func (k budgetKey) budgets(loads map[int]shard.Load, own int) map[int]int64 {
	if k.longRunning {
		return shard.LongRunningBudgets(loads, own)
	}
	return shard.Budgets(loads, own, k.filler)
}

// movable reports whether the job may move: no task of it was ever started, and
// it is not about to start here.
func (j *job) movable(now time.Time) bool {
	if j.departing || !j.neverStarted() {
		return false
	}
	return now.Sub(j.seen) >= moveDelay || j.rank.LongRunning && !j.balanced
}

// neverStarted reports whether it is certain that no leader of this shard has
// started a task of the job, or that all it has started is over and left no
// record. A job of an earlier term needs proof: that every leader recorded the
// workers of its tasks before their starts, or a handover that names none. What an
// earlier leader has ordered since cannot take effect: its commits are conditional
// on its lead key, and a long-running task starts only after such a commit.
func (j *job) neverStarted() bool {
	if j.everClaimed || !j.fromEarlierTerm {
		return !j.everClaimed
	}
	if j.recorded || j.version > 0 || !j.hasLocated {
		return false
	}
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for _, t := range step.tasks {
				if !t.located || len(t.lastWorkers) > 0 {
					return false
				}
			}
		}
	}
	return true
}

// held reports whether a job waits for a round of moves on loads that are newer than
// its arrival. Load pattern: hundreds
// of long-running jobs arrive within seconds and take most of the capacity for
// minutes. Chance gives some shards more than they can hold; a task that fails
// there finds no room again while other shards have it.
func (b *Board) held(j *job) bool {
	return b.config.HoldsLongRunning && !j.balanced && j.rank.LongRunning &&
		b.now.Sub(j.seen) < maxBalanceHold && j.neverStarted()
}

// Arrived marks a job that was moved here: it is not held again.
func (b *Board) Arrived(id string) {
	if j := b.jobs[id]; j != nil {
		j.balanced = true
	}
}

// chooseShard returns the shard with the largest budget that covers at least
// half of the job. A job that no worker here may run goes to any shard that has
// workers for it.
func chooseShard(j *job, budgets map[int]int64, cores int64, loads map[int]shard.Load, own int) (int, bool) {
	const minCover = 2
	stuck := loads[own].Capacity > 0 && !runnableIn(j, loads[own])
	best, found := 0, false
	for number, load := range loads {
		if number == own || !runnableIn(j, load) || !stuck && budgets[number]*minCover < cores {
			continue
		}
		better := budgets[number] > budgets[best] || budgets[number] == budgets[best] && number < best
		if !found || better {
			best, found = number, true
		}
	}
	return best, found
}

// runnableIn reports whether a shard with the load has workers with all labels
// that the job requires.
func runnableIn(j *job, load shard.Load) bool {
	for s := range j.work.Steps {
		if label := j.work.Steps[s].Label; label != "" && !slices.Contains(load.Labels, label) {
			return false
		}
	}
	return load.Capacity > 0
}

// Stay keeps a job whose move has had no effect.
func (b *Board) Stay(id string) {
	if j := b.jobs[id]; j != nil {
		j.departing, j.balanced = false, true
	}
}

// Departed drops a job that belongs to another shard now.
func (b *Board) Departed(id string) {
	if j := b.jobs[id]; j != nil && j.departing {
		b.dropJob(id)
		delete(b.open, id)
		delete(b.unsaved, id)
	}
}
