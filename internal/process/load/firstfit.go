package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/standin"
)

// firstFitScheduler is the baseline: it starts each job on the first worker
// with enough free capacity and takes declared sizes as correct.
type firstFitScheduler struct {
	client  *worker.Client
	workers []firstFitWorker
	next    int
	done    int
}

// firstFitWorker is a worker with the capacity that the baseline has left on
// it. boot and clock, in milliseconds, are those of its newest inventory.
type firstFitWorker struct {
	address netip.AddrPort
	free    worker.Size
	total   worker.Size
	boot    string
	clock   int64
	running map[string]worker.Size
}

// baselineEpoch is higher than the epochs of the site's own dispatchers, so
// that workers refuse those while the baseline runs.
const baselineEpoch = 1 << 40

// firstFit runs the baseline on the same workers for the given time and returns
// the number of jobs done.
func (s *Site) firstFit(spec func(i int) JobSpec, length time.Duration) int {
	var discoveryList map[string]struct {
		ID      string         `json:"id"`
		Address netip.AddrPort `json:"address"`
		Total   worker.Size    `json:"total"`
	}
	if _, err := s.exchange(http.MethodGet, "http://"+s.Admin+"/list", nil, nil, &discoveryList); err != nil {
		panic(err)
	}
	scheduler := &firstFitScheduler{
		client: worker.NewClient(worker.ClientConfig{
			Timeout: time.Second,
		}),
	}
	for key, entry := range discoveryList {
		if strings.HasPrefix(key, "workers/") {
			scheduler.workers = append(scheduler.workers, firstFitWorker{
				address: entry.Address,
				free:    entry.Total,
				total:   entry.Total,
				running: map[string]worker.Size{},
			})
		}
	}
	slices.SortFunc(scheduler.workers, func(a, b firstFitWorker) int { return a.address.Compare(b.address) })
	for deadline := time.Now().Add(length); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		scheduler.collectResults()
		scheduler.placeJobs(spec)
	}
	return scheduler.done
}

// collectResults renews the leases of running attempts and frees the capacity
// of those that have ended.
func (f *firstFitScheduler) collectResults() {
	for i := range f.workers {
		target := &f.workers[i]
		heartbeat := worker.Heartbeat{
			Epoch:       baselineEpoch,
			Boot:        target.boot,
			SeenClockMS: target.clock,
			TermMS:      10000,
		}
		for attempt := range target.running {
			heartbeat.Extend = append(heartbeat.Extend, attempt)
		}
		inventory, err := f.client.Heartbeat(context.Background(), target.address, heartbeat)
		if err != nil {
			continue
		}
		target.boot, target.clock = inventory.Boot, inventory.ClockMS
		for _, task := range inventory.Tasks {
			size, known := target.running[task.Attempt]
			if !known || !task.State.Final() {
				continue
			}
			delete(target.running, task.Attempt)
			target.free.MilliCores += size.MilliCores
			target.free.MemoryBytes += size.MemoryBytes
			if task.State == worker.TaskDone {
				f.done++
			}
		}
	}
}

// placeJobs starts jobs in order until the next one fits on no worker.
func (f *firstFitScheduler) placeJobs(spec func(i int) JobSpec) {
	for {
		requested := spec(f.next)
		size := worker.Size{
			MilliCores:  int64(requested.Cores * 1000),
			MemoryBytes: int64(requested.MemoryGB * 1e9),
		}
		placed := false
		for i := range f.workers {
			target := &f.workers[i]
			if target.boot == "" || size.MilliCores > target.free.MilliCores || size.MemoryBytes > target.free.MemoryBytes {
				continue
			}
			payload, _ := json.Marshal(standin.Work{
				RunMS: requested.Run.Milliseconds(),
			})
			name := fmt.Sprintf("baseline-%d:1", f.next)
			reply, err := f.client.Start(context.Background(), target.address, worker.Start{
				Attempt:      name,
				Job:          fmt.Sprintf("baseline-%d", f.next),
				Customer:     "baseline",
				Epoch:        baselineEpoch,
				Boot:         target.boot,
				NotAfterMS:   target.clock + 5000,
				LeaseUntilMS: target.clock + 10000,
				Size:         size,
				Payload:      payload,
			})
			if err != nil || reply.Refused != "" {
				continue
			}
			target.running[name] = size
			target.free.MilliCores -= size.MilliCores
			target.free.MemoryBytes -= size.MemoryBytes
			placed = true
			break
		}
		if !placed {
			return
		}
		f.next++
	}
}
