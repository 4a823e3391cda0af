package leader

import (
	"cmp"
	"context"
	"math/bits"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Limits of probes. A probe is sent only while many links are lost.
const (
	// probeInterval is the time between two probes, and probeTimeout how long the
	// attempt to reach a worker may take.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxProbed limits the workers of each kind in a probe, and maxProbing the
	// hosts that it is sent to.
	maxProbed  = 8
	maxProbing = 4
)

// Probe asks a host which workers it can reach.
type Probe struct {
	// Number is repeated in the report that answers it; never zero.
	Number  uint64
	Workers []netip.AddrPort
}

// Reachable tries to reach all workers at the same time. Bit i of the result is
// set if worker i can be reached.
func Reachable(ctx context.Context, reach func(ctx context.Context, worker netip.AddrPort) bool, workers []netip.AddrPort) uint64 {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var reached uint64
	attempts := sync.WaitGroup{}
	for index, worker := range workers[:min(len(workers), 2*maxProbed)] {
		attempts.Go(func() {
			if reach(limited, worker) {
				mu.Lock()
				defer mu.Unlock()
				reached |= 1 << index
			}
		})
	}
	attempts.Wait()
	return reached
}

// reachTest finds out whether another host reaches the workers that this one has
// lost. It is used only by the loop.
type reachTest struct {
	probe  Probe
	sentAt time.Time
	// lost is how many of the workers, from the first, have lost links. The
	// others have a link.
	lost int
	// own is what this host reaches itself, known once ownKnown is set.
	own      uint64
	ownKnown bool
}

// betterReach reports whether a host reaches more than this one: most workers
// that are lost and this one cannot reach, and all others. A worker that this
// host can reach, although its link is lost, is slow for every host.
func (r *reachTest) betterReach(reached uint64) bool {
	lost := uint64(1)<<r.lost - 1
	kept := uint64(1)<<len(r.probe.Workers) - 1 - lost
	return r.ownKnown && 4*bits.OnesCount64(r.own&lost) <= r.lost &&
		4*bits.OnesCount64(reached&lost) >= 3*r.lost && reached&kept == kept
}

// lostLinks returns the addresses of workers on the list, by whether their link
// is lost, in the order of the workers' ids.
func (t *term) lostLinks() (lost, kept []netip.AddrPort) {
	ids := make([]string, 0, len(t.links))
	for id := range t.links {
		if _, listed := t.listings[id]; listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		address := t.links[id].target.Address
		if t.links[id].lost {
			lost = append(lost, address)
		} else {
			kept = append(kept, address)
		}
	}
	return lost, kept
}

// sendProbe asks some hosts that keep up which workers they reach, and tries the
// same workers from this host.
func (t *term) sendProbe(hosts []knownHost, now time.Time) {
	config, test := &t.leader.config, &t.leader.lag.reach
	if config.Reach == nil || now.Sub(test.sentAt) < probeInterval || len(hosts) == 0 {
		return
	}
	lost, kept := t.lostLinks()
	lost, kept = spread(lost), spread(kept)
	*test = reachTest{
		probe: Probe{
			Number:  config.reports.nextProbe(),
			Workers: append(lost, kept...),
		},
		sentAt: now,
		lost:   len(lost),
	}
	slices.SortFunc(hosts, func(a, b knownHost) int { return cmp.Compare(a.name, b.name) })
	for index := range min(maxProbing, len(hosts)) {
		// Another choice each time, as some hosts may have lost the same links.
		chosen := (int(test.probe.Number%uint64(len(hosts)))*maxProbing + index) % len(hosts)
		config.SendProbe(hosts[chosen].name, test.probe)
	}
	own := &ownProbe{
		term:  t,
		probe: test.probe,
	}
	go own.run(t.ctx)
}

// spread returns at most maxProbed addresses, evenly over all.
func spread(all []netip.AddrPort) []netip.AddrPort {
	count := min(maxProbed, len(all))
	chosen := make([]netip.AddrPort, 0, 2*maxProbed)
	for index := range count {
		chosen = append(chosen, all[index*len(all)/count])
	}
	return chosen
}

// ownProbe tries the workers of a probe from this host.
type ownProbe struct {
	term  *term
	probe Probe
}

func (p *ownProbe) run(ctx context.Context) {
	reached := Reachable(ctx, p.term.leader.config.Reach, p.probe.Workers)
	p.term.post(func(time.Time) {
		test := &p.term.leader.lag.reach
		if test.probe.Number == p.probe.Number {
			test.own, test.ownKnown = reached, true
		}
	})
}
