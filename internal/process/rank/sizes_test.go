package rank

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// addMixedSizes adds jobs of tasks of half a second that ask for a multiple of
// the cores. Their number of tasks varies by a factor of some hundred.
func addMixedSizes(r *replay, cores int, load float64, length time.Duration) {
	random := seeded()
	const meanTasks = 10.0
	interval := meanTasks * 0.5 / (load * float64(cores))
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * interval * float64(time.Second)) {
		r.add(&replayJob{
			arrived:   at,
			tasks:     1 + int(random.ExpFloat64()*random.ExpFloat64()*(meanTasks-1)),
			cores:     1,
			runTime:   500 * time.Millisecond,
			objective: 3 * time.Second,
		})
	}
}

// largest returns whether a job is of the largest tenth.
func (r *replay) largest() func(j *replayJob) bool {
	sorted := slices.Clone(r.jobs)
	slices.SortFunc(sorted, func(a, c *replayJob) int { return cmp.Or(cmp.Compare(c.work(), a.work()), cmp.Compare(a.id, c.id)) })
	selected := map[*replayJob]bool{}
	for _, j := range sorted[:len(sorted)/10] {
		selected[j] = true
	}
	return func(j *replayJob) bool { return selected[j] }
}

// Load pattern: small jobs keep arriving under overload. Served by value per
// remaining work, the largest tenth of a kind starves.
func TestLargestTenthGetsItsShare(t *testing.T) {
	for name, load := range map[string]float64{
		"a quarter too much": 1.25,
		"half too much":      1.5,
		"twice the capacity": 2,
	} {
		t.Run(name, func(t *testing.T) {
			replayed := func(rules Rules) (largest, whole float64) {
				r := newReplay(rules, 8)
				addMixedSizes(r, 64, load, 60*time.Second)
				r.run(65 * time.Second)
				return r.met(1, r.largest()), r.met(1, anyJob)
			}
			largest, whole := replayed(AllRules())
			without := AllRules()
			without.Sizes = false
			largestBefore, wholeBefore := replayed(without)
			t.Logf("largest tenth %.2f of %.2f; without the rule %.2f of %.2f", largest, whole, largestBefore, wholeBefore)
			assert.GreaterOrEqual(t, largest, 0.7*whole)
			assert.Less(t, largestBefore, 0.7*wholeBefore, "the load does not show the fault")
		})
	}
}

// Load pattern: tasks of one core take each core that becomes free, while a task
// needs a whole worker. It must be started before its job is hopeless, and the
// small ones must keep nine tenths of their share.
func TestWideTaskKeepsItsPlace(t *testing.T) {
	replayed := func(rules Rules) (wide, small float64) {
		r := newReplay(rules, 8)
		random := seeded()
		for i := range 3000 {
			at := time.Duration(i) * 20 * time.Millisecond
			r.add(&replayJob{
				arrived:   at,
				tasks:     1,
				cores:     1,
				runTime:   1300*time.Millisecond + time.Duration(random.IntN(200))*time.Millisecond,
				objective: 4 * time.Second,
			})
			if i%500 == 100 {
				r.add(&replayJob{
					queue:     "wide",
					arrived:   at,
					tasks:     1,
					cores:     8,
					runTime:   time.Second,
					objective: 4 * time.Second,
				})
			}
		}
		r.run(70 * time.Second)
		isWide := func(j *replayJob) bool { return j.queue == "wide" }
		return r.met(lastChance, isWide), r.met(1, func(j *replayJob) bool { return !isWide(j) })
	}
	wide, small := replayed(AllRules())
	without := AllRules()
	without.Sizes = false
	wideBefore, smallBefore := replayed(without)
	t.Logf("wide %.2f, small %.2f; without the rule %.2f and %.2f", wide, small, wideBefore, smallBefore)
	assert.InDelta(t, 1, wide, 0)
	assert.GreaterOrEqual(t, small, 0.9*smallBefore)
	assert.Less(t, wideBefore, 0.5, "the load does not show the fault")
}

func anyJob(*replayJob) bool {
	return true
}
