package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// Ask wants tickets for a step: only workers with one may run its tasks.
type Ask struct {
	// Step is the key of the step's first task.
	Step    work.TaskKey
	Workers []string
	// Patience is how long the answer takes at most when nobody waits before.
	Patience time.Duration
}

// ticket admits a step to one life of a worker.
type ticket struct {
	text  string
	life  time.Time
	until time.Time
}

// advice is what is known of who may run a step.
type advice struct {
	tickets map[string]ticket
	// denied are workers that were asked for and not granted; that stays.
	denied map[string]bool
	asking bool
	// askAfter delays the next question after one that failed.
	askAfter time.Time
}

const (
	// askWorkers is how many workers one question names: each takes time.
	askWorkers = 30
	// askPause is the time between two questions for a step when one went
	// unanswered or brought nothing.
	askPause = 500 * time.Millisecond
	// ticketMargin is kept of a ticket's term for the start to arrive.
	ticketMargin = 200 * time.Millisecond
)

// admitted returns the workers with a ticket for the step, and asks for more
// when none of them has room. Load pattern: a policy outside of us allows a few
// workers only, and takes its time to say which.
func (b *Board) admitted(queue catalog.Queue, step *stepState, pool []*workerState, now time.Time) []*workerState {
	if step.advice == nil {
		step.advice = &advice{
			tickets: map[string]ticket{},
			denied:  map[string]bool{},
		}
	}
	var out, unknown []*workerState
	room := false
	for _, w := range pool {
		held, ok := step.advice.tickets[w.ID]
		switch {
		case ok && held.life.Equal(w.life) && now.Add(ticketMargin).Before(held.until):
			out = append(out, w)
			room = room || b.fits(w, step, step.tasks[0])
		case !step.advice.denied[w.ID] && b.fits(w, step, step.tasks[0]):
			unknown = append(unknown, w)
		}
	}
	if !room && len(unknown) > 0 && !step.advice.asking && !now.Before(step.advice.askAfter) {
		b.ask(queue, step, unknown)
	}
	return out
}

func (b *Board) ask(queue catalog.Queue, step *stepState, workers []*workerState) {
	slices.SortFunc(workers, func(a, c *workerState) int {
		return cmp.Or(-cmp.Compare(a.free().MilliCores, c.free().MilliCores), cmp.Compare(a.ID, c.ID))
	})
	workers = workers[:min(len(workers), askWorkers)]
	step.advice.asking = true
	one := Ask{
		Step:     step.tasks[0].key,
		Patience: queue.DecideTime + time.Duration(len(workers))*queue.EachTime,
	}
	for _, w := range workers {
		one.Workers = append(one.Workers, w.ID)
	}
	b.effects.Asks = append(b.effects.Asks, one)
}

// Advised takes the answer to a question in: tickets by worker, valid for term
// from when the question was sent. Ok is false if no answer came.
func (b *Board) Advised(one Ask, granted map[string]string, term time.Duration, sent time.Time, ok bool, now time.Time) {
	j := b.jobs[one.Step.Job]
	if j == nil {
		return
	}
	_, step, _ := j.find(one.Step)
	if step == nil || step.advice == nil {
		return
	}
	step.advice.asking = false
	if !ok || len(granted) == 0 {
		step.advice.askAfter = now.Add(askPause)
	}
	if !ok {
		return
	}
	for _, id := range one.Workers {
		w := b.workers[id]
		text, admitted := granted[id]
		switch {
		case w == nil:
		case admitted:
			step.advice.tickets[id] = ticket{
				text:  text,
				life:  w.life,
				until: sent.Add(term),
			}
		default:
			step.advice.denied[id] = true
		}
	}
}

// ticketFor is the ticket that a start on the worker carries, if one is needed.
func (s *stepState) ticketFor(worker string) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[worker].text
}
