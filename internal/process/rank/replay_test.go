package rank

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	replayTick  = 20 * time.Millisecond
	replayStart = 1000 // seconds since the epoch
)

// replayJob is a job of equal tasks in a replay.
type replayJob struct {
	id, queue, zone string
	priority        int
	arrived         time.Duration
	tasks, cores    int
	runTime         time.Duration
	objective       time.Duration

	waiting, left int
	rank          Candidate
	finished      time.Duration
	place         Place
}

func (j *replayJob) work() float64 {
	return float64(j.tasks*j.cores) * j.runTime.Seconds()
}

func (j *replayJob) milliCores() int64 {
	return int64(j.cores) * 1000
}

type replayRun struct {
	job    *replayJob
	worker int
	ends   time.Duration
}

// replay serves a load on workers without a network: best fit, no failures.
type replay struct {
	order *Order
	free  []int
	// withheld is what places keep of the free cores for the rest of a decision.
	withheld []int
	jobs     []*replayJob
	open     []*replayJob
	runs     []replayRun
	short    bool
	mean     float64
}

// newReplay returns a replay on workers of eight cores.
func newReplay(rules Rules, workers int) *replay {
	r := &replay{
		order: NewOrder(rules),
	}
	for range workers {
		r.free = append(r.free, 8)
	}
	return r
}

func (r *replay) add(j *replayJob) {
	j.id = fmt.Sprintf("%05d", len(r.jobs))
	j.waiting, j.left = j.tasks, j.tasks
	r.jobs = append(r.jobs, j)
	r.mean += (j.work() - r.mean) / float64(len(r.jobs))
}

// run serves the jobs for a time.
func (r *replay) run(length time.Duration) {
	slices.SortStableFunc(r.jobs, func(a, c *replayJob) int { return cmp.Compare(a.arrived, c.arrived) })
	next := 0
	for now := time.Duration(0); now < length; now += replayTick {
		for ; next < len(r.jobs) && r.jobs[next].arrived <= now; next++ {
			r.open = append(r.open, r.jobs[next])
			r.arrive(r.jobs[next])
		}
		r.end(now)
		r.place(now)
	}
}

func (r *replay) end(now time.Duration) {
	r.runs = slices.DeleteFunc(r.runs, func(run replayRun) bool {
		if run.ends > now {
			return false
		}
		r.free[run.worker] += run.job.cores
		if run.job.left--; run.job.left == 0 {
			run.job.finished = now
		}
		return true
	})
	r.open = slices.DeleteFunc(r.open, func(j *replayJob) bool { return j.waiting == 0 })
}

func (r *replay) place(now time.Duration) {
	at := time.Unix(replayStart, 0).Add(now)
	candidates := make([]*Candidate, 0, len(r.open))
	for i, j := range r.open {
		r.rankJob(j, now)
		j.rank.Index = i
		candidates = append(candidates, &j.rank)
	}
	r.order.Sort(candidates)
	r.short = false
	r.withheld = make([]int, len(r.free))
	places := r.order.Places(len(r.free))
	for _, c := range candidates {
		j := r.open[c.Index]
		for j.waiting > 0 && r.start(j, now) {
			c.SetServed(1 - float64(j.waiting)/float64(j.tasks))
			r.order.Started(c, Start{
				Work:       j.work() / float64(j.tasks),
				RunTime:    j.runTime,
				MilliCores: j.milliCores(),
				At:         at,
			})
		}
		if j.waiting == 0 {
			continue
		}
		r.short = true
		c.Placed = places > 0 && r.order.Deserves(c, j.milliCores(), at)
		if c.Placed {
			places--
			r.keepPlace(j, at)
		}
	}
}

// keepPlace withholds the free cores of a worker from the jobs ranked behind.
func (r *replay) keepPlace(j *replayJob, at time.Time) {
	if !j.place.Valid(at) {
		best := -1
		for w, free := range r.free {
			if r.withheld[w] == 0 && (best < 0 || free > r.free[best]) {
				best = w
			}
		}
		if best < 0 {
			return
		}
		j.place = r.order.KeepPlace(strconv.Itoa(best), &j.rank, at)
	}
	w, _ := strconv.Atoi(j.place.Worker)
	r.withheld[w] += j.cores
}

func (r *replay) arrive(j *replayJob) {
	j.rank = Candidate{
		ID:       j.id,
		Priority: j.priority,
		Queue:    j.queue,
		Zone:     j.zone,
		Arrived:  time.Unix(replayStart, 0).Add(j.arrived),
		Work:     j.work(),
	}
	r.order.Arrived(&j.rank)
}

func (r *replay) rankJob(j *replayJob, now time.Duration) {
	class, chance := Lateness(now-j.arrived, j.objective, j.runTime)
	j.rank.Class, j.rank.Chance = class, chance
	j.rank.Density = Density(j.work(), r.mean, j.work()*float64(j.left)/float64(j.tasks))
	j.rank.Short = r.short
}

// start starts a task on the worker with the least free cores that fits.
func (r *replay) start(j *replayJob, now time.Duration) bool {
	best := -1
	for w, free := range r.free {
		if free-r.withheld[w] >= j.cores && (best < 0 || free < r.free[best]) {
			best = w
		}
	}
	if best < 0 {
		return false
	}
	r.free[best] -= j.cores
	j.waiting--
	r.runs = append(r.runs, replayRun{
		job:    j,
		worker: best,
		ends:   now + j.runTime,
	})
	return true
}

// met is the share of the jobs that were done within a multiple of their
// objective, of those selected.
func (r *replay) met(multiple int, selected func(j *replayJob) bool) float64 {
	all, done := 0, 0
	for _, j := range r.jobs {
		if !selected(j) {
			continue
		}
		all++
		if j.finished > 0 && j.finished-j.arrived <= time.Duration(multiple)*j.objective {
			done++
		}
	}
	return float64(done) / float64(max(1, all))
}

// seeded returns a generator with a fixed seed.
func seeded() *rand.Rand {
	return rand.New(rand.NewPCG(7, 11))
}
