package gate

import (
	"math"
	"time"
)

// demandHeadroom is the ratio of the slots that a host requests to the slots
// that its present load needs.
const demandHeadroom = 1.3

// peakDecay multiplies the recorded peak of busy slots at each report.
const peakDecay = 0.95

// demandDecay multiplies the earlier demand at each report.
const demandDecay = 0.85

// reportIfShort reports before the next tick if a request had to queue.
func (a *Admission) reportIfShort() {
	if a.shortOfSlots && a.config.Clock().Sub(a.reportedAt) >= minReportInterval {
		a.report()
	}
}

// report sends the lenders the number of slots that this host holds and
// requests, unless the demand has decayed to nothing.
func (a *Admission) report() {
	now := a.config.Clock()
	a.shortOfSlots = false
	load := 0
	for _, state := range a.services {
		load += state.busy + state.queue.Length()
		state.peakBusy = max(state.peakBusy*peakDecay, float64(state.busy))
	}
	if load > 0 {
		a.demand = max(a.demand*demandDecay, float64(load)*demandHeadroom+1)
	} else if a.demand *= demandDecay; a.demand < 1 {
		a.demand = 0
		return
	}
	a.reportedAt = now
	a.reportToLenders(now)
}

// reportToLenders splits the demand among the lenders by their number of
// runners. Lenders in other zones are asked only for what this zone has not
// granted. A lender with nothing requested or granted gets no report.
func (a *Admission) reportToLenders(now time.Time) {
	counts, sameZone, otherZones := a.countLenders()
	granted := 0
	for name, lender := range counts {
		if lender.zone == a.config.Runners.Zone {
			granted += a.borrower.Granted(name, now)
		}
	}
	excess := max(a.demand-float64(granted), 0)
	for name, lender := range counts {
		demand, runners := a.demand, sameZone
		if lender.zone != a.config.Runners.Zone {
			demand, runners = excess, otherZones
		}
		requested := int(math.Ceil(demand * float64(lender.runners) / float64(max(runners, 1))))
		if requested == 0 && a.borrower.Granted(name, now) == 0 {
			continue
		}
		a.config.Report(a.borrower.Report(name, requested, now))
	}
}

// lenderCount is the number of runners of one lender.
type lenderCount struct {
	zone    string
	runners int
}

// countLenders counts the runners by lender, and in this zone and other zones.
func (a *Admission) countLenders() (counts map[string]lenderCount, sameZone, otherZones int) {
	counts = map[string]lenderCount{}
	for _, lender := range a.lenders {
		count := counts[lender.Name]
		count.zone = lender.Zone
		count.runners++
		counts[lender.Name] = count
		if lender.Zone == a.config.Runners.Zone {
			sameZone++
		} else {
			otherZones++
		}
	}
	return counts, sameZone, otherZones
}
