package load

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
)

// idempotentRequest returns the i-th request to the site's idempotent service,
// on behalf of one of eight customers.
func (s *Site) idempotentRequest(i int) Request {
	return Request{
		Method:   http.MethodGet,
		Path:     fmt.Sprintf("/v1/services/%s/item/%d", s.Service, i),
		Customer: fmt.Sprintf("shop-%d", i%8),
		Retry:    true,
	}
}

// offerRequests sends idempotent requests at a rate in requests per second and
// returns the statistics of their answers.
func (s *Site) offerRequests(rate float64, length time.Duration) *Stats {
	stats := NewStats()
	OpenLoad{
		Rate:    rate,
		Length:  length,
		Make:    s.idempotentRequest,
		Do:      s.Call,
		Results: stats,
	}.Run()
	return stats
}

// backgroundLoad is an open-loop load that runs while a plan does something
// else.
type backgroundLoad struct {
	offer OpenLoad
	done  chan struct{}
}

func (b *backgroundLoad) run() {
	b.offer.Run()
	close(b.done)
}

// offerInBackground starts idempotent requests at a rate. The statistics are
// complete when the channel is closed.
func (s *Site) offerInBackground(rate float64, length time.Duration) (*Stats, <-chan struct{}) {
	stats := NewStats()
	backgroundCalls := &backgroundLoad{
		offer: OpenLoad{
			Rate:    rate,
			Length:  length,
			Make:    s.idempotentRequest,
			Do:      s.Call,
			Results: stats,
		},
		done: make(chan struct{}),
	}
	go backgroundCalls.run()
	return stats, backgroundCalls.done
}

// runnerAddresses returns the addresses of the service's runners from the
// platform's discovery list.
func (s *Site) runnerAddresses() []string {
	var discoveryList map[string]struct {
		Address string `json:"address"`
		Service string `json:"service"`
	}
	if _, err := s.exchange(http.MethodGet, "http://"+s.Admin+"/list", nil, nil, &discoveryList); err != nil {
		panic(err)
	}
	var addresses []string
	for _, entry := range discoveryList {
		if entry.Service == s.Service {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}

// offerDirect is the baseline for requests: it calls the runners directly, in
// turn and without limits.
func (s *Site) offerDirect(rate float64, length time.Duration) *Stats {
	addresses := s.runnerAddresses()
	stats := NewStats()
	var next atomic.Uint64
	OpenLoad{
		Rate:    rate,
		Length:  length,
		Make:    s.idempotentRequest,
		Results: stats,
		Do: func(request Request) Answer {
			request.Host = addresses[int(next.Add(1))%len(addresses)]
			request.Timeout = time.Second
			request.Retry = false
			began := time.Now()
			answer := s.callOnce(request.Host, request)
			answer.Took = time.Since(began)
			return answer
		},
	}.Run()
	return stats
}

// warmUp waits until the site answers, then sends requests for 3 s.
func (s *Site) warmUp(rate float64) {
	waitUntil(20*time.Second, func() bool { return s.Call(s.idempotentRequest(0)).Succeeded() })
	s.offerRequests(rate, 3*time.Second)
}

// serviceTime is the median service time of the stand-in runners; the script
// sets the same.
const serviceTime = 50 * time.Millisecond

// capacity returns the number of requests per second that the runners can
// answer.
func (s *Site) capacity() float64 {
	const slots = 8
	return float64(len(s.runnerAddresses())*slots) / serviceTime.Seconds()
}

// steady compares latency at 70 % of the slots with that of direct calls to the
// runners.
func steady(s *Site, r *Report) {
	rate := 0.7 * s.capacity()
	direct := s.offerDirect(rate/20, 3*time.Second)
	s.warmUp(rate / 2)
	viaHosts := s.offerRequests(rate, 15*time.Second)
	r.AddViolations(checkRunners(s.Runners())...)
	baseline := s.offerDirect(rate, 5*time.Second)
	r.Figure("rate", rate, "requests/s")
	r.AtMost("p99_over_straight", viaHosts.Quantile(99)/direct.Quantile(99), "ratio", 1.3)
	r.Figure("p99", viaHosts.Quantile(99), "ms")
	r.Figure("straight_p99", direct.Quantile(99), "ms")
	r.Figure("baseline_p99", baseline.Quantile(99), "ms")
	r.Figure("added_p50", viaHosts.Quantile(50)-direct.Quantile(50), "ms")
	r.AtLeast("success", viaHosts.Success(), "percent", 99.9)
	r.addOutcomes("steady", viaHosts)
}

// overload sends requests at three times the capacity of the runners.
func overload(s *Site, r *Report) {
	capacity := s.capacity()
	s.warmUp(0.5 * capacity)
	before := s.offerRequests(0.5*capacity, 4*time.Second)
	const length = 20 * time.Second
	overloaded := s.offerRequests(3*capacity, length)
	time.Sleep(3 * time.Second)
	after := s.offerRequests(0.5*capacity, 4*time.Second)
	r.Figure("capacity", capacity, "requests/s")
	r.AtLeast("goodput_of_capacity", float64(overloaded.succeeded)/length.Seconds()/capacity, "ratio", 0.9)
	r.AtMost("admitted_p99", overloaded.Quantile(99), "ms", 1000)
	r.Figure("steady_p99", before.Quantile(99), "ms")
	r.AtMost("p99_3s_after_over_steady", after.Quantile(99)/before.Quantile(99), "ratio", 1.2)
	r.AtLeast("success_after", after.Success(), "percent", 99.9)
	r.addOutcomes("wave", overloaded)
	r.AddViolations(checkRunners(s.Runners())...)
}

// runnerFaults slows a tenth of the runners, and makes some others fail and
// some never answer.
func runnerFaults(s *Site, r *Report) {
	rate := 0.4 * s.capacity()
	s.warmUp(rate)
	before := countRequests(s.Runners())
	s.Fault("runner", "r00", standin.RunnerFault{Slow: 20})
	s.Fault("runner", "r03", standin.RunnerFault{Slow: 20})
	s.Fault("runner", "r07", standin.RunnerFault{Slow: 20})
	s.Fault("runner", "r11", standin.RunnerFault{Slow: 20})
	s.Fault("runner", "r17", standin.RunnerFault{Slow: 20})
	s.Fault("runner", "r22", standin.RunnerFault{Fail: true})
	s.Fault("runner", "r26", standin.RunnerFault{Fail: true})
	s.Fault("runner", "r30", standin.RunnerFault{Hang: true})
	s.Fault("runner", "r34", standin.RunnerFault{Hang: true})
	viaHosts := s.offerRequests(rate, 15*time.Second)
	sends := countRequests(s.Runners()) - before
	r.AddViolations(checkRunners(s.Runners())...)
	baseline := s.offerDirect(rate, 8*time.Second)
	baselineP99 := baseline.Quantile(99)
	if baseline.Success() < 99 {
		baselineP99 = 1000 // in ms, the deadline: over 1 % of the calls failed
	}
	r.AtMost("p99_over_baseline", viaHosts.Quantile(99)/baselineP99, "ratio", 0.5)
	r.Figure("p99", viaHosts.Quantile(99), "ms")
	r.Figure("baseline_p99", baselineP99, "ms")
	r.Figure("baseline_success", baseline.Success(), "percent")
	r.AtLeast("success", viaHosts.Success(), "percent", 99.9)
	r.AtMost("sends_per_request", float64(sends)/float64(viaHosts.total), "ratio", 1.1)
	r.addOutcomes("faults", viaHosts)
}

// countRequests returns the number of requests that the runners have received.
func countRequests(runners []standin.RunnerRecord) int {
	sum := 0
	for _, runner := range runners {
		sum += runner.Requests
	}
	return sum
}

// drain makes two runners leave under load.
func drain(s *Site, r *Report) {
	rate := 0.5 * s.capacity()
	s.warmUp(rate)
	stats, done := s.offerInBackground(rate, 14*time.Second)
	time.Sleep(2 * time.Second)
	s.Fault("runner", "r05", standin.RunnerFault{Leaving: true})
	s.Fault("runner", "r06", standin.RunnerFault{Leaving: true})
	<-done
	r.AtLeast("success", stats.Success(), "percent", 100)
	r.addOutcomes("drain", stats)
	r.AddViolations(checkRunners(s.Runners())...)
}

// steadyLoad returns a plan that sends requests at a fraction of the capacity
// while the script restarts or kills hosts; minSuccess is in percent.
func steadyLoad(fraction float64, length time.Duration, minSuccess float64) func(*Site, *Report) {
	return func(s *Site, r *Report) {
		rate := fraction * s.capacity()
		stats := s.offerRequests(rate, length)
		r.AtLeast("success", stats.Success(), "percent", minSuccess)
		r.Figure("p50", stats.Quantile(50), "ms")
		r.Figure("p99", stats.Quantile(99), "ms")
		r.addOutcomes("load", stats)
		peak, atPeak := 0, 0
		for _, runner := range s.Runners() {
			peak = max(peak, runner.PeakSlots)
			if runner.PeakSlots >= 8 {
				atPeak++
			}
		}
		r.Figure("peak_slots", float64(peak), "slots")
		r.Figure("runners_at_peak", float64(atPeak), "runners")
		r.AddViolations(checkRunners(s.Runners())...)
	}
}

// slots sends more requests than the slots can take while hosts are killed,
// paused and replaced.
func slots(s *Site, r *Report) {
	capacity := s.capacity()
	busyBefore := int64(0)
	for _, runner := range s.Runners() {
		busyBefore += runner.BusyMS
	}
	stats := s.offerRequests(1.2*capacity, 30*time.Second)
	peak := 0
	for _, runner := range s.Runners() {
		peak += runner.PeakSlots
	}
	r.AtLeast("peak_slots_used", float64(peak)/float64(8*len(s.runnerAddresses())), "ratio", 0.9)
	r.Figure("goodput_of_capacity", float64(stats.succeeded)/30/capacity, "ratio")
	r.addOutcomes("slots", stats)
	r.AddViolations(checkRunners(s.Runners())...)
}

// oneBusyHost sends all requests through one host, at 90 % of the capacity.
func oneBusyHost(s *Site, r *Report) {
	s.Callers, s.Operators = s.Callers[:1], s.Operators[:1]
	s.warmUp(0.2 * s.capacity())
	stats := s.offerRequests(0.9*s.capacity(), 8*time.Second)
	peak := 0
	for _, runner := range s.Runners() {
		peak += runner.PeakSlots
	}
	r.AtLeast("peak_slots_used", float64(peak)/float64(8*len(s.runnerAddresses())), "ratio", 0.9)
	r.AtLeast("success", stats.Success(), "percent", 99)
	r.addOutcomes("one_host", stats)
	r.AddViolations(checkRunners(s.Runners())...)
}
