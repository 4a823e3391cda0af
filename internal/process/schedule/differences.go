package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/request/work"
)

// Difference is a worker on which other runs are claimed than it reports.
type Difference struct {
	Worker string
	// Claimed and Reported are the millicores of all runs that are claimed there, and
	// of those that the newest report lists.
	Claimed, Reported int64
	// Since is when a report first differed in the run that has differed for longest,
	// which is the Run of the task Key. Listed is set if the worker lists that run and
	// it has no claim.
	Since  time.Time
	Key    work.TaskKey
	Run    int64
	Listed bool
}

// unclaimedRun is a run that a worker lists and that has no claim.
type unclaimedRun struct {
	key work.TaskKey
	run int64
}

// noteListed records that the newest report lists a run, and noteUnlisted that it
// lacks a claimed one.
func (b *Board) noteListed(w *workerState, row RunningTask, before map[unclaimedRun]time.Time, now time.Time) {
	if held := w.claims[row.Key]; held != nil && held.run == row.Run {
		w.noteClaimed(held)
		return
	}
	if j := b.jobs[row.Key.Job]; j != nil {
		if _, step, _ := j.find(row.Key); step != nil {
			w.reportedCores += reservedSize(step.spec).MilliCores
		}
	}
	run := unclaimedRun{
		key: row.Key,
		run: row.Run,
	}
	since, known := before[run]
	if !known {
		since = now
	}
	if w.unclaimed == nil {
		w.unclaimed = map[unclaimedRun]time.Time{}
	}
	w.unclaimed[run] = since
	w.difference.keepLongest(row.Key, row.Run, since, true)
}

// noteClaimed records that the newest report lists a claimed run.
func (w *workerState) noteClaimed(held *claim) {
	held.unlistedSince = time.Time{}
	w.reportedCores += held.size.MilliCores
}

func (w *workerState) noteUnlisted(key work.TaskKey, held *claim, sent, now time.Time) {
	if sent.Before(held.started) {
		return // the report may be older than the run
	}
	if held.unlistedSince.IsZero() {
		held.unlistedSince = now
	}
	w.difference.keepLongest(key, held.run, held.unlistedSince, false)
}

// keepLongest replaces the example by a run that has differed for longer.
func (d *Difference) keepLongest(key work.TaskKey, run int64, since time.Time, listed bool) {
	longer := d.Since.IsZero() || since.Before(d.Since) || since.Equal(d.Since) && compareKeys(key, d.Key) < 0
	if longer {
		d.Key, d.Run, d.Since, d.Listed = key, run, since, listed
	}
}

// Differences returns the workers whose reports have differed from their claims for
// longer than a time, the longest first. Starts and stops that are under way differ
// for a short time.
func (b *Board) Differences(longer time.Duration) []Difference {
	var out []Difference
	for id, w := range b.workers {
		since := w.difference.Since
		if since.IsZero() || !w.reachable || w.reportedToken != b.token || w.lastReport.Sub(since) <= longer {
			continue
		}
		found := w.difference
		found.Worker, found.Claimed, found.Reported = id, w.used.MilliCores, w.reportedCores
		out = append(out, found)
	}
	slices.SortFunc(out, func(a, c Difference) int {
		return cmp.Or(a.Since.Compare(c.Since), cmp.Compare(a.Worker, c.Worker))
	})
	return out
}
