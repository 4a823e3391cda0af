package load

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/host"
	"mustardreach.example/mustardreach/internal/process/standin"
)

// hostVersion returns the version that a host reports as in force, or 0 if it
// does not answer.
func (s *Site) hostVersion(operatorAddress string) uint64 {
	var view host.ReleaseView
	_, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/v1/releases", nil, nil, &view)
	if err != nil || len(view.Hosts) == 0 {
		return 0
	}
	return view.Hosts[0].Version
}

// versionWatcher records when each host first had each version, or a later one,
// in force.
type versionWatcher struct {
	site *Site
	stop chan struct{}

	mu        sync.Mutex
	last      map[string]uint64
	firstSeen map[uint64]map[string]time.Time
	reverted  []string
}

func (w *versionWatcher) run() {
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		for _, operatorAddress := range w.site.Operators {
			w.record(operatorAddress, w.site.hostVersion(operatorAddress))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *versionWatcher) record(operatorAddress string, version uint64) {
	if version == 0 {
		return // the host is down or has just started
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.last[operatorAddress] {
		w.reverted = append(w.reverted, fmt.Sprintf("host at %s went from version %d back to %d", operatorAddress, w.last[operatorAddress], version))
	}
	w.last[operatorAddress] = version
	for adopted := uint64(1); adopted <= version; adopted++ {
		if w.firstSeen[adopted] == nil {
			w.firstSeen[adopted] = map[string]time.Time{}
		}
		if _, known := w.firstSeen[adopted][operatorAddress]; !known {
			w.firstSeen[adopted][operatorAddress] = time.Now()
		}
	}
}

// releaseNotes applies 50 release notes in pairs through two operators at once
// while the store drops some of its answers.
func releaseNotes(s *Site, r *Report) {
	watcher := &versionWatcher{
		site:      s,
		stop:      make(chan struct{}),
		last:      map[string]uint64{},
		firstSeen: map[uint64]map[string]time.Time{},
	}
	go watcher.run()
	s.Fault("store", "", standin.StoreFault{LoseAnswers: 0.15})
	accepted := map[uint64]time.Time{}
	versions := map[uint64]string{}
	notAccepted := 0
	for i := range 25 {
		var pending sync.WaitGroup
		results := make([]host.Accepted, 2)
		for side := range results {
			pending.Add(1)
			operatorAddress := s.Operators[(2*i+side)%len(s.Operators)]
			go noteApplier{
				site:            s,
				operatorAddress: operatorAddress,
				id:              fmt.Sprintf("race-%d-%d", i, side),
				reply:           &results[side],
				wait:            &pending,
			}.run()
		}
		pending.Wait()
		for side, result := range results {
			if result.Version == 0 {
				notAccepted++
				continue
			}
			id := fmt.Sprintf("race-%d-%d", i, side)
			if other, exists := versions[result.Version]; exists && other != id {
				r.AddViolations(fmt.Sprintf("version %d was accepted for %s and for %s", result.Version, other, id))
			}
			versions[result.Version] = id
			accepted[result.Version] = time.Now()
		}
	}
	s.Fault("store", "", standin.StoreFault{})
	time.Sleep(4 * time.Second)
	close(watcher.stop)
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	r.AddViolations(watcher.reverted...)
	slowest := time.Duration(0)
	for version, at := range accepted {
		for _, operatorAddress := range s.Operators {
			firstSeen, ok := watcher.firstSeen[version][operatorAddress]
			if !ok {
				r.AddViolations(fmt.Sprintf("version %d never came into force on the host at %s", version, operatorAddress))
			}
			slowest = max(slowest, firstSeen.Sub(at))
		}
	}
	r.AtMost("slowest_in_force_after_acceptance", slowest.Seconds(), "s", 4)
	r.Figure("notes_accepted", float64(len(accepted)), "notes")
	r.Figure("notes_told_to_have_lost", float64(notAccepted), "notes")
	r.Figure("versions", float64(len(versions)), "versions")
}

// noteApplier is an operator who applies a release note, in up to six tries,
// until it is accepted or refused.
type noteApplier struct {
	site                *Site
	operatorAddress, id string
	reply               *host.Accepted
	wait                *sync.WaitGroup
}

func (a noteApplier) run() {
	defer a.wait.Done()
	for range 6 {
		status, err := a.site.exchange(http.MethodPost, "http://"+a.operatorAddress+"/v1/releases", nil,
			fmt.Sprintf("[note]\nid = %s\n[added quota %s]\ncores = 10\n", a.id, a.id), a.reply)
		if err == nil || status == http.StatusConflict {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// partition cuts one zone after another off, from the platform, from the other
// zones or from both, and sends requests within the zone meanwhile.
func partition(s *Site, r *Report) {
	s.awaitDispatchers()
	jobs := s.submitAll("partition", 200, 100, func(i int) JobSpec {
		return JobSpec{
			Class:       classReconcile,
			Customer:    "partition",
			Cores:       2,
			MemoryGB:    4,
			UsageFactor: 1,
			Run:         time.Duration(1+i%20) * time.Second,
		}
	})
	cut := standin.RelayFault{Cut: true}
	zoneStats := NewStats()
	steps := []struct{ match, zone string }{
		{match: "recife>platform", zone: "recife"},
		{match: "jaboatao", zone: "jaboatao"},
		{match: "olinda>platform", zone: "olinda"},
	}
	for _, step := range steps {
		s.Fault("relay", step.match, cut)
		if step.zone == "jaboatao" {
			s.Fault("relay", ">jaboatao", cut)
		}
		s.requestsInZone(step.zone, zoneStats, 8*time.Second)
		s.Fault("relay", "", standin.RelayFault{})
		time.Sleep(2 * time.Second)
	}
	healed := time.Now()
	agreed := waitUntil(15*time.Second, func() bool { return s.converged() })
	r.Figure("settled_after_healing", time.Since(healed).Seconds(), "s")
	if !agreed {
		r.AddViolations("the hosts do not agree who is alive 15 s after healing")
	}
	_, final := jobs.awaitFinal(15*time.Second, "partition")
	r.AtLeast("answered_in_cut_zones", zoneStats.Success(), "percent", 99)
	r.AtLeast("jobs_ended", float64(final), "jobs", float64(len(jobs.ids)))
	r.addOutcomes("in_cut_zones", zoneStats)
	s.checkJobs(r, "partition")
	r.AddViolations(checkRunners(s.Runners())...)
}

// requestsInZone sends requests to the hosts of one zone.
func (s *Site) requestsInZone(zone string, results *Stats, length time.Duration) {
	var callers []string
	for i, operatorAddress := range s.Operators {
		var status host.Status
		if _, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/v1/status", nil, nil, &status); err == nil && status.Zone == zone {
			callers = append(callers, s.Callers[i])
		}
	}
	OpenLoad{
		Rate:    0.1 * s.capacity(),
		Length:  length,
		Do:      s.Call,
		Results: results,
		Make: func(i int) Request {
			request := s.idempotentRequest(i)
			request.Host = callers[i%len(callers)]
			return request
		},
	}.Run()
}

// converged reports whether every host sees all others alive and reaches the
// store.
func (s *Site) converged() bool {
	for _, operatorAddress := range s.Operators {
		var status host.Status
		if _, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/v1/status", nil, nil, &status); err != nil {
			return false
		}
		alive := 0
		for _, peer := range status.Peers {
			if peer.Status == "alive" {
				alive++
			}
		}
		if alive != len(s.Operators)-1 || !status.StoreUp {
			return false
		}
	}
	return true
}

// coldStart measures the time to the first answer and to the first job done on
// a site that has just started.
func coldStart(s *Site, r *Report) {
	began := time.Now()
	answered := waitUntil(30*time.Second, func() bool { return s.Call(s.idempotentRequest(0)).Succeeded() })
	r.Figure("time_to_first_answer", time.Since(began).Seconds(), "s")
	if !answered {
		r.AddViolations("no answer within 30 s")
	}
	s.awaitDispatchers()
	r.Figure("time_to_first_job_done", time.Since(began).Seconds(), "s")
}

// controlCost measures processor time, memory and network traffic of idle
// hosts. The script writes their process ids to files.
func controlCost(s *Site, r *Report) {
	waitUntil(30*time.Second, func() bool { return s.converged() })
	s.idle.Store(true)
	time.Sleep(8 * time.Second)
	pids := hostPIDs()
	bytesBefore, cpuBefore := s.peerBytes(), cpuSeconds(pids)
	const length = 20 * time.Second
	time.Sleep(length)
	bytesSpent, cpuSpent := s.peerBytes()-bytesBefore, cpuSeconds(pids)-cpuBefore
	hosts := float64(len(s.Operators))
	largest := 0.0
	for _, pid := range pids {
		largest = max(largest, residentMB(pid))
	}
	r.Figure("hosts", hosts, "hosts")
	r.AtMost("cpu_per_node", 100*cpuSpent/length.Seconds()/hosts, "percent of a core", 1.2)
	r.AtMost("resident_largest", largest, "MB", 32)
	r.AtMost("control_bytes_per_node", bytesSpent/length.Seconds()/hosts, "bytes/s", 2000)
}

// hostPIDs reads the process ids of the hosts from the files that the
// script writes.
func hostPIDs() []string {
	files, _ := filepath.Glob("run/host-*.pid")
	var pids []string
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			pids = append(pids, strings.TrimSpace(string(text)))
		}
	}
	return pids
}

// peerBytes returns the number of bytes that all hosts have sent to each other.
func (s *Site) peerBytes() float64 {
	sum := 0.0
	for _, operatorAddress := range s.Operators {
		var vars struct {
			Peers map[string]float64 `json:"peers"`
		}
		if _, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/debug/vars", nil, nil, &vars); err == nil {
			sum += vars.Peers["bytes_out"]
		}
	}
	return sum
}

// ticksPerSecond is the unit of processor times in /proc/PID/stat.
const ticksPerSecond = 100

// cpuSeconds returns the user and system time of all processes.
func cpuSeconds(pids []string) float64 {
	sum := 0.0
	for _, pid := range pids {
		text, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		const userField, systemField = 11, 12
		user, _ := strconv.ParseFloat(fields[userField], 64)
		system, _ := strconv.ParseFloat(fields[systemField], 64)
		sum += (user + system) / ticksPerSecond
	}
	return sum
}

// residentMB returns the resident memory of a process, or 0 if it cannot be
// read.
func residentMB(pid string) float64 {
	file, err := os.Open("/proc/" + pid + "/status")
	if err != nil {
		return 0
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if kb, found := strings.CutPrefix(scanner.Text(), "VmRSS:"); found {
			value, _ := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			return value / 1024
		}
	}
	return 0
}

// storeBudget counts the calls to the store under load and after an outage.
func storeBudget(s *Site, r *Report) {
	s.awaitDispatchers()
	stats, served := s.offerInBackground(0.4*s.capacity(), 40*time.Second)
	before := s.Store()
	jobs := s.submitAll("budget", 600, 60, func(i int) JobSpec {
		return JobSpec{
			Class:       classReconcile,
			Customer:    "budget",
			Cores:       2,
			MemoryGB:    4,
			UsageFactor: 1,
			Run:         time.Second,
		}
	})
	loaded := s.Store()
	s.Fault("store", "", standin.StoreFault{Down: true})
	time.Sleep(20 * time.Second)
	s.Fault("store", "", standin.StoreFault{})
	time.Sleep(5 * time.Second)
	_, final := jobs.awaitFinal(15*time.Second, "budget")
	<-served
	after := s.Store()
	seconds := float64(loaded.Seconds - before.Seconds)
	writes := float64(loaded.Writes-before.Writes) / seconds
	calls := float64(loaded.Calls-before.Calls) / seconds
	hosts := float64(len(s.Operators))
	r.Figure("writes_under_load", writes, "calls/s")
	r.Figure("calls_under_load", calls, "calls/s")
	r.AtMost("peak_writes", float64(after.PeakWritesPS), "calls/s", 300)
	r.AtMost("peak_calls", float64(after.PeakCallsPerS), "calls/s", 2000)
	// The required fleet has 63 entry hosts. The script limits each host to the
	// share of the platform's rates that it would have in such a fleet.
	const projectedHosts = 63
	r.AtMost("writes_projected", writes*projectedHosts/hosts, "calls/s", 300)
	r.AtMost("calls_projected", calls*projectedHosts/hosts, "calls/s", 2000)
	r.AtLeast("jobs_ended", float64(final), "jobs", float64(len(jobs.ids)))
	r.AtLeast("requests_answered", stats.Success(), "percent", 99.9)
	for kind, count := range s.storeCalls() {
		r.Figure("calls_"+kind, count, "calls")
	}
	s.checkJobs(r, "budget")
}

// storeCalls returns the number of store calls of all hosts by kind.
func (s *Site) storeCalls() map[string]float64 {
	sum := map[string]float64{}
	for _, operatorAddress := range s.Operators {
		var vars struct {
			Calls map[string]float64 `json:"store_calls"`
		}
		if _, err := s.exchange(http.MethodGet, "http://"+operatorAddress+"/debug/vars", nil, nil, &vars); err == nil {
			for kind, count := range vars.Calls {
				sum[kind] += count
			}
		}
	}
	return sum
}
