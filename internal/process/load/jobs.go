package load

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/request/ledger"
)

// JobSpec describes a job to submit.
type JobSpec struct {
	Class    string
	Customer string
	// Cores and MemoryGB are the declared size; the job uses UsageFactor times
	// that size.
	Cores, MemoryGB float64
	UsageFactor     float64
	// Run is how long the job takes; 0 means until it is stopped.
	Run  time.Duration
	Fail bool
}

// jobBatch holds the ids of jobs that were submitted together.
type jobBatch struct {
	site *Site
	tag  string

	mu  sync.Mutex
	ids []string
	// submitted holds the time at which each job was accepted, by id.
	submitted map[string]time.Time
}

// submission is a submission in progress.
type submission struct {
	batch *jobBatch
	spec  JobSpec
	key   string
	wait  *sync.WaitGroup
}

func (s submission) run() {
	defer s.wait.Done()
	used := worker.Size{
		MilliCores:  int64(s.spec.Cores * 1000 * max(s.spec.UsageFactor, 0.01)),
		MemoryBytes: int64(s.spec.MemoryGB * 1e9 * max(s.spec.UsageFactor, 0.01)),
	}
	payload, _ := json.Marshal(standin.Work{
		RunMS: s.spec.Run.Milliseconds(),
		Fail:  s.spec.Fail,
		Used:  used,
	})
	record, err := s.batch.site.Submit(ledger.Submission{
		Customer: s.spec.Customer,
		Class:    s.spec.Class,
		Cores:    s.spec.Cores,
		MemoryGB: s.spec.MemoryGB,
		Payload:  payload,
	}, s.key)
	if err != nil {
		return
	}
	s.batch.mu.Lock()
	defer s.batch.mu.Unlock()
	s.batch.ids = append(s.batch.ids, record.ID)
	s.batch.submitted[record.ID] = time.Now()
}

// submitAll submits count jobs at a rate in jobs per second and waits until
// each is accepted or has failed.
func (s *Site) submitAll(tag string, count int, rate float64, spec func(i int) JobSpec) *jobBatch {
	batch := &jobBatch{
		site:      s,
		tag:       tag,
		submitted: map[string]time.Time{},
	}
	var wait sync.WaitGroup
	began := time.Now()
	for i := range count {
		if ahead := time.Duration(float64(i)/rate*float64(time.Second)) - time.Since(began); ahead > 0 {
			time.Sleep(ahead)
		}
		wait.Add(1)
		go submission{
			batch: batch,
			spec:  spec(i),
			key:   fmt.Sprintf("%s-%d", tag, i),
			wait:  &wait,
		}.run()
	}
	wait.Wait()
	return batch
}

// finished counts the jobs of the batch that are done and those in a final
// state according to the customers' ledgers.
func (b *jobBatch) finished(customers ...string) (done, final int) {
	inBatch := map[string]bool{}
	for _, id := range b.ids {
		inBatch[id] = true
	}
	for _, customer := range customers {
		found, err := b.site.Ledger(customer)
		if err != nil {
			continue
		}
		for _, line := range found.Lines {
			if !inBatch[line.Record.ID] {
				continue
			}
			if line.Record.State.Final() {
				final++
			}
			if line.Record.State == job.Done {
				done++
			}
		}
	}
	return done, final
}

// awaitFinal waits until every job is in a final state or the limit has passed.
func (b *jobBatch) awaitFinal(limit time.Duration, customers ...string) (done, final int) {
	waitUntil(limit, func() bool {
		time.Sleep(450 * time.Millisecond)
		done, final = b.finished(customers...)
		return final == len(b.ids)
	})
	return done, final
}

// checkJobs adds the violations in the workers' records and in the ledgers of
// the customers, and returns the workers' records.
func (s *Site) checkJobs(r *Report, customers ...string) []standin.Event {
	events := s.Events()
	r.AddViolations(checkWorkers(events)...)
	for _, customer := range customers {
		found, err := s.Ledger(customer)
		if err != nil {
			r.AddViolations("ledger of " + customer + ": " + err.Error())
			continue
		}
		r.AddViolations(checkLedger(found, events)...)
	}
	return events
}

// explainPending adds notes on the state of up to five jobs that have not
// ended.
func (b *jobBatch) explainPending(r *Report, customer string) {
	found, err := b.site.Ledger(customer)
	if err != nil {
		return
	}
	const maxShown = 5
	shown := 0
	for _, line := range found.Lines {
		record := line.Record
		if record.State.Final() || !slices.Contains(b.ids, record.ID) || shown == maxShown {
			continue
		}
		shown++
		r.Note("pending %s: %s in %s after %d attempts, reason %q, attempts %+v", record.ID, record.State, record.Zone, record.Total, record.Reason, record.Attempts)
	}
}

// countEvents returns the number of events of a kind.
func countEvents(events []standin.Event, kind string) int {
	count := 0
	for _, event := range events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// awaitDispatchers waits until a submitted job is run to its end.
func (s *Site) awaitDispatchers() {
	waitUntil(30*time.Second, func() bool {
		record, err := s.Submit(ledger.Submission{
			Customer: "probe",
			Class:    "reconciliation",
			Cores:    1,
			MemoryGB: 1,
			Payload:  workPayload(10 * time.Millisecond),
		}, fmt.Sprintf("probe-%d", time.Now().UnixNano()))
		if err != nil {
			return false
		}
		return waitUntil(3*time.Second, func() bool {
			found, err := s.Job(record.ID)
			return err == nil && found.State == job.Done
		})
	})
}
