package schedule

import (
	"fmt"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// crowdedBoard returns an overloaded board of 48 workers.
func crowdedBoard() *Board {
	return overloadedBoard(48, 250, 0)
}

// overloadedBoard returns a board with jobs of 12 tasks, fillers and others, that
// ask for far more than the capacity.
// The jobs belong to organisations in turn, of which one in ten has a limit that
// it reaches.
func overloadedBoard(workers, jobs, organisations int) *Board {
	ids := make([]string, workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%02d", i)
	}
	board := testBoard(ids...)
	board.SetCatalog(manyOrganisations(organisations))
	for i := range jobs {
		step := work.Step{
			Count: 12,
			Size: worker.Size{
				MilliCores:  2500,
				MemoryBytes: 1 << 20,
			},
			Estimate:    2 * time.Second,
			Checkpoints: true,
			Filler:      i%2 == 0,
			Image:       fmt.Sprintf("image%d", i%9),
		}
		queue := "plans"
		switch i % 10 {
		case 1:
			queue = "quotes"
		case 3:
			queue, step.LongRunning, step.TailTarget = "quotes", true, time.Second
		}
		job := testJob(fmt.Sprintf("%016d", i), queue, step)
		if organisations > 0 {
			job.Organisation = fmt.Sprintf("o%03d", i%organisations)
		}
		board.AddJob(job, nil, false, testStart, testStart)
	}
	accept(board, board.Decide(testStart, true), testStart)
	return board
}

func manyOrganisations(count int) *catalog.Catalog {
	out := testCatalog()
	out.Organisations = map[string]catalog.Organisation{}
	for i := range count {
		organisation := catalog.Organisation{
			Name:   fmt.Sprintf("o%03d", i),
			Weight: float64(1 + i%4),
		}
		if i%10 == 0 {
			organisation.Limit.MilliCores = 5000
		}
		out.Organisations[organisation.Name] = organisation
	}
	return out
}

func BenchmarkDecideCrowded(b *testing.B) {
	board := crowdedBoard()
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		board.Decide(now, true)
	}
}

// BenchmarkDecideFleet compares a decision of one leader of a large fleet, in
// which some 16,000 tasks wait, with that of one of its seven shards.
func BenchmarkDecideFleet(b *testing.B) {
	for name, size := range map[string]struct {
		workers, jobs, organisations int
	}{
		"350 workers": {
			workers: 350,
			jobs:    1450,
		},
		"350 workers, 380 organisations": {
			workers:       350,
			jobs:          1450,
			organisations: 380,
		},
		"whole, 1100 workers": {
			workers: 1100,
			jobs:    1600,
		},
		"shard, 157 workers": {
			workers: 157,
			jobs:    229,
		},
	} {
		b.Run(name, func(b *testing.B) {
			board := overloadedBoard(size.workers, size.jobs, size.organisations)
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				board.LimitStarts(64)
				board.Decide(now, true)
			}
		})
	}
}

// BenchmarkApplyReport applies one worker's report to an overloaded board.
func BenchmarkApplyReport(b *testing.B) {
	board := crowdedBoard()
	b.ReportAllocs()
	for b.Loop() {
		poll(board, "w00", testStart)
	}
}

// BenchmarkDecideContended times a decision of the leader of 350 workers that
// long-running tasks fill, while quick tasks wait for capacity.
func BenchmarkDecideContended(b *testing.B) {
	for name, notice := range map[string]time.Duration{
		"with preemptions":    replayNotice,
		"without preemptions": 0,
	} {
		b.Run(name, func(b *testing.B) {
			r := newReplay(b, 350, 1)
			r.board.config.Notice = notice
			r.run(2*time.Second, 14.3)
			r.addLongRunning(0.97, 2)
			r.run(10*time.Second, 14.3)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				if i%4 == 0 {
					r.addQuick()
				}
				r.deliver()
				b.StartTimer()
				effects := r.board.Decide(r.now, true)
				b.StopTimer()
				r.carryOut(effects)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkDecideRacks times a decision of a leader whose jobs all want the rack
// of their data, half of them the same one.
func BenchmarkDecideRacks(b *testing.B) {
	for name, factor := range map[string]float64{
		"no waits": 0,
		"waits":    2,
	} {
		b.Run(name, func(b *testing.B) {
			board := rackBenchBoard(factor)
			now := testStart.Add(rackBenchTime)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				board.LimitStarts(64)
				board.Decide(now, true)
			}
			b.ReportMetric(float64(board.placement.counts.Waiting), "waits")
		})
	}
}

// rackBenchTime is when the second jobs of rackBenchBoard arrive.
const rackBenchTime = 1500 * time.Millisecond

// rackBenchBoard returns a board of 350 workers on 30 racks, of which the first is
// full when more jobs arrive that want it.
func rackBenchBoard(factor float64) *Board {
	const workers, racks, first, all = 350, 30, 100, 160
	config := testConfig()
	config.RemoteFactor = factor
	board := NewBoard(config)
	board.SetCatalog(testCatalog())
	board.Begin(testToken, testStart)
	listings := map[string]Listing{}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		listings[id] = Listing{
			ID:      id,
			Address: testAddress(i),
			Zone:    "recife",
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 64000,
			},
			Rack: fmt.Sprintf("r%02d", i%racks),
			Born: testBorn,
		}
	}
	board.SetWorkers(listings, true, testStart)
	for id := range listings {
		poll(board, id, testStart)
	}
	now := testStart
	for i := range all {
		if i == first {
			accept(board, board.Decide(now, true), now)
			now = now.Add(rackBenchTime)
		}
		rack := "r00"
		if i < first && i%2 == 0 {
			rack = fmt.Sprintf("r%02d", i/2%racks)
		}
		step := tasks(12, 7000)
		step.Rack, step.Estimate = rack, 2*time.Second
		board.AddJob(testJob(fmt.Sprintf("%016d", i), "plans", step), nil, false, now, now)
	}
	accept(board, board.Decide(now, true), now)
	return board
}
