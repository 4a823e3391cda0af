package dispatch

import (
	"fmt"
	"testing"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/job"
)

// benchPlanner is a planner with workers of 32 cores that have reported and
// with running tasks spread evenly over them.
func benchPlanner(workers, tasks int) *Planner {
	planner := NewPlanner(PlannerConfig{
		Zone:  testZone,
		Lease: 8 * time.Second,
	})
	now := time.Unix(1000, 0)
	planner.SetState(testState())
	var entries []Entry
	for i := range workers {
		entries = append(entries, Entry{
			ID:    fmt.Sprintf("w%03d", i),
			Zone:  testZone,
			Rack:  fmt.Sprint(i / 8),
			Total: cores(32),
		})
	}
	planner.SetWorkers(entries, now)
	planner.Begin(1, now)
	inventories := make(map[string]worker.Inventory, workers)
	for i := range tasks {
		id := fmt.Sprintf("job%05d", i)
		workerID := entries[i%workers].ID
		record := benchRecord(id, now)
		record, _ = record.Commit(job.Placement{
			Worker: workerID,
			Boot:   "boot",
			Zone:   testZone,
			Epoch:  1,
			Size:   worker.Size{MilliCores: 500, MemoryBytes: 1e8},
		}, now)
		record = record.Started()
		planner.Load(record, int64(i+1), now)
		inventory := inventories[workerID]
		inventory.Tasks = append(inventory.Tasks, worker.Task{
			Attempt:   record.AttemptID(1),
			State:     worker.TaskRunning,
			Committed: record.Open().Size,
		})
		inventories[workerID] = inventory
	}
	for _, entry := range entries {
		inventory := inventories[entry.ID]
		inventory.Boot, inventory.Epoch, inventory.Total, inventory.ClockMS = "boot", 1, cores(32), 1
		planner.Inventory(entry.ID, inventory, now)
	}
	planner.Flush()
	return planner
}

func benchRecord(id string, now time.Time) *job.Record {
	return &job.Record{
		ID:          id,
		Customer:    "c",
		Class:       "stock",
		Size:        worker.Size{MilliCores: 100, MemoryBytes: 1e7},
		Zone:        testZone,
		State:       job.Accepted,
		SubmittedAt: now,
	}
}

// BenchmarkPlacement measures placing one job. The capacity page derives
// from these sizes how the time grows with the zone.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{50, 800}, {200, 3200}, {640, 10000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			planner := benchPlanner(size.workers, size.tasks)
			now := time.Unix(1000, 0)
			b.ResetTimer()
			b.ReportAllocs()
			for i := range b.N {
				view := &jobView{
					record:   benchRecord(fmt.Sprintf("new%d", i), now),
					revision: int64(1e6 + i),
				}
				placed := planner.placeJob(candidate{
					view: view,
					rank: rankBatch,
				}, view.record.Size, now)
				if !placed {
					b.Fatal("no worker has enough free capacity")
				}
				planner.releaseHold(view)
				planner.effects = Effects{}
			}
		})
	}
}

// BenchmarkTick measures a tick that causes no effects.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{50, 800}, {200, 3200}, {640, 10000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			planner := benchPlanner(size.workers, size.tasks)
			now := time.Unix(1000, 0)
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				planner.Tick(TickInput{
					Now:         now,
					PermitUntil: now.Add(time.Second),
					StoreUp:     true,
				})
			}
		})
	}
}
