package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Load pattern: small jobs keep arriving at one and a half times the capacity.
// Served by value per remaining work, the largest tenth starves.
func TestLargestTenthGetsItsShareOnABoard(t *testing.T) {
	const (
		meanTasks = 10.0
		interval  = float64(time.Second) * meanTasks * 0.5 / (32 * 1.5)
		length    = 240 * time.Second
	)
	replayed := func(rules rank.Rules) (largest, whole float64) {
		r := newBoardReplay(rules)
		random := rand.New(rand.NewPCG(3, 5))
		for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * interval) {
			r.add(at, 0, shortStep(1+int(random.ExpFloat64()*random.ExpFloat64()*(meanTasks-1))))
		}
		r.run(length + 5*time.Second)
		sorted := slices.Clone(r.jobs)
		slices.SortFunc(sorted, func(a, c *replayJob) int {
			return cmp.Or(cmp.Compare(c.spec.Steps[0].Count, a.spec.Steps[0].Count), cmp.Compare(a.spec.ID, c.spec.ID))
		})
		isLarge := map[*replayJob]bool{}
		for _, j := range sorted[:len(sorted)/10] {
			isLarge[j] = true
		}
		return r.met(1, func(j *replayJob) bool { return isLarge[j] }), r.met(1, func(*replayJob) bool { return true })
	}
	largest, whole := replayed(rank.AllRules())
	without := rank.AllRules()
	without.Sizes = false
	largestBefore, wholeBefore := replayed(without)
	t.Logf("largest tenth %.2f of %.2f; without the rule %.2f of %.2f", largest, whole, largestBefore, wholeBefore)
	assert.GreaterOrEqual(t, largest, 0.7*whole)
	assert.Less(t, largestBefore, 0.7*wholeBefore, "the load does not show the fault")
}

// wideLoad adds tasks of a core that ask for a little more than all cores
// together, and tasks that ask for a whole worker, whose jobs it returns.
func wideLoad(r *boardReplay) map[*replayJob]bool {
	isWide := map[*replayJob]bool{}
	for i := range 1000 {
		at := time.Duration(i) * 25 * time.Millisecond
		step := tasks(1, 1000)
		step.Estimate = 850 * time.Millisecond
		r.add(at, 0, step)
		if i%250 == 100 {
			isWide[r.add(at, 0, tasks(1, 8000))] = true
		}
	}
	return isWide
}

// Load pattern: tasks of one core take each core that becomes free, while a task
// needs a whole worker. It must be started before its job is hopeless, and the
// small ones must keep nine tenths of their share.
func TestWideTaskKeepsItsPlaceOnABoard(t *testing.T) {
	replayed := func(rules rank.Rules) (wide, small float64) {
		r := newBoardReplay(rules)
		isWide := wideLoad(r)
		r.run(32 * time.Second)
		return r.met(3, func(j *replayJob) bool { return isWide[j] }), r.met(1, func(j *replayJob) bool { return !isWide[j] })
	}
	wide, small := replayed(rank.AllRules())
	without := rank.AllRules()
	without.Sizes = false
	wideBefore, smallBefore := replayed(without)
	t.Logf("wide %.2f, small %.2f; without the rule %.2f and %.2f", wide, small, wideBefore, smallBefore)
	assert.InDelta(t, 1, wide, 0)
	assert.GreaterOrEqual(t, small, 0.9*smallBefore)
	assert.Less(t, wideBefore, 0.5, "the load does not show the fault")
}

// A worker with a place may be lost or begin to drain. The place must move to
// another one: kept there, it would withhold nothing and the task would wait.
func TestPlaceLeavesUnusableWorker(t *testing.T) {
	board := testBoard("w0", "w1")
	small := tasks(16, 1000)
	board.AddJob(testJob("small", "plans", small), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	board.AddJob(testJob("wide", "plans", tasks(1, 8000)), nil, false, testStart, testStart)
	now := testStart.Add(2 * time.Second)
	poll(board, "w0", now)
	poll(board, "w1", now)
	board.Decide(now, true)
	j := board.open["wide"]
	require.True(t, j.rank.Placed)
	first := j.place.Worker
	board.MarkUnreachable(first, now)
	board.Decide(now, true)
	assert.True(t, j.rank.Placed)
	assert.NotEqual(t, first, j.place.Worker)
	for _, w := range board.workers {
		assert.Equal(t, worker.Size{}, w.withheld, "places withhold capacity only during a decision")
	}
}

// Long-running tasks never end by themselves: a place where they leave too
// little capacity would be kept in vain.
func TestNoPlaceBesideLongRunningTasks(t *testing.T) {
	board := testBoard("w0")
	lasting := work.Step{
		Count:       1,
		LongRunning: true,
		Size: worker.Size{
			MilliCores: 1000,
		},
	}
	board.AddJob(testJob("lasting", "plans", lasting), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	board.AddJob(testJob("small", "plans", tasks(8, 1000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	board.AddJob(testJob("wide", "plans", tasks(1, 8000)), nil, false, testStart, testStart)
	now := testStart.Add(2 * time.Second)
	poll(board, "w0", now)
	board.Decide(now, true)
	assert.Empty(t, board.open["wide"].place.Worker)
}
