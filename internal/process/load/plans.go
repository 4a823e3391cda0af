package load

import (
	"cmp"
	"slices"
	"time"
)

// Plan is an experiment that the tool can run.
type Plan struct {
	Name string
	// Description says what the plan measures.
	Description string
	Run         func(s *Site, r *Report)
}

// Plans returns every plan, sorted by name.
func Plans() []Plan {
	plans := append(requestPlans(), jobPlans()...)
	plans = append(plans, fleetPlans()...)
	slices.SortFunc(plans, func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) })
	return plans
}

// requestPlans are the plans for callers' requests.
func requestPlans() []Plan {
	return []Plan{
		{
			Name:        "steady",
			Description: "latency at 70 % of all slots compared with calling the runners directly",
			Run:         steady,
		},
		{
			Name:        "overload",
			Description: "three times the capacity for 20 s",
			Run:         overload,
		},
		{
			Name:        "runner-faults",
			Description: "slow, failing and unresponsive runners",
			Run:         runnerFaults,
		},
		{
			Name:        "drain",
			Description: "runners that leave under load",
			Run:         drain,
		},
		{
			Name:        "rolling-restart",
			Description: "every entry host restarted in turn under load",
			Run:         steadyLoad(0.4, 40*time.Second, 100),
		},
		{
			Name:        "churn",
			Description: "an entry host killed or replaced every 2 s",
			Run:         steadyLoad(0.25, 44*time.Second, 99.9),
		},
		{
			Name:        "slots",
			Description: "hosts killed, paused and replaced above capacity",
			Run:         slots,
		},
		{
			Name:        "one-host",
			Description: "the share of the slots that one busy host can use",
			Run:         oneBusyHost,
		},
		{
			Name:        "at-most-once",
			Description: "10,000 keyed requests with lost answers, kills and a store outage",
			Run:         atMostOnce,
		},
	}
}

// jobPlans are the plans for jobs.
func jobPlans() []Plan {
	return []Plan{
		{
			Name:        "batch",
			Description: "throughput with wrong declared sizes",
			Run:         batch,
		},
		{
			Name:        "urgent",
			Description: "urgent work on a full fleet",
			Run:         urgent,
		},
		{
			Name:        "cancel-wave",
			Description: "5,000 submissions and cancellations at once",
			Run:         cancelWave,
		},
		{
			Name:        "sick-workers",
			Description: "a tenth of the workers fail every task",
			Run:         failingWorkers,
		},
		{
			Name:        "store-outage",
			Description: "the store down for 20 s, then slow with lost answers",
			Run:         storeOutage,
		},
		{
			Name:        "dispatcher-faults",
			Description: "dispatchers killed, or paused for longer than their terms",
			Run:         dispatcherFaults,
		},
		{
			Name:        "zone-out",
			Description: "a zone withdrawn and added again under load",
			Run:         zoneWithdrawal,
		},
	}
}

// fleetPlans are the plans for the hosts as a whole: releases, partitions,
// start, stop and the cost of control.
func fleetPlans() []Plan {
	return []Plan{
		{
			Name:        "demo",
			Description: "the main functions of a small site, with evidence",
			Run:         demo,
		},
		{
			Name:        "stopping",
			Description: "requests in progress while their host stops",
			Run:         stopping,
		},
		{
			Name:        "release",
			Description: "50 notes by racing operators with lost answers",
			Run:         releaseNotes,
		},
		{
			Name:        "partition",
			Description: "zones cut off from the others, from the platform or from both",
			Run:         partition,
		},
		{
			Name:        "cold-start",
			Description: "time to the first answer after all processes start",
			Run:         coldStart,
		},
		{
			Name:        "control-cost",
			Description: "processor time, memory and control traffic of idle hosts",
			Run:         controlCost,
		},
		{
			Name:        "store-budget",
			Description: "store calls under load and after an outage",
			Run:         storeBudget,
		},
	}
}
