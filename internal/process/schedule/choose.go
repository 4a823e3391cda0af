package schedule

import (
	"slices"
	"time"
)

// choose picks the worker for a task: where its data is, then the one that is
// left with the least room, so that large tasks still find a place. Tasks that
// serve users are spread instead, and fillers go where most is left unused.
func (b *Board) choose(step *stepState, t *task, pool []*workerState) *workerState {
	if held, ok := b.reservations[t.key]; ok {
		w := b.workers[held.worker]
		if w != nil && slices.Contains(pool, w) && held.size.Within(w.Capacity.Minus(w.used)) && b.suits(w, step, t) {
			return w
		}
		return nil
	}
	var best *workerState
	var bestScore float64
	for _, w := range pool {
		if !b.fits(w, step, t) {
			continue
		}
		score := b.score(w, step, t)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (b *Board) fits(w *workerState, step *stepState, t *task) bool {
	return roomOf(step.spec).Within(w.free()) && b.suits(w, step, t)
}

// suits tells whether the task may run on the worker, room apart.
func (b *Board) suits(w *workerState, step *stepState, t *task) bool {
	spec := step.spec
	if spec.Label != "" && !slices.Contains(w.Labels, spec.Label) {
		return false
	}
	if spec.Filler && (w.idle < spec.Size.MilliCores || !b.starving(t.key.Job) && b.clash(w, spec.Image, spec.Size.MilliCores) > mostClash) {
		return false
	}
	return spec.Spread == 0 || w.steps[stepOf(t.key)] < spec.Spread
}

const (
	// fillerPatience is how long a job of fillers may have nothing running for
	// the sake of others' tails while there is room; then one goes where it
	// disturbs least, to be paced.
	fillerPatience = time.Second
	// roomy is the share of the booked room below which that holds: users
	// expect work to go on while half is free.
	roomy = 0.65
)

// starving tells whether a job has had nothing running for too long.
func (b *Board) starving(id string) bool {
	j := b.open[id]
	return j != nil && b.roomLeft && j.claims == 0 && b.now.Sub(j.idleSince) > fillerPatience
}

// Weights of the choice. Each is far above the next, so that they decide in
// this order: not where it failed, near the data, then room.
const (
	weightAvoid  = 100.0
	weightNear   = 10.0
	weightHealth = 20.0
	// weightClash weighs the headroom that a filler takes against unused cores.
	weightClash = 2.0
	// weightKin weighs company of the same image against free room.
	weightKin = 2.0
	// mostClash is the part of a tail's headroom above its target that a filler
	// may take: the rest is for what its own load does meanwhile.
	mostClash = 0.6
)

func (b *Board) score(w *workerState, step *stepState, t *task) float64 {
	spec, score := step.spec, 0.0
	if t.avoid == w.ID {
		score -= weightAvoid
	}
	if w.health.suspect() {
		score -= weightHealth
	}
	if spec.Rack != "" && slices.Contains(w.Labels, spec.Rack) {
		score += weightNear
	}
	free := w.Capacity.Minus(w.used)
	left := ratio(free.MilliCores, w.Capacity.MilliCores)
	switch {
	case spec.Filler:
		return score + ratio(w.idle, w.Capacity.MilliCores) - weightClash*b.clash(w, spec.Image, spec.Size.MilliCores)
	case spec.TailTarget > 0:
		return score + left + weightKin*b.kin(w, spec.Image)
	}
	return score - left
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// servingShare is the part of a serving task's cores that it is reckoned to
// use when fillers are placed beside it.
const servingShare = 0.45

// kin is the part of the worker's serving tasks that are of the image. Serving
// images are kept together, so that a filler which only some of them can bear
// still finds workers without those.
func (b *Board) kin(w *workerState, image string) float64 {
	all := 0
	for _, count := range w.serving {
		all += count
	}
	if all == 0 {
		return 0
	}
	return float64(2*w.serving[image]-all) / float64(all)
}

// placeGang starts all tasks of a step at once, or none.
func (b *Board) placeGang(j *job, step *stepState, pool []*workerState, now time.Time) {
	if step.waiting != len(step.tasks) {
		b.breakGang(step)
		return
	}
	if now.Before(step.tasks[0].notBefore) {
		return
	}
	run := b.nextRun()
	chosen := make([]*workerState, 0, len(step.tasks))
	for _, t := range step.tasks {
		w := b.choose(step, t, pool)
		if w == nil {
			break
		}
		b.claim(w, j, step, t, run, now)
		chosen = append(chosen, w)
	}
	if len(chosen) < len(step.tasks) {
		for i, w := range chosen {
			b.release(w, step.tasks[i].key, now)
		}
		return
	}
	b.startsLeft -= len(step.tasks)
	checkpoint := gangCheckpoint(step)
	for i, t := range step.tasks {
		b.effects.Starts = append(b.effects.Starts, Start{
			Worker:     chosen[i].ID,
			Key:        t.key,
			Run:        run,
			Spec:       j.work.Spec,
			Checkpoint: checkpoint,
			Ticket:     step.ticketFor(chosen[i].ID),
		})
	}
}

// gangCheckpoint is one that all members resume from.
func gangCheckpoint(step *stepState) string {
	for _, t := range step.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// breakGang stops the rest of a gang of which a member is missing.
func (b *Board) breakGang(step *stepState) {
	for _, t := range step.tasks {
		if t.phase == claimed {
			b.stop(t.worker, t.key, t.run, "gang_incomplete")
		}
	}
}
