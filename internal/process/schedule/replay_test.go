package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/rank"
	"mustardreach.example/mustardreach/internal/request/work"
)

const replayTick = 50 * time.Millisecond

// replayJob is a job of one step in a replay. Tasks run for their estimate.
type replayJob struct {
	spec *work.Job
	// at is when the board learns of the job, age how long ago it was accepted.
	at, age  time.Duration
	left     int
	finished time.Duration
}

type replayRun struct {
	key  work.TaskKey
	run  int64
	ends time.Duration
}

// boardReplay serves a load on a board whose workers report at each tick.
type boardReplay struct {
	board *Board
	ids   []string
	jobs  []*replayJob
	byID  map[string]*replayJob
	runs  map[string][]replayRun
	ended map[string][]EndedTask
}

func newBoardReplay(rules rank.Rules, workers int) *boardReplay {
	r := &boardReplay{
		byID:  map[string]*replayJob{},
		runs:  map[string][]replayRun{},
		ended: map[string][]EndedTask{},
	}
	for i := range workers {
		r.ids = append(r.ids, fmt.Sprintf("w%02d", i))
	}
	r.board = testBoard(r.ids...)
	r.board.order = rank.NewOrder(rules)
	return r
}

// add adds a job of one step. age is how long ago it was accepted when it
// arrives.
func (r *boardReplay) add(at, age time.Duration, step work.Step) *replayJob {
	spec := testJob(fmt.Sprintf("%05d", len(r.jobs)), "plans", step)
	j := &replayJob{
		spec: spec,
		at:   at,
		age:  age,
		left: step.Count,
	}
	r.jobs = append(r.jobs, j)
	r.byID[spec.ID] = j
	return j
}

func (r *boardReplay) run(length time.Duration) {
	slices.SortStableFunc(r.jobs, func(a, c *replayJob) int { return cmp.Compare(a.at, c.at) })
	next := 0
	for elapsed := time.Duration(0); elapsed < length; elapsed += replayTick {
		now := testStart.Add(elapsed)
		for ; next < len(r.jobs) && r.jobs[next].at <= elapsed; next++ {
			j := r.jobs[next]
			j.spec.Accepted = now.Add(-j.age)
			r.board.AddJob(j.spec, nil, false, now, now)
		}
		for _, id := range r.ids {
			r.report(id, elapsed)
		}
		effects := r.board.Decide(now, true)
		accept(r.board, effects, now)
		for _, start := range effects.Starts {
			r.runs[start.Worker] = append(r.runs[start.Worker], replayRun{
				key:  start.Key,
				run:  start.Run,
				ends: elapsed + r.byID[start.Key.Job].spec.Steps[start.Key.Step].Estimate,
			})
		}
		save(r.board)
	}
}

// report ends the runs of a worker that are due and reports the others.
func (r *boardReplay) report(id string, elapsed time.Duration) {
	now := testStart.Add(elapsed)
	inventory := Inventory{
		Born:     testBorn,
		Sent:     now,
		Received: now,
	}
	var running []replayRun
	for _, run := range r.runs[id] {
		if run.ends > elapsed {
			running = append(running, run)
			inventory.Running = append(inventory.Running, RunningTask{
				Key:     run.key,
				Run:     run.run,
				Percent: int(elapsed / replayTick % 100),
			})
			continue
		}
		inventory.Ended = append(inventory.Ended, EndedTask{
			Number: int64(len(r.ended[id]) + 1),
			Key:    run.key,
			Run:    run.run,
			Ending: EndedDone,
		})
		r.ended[id] = append(r.ended[id], inventory.Ended[len(inventory.Ended)-1])
		j := r.byID[run.key.Job]
		if j.left--; j.left == 0 {
			j.finished = elapsed
		}
	}
	r.runs[id] = running
	r.board.ApplyReport(id, inventory, now)
	r.board.Confirmed(now)
}

// met is the share of the selected jobs that were done within a multiple of
// their objective, which is that of the test queues.
func (r *boardReplay) met(multiple int, selected func(j *replayJob) bool) float64 {
	all, done := 0, 0
	for _, j := range r.jobs {
		if !selected(j) {
			continue
		}
		all++
		objective := 2*j.spec.Steps[0].Estimate + time.Second
		if j.finished > 0 && j.finished-j.at+j.age <= time.Duration(multiple)*objective {
			done++
		}
	}
	return float64(done) / float64(max(1, all))
}
