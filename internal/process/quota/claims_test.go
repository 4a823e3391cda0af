package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// oldestWants is the number of rounds by whose end a shard knows what another wants.
const oldestWants = 3

// settledDivision plays what follows when the faults of a division have ended: limits do
// not change, leaders stay, and commits have answers. Shards revise in any order, and
// what they know of the others is one of the last oldestWants things that these published.
type settledDivision struct {
	*division
	// published holds what each shard wanted, by round.
	published [][]Wants
}

func newSettledDivision(t *rapid.T) *settledDivision {
	d := &settledDivision{
		division: newDivisionOf(t, rapid.IntRange(2, 4).Draw(t, "shards")),
	}
	for range rapid.IntRange(0, 300).Draw(t, "steps") {
		d.step()
	}
	for number, s := range d.shards {
		s.version = len(d.limits) - 1
		d.configure(s.book, s.version)
		d.read(s, len(d.record)-1)
		d.report(s)
		d.published = append(d.published, []Wants{s.wants})
		for range rapid.IntRange(0, 3).Draw(t, "wide tasks") {
			d.submitWide(d.shards[number])
		}
	}
	return d
}

// round lets each shard revise once. It reports whether a task was started.
func (d *settledDivision) round() bool {
	started := false
	numbers := make([]int, len(d.shards))
	for i := range numbers {
		numbers[i] = i
	}
	for _, number := range rapid.Permutation(numbers).Draw(d.t, "order") {
		s := d.shards[number]
		d.read(s, len(d.record)-1)
		for before := -1; before != len(s.running); {
			before = len(s.running)
			d.start(s, s.book)
			started = started || len(s.running) > before
		}
		d.published[number] = append(d.published[number], s.book.Wants(s.asked()))
		others := map[int]Wants{}
		for other, wants := range d.published {
			if other != number {
				age := rapid.IntRange(1, min(oldestWants, len(wants))).Draw(d.t, "age")
				others[other] = wants[len(wants)-age]
			}
		}
		d.reviseFor(number, "ok", others)
	}
	return started
}

// fitting returns the waiting tasks that the limit admits beside all that runs.
func (d *settledDivision) fitting() []*dividedTask {
	limit, used := amountOf(d.limits[len(d.limits)-1]), Amount{}
	for _, s := range d.shards {
		for _, task := range s.running {
			for r, size := range amountOf(task.size) {
				used[r] += size
			}
		}
	}
	var out []*dividedTask
	for _, s := range d.shards {
		for _, task := range s.waiting {
			if !exceedsAny(amountOf(task.size), used, limit, limit) {
				out = append(out, task)
			}
		}
	}
	return out
}

// Guards against parts of a limit that lie idle in several shards, none of which has
// enough for a waiting task that the whole limit admits.
func TestOneShardGetsThePartForATask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The shard of the task learns what the others use, and they learn of its claim;
		// then parts are given and read.
		const rounds, most = 60, 2*oldestWants + 2
		d := newSettledDivision(t)
		idle := 0
		for range rounds {
			if d.round() || len(d.fitting()) == 0 {
				idle = 0
				continue
			}
			idle++
			require.LessOrEqual(t, idle, most, "rounds without a start")
		}
	})
}

// Guards against a part that stays where the task that it was raised for can't start, as
// no worker has room for it: each waiting task that the limit admits gets the part in
// turn, so that one that can start does.
func TestPartsGoToEachTaskInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newSettledDivision(t)
		sizes := 1
		for _, s := range d.shards {
			distinct := map[worker.Size]bool{}
			for _, task := range s.waiting {
				task.noWorker, distinct[task.size] = true, true
			}
			sizes = max(sizes, len(distinct))
		}
		served := map[*dividedTask]bool{}
		const roundsOfTurn = settleRounds + 6
		for range roundsOfTurn * sizes * len(d.shards) {
			d.round()
			for _, s := range d.shards {
				for _, task := range s.waiting {
					served[task] = served[task] || s.book.Account("mill").Admits(task.size)
				}
			}
		}
		for _, task := range d.fitting() {
			require.True(t, served[task], "%v", task.size)
		}
	})
}

// Guards against a part that a shard keeps beyond its use, ahead of need, while a task
// elsewhere needs it now.
func TestHeadroomGoesToAWaitingTask(t *testing.T) {
	busy, busyAccount := sharedBook(t, 0, cores(20))
	wide, wideAccount := sharedBook(t, 1, cores(20))
	busyAccount.Add(cores(16))
	parts := Parts{
		Version: 1,
		Organisations: map[string][]Amount{
			"mill": {
				{18000},
				{2000},
			},
		},
	}
	books := []*Book{busy, wide}
	waiting := []map[string]worker.Size{
		{},
		{
			"mill": cores(4),
		},
	}
	for range 4 {
		for shard, book := range books {
			book.SetParts(parts)
			next, changed := book.Revise(waiting[shard], map[int]Wants{1 - shard: books[1-shard].Wants(waiting[1-shard])})
			if changed {
				parts = next
			}
		}
	}
	wide.SetParts(parts)
	require.True(t, wideAccount.Admits(cores(4)))
}
