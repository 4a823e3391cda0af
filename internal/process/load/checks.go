package load

import (
	"fmt"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/request/ledger"
)

// checkRunners returns the violations in the runners' records: requests above
// the slots, connections above the limit, requests more than 3 s after the
// runner began to leave, and idempotency keys that ran more than once.
func checkRunners(runners []standin.RunnerRecord) []string {
	var violations []string
	runs := map[string]int{}
	for _, runner := range runners {
		if runner.OverSlots > 0 {
			violations = append(violations, fmt.Sprintf("runner %s received %d requests above its slots, at most %d at once", runner.ID, runner.OverSlots, runner.PeakSlots))
		}
		if runner.OverConnections > 0 {
			violations = append(violations, fmt.Sprintf("runner %s received %d connections above its limit", runner.ID, runner.OverConnections))
		}
		if runner.AfterLeaving > 0 {
			violations = append(violations, fmt.Sprintf("runner %s received %d requests more than 3 s after it began to leave", runner.ID, runner.AfterLeaving))
		}
		for key, count := range runner.Runs {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("request with idempotency key %s ran %d times", key, count))
		}
	}
	return violations
}

// eventDone is the kind of the event that records a task as done.
const eventDone = "done"

// span is one attempt of a job as its worker recorded it; ended is zero while
// it runs. fromMS and toMS are the work done at its start and at its end, in
// milliseconds.
type span struct {
	attempt, worker, zone string
	began, ended          time.Time
	result                string
	fromMS, toMS          int64
}

// spansOf groups the workers' events by job and attempt.
func spansOf(events []standin.Event) map[string][]*span {
	spans := map[string][]*span{}
	open := map[string]*span{}
	for _, event := range events {
		key := event.Attempt + "@" + event.Worker
		switch event.Kind {
		case "started":
			current := &span{
				attempt: event.Attempt,
				worker:  event.Worker,
				zone:    event.Zone,
				began:   event.At,
				fromMS:  event.ProgressMS,
			}
			open[key] = current
			spans[event.Job] = append(spans[event.Job], current)
		case eventDone, "failed", "stopped", "lapsed", "crashed":
			if current := open[key]; current != nil {
				current.ended, current.result, current.toMS = event.At, event.Kind, event.ProgressMS
				delete(open, key)
			}
		}
	}
	return spans
}

// checkWorkers returns the violations in the workers' records: starts above a
// worker's capacity, jobs that ran in two places at once and jobs that were
// done more than once.
func checkWorkers(events []standin.Event) []string {
	var violations []string
	for _, event := range events {
		if event.Kind == "over_room" {
			violations = append(violations, fmt.Sprintf("worker %s exceeded its capacity with attempt %s: %s", event.Worker, event.Attempt, event.Detail))
		}
	}
	for id, spans := range spansOf(events) {
		violations = append(violations, checkJob(id, spans)...)
	}
	return violations
}

// checkJob returns the violations in the attempts of one job, which it sorts by
// start.
func checkJob(id string, spans []*span) []string {
	var violations []string
	done := 0
	slices.SortFunc(spans, func(a, b *span) int { return a.began.Compare(b.began) })
	for i, current := range spans {
		if current.result == eventDone {
			done++
		}
		if i == 0 {
			continue
		}
		previous := spans[i-1]
		if previous.ended.IsZero() || previous.ended.After(current.began) {
			violations = append(violations, fmt.Sprintf("job %s ran in two places at once: attempt %s on worker %s and attempt %s on worker %s", id, previous.attempt, previous.worker, current.attempt, current.worker))
		}
	}
	if done > 1 {
		violations = append(violations, fmt.Sprintf("job %s was done %d times", id, done))
	}
	return violations
}

// checkLedger returns the differences between a customer's ledger and the
// workers' records.
func checkLedger(found ledger.Ledger, events []standin.Event) []string {
	var violations []string
	done := map[string]int{}
	started := map[string]bool{}
	for _, event := range events {
		if event.Kind == eventDone {
			done[event.Job]++
		}
		if event.Kind == "started" {
			started[event.Attempt] = true
		}
	}
	for _, line := range found.Lines {
		id := line.Record.ID
		if line.Standing == ledger.DoneOnce && done[id] != 1 || line.Standing == ledger.NotDone && done[id] != 0 {
			violations = append(violations, fmt.Sprintf("job %s is %s in the ledger but was done %d times", id, line.Standing, done[id]))
		}
		for _, attempt := range line.Record.Attempts {
			if attempt.State == job.AttemptNotRun && started[line.Record.AttemptID(attempt.N)] {
				violations = append(violations, fmt.Sprintf("job %s attempt %d is not_run in the ledger but was started", id, attempt.N))
			}
		}
	}
	return violations
}

// lastStartAfter returns the time from the first bound to the last start in a
// zone between both bounds, or zero if there is none.
func lastStartAfter(events []standin.Event, zone string, from, to time.Time) (last time.Duration) {
	for _, event := range events {
		if event.Kind == "started" && event.Zone == zone && event.At.After(from) && event.At.Before(to) {
			last = max(last, event.At.Sub(from))
		}
	}
	return last
}
