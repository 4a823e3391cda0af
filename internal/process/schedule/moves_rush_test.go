package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Figures of the rush: those of a fleet of 1,100 workers in three shards, with a
// tenth of the workers, each ten times as large.
const (
	rushShards  = 3
	rushJobs    = 400
	rushWorkers = 37
	rushCores   = 370 * 1000
	rushStep    = 10 * time.Millisecond
	rushLength  = 1500 * time.Millisecond
	// rushBooked is the part of the capacity that all jobs ask for.
	rushBooked = 0.75
)

// rushFleet is three boards that pass jobs to each other, as leaders do, in virtual
// time.
type rushFleet struct {
	random *rand.Rand
	now    time.Time
	boards []*Board
	rounds []*shard.Rounds
	// seen holds the newest load of each shard that each board knows.
	seen []map[int]map[string]shard.Load
	// due holds what is to happen, in order of time.
	due []rushEvent
	// apart makes each leader decide on its newest load as soon as it publishes, as
	// they did before they had rounds.
	apart bool
	moves int
}

type rushEvent struct {
	at     time.Time
	happen func()
}

func newRushFleet(seed uint64, apart bool) *rushFleet {
	fleet := &rushFleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    testStart,
		apart:  apart,
	}
	for number := range rushShards {
		ids := make([]string, rushWorkers)
		for i := range ids {
			ids[i] = fmt.Sprintf("w%d-%d", number, i)
		}
		board := testBoard(ids...)
		for _, w := range board.workers {
			w.Capacity.MilliCores = rushCores
		}
		board.config.HoldsLongRunning = true
		fleet.boards = append(fleet.boards, board)
		fleet.rounds = append(fleet.rounds, &shard.Rounds{
			Own:    number,
			Shards: rushShards,
		})
		fleet.seen = append(fleet.seen, map[int]map[string]shard.Load{})
		// Leaders begin at times of their own.
		fleet.rounds[number].Published(nil, fleet.now.Add(-fleet.between(0, shard.RoundInterval)))
	}
	return fleet
}

func (f *rushFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)+1))
}

func (f *rushFleet) after(wait time.Duration, happen func()) {
	f.due = append(f.due, rushEvent{
		at:     f.now.Add(wait),
		happen: happen,
	})
}

// submit submits the jobs at random times, each to a random shard. Their tasks
// differ in number and size as those of the large site do.
func (f *rushFleet) submit() {
	asked := 0.0
	specs := make([]*work.Job, rushJobs)
	for i := range specs {
		count := 2 + f.random.IntN(31)
		step := tasks(count, 1000+f.random.Int64N(9000))
		step.LongRunning = true
		specs[i] = testJob(fmt.Sprintf("j%03d", i), "plans", step)
		asked += float64(int64(count) * step.Size.MilliCores)
	}
	factor := rushBooked * rushShards * rushWorkers * rushCores / asked
	for _, spec := range specs {
		spec.Steps[0].Size.MilliCores = int64(float64(spec.Steps[0].Size.MilliCores) * factor)
		number := f.random.IntN(rushShards)
		f.after(f.between(0, rushLength), func() {
			f.boards[number].AddJob(spec, nil, false, f.now, f.now)
		})
	}
}

func (f *rushFleet) publish(number int) {
	own := f.boards[number].Loads(f.now)
	f.rounds[number].Published(own, f.now)
	f.seen[number][number] = own
	// A write, and the pause between two reads of the loads.
	f.after(f.between(10*time.Millisecond, 60*time.Millisecond), func() {
		for other := range rushShards {
			if other == number {
				continue
			}
			f.after(f.between(0, 100*time.Millisecond), func() {
				f.seen[other][number] = own
				f.rounds[other].Received(number, f.now)
			})
		}
	})
}

// balance is a step of leader.moves.balance.
func (f *rushFleet) balance(number int) {
	rounds := f.rounds[number]
	due := rounds.PublishDue(f.now)
	if due {
		f.publish(number)
	}
	switch {
	case f.apart && due:
		f.send(number, f.now)
	case !f.apart && rounds.DecideDue(f.now):
		_, since := rounds.Decide()
		f.send(number, since)
	}
}

// send passes jobs on. The write takes a while, and the other leader sees the job
// later.
func (f *rushFleet) send(number int, since time.Time) {
	board, rounds := f.boards[number], f.rounds[number]
	loads := map[string]map[int]shard.Load{}
	for other, services := range f.seen[number] {
		for service, load := range services {
			if loads[service] == nil {
				loads[service] = map[int]shard.Load{}
			}
			if other != number && !f.apart {
				load = rounds.AddSent(other, service, load)
			}
			loads[service][other] = load
		}
	}
	for _, move := range board.MovesSince(number, loads, since, f.now) {
		f.moves++
		transit := &shard.Transit{
			To:          move.To,
			Service:     move.Service,
			MilliCores:  move.MilliCores,
			LongRunning: true,
		}
		rounds.Sent(transit)
		f.after(f.between(20*time.Millisecond, 80*time.Millisecond), func() {
			board.Departed(move.Job.ID)
			rounds.Arrived(transit, f.now)
			f.after(f.between(0, 50*time.Millisecond), func() {
				f.boards[move.To].AddJob(move.Job, nil, false, f.now, f.now)
				f.boards[move.To].Arrived(move.Job.ID)
			})
		})
	}
}

func (f *rushFleet) run(during time.Duration) {
	for until := f.now.Add(during); f.now.Before(until); f.now = f.now.Add(rushStep) {
		for index := 0; index < len(f.due); index++ {
			if event := f.due[index]; !event.at.After(f.now) {
				f.due = append(f.due[:index], f.due[index+1:]...)
				index--
				event.happen()
			}
		}
		for number, board := range f.boards {
			for _, w := range board.workers {
				w.leaseEnd = f.now.Add(testLeaseTerm)
			}
			board.Confirmed(f.now)
			decideAndSave(board, f.now)
			accept(board, board.Decide(f.now, true), f.now)
			f.balance(number)
		}
	}
}

// booked returns the part of each shard's capacity that long-running tasks claim.
func (f *rushFleet) booked() []float64 {
	var out []float64
	for _, board := range f.boards {
		load := board.Loads(f.now)["workshop"]
		out = append(out, float64(load.Capacity-load.Free)/float64(load.Capacity))
	}
	return out
}

// Load pattern: the first rush of a fleet, in which hundreds of long-running jobs
// arrive within 1.5 s by hash, while loads are up to half a second old. What has
// started stays for the day: a shard that is nearly full has no room for a task
// that fails, while the next one has thousands of cores. A shard passes on what it
// has above the mean by more than 0.01 of its capacity, so that two of three may be
// that much above it and the third twice that below. Jobs are not divided: the last
// one may exceed what a shard lacks by half of its size, of at most 0.02.
func TestLongRunningJobsOfARushAreSpreadEvenly(t *testing.T) {
	t.Parallel()
	const largestJob = 0.02
	const most = 3*0.01 + largestJob/2
	uneven := 0
	for seed := range uint64(16) {
		spread := func(apart bool) float64 {
			fleet := newRushFleet(seed, apart)
			fleet.run(time.Second)
			fleet.submit()
			fleet.run(4 * time.Second)
			booked := fleet.booked()
			t.Logf("seed %d, apart %v: booked %.3f, %d moves", seed, apart, booked, fleet.moves)
			total := booked[0] + booked[1] + booked[2]
			require.InDelta(t, rushBooked*rushShards, total, 0.02, "all jobs have started")
			return max(booked[0], booked[1], booked[2]) - min(booked[0], booked[1], booked[2])
		}
		assert.LessOrEqual(t, spread(false), most, "seed %d", seed)
		if spread(true) > most {
			uneven++
		}
	}
	assert.Positive(t, uneven, "the load pattern does not need rounds")
}
