package load

import (
	"fmt"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
)

// Classes that both sample releases define and the plans use.
const (
	classPlan      = "cutting_plan"
	classReconcile = "reconciliation"
	classWatcher   = "watcher"
	classUrgent    = "urgent_plan"
)

// mixedJobSpec returns the i-th of a mix of jobs whose declared sizes are wrong
// by up to a factor of four in either direction, by class and customer.
func mixedJobSpec(i int) JobSpec {
	kinds := []JobSpec{
		{
			Class:       classPlan,
			Customer:    "cadeira-sul",
			Cores:       16,
			MemoryGB:    40,
			UsageFactor: 0.25,
			Run:         2 * time.Second,
		},
		{
			Class:       classReconcile,
			Customer:    "cadeira-sul",
			Cores:       8,
			MemoryGB:    30,
			UsageFactor: 0.5,
			Run:         3 * time.Second,
		},
		{
			Class:       classPlan,
			Customer:    "cadeira-norte",
			Cores:       2,
			MemoryGB:    6,
			UsageFactor: 3.9,
			Run:         2 * time.Second,
		},
		{
			Class:       classReconcile,
			Customer:    "cadeira-norte",
			Cores:       12,
			MemoryGB:    50,
			UsageFactor: 0.3,
			Run:         2 * time.Second,
		},
	}
	return kinds[i%len(kinds)]
}

var mixedCustomers = []string{"cadeira-sul", "cadeira-norte"}

// batch compares throughput with the first-fit baseline when declared sizes are
// wrong.
func batch(s *Site, r *Report) {
	s.awaitDispatchers()
	const length = 30 * time.Second
	began := time.Now()
	jobs := s.submitAll("mix", 6000, 400, mixedJobSpec)
	time.Sleep(time.Until(began.Add(length)))
	done, _ := jobs.finished(mixedCustomers...)
	events := s.checkJobs(r, mixedCustomers...)
	baseline := s.firstFit(mixedJobSpec, length)
	r.Figure("jobs_done", float64(done), "jobs")
	r.Figure("baseline_jobs_done", float64(baseline), "jobs")
	r.AtLeast("throughput_over_baseline", float64(done)/float64(max(baseline, 1)), "ratio", 1.3)
	r.Figure("evictions", float64(countEvents(events, "stopped")), "attempts")
	r.Figure("over_real_use", float64(countEvents(events, "over_use")), "starts")
}

// urgent fills the fleet with batch jobs, then submits urgent ones and measures
// how soon they start.
func urgent(s *Site, r *Report) {
	s.awaitDispatchers()
	s.submitAll("fill", 600, 300, func(int) JobSpec {
		return JobSpec{
			Class:       classReconcile,
			Customer:    "filler",
			Cores:       8,
			MemoryGB:    20,
			UsageFactor: 1,
			Run:         60 * time.Second,
		}
	})
	time.Sleep(6 * time.Second)
	jobs := s.submitAll("urgent", 60, 6, func(int) JobSpec {
		return JobSpec{
			Class:       classUrgent,
			Customer:    "hurry",
			Cores:       8,
			MemoryGB:    20,
			UsageFactor: 1,
			Run:         500 * time.Millisecond,
		}
	})
	jobs.awaitFinal(10*time.Second, "hurry")
	spans := spansOf(s.Events())
	waits := NewStats()
	for _, id := range jobs.ids {
		answer := Answer{Status: 599}
		if len(spans[id]) > 0 {
			answer = Answer{
				Status: 200,
				Took:   max(spans[id][0].began.Sub(jobs.submitted[id]), time.Millisecond),
			}
		}
		waits.Add(answer)
	}
	r.AtMost("urgent_start_p99", waits.Quantile(99)/1000, "s", 3.3)
	r.AtLeast("urgent_started", waits.Success(), "percent", 100)
	events := s.checkJobs(r, "hurry")
	r.Figure("evictions", float64(countEvents(events, "stopped")), "attempts")
}

// cancelWave submits many jobs and cancels all of them at once: waiting,
// running and finished ones.
func cancelWave(s *Site, r *Report) {
	s.awaitDispatchers()
	jobs := s.submitAll("wave", 5000, 1000, func(i int) JobSpec {
		return JobSpec{
			Class:       classReconcile,
			Customer:    "wave",
			Cores:       4,
			MemoryGB:    8,
			UsageFactor: 1,
			Run:         time.Duration(2+i%20) * time.Second,
		}
	})
	cancels := NewStats()
	OpenLoad{
		Rate:    2500,
		Length:  2 * time.Second,
		Results: cancels,
		// Path carries the id of the job to cancel.
		Make: func(i int) Request { return Request{Path: jobs.ids[i%len(jobs.ids)]} },
		Do: func(request Request) Answer {
			for range 3 {
				if s.Cancel(request.Path) == nil {
					return Answer{Status: 200}
				}
			}
			return Answer{Status: 500}
		},
	}.Run()
	urgentJobs := s.submitAll("urgent", 10, 10, func(int) JobSpec {
		return JobSpec{
			Class:       classUrgent,
			Customer:    "hurry",
			Cores:       4,
			MemoryGB:    8,
			UsageFactor: 1,
			Run:         200 * time.Millisecond,
		}
	})
	_, final := jobs.awaitFinal(25*time.Second, "wave")
	done, _ := urgentJobs.finished("hurry")
	r.AtLeast("cancels_taken", cancels.Success(), "percent", 100)
	r.AtLeast("ended_truthfully", float64(final), "jobs", float64(len(jobs.ids)))
	r.AtLeast("urgent_done_meanwhile", float64(done), "jobs", 10)
	s.checkJobs(r, "wave", "hurry")
	s.addStoreFigures(r)
}

// addStoreFigures adds the rates of calls that the store counted.
func (s *Site) addStoreFigures(r *Report) {
	store := s.Store()
	r.AtMost("store_peak_writes", float64(store.PeakWritesPS), "calls/s", 300)
	r.AtMost("store_peak_calls", float64(store.PeakCallsPerS), "calls/s", 2000)
	r.Figure("store_mean_calls", float64(store.Calls)/float64(store.Seconds), "calls/s")
}

// failingWorkers makes a tenth of the workers fail every task.
func failingWorkers(s *Site, r *Report) {
	s.awaitDispatchers()
	failing := []string{"w00", "w07", "w16", "w23", "w31"}
	for _, match := range failing {
		s.Fault("worker", match, standin.WorkerFault{FailAll: true})
	}
	jobs := s.submitAll("sick", 2000, 80, func(int) JobSpec {
		return JobSpec{
			Class:       classPlan,
			Customer:    "sick",
			Cores:       4,
			MemoryGB:    8,
			UsageFactor: 1,
			Run:         500 * time.Millisecond,
		}
	})
	done, _ := jobs.awaitFinal(20*time.Second, "sick")
	events := s.checkJobs(r, "sick")
	failed, started := countEvents(events, "failed"), countEvents(events, "started")
	r.AtLeast("jobs_done", 100*float64(done)/float64(len(jobs.ids)), "percent", 99)
	r.AtMost("attempts_on_the_sick", 100*float64(failed)/float64(started), "percent", 3)
}

// storeOutage takes the store down for 20 s, then slows it and drops some of
// its answers.
func storeOutage(s *Site, r *Report) {
	s.awaitDispatchers()
	watchers := s.submitAll("watch", 20, 20, func(int) JobSpec {
		return JobSpec{
			Class:       classWatcher,
			Customer:    "outage",
			Cores:       1,
			MemoryGB:    1,
			UsageFactor: 1,
		}
	})
	jobs := s.submitAll("outage", 300, 100, func(i int) JobSpec {
		return JobSpec{
			Class:       classPlan,
			Customer:    "outage",
			Cores:       2,
			MemoryGB:    4,
			UsageFactor: 1,
			Run:         time.Duration(2+i%25) * time.Second,
		}
	})
	stats, served := s.offerInBackground(0.3*s.capacity(), 32*time.Second)
	s.Fault("store", "", standin.StoreFault{Down: true})
	outageBegan := time.Now()
	time.Sleep(20 * time.Second)
	s.Fault("store", "", standin.StoreFault{DelayMS: 200, LoseAnswers: 0.2})
	time.Sleep(8 * time.Second)
	s.Fault("store", "", standin.StoreFault{})
	outageEnded := time.Now()
	_, final := jobs.awaitFinal(20*time.Second, "outage")
	r.Figure("catch_up", time.Since(outageEnded).Seconds(), "s")
	<-served
	r.AtLeast("jobs_ended", float64(final), "jobs", float64(len(jobs.ids)))
	r.AtLeast("requests_answered", stats.Success(), "percent", 99.9)
	events := s.checkJobs(r, "outage")
	r.AddViolations(checkRunners(s.Runners())...)
	interrupted, spans := 0, spansOf(events)
	for _, id := range watchers.ids {
		for _, attempt := range spans[id] {
			if !attempt.ended.IsZero() && attempt.ended.After(outageBegan) {
				interrupted++
			}
		}
	}
	r.AtMost("watchers_interrupted", float64(interrupted), "watchers", 0)
	r.addOutcomes("requests", stats)
}

// dispatcherFaults submits jobs while the script kills and pauses hosts.
func dispatcherFaults(s *Site, r *Report) {
	s.awaitDispatchers()
	watchers := s.submitAll("watch", 20, 40, func(int) JobSpec {
		return JobSpec{
			Class:       classWatcher,
			Customer:    "faults",
			Cores:       1,
			MemoryGB:    1,
			UsageFactor: 1,
		}
	})
	jobs := s.submitAll("faults", 900, 30, func(i int) JobSpec {
		return JobSpec{
			Class:       classPlan,
			Customer:    "faults",
			Cores:       4,
			MemoryGB:    8,
			UsageFactor: 1,
			Run:         time.Duration(500+100*(i%30)) * time.Millisecond,
		}
	})
	done, final := jobs.awaitFinal(22*time.Second, "faults")
	jobs.explainPending(r, "faults")
	r.AtLeast("jobs_ended", float64(final), "jobs", float64(len(jobs.ids)))
	r.Figure("jobs_done", float64(done), "jobs")
	events := s.checkJobs(r, "faults")
	r.Figure("watchers_longest_gap", longestGap(events, watchers.ids).Seconds(), "s")
	gap := s.longestStartGap()
	// In seconds: rights.term of the samples, and the time that the target
	// adds to it.
	const term, grace = 2, 3
	r.AtMost("longest_time_without_dispatcher", gap.Seconds(), "s", term+grace)
}

// longestStartGap returns the longest time between two starts in one zone. Jobs
// are submitted throughout, so it is an upper bound for each acquisition of the
// dispatcher's right.
func (s *Site) longestStartGap() time.Duration {
	byZone := map[string]time.Time{}
	longest := time.Duration(0)
	for _, event := range s.Events() {
		if event.Kind != "started" || event.Customer != "faults" {
			continue
		}
		if previous, ok := byZone[event.Zone]; ok {
			longest = max(longest, event.At.Sub(previous))
		}
		byZone[event.Zone] = event.At
	}
	return longest
}

// longestGap returns the longest time that any of the jobs spent between two
// attempts.
func longestGap(events []standin.Event, ids []string) time.Duration {
	longest := time.Duration(0)
	spans := spansOf(events)
	for _, id := range ids {
		for i := 1; i < len(spans[id]); i++ {
			longest = max(longest, spans[id][i].began.Sub(spans[id][i-1].ended))
		}
	}
	return longest
}

// zoneWithdrawal withdraws a zone under load and adds it again.
func zoneWithdrawal(s *Site, r *Report) {
	s.awaitDispatchers()
	zone := "jaboatao"
	watchers := s.submitAll("watch", 30, 60, func(int) JobSpec {
		return JobSpec{
			Class:       classWatcher,
			Customer:    "zones",
			Cores:       1,
			MemoryGB:    1,
			UsageFactor: 1,
		}
	})
	results := make(chan *jobBatch, 1)
	feed := &zoneJobFeed{
		site:    s,
		results: results,
	}
	go feed.run()
	time.Sleep(8 * time.Second)
	if _, err := s.Apply(s.Operators[0], fmt.Sprintf("[note]\nid = out-1\n[withdrawn zone %s]\n", zone)); err != nil {
		r.AddViolations("zone could not be withdrawn: " + err.Error())
	}
	withdrawn := time.Now()
	time.Sleep(14 * time.Second)
	if _, err := s.Apply(s.Operators[len(s.Operators)-1], fmt.Sprintf("[note]\nid = in-1\n[added zone %s]\n", zone)); err != nil {
		r.AddViolations("zone could not be added again: " + err.Error())
	}
	restored := time.Now()
	jobs := <-results
	_, final := jobs.awaitFinal(20*time.Second, "zones")
	events := s.checkJobs(r, "zones")
	r.AtMost("last_start_after_out", lastStartAfter(events, zone, withdrawn, restored).Seconds(), "s", 3)
	r.AtLeast("jobs_ended", float64(final), "jobs", float64(len(jobs.ids)))
	r.Figure("watchers_longest_gap", longestGap(events, watchers.ids).Seconds(), "s")
	during := doneRate(events, withdrawn.Add(3*time.Second), restored)
	before := doneRate(events, withdrawn.Add(-5*time.Second), withdrawn)
	r.AtLeast("work_during_over_possible", during/min(before, zoneJobRate), "ratio", 0.9)
	r.Figure("starts_after_return", float64(countStarts(events, zone, restored)), "starts")
}

// zoneJobRate is the rate of submissions in zoneWithdrawal, in jobs per second.
// Two zones can sustain it.
const zoneJobRate = 25.0

// zoneJobFeed submits jobs while zoneWithdrawal runs.
type zoneJobFeed struct {
	site    *Site
	results chan<- *jobBatch
}

func (f *zoneJobFeed) run() {
	f.results <- f.site.submitAll("zones", 700, zoneJobRate, func(i int) JobSpec {
		return JobSpec{
			Class:       classReconcile,
			Customer:    "zones",
			Cores:       8,
			MemoryGB:    16,
			UsageFactor: 1,
			Run:         time.Duration(1000+100*(i%20)) * time.Millisecond,
		}
	})
}

// doneRate returns the number of jobs done per second between two times.
func doneRate(events []standin.Event, from, to time.Time) float64 {
	count := 0
	for _, event := range events {
		if event.Kind == eventDone && event.At.After(from) && event.At.Before(to) {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

// countStarts returns the number of starts in a zone after a time.
func countStarts(events []standin.Event, zone string, from time.Time) int {
	count := 0
	for _, event := range events {
		if event.Kind == "started" && event.Zone == zone && event.At.After(from) {
			count++
		}
	}
	return count
}
