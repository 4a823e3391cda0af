package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Pauses after a refusal. Each is a few times the longest interval between two
// answers of a worker, so that the next try uses a newer report.
const (
	pauseNoRoom    = 300 * time.Millisecond
	pauseUnhealthy = time.Second
	pauseRetry     = 200 * time.Millisecond
	// maxRetries is how often a start without an answer is sent again.
	maxRetries = 2
)

// StartReplied applies the answer to a start.
func (b *Board) StartReplied(start Start, verdict Verdict, now time.Time) {
	b.now = now
	w := b.workers[start.Worker]
	if w == nil {
		return
	}
	held := w.claims[start.Key]
	if held == nil || held.run != start.Run {
		return
	}
	held.startDue = false
	if verdict == NoTicket {
		b.dropTicket(start, now)
	}
	if verdict != Unknown {
		held.unanswered--
	}
	switch verdict {
	case Accepted:
		b.noteBegun(start.Key, held, now)
		held.started = now
		if j := b.jobs[start.Key.Job]; j != nil {
			j.progress.Started = true
		}
	case Unknown:
		b.retryStart(w, held, start)
	case Fenced:
		b.fenced = true
		b.release(w, start.Key, now)
	default:
		b.handleRefusal(w, start.Key, verdict, now)
	}
}

// retryStart repeats a start that got no answer, or stops its run if it was
// retried too often or its job has ended. A worker that does not restart starts
// a run at most once; see handleRestart for one that does.
func (b *Board) retryStart(w *workerState, held *claim, start Start) {
	held.retries++
	if held.retries <= maxRetries && held.stopping.IsZero() && b.isOpen(start.Key) {
		held.startDue = true
		b.pendingRetries = append(b.pendingRetries, start)
		return
	}
	b.stop(w.ID, start.Key, start.Run, "no_answer")
}

// isOpen reports whether the task's job is still open.
func (b *Board) isOpen(key work.TaskKey) bool {
	return b.open[key.Job] != nil
}

func (b *Board) handleRefusal(w *workerState, key work.TaskKey, verdict Verdict, now time.Time) {
	if held := w.claims[key]; held != nil && (held.retries > 0 || verdict == Outdated) {
		if verdict == Outdated {
			// The run ended or was barred there; the next poll shows which.
			held.barred = now
			return
		}
		// An earlier copy of the start may still begin the run.
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

// StopReplied applies the answer to a stop.
func (b *Board) StopReplied(stop Stop, verdict Verdict, now time.Time) {
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
	if held == nil || held.run != stop.Run || !stop.Incarnation.Equal(w.incarnation) {
		return // of a claim that has ended, or for the incarnation before
	}
	if verdict == Accepted {
		held.barred = now
		return
	}
	held.stopping = time.Time{} // so that the stop can be sent again
}

// stop asks a worker to end a run, unless a stop is pending or was answered.
func (b *Board) stop(id string, key work.TaskKey, run int64, reason string) {
	next := Stop{
		Worker: id,
		Key:    key,
		Run:    run,
		Reason: reason,
	}
	if w := b.workers[id]; w != nil {
		if held := w.claims[key]; held != nil && held.run == run {
			if !held.stopping.IsZero() || !held.barred.IsZero() {
				return
			}
			held.stopping, next.Incarnation = b.now, w.incarnation
		}
	}
	b.effects.Stops = append(b.effects.Stops, next)
}

// ThrottleReplied applies the answer to a change of the throttle level.
func (b *Board) ThrottleReplied(order Throttle, verdict Verdict) {
	w := b.workers[order.Worker]
	if w == nil || verdict == Accepted {
		return
	}
	if held := w.claims[order.Key]; held != nil && held.run == order.Run {
		held.throttle = unknownThrottle
	}
}
