package schedule

import (
	"fmt"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// crowdedBoard returns an overloaded board: 48 workers and 250 jobs, fillers
// and others, that ask for far more than the capacity.
func crowdedBoard() *Board {
	ids := make([]string, 48)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%02d", i)
	}
	board := testBoard(ids...)
	for i := range 250 {
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

// BenchmarkApplyReport applies one worker's report to an overloaded board.
func BenchmarkApplyReport(b *testing.B) {
	board := crowdedBoard()
	b.ReportAllocs()
	for b.Loop() {
		poll(board, "w00", testStart)
	}
}
