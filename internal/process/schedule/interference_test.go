package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTarget = 150 * time.Millisecond

// Load pattern: one filler image in several makes the tail of one serving image
// ten times as long; figures come from all workers, each with its own mix.
func TestBadPairIsFound(t *testing.T) {
	model := newInterference()
	for i := range 40 {
		shares := map[string]float64{
			"calm": 0.12,
		}
		tail := 50 * time.Millisecond
		if i%2 == 0 {
			shares["loud"] = 0.1
			tail = 900 * time.Millisecond
		}
		model.learn("quotes", tail, testTarget, shares)
		model.learn("stock", 60*time.Millisecond, testTarget, shares)
	}
	assert.Greater(t, model.pressure("quotes", map[string]float64{"loud": 0.1}), mostClash, "it is kept apart")
	assert.Less(t, model.press[pair{
		serving: "stock",
		filler:  "loud",
	}], 0.1)
	assert.True(t, model.harmless("stock", "calm"))
	assert.False(t, model.harmless("quotes", "loud"))
}

// Load pattern: a serving image's own load swings its tail up to the target.
func TestOwnLoadIsNotHeldAgainstFillers(t *testing.T) {
	model := newInterference()
	for range 100 {
		model.learn("quotes", 110*time.Millisecond, testTarget, map[string]float64{"calm": 0.1})
	}
	assert.Zero(t, model.press[pair{
		serving: "quotes",
		filler:  "calm",
	}])
}

func TestBadPairFades(t *testing.T) {
	model := newInterference()
	model.press[pair{
		serving: "quotes",
		filler:  "loud",
	}] = 10
	now := testBegun
	for range 120 {
		now = now.Add(fadeInterval)
		model.fade(now)
	}
	assert.Less(t, model.press[pair{
		serving: "quotes",
		filler:  "loud",
	}], 2.0, "it gets another chance within two minutes")
}

// Only the filler that presses is slowed, and it is let go when the tail is
// short again.
func TestOnlyTheLoudFillerIsSlowed(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	serving := &claim{
		serving:  true,
		sure:     true,
		image:    "quotes",
		target:   testTarget,
		tail:     300 * time.Millisecond,
		progress: servingPercent,
	}
	w.book(firstTask("s"), serving)
	for _, image := range []string{"calm", "loud"} {
		w.book(firstTask(image), &claim{
			filler:  true,
			sure:    true,
			image:   image,
			percent: fullPace,
			wants:   1000,
			inUse:   1000,
		})
	}
	board.interference.press[pair{
		serving: "quotes",
		filler:  "loud",
	}] = 10
	now := testBegun.Add(paceInterval)
	w.heard = now
	w.paced = testBegun.Add(-time.Second)
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Equal(t, "loud", board.effects.Paces[0].Key.Job)
	assert.Zero(t, board.effects.Paces[0].Percent)

	board.effects = Effects{}
	serving.tail = 40 * time.Millisecond
	board.interference.press = map[pair]float64{}
	now = now.Add(paceInterval)
	w.heard = now.Add(time.Millisecond)
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Equal(t, paceStep, board.effects.Paces[0].Percent)
}

// Load pattern: every worker serves an image that a waiting filler disturbs.
// Found by a hunt: such jobs had nothing running although most room was free.
func TestLoudFillerIsNotKeptWaitingForEver(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.book(firstTask("s"), &claim{
		serving: true,
		sure:    true,
		image:   "quotes",
		target:  testTarget,
	})
	board.interference.press[pair{
		serving: "quotes",
		filler:  "loud",
	}] = 20
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
	for image, tail := range map[string]time.Duration{"own": 900 * time.Millisecond, "quotes": 200 * time.Millisecond} {
		w.book(firstTask(image), &claim{
			serving:  true,
			sure:     true,
			image:    image,
			target:   testTarget,
			tail:     tail,
			progress: servingPercent,
		})
	}
	w.book(firstTask("loud"), &claim{
		filler:  true,
		sure:    true,
		image:   "loud",
		percent: fullPace,
		wants:   1000,
		inUse:   1000,
	})
	board.interference.press[pair{
		serving: "quotes",
		filler:  "loud",
	}] = 10
	board.interference.seen[pair{
		serving: "own",
		filler:  "loud",
	}] = 2 * enoughSeen
	now := testBegun.Add(paceInterval)
	w.heard, w.paced = now, testBegun.Add(-time.Second)
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Zero(t, board.effects.Paces[0].Percent)
}

// Whoever is to blame: a tail that stays over its target ends all fillers' work
// in time.
func TestLongHarmEndsAllFillers(t *testing.T) {
	board := testBoard("w0")
	w := board.workers["w0"]
	w.book(firstTask("s"), &claim{
		serving:  true,
		sure:     true,
		image:    "quotes",
		target:   testTarget,
		tail:     200 * time.Millisecond,
		over:     testBegun,
		progress: servingPercent,
	})
	w.book(firstTask("calm"), &claim{
		filler:  true,
		sure:    true,
		image:   "calm",
		percent: fullPace,
	})
	board.interference.seen[pair{
		serving: "quotes",
		filler:  "calm",
	}] = 2 * enoughSeen
	now := testBegun.Add(testConfig().HarmTerm / 2)
	w.heard, w.paced = now, testBegun
	board.control(now)
	assert.Empty(t, board.effects.Paces, "it is known as harmless")
	now = now.Add(paceInterval)
	w.heard = now
	board.control(now)
	require.Len(t, board.effects.Paces, 1)
	assert.Zero(t, board.effects.Paces[0].Percent)
}
