package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// pendingEnd is an end whose effect may not be in the store yet.
type pendingEnd struct {
	number  int64
	job     string
	version int64
}

// LastSeen is the highest end that the worker may forget, and the life that
// it was counted in.
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
	return w.lastSeen, w.life
}

// Undurable tells whether ends of the worker wait for the store.
func (b *Board) Undurable(id string) bool {
	_, _ = b.LastSeen(id)
	w := b.workers[id]
	return w != nil && len(w.ends) > 0
}

// Heard takes a worker's inventory in and returns the ends that are news.
func (b *Board) Heard(id string, inventory Inventory, now time.Time) []EndedTask {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return nil
	}
	switch {
	case w.life.IsZero():
		w.life = inventory.Born
	case inventory.Born.After(w.life):
		b.reborn(w, inventory.Born, now)
	case inventory.Born.Before(w.life):
		return nil // an answer of a former life that was overtaken
	}
	if w.heardUnder != b.token {
		// From here on nobody else can extend what runs there.
		w.leaseEnd = now.Add(b.longestLease())
	}
	w.heardUnder, w.heard, w.reachable, w.closed = b.token, now, true, false
	news := b.takeEnds(w, inventory.Ended, now)
	b.takeRunning(w, inventory, now)
	b.observeTails(w)
	return news
}

func (b *Board) takeEnds(w *workerState, ended []EndedTask, now time.Time) []EndedTask {
	var news []EndedTask
	for _, end := range ended {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		job, version := b.takeEnd(w, end, now)
		w.ends = append(w.ends, pendingEnd{
			number:  end.Number,
			job:     job,
			version: version,
		})
		news = append(news, end)
	}
	return news
}

func (b *Board) takeRunning(w *workerState, inventory Inventory, now time.Time) {
	listed := make(map[work.TaskKey]int64, len(inventory.Running))
	for _, row := range inventory.Running {
		listed[row.Key] = row.Run
		held := w.claims[row.Key]
		if held == nil || held.run != row.Run {
			held = b.adopt(w, row, now)
		}
		if held != nil {
			b.observe(held, row, inventory.Sent, now)
		}
	}
	for key, held := range w.claims {
		if run, ok := listed[key]; ok && run == held.run {
			continue
		}
		// The run is not there. That is final only if the worker had confirmed
		// it, or has barred it, before this call was sent.
		if !held.barred.IsZero() && inventory.Sent.After(held.barred.Add(b.config.StopGrace)) ||
			held.sure && inventory.Sent.After(held.started) {
			b.release(w, key, now)
		}
	}
}

// adopt takes over a run that an earlier holder started, or has it stopped.
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
	if b.open[row.Key.Job] == nil || t.phase != waiting {
		// Nobody waits for it, but it takes its room until it has ended.
		held := newClaim(step.spec, row.Run, now)
		held.sure, held.foreign = true, true
		w.book(row.Key, held)
		b.stop(w.ID, row.Key, row.Run, "not_wanted")
		return nil
	}
	held := b.claim(w, j, step, t, row.Run, now)
	held.sure = true
	j.progress.Began = true
	return held
}

func (b *Board) observe(held *claim, row RunningTask, sent, now time.Time) {
	held.sure = true
	held.confirmed = sent
	if !held.barred.IsZero() && sent.After(held.barred.Add(stopRepeats*b.config.StopGrace)) {
		held.barred, held.stopping = time.Time{}, time.Time{} // the stop was lost
	}
	if row.Percent != held.progress {
		held.progress, held.moved = row.Percent, now
	}
	if held.filler {
		held.inUse = row.MilliCores
	}
	if held.serving {
		held.latency = row.Tail
		if held.target > 0 && float64(row.Tail)*shortHeadroom > float64(held.target) {
			if held.over.IsZero() {
				held.over = now
			}
		} else {
			held.over = time.Time{}
		}
	}
	if j := b.jobs[row.Key.Job]; j != nil {
		if _, _, t := j.find(row.Key); t != nil && t.run == row.Run && row.Checkpoint != "" {
			t.checkpoint = row.Checkpoint
		}
	}
}
