package schedule

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testTarget = 150 * time.Millisecond

// setCoefficient sets the coefficient of a pair, without variance.
func setCoefficient(board *Board, serving, filler string, coefficient float64) {
	board.interference.coefficients[pair{
		serving: serving,
		filler:  filler,
	}] = &estimate{
		value: coefficient,
	}
}

// servingClaim returns a serving task with a steady headroom and baseline.
func servingClaim(image string, headroom, baseline float64) *claim {
	return &claim{
		serving:   true,
		confirmed: true,
		image:     image,
		target:    testTarget,
		latency:   time.Duration(float64(testTarget) / headroom),
		progress:  servingPercent,
		tail: tail{
			headroom: headroom,
			baseline: estimate{
				value: baseline,
				at:    testStart,
			},
		},
	}
}

func fillerClaim(image string, milliCores int64) *claim {
	return &claim{
		filler:    true,
		confirmed: true,
		image:     image,
		throttle:  unthrottled,
		requested: milliCores,
		inUse:     milliCores,
	}
}

// Load pattern: two filler images run intermittently beside a serving task
// whose own load varies by half. The "loud" image interferes about ten times as
// much as the "calm" one, by an amount that varies too.
func TestInterferingPairIsFoundUnderVaryingLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)) //nolint:gosec // a simulated load
		calm := rapid.Float64Range(0, 0.8).Draw(t, "calm")
		loud := rapid.Float64Range(6, 12).Draw(t, "loud")
		model := newInterference()
		tails := make([]tail, 6)
		now := testStart
		const polls, period = 120, 20.0
		for range polls {
			now = now.Add(400 * time.Millisecond)
			for i := range tails {
				shares := []coreShare{}
				for _, image := range []string{"calm", "loud"} {
					if random.IntN(3) == 0 {
						shares = append(shares, coreShare{
							image:    image,
							fraction: 0.05 + 0.1*random.Float64(),
						})
					}
				}
				angle := 2 * math.Pi * (now.Sub(testStart).Seconds()/period + float64(i)/float64(len(tails)))
				headroom := 3 + 1.4*math.Sin(angle)
				for _, share := range shares {
					coefficient := calm
					if share.image == "loud" {
						coefficient = loud * 2 * random.Float64()
					}
					headroom -= coefficient * share.fraction
				}
				headroom *= 1 + 0.05*random.NormFloat64()
				model.learn(&tails[i], "quotes", max(0.1, headroom), shares, now)
			}
		}
		assert.InDelta(t, calm, model.coefficient("quotes", "calm"), 1.8)
		assert.Greater(t, model.coefficient("quotes", "loud"), 0.5*loud)
		assert.Greater(t, model.coefficient("quotes", "loud"), 2*model.coefficient("quotes", "calm"))
	})
}

// Load pattern: variations of a serving image's own load raise its tail latency
// to the target beside a steady filler. It must not be
// attributed to the filler.
func TestServingLoadIsNotAttributedToFillers(t *testing.T) {
	model := newInterference()
	observed := tail{}
	now := testStart
	for i := range 200 {
		now = now.Add(400 * time.Millisecond)
		headroom := 3 + 1.8*math.Sin(2*math.Pi*float64(i)/50)
		model.learn(&observed, "quotes", headroom, []coreShare{{
			image:    "calm",
			fraction: 0.1,
		}}, now)
	}
	assert.Less(t, model.coefficient("quotes", "calm"), 2*defaultCoefficient)
}

// Load pattern: a filler image that took most of a serving task's headroom
// stops interfering.
func TestCoefficientFallsWhenInterferenceEnds(t *testing.T) {
	board := testBoard("w0")
	setCoefficient(board, "quotes", "loud", 10)
	observed := tail{}
	now := testStart
	for i := range 300 {
		now = now.Add(400 * time.Millisecond)
		fraction := 0.1 * float64(i%2)
		board.interference.learn(&observed, "quotes", 2.5, []coreShare{{
			image:    "loud",
			fraction: fraction,
		}}, now)
	}
	assert.Less(t, board.interference.coefficient("quotes", "loud"), 2.0, "the coefficient must fall within two minutes")
}

// Only the interfering filler is throttled, by as much as is needed, and it
// gets back to full speed once the tail latency is low again.
func TestOnlyTheInterferingFillerIsThrottled(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	setCoefficient(board, "quotes", "loud", 10)
	setCoefficient(board, "quotes", "calm", 0.2)
	serving := servingClaim("quotes", 0.5, 1.8)
	w.addClaim(firstTask("s"), serving)
	for _, image := range []string{"calm", "loud"} {
		w.addClaim(firstTask(image), fillerClaim(image, 1000))
	}
	now := testStart.Add(throttleRaiseInterval)
	w.lastReport = now
	board.control(now)
	require.Len(t, board.effects.Throttles, 1)
	assert.Equal(t, "loud", board.effects.Throttles[0].Key.Job)
	assert.Less(t, board.effects.Throttles[0].Percent, 60)

	board.effects = Effects{}
	serving.latency, serving.tail.headroom, serving.tail.baseline.value = 40*time.Millisecond, 3.75, 3.75
	now = now.Add(throttleRaiseInterval)
	w.lastReport = now
	board.control(now)
	require.Len(t, board.effects.Throttles, 1)
	assert.Equal(t, unthrottled, board.effects.Throttles[0].Percent)
}

// Load pattern: every worker serves an image that a waiting filler interferes
// with. Such jobs must not starve while most capacity is free.
func TestInterferingFillerIsNotStarved(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.addClaim(firstTask("s"), servingClaim("quotes", 1.5, 1.5))
	setCoefficient(board, "quotes", "loud", 20)
	step := tasks(3, 1000)
	step.Filler, step.Image = true, "loud"
	board.AddJob(testJob("a", "plans", step), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts, "it would interfere")
	later := testStart.Add(starvationTimeout + time.Millisecond)
	assert.Len(t, board.Decide(later, true).Starts, 1, "one, so that the job makes progress")
}

// Guards against jobs of fillers that wait for good in a busy service: the estimates which
// exclude them from all workers are renewed only by fillers that run.
func TestInterferingFillerIsNotStarvedInABusyService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"w0", "w1", "w2"}[:rapid.IntRange(1, 3).Draw(t, "workers")]
		board := testBoard(ids...)
		for at, id := range ids {
			busy := servingClaim("quotes", 1.5, 1.5)
			busy.size.MilliCores = board.workers[id].Capacity.MilliCores * 9 / 10
			key := firstTask("s")
			key.Index = at
			board.workers[id].addClaim(key, busy)
		}
		setCoefficient(board, "quotes", "loud", rapid.Float64Range(5, maxCoefficient).Draw(t, "coefficient"))
		jobs := rapid.IntRange(1, 5).Draw(t, "jobs")
		for i := range jobs {
			step := tasks(3, 1000)
			step.Filler, step.Image = true, "loud"
			board.AddJob(testJob(strconv.Itoa(i), "plans", step), nil, false, testStart, testStart)
		}
		now, newest, started := testStart, testStart, 0
		for ; now.Before(testStart.Add(8 * busyStarvationTimeout)); now = now.Add(simulationStep) {
			for _, id := range ids {
				pollWithProgress(board, id, servingPercent, testTarget*2/3, now)
			}
			for range board.Decide(now, true).Starts {
				assert.Greater(t, now.Sub(newest), busyStarvationTimeout, "start %d interferes", started)
				newest = now
				started++
			}
		}
		assert.Equal(t, jobs, started, "one task of each job, as none ends")
	})
}

// Guards against a leader that searches all workers for each job of fillers that waits, in
// every decision: those that find none are tried again once in busyStarvationTimeout.
func TestSearchesForStarvingFillersAreFew(t *testing.T) {
	const periods = 4
	board := testBoard("w0")
	busy := servingClaim("quotes", 1.5, 1.5)
	busy.size.MilliCores = 7000
	board.workers["w0"].addClaim(firstTask("s"), busy)
	step := tasks(1, 9000) // more than there is
	step.Filler, step.Image = true, "loud"
	board.AddJob(testJob("a", "plans", step), nil, false, testStart, testStart)
	searches := 0
	for now := testStart; now.Before(testStart.Add(periods * busyStarvationTimeout)); now = now.Add(simulationStep) {
		pollWithProgress(board, "w0", servingPercent, testTarget*2/3, now)
		board.now = now
		board.measureUtilization()
		if board.starving("a", &board.jobs["a"].work.Steps[0]) {
			searches++
		}
		assert.Empty(t, board.Decide(now, true).Starts)
	}
	assert.Positive(t, searches)
	assert.LessOrEqual(t, searches, periods)
}

// The longest tail latency of a worker may come from its own load. Checking
// that serving task alone let a filler keep another one above its target for
// four seconds.
func TestEveryServingTaskIsChecked(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.addClaim(firstTask("own"), servingClaim("own", 0.2, 0.2))
	w.addClaim(firstTask("quotes"), servingClaim("quotes", 0.75, 2))
	w.addClaim(firstTask("loud"), fillerClaim("loud", 1000))
	setCoefficient(board, "quotes", "loud", 10)
	setCoefficient(board, "own", "loud", 0)
	now := testStart.Add(throttleRaiseInterval)
	w.lastReport = now
	board.control(now)
	require.Len(t, board.effects.Throttles, 1)
	assert.Less(t, board.effects.Throttles[0].Percent, unthrottled)
}

// If a tail latency stays above its target, or so near that the report can't
// tell, all fillers are halted in time, whatever their coefficients.
func TestLongOverTargetHaltsAllFillers(t *testing.T) {
	for name, headroom := range map[string]float64{
		"over":          0.75,
		"at its target": 1.02,
	} {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			w := board.workers["w0"]
			serving := servingClaim("quotes", headroom, 3)
			w.addClaim(firstTask("s"), serving)
			w.addClaim(firstTask("calm"), fillerClaim("calm", 1000))
			setCoefficient(board, "quotes", "calm", 0)
			row := RunningTask{
				Percent: servingPercent,
				Tail:    serving.latency,
			}
			board.observe(serving, row, testStart, testStart)
			now := testStart.Add(testConfig().MaxOverTarget / 2)
			w.lastReport = now
			board.control(now)
			assert.Empty(t, board.effects.Throttles, "its coefficient is zero")
			now = now.Add(throttleRaiseInterval)
			w.lastReport = now
			board.control(now)
			require.Len(t, board.effects.Throttles, 1)
			assert.Zero(t, board.effects.Throttles[0].Percent)
		})
	}
}

func TestLearnedIsRestored(t *testing.T) {
	board := testBoard("w0")
	setCoefficient(board, "quotes", "loud", 9)
	setCoefficient(board, "stock", "calm", 0.5)
	board.interference.meanBaseline["quotes"] = 3
	board.estimates.factors["plans"] = 1.4
	board.estimates.work["plans"] = 20000
	successor := testBoard("w0")
	successor.RestoreLearned(board.Learned(), testStart)
	assert.Equal(t, board.Learned(), successor.Learned())
}
