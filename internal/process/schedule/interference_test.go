package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testTarget = 150 * time.Millisecond

// setPress makes a pair known for certain.
func setPress(board *Board, serving, filler string, press float64) {
	board.interference.presses[pair{
		serving: serving,
		filler:  filler,
	}] = &belief{
		value: press,
	}
}

// servingClaim is a serving task that had the headroom for as long as it was
// looked at, with the part of it that fillers did not take.
func servingClaim(image string, headroom, own float64) *claim {
	return &claim{
		serving:  true,
		sure:     true,
		image:    image,
		target:   testTarget,
		latency:  time.Duration(float64(testTarget) / headroom),
		progress: servingPercent,
		tail: tail{
			headroom: headroom,
			own: belief{
				value: own,
				at:    testBegun,
			},
		},
	}
}

func fillerClaim(image string, milliCores int64) *claim {
	return &claim{
		filler:  true,
		sure:    true,
		image:   image,
		percent: fullPace,
		wants:   milliCores,
		inUse:   milliCores,
	}
}

// Load pattern: two filler images come and go beside a serving task whose own
// load swings by half; one of them takes ten times what the other takes, and
// that comes and goes as well.
func TestBadPairIsFoundBesideASwingingLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)) //nolint:gosec // a simulated load
		calm := rapid.Float64Range(0, 0.8).Draw(t, "calm")
		loud := rapid.Float64Range(6, 12).Draw(t, "loud")
		model := newInterference()
		tails := make([]tail, 6)
		now := testBegun
		const looks, period = 120, 20.0
		for range looks {
			now = now.Add(400 * time.Millisecond)
			for i := range tails {
				shares := []share{}
				for _, image := range []string{"calm", "loud"} {
					if random.IntN(3) == 0 {
						shares = append(shares, share{
							image: image,
							part:  0.05 + 0.1*random.Float64(),
						})
					}
				}
				angle := 2 * math.Pi * (now.Sub(testBegun).Seconds()/period + float64(i)/float64(len(tails)))
				headroom := 3 + 1.4*math.Sin(angle)
				for _, one := range shares {
					press := calm
					if one.image == "loud" {
						press = loud * 2 * random.Float64()
					}
					headroom -= press * one.part
				}
				headroom *= 1 + 0.05*random.NormFloat64()
				model.learn(&tails[i], "quotes", max(0.1, headroom), shares, now)
			}
		}
		assert.InDelta(t, calm, model.press("quotes", "calm"), 1.8)
		assert.Greater(t, model.press("quotes", "loud"), 0.5*loud)
		assert.Greater(t, model.press("quotes", "loud"), 2*model.press("quotes", "calm"))
	})
}

// Load pattern: a serving image's own load swings its tail up to the target
// beside a filler that stays.
func TestOwnLoadIsNotHeldAgainstFillers(t *testing.T) {
	model := newInterference()
	one := tail{}
	now := testBegun
	for i := range 200 {
		now = now.Add(400 * time.Millisecond)
		headroom := 3 + 1.8*math.Sin(2*math.Pi*float64(i)/50)
		model.learn(&one, "quotes", headroom, []share{{
			image: "calm",
			part:  0.1,
		}}, now)
	}
	assert.Less(t, model.press("quotes", "calm"), 2*firstPress)
}

// Load pattern: a filler that took most of a tail's headroom does so no more.
func TestChangedPairIsLearnedAnew(t *testing.T) {
	board := testBoard("w0")
	setPress(board, "quotes", "loud", 10)
	one := tail{}
	now := testBegun
	for i := range 300 {
		now = now.Add(400 * time.Millisecond)
		part := 0.1 * float64(i%2)
		board.interference.learn(&one, "quotes", 2.5, []share{{
			image: "loud",
			part:  part,
		}}, now)
	}
	assert.Less(t, board.interference.press("quotes", "loud"), 2.0, "it gets another chance within two minutes")
}

// Only the filler that presses is slowed, by as much as is needed, and it is let
// go when the tail is short again.
func TestOnlyTheLoudFillerIsSlowed(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	setPress(board, "quotes", "loud", 10)
	setPress(board, "quotes", "calm", 0.2)
	serving := servingClaim("quotes", 0.5, 1.8)
	w.book(firstTask("s"), serving)
	for _, image := range []string{"calm", "loud"} {
		w.book(firstTask(image), fillerClaim(image, 1000))
	}
	now := testBegun.Add(paceInterval)
	w.heard = now
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Equal(t, "loud", board.effects.Paces[0].Key.Job)
	assert.Less(t, board.effects.Paces[0].Percent, 60)

	board.effects = Effects{}
	serving.latency, serving.tail.headroom, serving.tail.own.value = 40*time.Millisecond, 3.75, 3.75
	now = now.Add(paceInterval)
	w.heard = now
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Equal(t, fullPace, board.effects.Paces[0].Percent)
}

// Load pattern: every worker serves an image that a waiting filler disturbs.
// Found by a hunt: such jobs had nothing running although most room was free.
func TestLoudFillerIsNotKeptWaitingForEver(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.book(firstTask("s"), servingClaim("quotes", 1.5, 1.5))
	setPress(board, "quotes", "loud", 20)
	step := tasks(3, 1000)
	step.Filler, step.Image = true, "loud"
	board.AddJob(testJob("a", "plans", step), nil, false, testBegun, testBegun)
	assert.Empty(t, board.Decide(testBegun, true).Starts, "it would disturb")
	later := testBegun.Add(fillerPatience + time.Millisecond)
	assert.Len(t, board.Decide(later, true).Starts, 1, "one, so that the job goes on")
}

// Found by a score: the longest tail of a worker was its own load's doing, and a
// filler kept another one above its target for four seconds.
func TestEveryTailIsLookedAt(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.book(firstTask("own"), servingClaim("own", 0.2, 0.2))
	w.book(firstTask("quotes"), servingClaim("quotes", 0.75, 2))
	w.book(firstTask("loud"), fillerClaim("loud", 1000))
	setPress(board, "quotes", "loud", 10)
	setPress(board, "own", "loud", 0)
	now := testBegun.Add(paceInterval)
	w.heard = now
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Less(t, board.effects.Paces[0].Percent, fullPace)
}

// Whoever is to blame: a tail that stays over its target, or so near that its
// figure cannot tell, ends all fillers' work in time.
func TestLongHarmEndsAllFillers(t *testing.T) {
	for name, headroom := range map[string]float64{
		"over":          0.75,
		"at its target": 1.02,
	} {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			w := board.workers["w0"]
			serving := servingClaim("quotes", headroom, 3)
			w.book(firstTask("s"), serving)
			w.book(firstTask("calm"), fillerClaim("calm", 1000))
			setPress(board, "quotes", "calm", 0)
			row := RunningTask{
				Percent: servingPercent,
				Tail:    serving.latency,
			}
			board.observe(serving, row, testBegun, testBegun)
			now := testBegun.Add(testConfig().HarmTerm / 2)
			w.heard = now
			board.control(now)
			assert.Empty(t, board.effects.Paces, "it is known as harmless")
			now = now.Add(paceInterval)
			w.heard = now
			board.control(now)
			require.Len(t, board.effects.Paces, 1)
			assert.Zero(t, board.effects.Paces[0].Percent)
		})
	}
}

func TestLearnedIsRecalled(t *testing.T) {
	board := testBoard("w0")
	setPress(board, "quotes", "loud", 9)
	setPress(board, "stock", "calm", 0.5)
	board.interference.typical["quotes"] = 3
	board.estimates.factors["plans"] = 1.4
	board.estimates.work["plans"] = 20000
	heir := testBoard("w0")
	heir.Recall(board.Learned(), testBegun)
	assert.Equal(t, board.Learned(), heir.Learned())
}
