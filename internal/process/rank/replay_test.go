package rank

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	replayTick  = 20 * time.Millisecond
	replayStart = 1000 // seconds since the epoch
)

// replayJob is a job of equal tasks in a replay.
type replayJob struct {
	id, queue    string
	priority     int
	arrived      time.Duration
	tasks, cores int
	runTime      time.Duration
	objective    time.Duration

	waiting, left int
	rank          Candidate
	finished      time.Duration
}

func (j *replayJob) work() float64 {
	return float64(j.tasks*j.cores) * j.runTime.Seconds()
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
	jobs  []*replayJob
	open  []*replayJob
	runs  []replayRun
	short bool
	mean  float64
}

func newReplay(rules Rules, workers, cores int) *replay {
	r := &replay{
		order: NewOrder(rules),
	}
	for range workers {
		r.free = append(r.free, cores)
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
	byRank := map[*Candidate]*replayJob{}
	var candidates []*Candidate
	for _, j := range r.open {
		r.rankJob(j, now)
		byRank[&j.rank] = j
		candidates = append(candidates, &j.rank)
	}
	r.order.Sort(candidates)
	r.short = false
	for _, c := range candidates {
		j := byRank[c]
		for j.waiting > 0 && r.start(j, now) {
			r.order.Started(c, j.work()/float64(j.tasks), at)
		}
		r.short = r.short || j.waiting > 0
	}
}

func (r *replay) rankJob(j *replayJob, now time.Duration) {
	class, chance := Lateness(now-j.arrived, j.objective, j.runTime)
	j.rank = Candidate{
		ID:       j.id,
		Priority: j.priority,
		Class:    class,
		Chance:   chance,
		Density:  Density(j.work(), r.mean, j.work()*float64(j.left)/float64(j.tasks)),
		Short:    r.short,
	}
}

// start starts a task on the worker with the least free cores that fits.
func (r *replay) start(j *replayJob, now time.Duration) bool {
	best := -1
	for w, free := range r.free {
		if free >= j.cores && (best < 0 || free < r.free[best]) {
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
