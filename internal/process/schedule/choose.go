package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/reserve"
	"mustardreach.example/mustardreach/internal/request/work"
)

// chooseWorker picks the worker for a task: near its data first, then the
// worker with the least free capacity (best fit), so that large tasks still
// find a place. Serving tasks are spread out instead, unless quick tasks need the
// pieces that this would break up, and fillers go where most cores are unused. It
// returns nil if no worker fits.
func (b *Board) chooseWorker(step *stepState, t *task, pool []*workerState) *workerState {
	if held, ok := b.reservations[t.key]; ok && !step.spec.LongRunning {
		return b.reservedWorker(held, step, t, pool)
	}
	var best *workerState
	var bestScore float64
	piece := int64(0)
	if b.packs(step) && len(pool) > 0 {
		piece = b.pieceOf(pool[0].Service)
	}
	for _, w := range pool {
		if !b.fits(w, step, t) {
			continue
		}
		score := b.score(w, step, t, piece)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// reservedWorker returns the worker on which capacity is kept for the task, or nil
// if it may not run there now.
func (b *Board) reservedWorker(held reservation, step *stepState, t *task, pool []*workerState) *workerState {
	w := b.workers[held.worker]
	if w != nil && slices.Contains(pool, w) && held.size.FitsIn(w.Capacity.Sub(w.used)) && b.eligible(w, step, t) {
		return w
	}
	return nil
}

// fits reports whether the task may run on the worker beside what is claimed and
// reserved there. A long-running task that has been down for long takes reserved
// capacity too, but for what is kept for other such tasks.
func (b *Board) fits(w *workerState, step *stepState, t *task) bool {
	return b.misfit(w, step, t) == NotExcluded
}

// misfit returns why the task may not run on a worker of the pool now.
func (b *Board) misfit(w *workerState, step *stepState, t *task) Exclusion {
	free := w.free()
	if b.longDown(step, t, b.now) {
		free = w.Capacity.Sub(w.used).Sub(w.keptForRestarts)
	}
	if !reservedSize(step.spec).FitsIn(free) {
		return InsufficientCapacity
	}
	return b.ineligible(w, step, t)
}

// eligible reports whether the task may run on the worker, apart from the free
// capacity.
func (b *Board) eligible(w *workerState, step *stepState, t *task) bool {
	return b.ineligible(w, step, t) == NotExcluded
}

// lacksLabel reports whether the worker lacks the label that a step requires.
func (w *workerState) lacksLabel(spec *work.Step) bool {
	return spec.Label != "" && !slices.Contains(w.Labels, spec.Label)
}

// ineligible returns why the task may not run on the worker, whatever is free there.
func (b *Board) ineligible(w *workerState, step *stepState, t *task) Exclusion {
	spec := step.spec
	switch {
	case w.lacksLabel(spec):
		return LabelMissing
	case spec.Spread != 0 && w.steps[stepOf(t.key)] >= spec.Spread:
		return SpreadReached
	case spec.Filler && w.idle < spec.Size.MilliCores:
		return InsufficientCapacity
	case b.interferes(w, spec) && !b.starving(t.key.Job, spec):
		return Interfering
	}
	return NotExcluded
}

const (
	// starvationTimeout is how long a job of fillers may have nothing running,
	// to protect the tail latency of others, while utilization is low. Then one
	// filler is placed where it interferes least, to be throttled there.
	starvationTimeout = time.Second
	// busyStarvationTimeout is the same while utilization is not low. Only fillers
	// that run renew the estimates of interference, so one that is too high would
	// keep a job waiting for good. It is also the least time between two fillers that
	// a service takes so, as each costs others some of their speed.
	busyStarvationTimeout = 3 * time.Second
	// lowUtilizationBound is the allocated share of a service's cores below which
	// its utilization is low: users expect work to progress while much capacity is
	// free.
	lowUtilizationBound = 0.65
)

// starving reports whether a job with such a step has had nothing running for too long
// and may be given a worker that it would otherwise not get.
func (b *Board) starving(id string, spec *work.Step) bool {
	j := b.open[id]
	if j == nil {
		return false
	}
	idle := b.now.Sub(j.idleSince)
	switch {
	case j.gangStarves:
		return true
	case j.claims > 0 || idle <= starvationTimeout:
		return false
	}
	use := b.utilization[b.serviceOf(j)]
	switch {
	case use == nil:
		return false
	case use.low:
		return true
	}
	last := latestOf(use.interferedAt, j.triedAt)
	return spec.Filler && idle > busyStarvationTimeout && b.now.Sub(last) > busyStarvationTimeout
}

// noteTrial notes that a starving job has found no worker. In a busy service it is
// starving again after busyStarvationTimeout: the search goes through all workers.
func (b *Board) noteTrial(j *job, spec *work.Step) {
	if spec.Filler && b.starving(j.work.ID, spec) {
		j.triedAt = b.now
	}
}

// interferes reports whether a filler would take too much from serving tasks of the
// worker.
func (b *Board) interferes(w *workerState, spec *work.Step) bool {
	return spec.Filler && b.interferenceCost(w, spec.Image, spec.Size.MilliCores) > maxInterferenceCost
}

// Weights of a worker's score. Each is well above the next, so that they decide
// in this order: avoid the worker where the task failed last, keep tasks that
// may crash their workers apart, avoid suspect workers, prefer the data's rack,
// leave racks to the tasks that wait for them, then compare free capacity.
const (
	weightAvoid     = 1000.0
	weightIsolation = 40.0
	weightLocality  = 10.0
	weightHealth    = 20.0
	weightAwaited   = 5.0
	// weightInterference weighs the headroom that a filler takes against unused
	// cores.
	weightInterference = 2.0
	// weightAffinity weighs same-image affinity against free capacity.
	weightAffinity = 2.0
	// maxInterferenceCost is the part of a serving task's headroom above its
	// target that a filler may take. The rest is left for variations of the
	// serving task's own load.
	maxInterferenceCost = 0.6
)

func (b *Board) score(w *workerState, step *stepState, t *task, piece int64) float64 {
	spec, score := step.spec, 0.0
	if t.avoid == w.ID {
		score -= weightAvoid
	}
	if w.health.suspect() {
		score -= weightHealth
	}
	if rack := step.preferredRack(); rack != "" && w.onRack(rack) {
		score += weightLocality
	} else if b.placement.awaited(w, rack) {
		score -= weightAwaited
	}
	score -= weightIsolation * float64(w.suspicion)
	free := w.Capacity.Sub(w.used)
	freeShare := ratio(free.MilliCores, w.Capacity.MilliCores)
	switch {
	case len(t.crashes) > 0:
		// The fewer tasks run beside it, the fewer may be lost with it.
		return score + freeShare
	case spec.Filler:
		return score + ratio(w.idle, w.Capacity.MilliCores) - weightInterference*b.interferenceCost(w, spec.Image, spec.Size.MilliCores)
	case spec.LongRunning && piece > 0:
		lost := reserve.PiecesLost(free.MilliCores, spec.Size.MilliCores, piece)
		return score - weightPieces*float64(lost) - freeShare
	case spec.TailTarget > 0:
		return score + freeShare + weightAffinity*b.imageAffinity(w, spec.Image)
	}
	return score - freeShare
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// servingCoreShare is the part of a serving task's cores that it is estimated
// to use when fillers are placed beside it.
const servingCoreShare = 0.45

// imageAffinity rates a worker's serving tasks for a serving image, from -1
// (all of other images) to 1 (all of this image). Serving images are kept
// together, so that a filler which interferes with only some of them still
// finds workers without those.
func (b *Board) imageAffinity(w *workerState, image string) float64 {
	all := 0
	for _, count := range w.serving {
		all += count
	}
	if all == 0 {
		return 0
	}
	return float64(2*w.serving[image]-all) / float64(all)
}

// placeGang starts all tasks of a gang step at once, or none.
func (b *Board) placeGang(j *job, step *stepState, pool []*workerState, now time.Time) {
	if !b.mayStartAll(j, step) {
		return
	}
	if step.waiting != len(step.tasks) {
		b.breakGang(step)
		return
	}
	if now.Before(step.tasks[0].notBefore) || !j.admits(step) {
		return
	}
	if b.preference(j, step, pool, now).groupWaits() {
		return
	}
	run, everClaimed, idleSince := b.nextRun(), j.everClaimed, j.idleSince
	chosen := make([]*workerState, 0, len(step.tasks))
	j.gangStarves = b.starving(j.work.ID, step.spec)
	defer func() { j.gangStarves = false }()
	for _, t := range step.tasks {
		w := b.chooseWorker(step, t, pool)
		if w == nil {
			break
		}
		b.claim(w, j, step, t, run, now)
		chosen = append(chosen, w)
	}
	if len(chosen) < len(step.tasks) {
		// Nothing was sent: the tasks and the job stay as they were.
		for i, w := range chosen {
			t := step.tasks[i]
			endedAt, confirmAfter := t.endedAt, t.confirmAfter
			b.release(w, t.key, now)
			t.endedAt, t.confirmAfter = endedAt, confirmAfter
		}
		j.everClaimed, j.idleSince = everClaimed, idleSince
		return
	}
	b.startsLeft -= len(step.tasks)
	j.account.Started(now)
	checkpoint := gangCheckpoint(step)
	for i, t := range step.tasks {
		b.placed(j, step, t, chosen[i], now)
		b.sendStart(j, step, Start{
			Worker:     chosen[i].ID,
			Key:        t.key,
			Run:        run,
			Spec:       j.work.Spec,
			Checkpoint: checkpoint,
			Ticket:     step.ticketFor(chosen[i].ID),
		})
	}
}

// gangCheckpoint returns the checkpoint that all members resume from.
func gangCheckpoint(step *stepState) string {
	for _, t := range step.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// breakGang stops the remaining members of a gang that has lost one.
func (b *Board) breakGang(step *stepState) {
	for _, t := range step.tasks {
		if t.phase == claimed {
			b.stop(t.worker, t.key, t.run, "gang_incomplete")
		}
	}
}
