package schedule

import "time"

// unrecordedStart is the start of a long-running task that is sent once its
// placement is in the store, so that a new leader needs to hear only from that
// worker before it may start the task elsewhere. Other tasks start too often
// for a write each.
type unrecordedStart struct {
	start Start
	// version is that of the job's progress with the placement.
	version int64
}

// sendStart orders the start of a task that has a claim.
func (b *Board) sendStart(j *job, step *stepState, start Start) {
	t := step.tasks[start.Key.Index]
	held := b.workers[start.Worker].claims[start.Key]
	held.startDue = true
	t.located, j.hasLocated = true, true
	b.addLastWorker(t, b.workers[start.Worker])
	if step.spec.LongRunning {
		b.markChanged(j)
		j.placed = j.version
		b.unrecordedStarts = append(b.unrecordedStarts, unrecordedStart{
			start:   start,
			version: j.version,
		})
		return
	}
	held.unanswered++
	b.effects.Starts = append(b.effects.Starts, start)
}

// sendRecordedStarts orders the starts whose placements are in the store.
func (b *Board) sendRecordedStarts(now time.Time) {
	var later []unrecordedStart
	for _, next := range b.unrecordedStarts {
		w, j := b.workers[next.start.Worker], b.jobs[next.start.Key.Job]
		if w == nil || j == nil {
			continue
		}
		held := w.claims[next.start.Key]
		switch {
		case held == nil || held.run != next.start.Run:
		case !held.stopping.IsZero() || !b.isOpen(next.start.Key) || !b.usable(w, now) || b.overcommitted(w) || !held.stillAdmits():
			// Nothing was sent, so that there is nothing to wait for.
			b.release(w, next.start.Key, now)
		case j.durable < next.version || b.startsLeft <= 0:
			later = append(later, next)
		default:
			b.startsLeft--
			held.unanswered++
			b.effects.Starts = append(b.effects.Starts, next.start)
		}
	}
	b.unrecordedStarts = later
}

// TrustPlacements says that every earlier leader recorded the placements of the
// long-running tasks of the inherited jobs known so far.
func (b *Board) TrustPlacements() {
	for _, j := range b.inheritedJobs() {
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				if !step.spec.LongRunning {
					continue
				}
				j.hasLocated = true
				for _, t := range step.tasks {
					t.located = true
				}
			}
		}
	}
}

// PlacementsRecorded reports whether the store has the placement of every
// long-running task that may be running. That is not known before all workers
// are accounted for.
func (b *Board) PlacementsRecorded(now time.Time) bool {
	if !b.allAccountedFor(now) {
		return false
	}
	for _, j := range b.open {
		if j.rank.LongRunning && j.durable < j.version {
			return false
		}
	}
	return true
}
