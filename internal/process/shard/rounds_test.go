package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var roundStart = time.Unix(1000, 0)

// Leaders that compare loads of different times find a surplus in every shard of a
// fleet that fills: a round has to begin at the same time for all.
func TestRoundBeginsWithTheFirstLeader(t *testing.T) {
	for name, test := range map[string]struct {
		// received is when the load of another shard came, after the last round began.
		received []time.Duration
		after    time.Duration
		want     bool
	}{
		"too early": {
			after: RoundInterval - 1,
		},
		"interval over": {
			after: RoundInterval,
			want:  true,
		},
		"load of the same round": {
			received: []time.Duration{RoundInterval/2 - 1},
			after:    RoundInterval - 1,
		},
		"load of the next round": {
			received: []time.Duration{RoundInterval / 2},
			after:    RoundInterval / 2,
			want:     true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			rounds := &Rounds{
				Shards: 3,
			}
			rounds.Published(nil, roundStart)
			for index, at := range test.received {
				rounds.Received(index+1, roundStart.Add(at))
			}
			assert.Equal(t, test.want, rounds.PublishDue(roundStart.Add(test.after)))
		})
	}
}

// A decision on a load of an earlier round lets jobs start that the other shard
// should have had; one that never comes must not keep all others from moving.
func TestDecisionWaitsForTheLoadsOfItsRound(t *testing.T) {
	for name, test := range map[string]struct {
		// received is when the loads of shards 1 and 2 came, after the round began;
		// none has come if it is zero.
		received [2]time.Duration
		after    time.Duration
		want     bool
		// since is what jobs have to be known for, after the round began; nothing is
		// enough if it is zero.
		since time.Duration
	}{
		"none has come": {
			after: RoundInterval/2 - 1,
		},
		"one has come": {
			received: [2]time.Duration{time.Millisecond},
			after:    RoundInterval/2 - 1,
		},
		"one is of the round before": {
			received: [2]time.Duration{time.Millisecond, -RoundInterval / 2},
			after:    RoundInterval/2 - 1,
		},
		"both have come": {
			received: [2]time.Duration{-time.Millisecond, time.Millisecond},
			after:    time.Millisecond,
			want:     true,
			since:    -time.Millisecond - loadDelay,
		},
		"one has not come in time": {
			received: [2]time.Duration{time.Millisecond},
			after:    RoundInterval / 2,
			want:     true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			rounds := &Rounds{
				Shards: 3,
			}
			for index, at := range test.received {
				if at < 0 {
					rounds.Received(index+1, roundStart.Add(at))
				}
			}
			rounds.Published(nil, roundStart)
			for index, at := range test.received {
				if at > 0 {
					rounds.Received(index+1, roundStart.Add(at))
				}
			}
			assert.Equal(t, test.want, rounds.DecideDue(roundStart.Add(test.after)))
			if !test.want {
				return
			}
			_, since := rounds.Decide()
			if test.since == 0 {
				assert.Zero(t, since)
			} else {
				assert.Equal(t, roundStart.Add(test.since), since)
			}
			assert.False(t, rounds.DecideDue(roundStart.Add(test.after)), "a round has one decision")
		})
	}
}

// What is on its way belongs to the target, or the next round sends it there again.
func TestWorkOnItsWayCounts(t *testing.T) {
	rounds := &Rounds{
		Shards: 2,
	}
	load := Load{
		Capacity: 1000,
		Waiting:  10,
	}
	sent, kept := &Transit{
		To:          1,
		Service:     "workshop",
		MilliCores:  100,
		LongRunning: true,
	}, &Transit{
		To:         1,
		Service:    "workshop",
		MilliCores: 50,
		Filler:     true,
	}
	rounds.Sent(sent)
	rounds.Sent(kept)
	assert.Equal(t, Load{
		Capacity:       1000,
		Waiting:        110,
		WaitingFillers: 50,
		LongRunning:    100,
	}, rounds.AddSent(1, "workshop", load))
	assert.Equal(t, load, rounds.AddSent(0, "workshop", load))
	assert.Equal(t, load, rounds.AddSent(1, "another", load))
	rounds.Returned(kept)
	rounds.Received(1, roundStart)
	assert.Equal(t, int64(100), rounds.AddSent(1, "workshop", load).LongRunning, "the move is not made")
	rounds.Arrived(sent, roundStart)
	rounds.Received(1, roundStart.Add(2*loadDelay-1))
	assert.Equal(t, int64(100), rounds.AddSent(1, "workshop", load).LongRunning, "the load may be older than the move")
	rounds.Received(1, roundStart.Add(2*loadDelay))
	assert.Equal(t, load, rounds.AddSent(1, "workshop", load))
}

// Long-running work stays where it is put, so that a smaller difference counts, and
// quick tasks do not.
func TestLongRunningBudgets(t *testing.T) {
	loads := map[int]Load{
		0: {
			Capacity:    1000,
			LongRunning: 520,
		},
		1: {
			Capacity:    1000,
			Free:        1000,
			LongRunning: 500,
		},
		2: {
			Capacity:    1000,
			LongRunning: 480,
		},
	}
	assert.Equal(t, map[int]int64{2: 20}, LongRunningBudgets(loads, 0))
	assert.Nil(t, LongRunningBudgets(loads, 1))
	assert.Nil(t, LongRunningBudgets(loads, 2))
}
