package schedule

import (
	"fmt"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// crowdedBoard returns an overloaded board of 48 workers.
func crowdedBoard() *Board {
	return overloadedBoard(48, 250)
}

// overloadedBoard returns a board with jobs of 12 tasks, fillers and others, that
// ask for far more than the capacity.
func overloadedBoard(workers, jobs int) *Board {
	ids := make([]string, workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%02d", i)
	}
	board := testBoard(ids...)
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
		board.AddJob(testJob(fmt.Sprintf("%016d", i), queue, step), nil, false, testStart, testStart)
	}
	accept(board, board.Decide(testStart, true), testStart)
	return board
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
		workers, jobs int
	}{
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
			board := overloadedBoard(size.workers, size.jobs)
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

// BenchmarkDecideMixedFleet decides for a large fleet with jobs of many sizes from
// several zones, most of which have missed their objective.
func BenchmarkDecideMixedFleet(b *testing.B) {
	board := overloadedBoard(1100, 1200)
	for i := range 400 {
		step := work.Step{
			Count: 12,
			Size: worker.Size{
				MilliCores:  int64(500 * (1 + i%15)),
				MemoryBytes: 1 << 20,
			},
			Estimate: time.Second,
		}
		spec := testJob(fmt.Sprintf("m%015d", i), "plans", step)
		spec.EntryZone = fmt.Sprintf("zone%d", i%4)
		board.AddJob(spec, nil, false, testStart, testStart)
	}
	now := testStart.Add(4 * time.Second)
	for id := range board.workers {
		poll(board, id, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		board.LimitStarts(64)
		board.Decide(now, true)
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
