package leader

import (
	"sync"
	"time"
)

// HostReport is what a host tells the leaders about itself.
type HostReport struct {
	// MilliCores is the processor time that the host may use, in thousandths of
	// a core; zero if it does not report it.
	MilliCores int64
	// Lag is how late its timers were lately.
	Lag time.Duration
	// Probe is the number of the probe that the report answers, zero if none;
	// Reached has the workers that the host reached.
	Probe, Reached uint64
}

// hostReports holds the reports of other hosts. It is safe for concurrent use.
type hostReports struct {
	mu    sync.Mutex
	hosts map[string]knownHost
	// probe is the number of the newest probe.
	probe uint64
}

func newHostReports() *hostReports {
	return &hostReports{
		hosts: map[string]knownHost{},
	}
}

// add notes a report that came at now.
func (r *hostReports) add(host string, report HostReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.hosts[host]
	switch {
	case report.Lag > maxHostLag:
		known.steadySince = time.Time{}
	case known.steadySince.IsZero() || now.Sub(known.reportedAt) > reportAge:
		known.steadySince = now
	}
	known.name, known.milliCores, known.lag, known.reportedAt = host, report.MilliCores, report.Lag, now
	if report.Probe != 0 {
		known.probe, known.reached = report.Probe, report.Reached
	}
	r.hosts[host] = known
}

// nextProbe returns a number for a probe.
func (r *hostReports) nextProbe() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probe++
	return r.probe
}

// recent returns the hosts with a recent report and forgets the others.
func (r *hostReports) recent(now time.Time) []knownHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []knownHost
	for name, known := range r.hosts {
		if now.Sub(known.reportedAt) > reportAge {
			delete(r.hosts, name)
			continue
		}
		out = append(out, known)
	}
	return out
}
