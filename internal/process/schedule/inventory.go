package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/reserve"
	"mustardreach.example/mustardreach/internal/request/work"
)

// pendingEnd is an end that its worker may not forget yet.
type pendingEnd struct {
	number int64
	key    work.TaskKey
	// job and version name the record that must be in the store first. It has all
	// that the end has changed, or that no later leader could find without it.
	job     string
	version int64
}

// LastSeen returns the number of the last end that the worker may forget, and
// the incarnation of the worker that numbered it.
func (b *Board) LastSeen(id string) (int64, time.Time) {
	w := b.workers[id]
	if w == nil {
		return 0, time.Time{}
	}
	for len(w.ends) > 0 {
		first := w.ends[0]
		if j := b.jobs[first.job]; j != nil && j.durable < first.version {
			break
		}
		w.lastSeen = first.number
		w.ends = w.ends[1:]
	}
	return w.lastSeen, w.incarnation
}

// HasUnsavedEnds reports whether ends of the worker wait for a write to the
// store.
func (b *Board) HasUnsavedEnds(id string) bool {
	_, _ = b.LastSeen(id)
	w := b.workers[id]
	return w != nil && len(w.ends) > 0
}

// ApplyReport applies a worker's inventory and returns the ends that are new.
func (b *Board) ApplyReport(id string, inventory Inventory, now time.Time) []EndedTask {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return nil
	}
	if inventory.Born.Before(w.incarnation) && inventory.Sent.Before(w.lastReport) {
		return nil // a delayed answer of an earlier incarnation
	}
	b.resolveReport(id, inventory.Born, now)
	first := w.answeredAt != w.Address || !inventory.Born.Equal(w.incarnation)
	switch {
	case w.incarnation.IsZero():
		w.incarnation, w.firstReport = inventory.Born, now
		b.awaitConfirmation(w, w.knownSince(inventory.Born, now))
	case !inventory.Born.Equal(w.incarnation):
		// Born is earlier than before if the machine's wall clock was set back.
		b.handleRestart(w, inventory.Born, now)
	}
	if w.reportedToken != b.token {
		// From here on no other leader can extend the leases there.
		w.leaseEnd = now.Add(b.longestLease())
	}
	if inventory.Renewed {
		w.renewedAt = inventory.Sent
	}
	w.reportedToken, w.lastReport, w.reachable = b.token, now, true
	w.lost, w.answeredAt = false, w.Address
	if first {
		b.removeReplaced(now)
	}
	if !inventory.EndsOmitted {
		w.settledToken = b.token
	}
	newEnds := b.applyEnds(w, inventory.Ended, now)
	b.applyRunning(w, inventory, now)
	b.observeTails(w)
	return newEnds
}

func (b *Board) applyEnds(w *workerState, ended []EndedTask, now time.Time) []EndedTask {
	var newEnds []EndedTask
	for _, end := range ended {
		if end.Number <= w.lastProcessed {
			continue
		}
		w.lastProcessed = end.Number
		job, version := b.applyEnd(w, end, now)
		w.ends = append(w.ends, pendingEnd{
			number:  end.Number,
			key:     end.Key,
			job:     job,
			version: version,
		})
		newEnds = append(newEnds, end)
	}
	return newEnds
}

func (b *Board) applyRunning(w *workerState, inventory Inventory, now time.Time) {
	unclaimed := w.unclaimed
	w.unclaimed, w.difference, w.reportedCores = nil, Difference{}, 0
	listed := make(map[work.TaskKey]int64, len(inventory.Running))
	for _, row := range inventory.Running {
		listed[row.Key] = row.Run
		held := w.claims[row.Key]
		if held == nil || held.run != row.Run {
			held = b.adopt(w, row, now)
		}
		if held == nil {
			b.noteListed(w, row, unclaimed, now)
			continue
		}
		w.noteClaimed(held)
		b.observe(held, row, inventory.Sent, now)
		b.clearSuspect(w, row.Key, held)
	}
	for key, held := range w.claims {
		if run, ok := listed[key]; ok && run == held.run {
			continue
		}
		// The run is not listed. That is final only if the worker had confirmed
		// or barred it before this call was sent, and no end may be missing from the
		// report.
		ended := !held.barred.IsZero() && inventory.Sent.After(held.barred.Add(b.config.StopGrace)) ||
			held.confirmed && inventory.Sent.After(held.started)
		if ended && !inventory.EndsOmitted {
			b.release(w, key, now)
		} else {
			w.noteUnlisted(key, held, inventory.Sent, now)
		}
	}
}

// adopt assigns a run that an earlier leader started to its task, or has it
// stopped.
func (b *Board) adopt(w *workerState, row RunningTask, now time.Time) *claim {
	j := b.jobs[row.Key.Job]
	if j == nil {
		b.stop(w.ID, row.Key, row.Run, "no_such_job")
		return nil
	}
	_, step, t := j.find(row.Key)
	if t == nil || w.claims[row.Key] != nil {
		b.stop(w.ID, row.Key, row.Run, "not_wanted")
		return nil
	}
	if b.open[row.Key.Job] == nil || t.phase != waiting || t.departing {
		// No task needs the run, but it holds its capacity until it has ended.
		held := newClaim(j, step.spec, row.Run, now)
		held.confirmed, held.orphaned = true, true
		w.addClaim(row.Key, held)
		t.orphanedOn = append(t.orphanedOn, w.ID)
		b.stop(w.ID, row.Key, row.Run, "not_wanted")
		return nil
	}
	b.acquit(j, t, row.Run)
	held := b.claim(w, j, step, t, row.Run, now)
	held.confirmed = true
	if held.filler && row.MilliCores < held.requested {
		held.throttle = unknownThrottle // an earlier leader may have throttled it
	}
	if step.spec.LongRunning {
		if !slices.Contains(t.lastWorkers, w.ID) {
			b.markChanged(j)
		}
		// An earlier leader would have started another run only after the end of
		// this one, and ends of other runs change nothing.
		t.located, j.hasLocated = true, true
	}
	b.addLastWorker(t, w)
	j.progress.Started = true
	return held
}

func (b *Board) observe(held *claim, row RunningTask, sent, now time.Time) {
	b.noteBegun(row.Key, held, now)
	held.confirmedAt = sent
	if !held.barred.IsZero() && sent.After(held.barred.Add(stopRetryGraces*b.config.StopGrace)) {
		held.barred, held.stopping = time.Time{}, time.Time{} // the stop was lost
	}
	if row.Percent != held.progress {
		held.progress, held.lastProgress, held.stalled = row.Percent, now, false
		if held.longRunning && row.Percent == reserve.FullProgress {
			b.learnRestart(held, now)
		}
	}
	if held.filler {
		held.inUse = row.MilliCores
		if held.contradictsThrottle(sent) {
			held.throttle = unknownThrottle
		}
	}
	if held.serving {
		held.latency = row.Tail
		if held.target > 0 && float64(row.Tail)*nearTargetHeadroom > float64(held.target) {
			if held.overTargetSince.IsZero() {
				held.overTargetSince = now
			}
		} else {
			held.overTargetSince = time.Time{}
		}
	}
	if j := b.jobs[row.Key.Job]; j != nil {
		if _, _, t := j.find(row.Key); t != nil && t.run == row.Run && row.Checkpoint != "" {
			if t.checkpoint != row.Checkpoint {
				t.saved = row.Percent
			}
			t.checkpoint = row.Checkpoint
		}
	}
}
