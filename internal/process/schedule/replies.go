package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// How long to keep away after a refusal. Each is a few times the longest pause
// between two answers of a worker, so that what was learned is still true.
const (
	pauseNoRoom    = 300 * time.Millisecond
	pauseUnhealthy = time.Second
	pauseRetry     = 200 * time.Millisecond
	mostRetries    = 2
)

// Replied takes the answer to a start in.
func (b *Board) Replied(start Start, verdict Verdict, now time.Time) {
	b.now = now
	w := b.workers[start.Worker]
	if w == nil {
		return
	}
	held := w.claims[start.Key]
	if held == nil || held.run != start.Run {
		return
	}
	switch verdict {
	case Accepted:
		held.sure = true
		held.started = now
		if j := b.jobs[start.Key.Job]; j != nil {
			j.progress.Began = true
		}
	case Unknown:
		b.repeat(w, held, start)
	case Fenced:
		b.fenced = true
		b.release(w, start.Key, now)
	default:
		b.refused(w, start.Key, verdict, now)
	}
}

// repeat sends a start again that got no answer: the worker takes it once.
func (b *Board) repeat(w *workerState, held *claim, start Start) {
	held.retries++
	if held.retries <= mostRetries && held.stopping.IsZero() && b.wanted(start.Key) {
		b.again = append(b.again, start)
		return
	}
	b.stop(w.ID, start.Key, start.Run, "no_answer")
}

// wanted tells whether the task's job is still to be run.
func (b *Board) wanted(key work.TaskKey) bool {
	return b.open[key.Job] != nil
}

func (b *Board) refused(w *workerState, key work.TaskKey, verdict Verdict, now time.Time) {
	if held := w.claims[key]; held != nil && (held.retries > 0 || verdict == Outdated) {
		if verdict == Outdated {
			// It ended or was barred there; the next look tells which.
			held.barred = now
			return
		}
		// An earlier sending may begin the run all the same.
		b.stop(w.ID, key, held.run, "no_answer")
		return
	}
	b.release(w, key, now)
	switch verdict {
	case NoRoom:
		w.blockedUntil = now.Add(pauseNoRoom)
	case Unhealthy, OtherWorker:
		w.blockedUntil = now.Add(pauseUnhealthy)
	}
	if j := b.open[key.Job]; j != nil {
		if _, _, t := j.find(key); t != nil {
			t.notBefore = now.Add(pauseRetry)
			if verdict == Malformed {
				t.notBefore = now.Add(pauseUnhealthy)
			}
		}
	}
}

// Stopped takes the answer to a stop in.
func (b *Board) Stopped(stop Stop, verdict Verdict, now time.Time) {
	b.now = now
	w := b.workers[stop.Worker]
	if w == nil {
		return
	}
	if verdict == Fenced {
		b.fenced = true
		return
	}
	held := w.claims[stop.Key]
	if held == nil || held.run != stop.Run {
		return
	}
	if verdict == Accepted {
		held.barred = now
		return
	}
	held.stopping = time.Time{} // asked again by the next look
}

// stop asks a worker to end a run, at most once in a while.
func (b *Board) stop(id string, key work.TaskKey, run int64, reason string) {
	if w := b.workers[id]; w != nil {
		if held := w.claims[key]; held != nil && held.run == run {
			if !held.stopping.IsZero() || !held.barred.IsZero() {
				return
			}
			held.stopping = b.now
		}
	}
	b.effects.Stops = append(b.effects.Stops, Stop{
		Worker: id,
		Key:    key,
		Run:    run,
		Reason: reason,
	})
}

// Paced takes the answer to a change of pace in.
func (b *Board) Paced(pace Pace, verdict Verdict) {
	w := b.workers[pace.Worker]
	if w == nil || verdict == Accepted {
		return
	}
	if held := w.claims[pace.Key]; held != nil && held.run == pace.Run {
		held.percent = unknownPace
	}
}
