package schedule

import (
	"fmt"
	"math"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shardsArrival is a long-running job and when it is submitted.
type shardsArrival struct {
	at   time.Duration
	spec *work.Job
}

func (sim *shardsSimulation) totalCores() float64 {
	return float64(sim.plan.shards * sim.plan.workersPerShard * shardsCores)
}

// planRush draws the long-running jobs, which are submitted within shardsRush.
func (sim *shardsSimulation) planRush() {
	for asked := 0.0; asked < sim.plan.longShare*sim.totalCores(); {
		spec := sim.newLongRunning()
		asked += float64(spec.Steps[0].Size.MilliCores * int64(spec.Steps[0].Count))
		sim.arrivals = append(sim.arrivals, shardsArrival{
			at:   shardsStep + sim.spread(0, shardsRush),
			spec: spec,
		})
	}
}

func (sim *shardsSimulation) newJob(queue string, steps ...work.Step) *work.Job {
	spec := testJob(fmt.Sprintf("%016x", sim.random.Uint64()), queue, steps...)
	spec.Accepted = sim.now
	return spec
}

// newLongRunning draws a job of 6 tasks of 1 to 10 cores. Half of the jobs have at
// most one task on a worker.
func (sim *shardsSimulation) newLongRunning() *work.Job {
	const count, images = 6, 16
	return sim.newJob("servers", work.Step{
		Count: count,
		Size: worker.Size{
			MilliCores: int64(1000 * math.Pow(10, sim.random.Float64())),
		},
		LongRunning: true,
		TailTarget:  150 * time.Millisecond,
		Image:       fmt.Sprintf("image%d", sim.random.IntN(images)),
		Spread:      sim.random.IntN(2),
	})
}

// newQuick draws a quick job and returns its work in core-seconds.
func (sim *shardsSimulation) newQuick() (*work.Job, float64) {
	queue, least, most, widest, largest := "quotes", 600*time.Millisecond, time.Second, 6, 6000
	if sim.random.IntN(2) == 0 {
		queue, least, most, widest, largest = "plans", 1500*time.Millisecond, 2700*time.Millisecond, 10, 3000
	}
	spec, total := sim.newJob(queue), 0.0
	for s := range 1 + sim.random.IntN(2) {
		step := work.Step{
			Count: 1 + sim.random.IntN(widest),
			Size: worker.Size{
				MilliCores: int64(1000 + sim.random.IntN(largest)),
			},
			Estimate: sim.spread(least, most),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		spec.Steps = append(spec.Steps, step)
		total += float64(step.Count) * float64(step.Size.MilliCores) / 1000 * step.Estimate.Seconds()
	}
	return spec, total
}

// submitLoad submits the jobs that are due.
func (sim *shardsSimulation) submitLoad() {
	for _, arrival := range sim.arrivals {
		if arrival.at <= sim.elapsed() && arrival.at > sim.elapsed()-shardsStep {
			arrival.spec.Accepted = sim.now
			sim.watched.add(sim.submit(arrival.spec))
			sim.disturb()
		}
	}
	for due := sim.plan.quickShare * sim.totalCores() / 1000 * sim.elapsed().Seconds(); sim.quickWork < due; {
		spec, total := sim.newQuick()
		sim.quickWork += total
		sim.submit(spec)
	}
	const afterRush = 3 * time.Second
	if sim.elapsed() > afterRush && sim.random.Float64() < sim.plan.replaced*shardsStep.Seconds() {
		sim.replaceLongRunning()
	}
}

// replaceLongRunning cancels a long-running job and submits another.
func (sim *shardsSimulation) replaceLongRunning() {
	open := sim.watched.openJobs(sim.store.jobs)
	if len(open) > 0 {
		sim.cancel(open[sim.random.IntN(len(open))])
	}
	sim.watched.add(sim.submit(sim.newLongRunning()))
}
