package schedule

import (
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// termsOf returns what binds a job, and whether it is known: what its queue says in the
// configuration in force or, once that lacks the queue, what the queue said last. Of a job
// that an earlier release has accepted, that is known only while the queue is there.
func (b *Board) termsOf(j *job) (work.Terms, bool) {
	if queue, ok := b.catalog.Queues[j.work.Queue]; ok {
		return queue.Terms(), true
	}
	if j.terms != nil {
		return *j.terms, true
	}
	return work.Terms{
		Service: j.work.Service,
	}, false
}

// keepTerms keeps the terms of the open jobs whose queues leave the configuration with
// a new version. They are recorded with the job unless they are those of its acceptance.
func (b *Board) keepTerms(newest *catalog.Catalog) {
	removed := map[string]work.Terms{}
	for name := range b.catalog.Queues {
		if _, ok := newest.Queues[name]; !ok {
			queue := b.catalog.Queues[name]
			removed[name] = queue.Terms()
		}
	}
	if len(removed) == 0 {
		return
	}
	for _, j := range b.open {
		terms, ok := removed[j.work.Queue]
		if !ok || j.terms != nil && *j.terms == terms {
			continue
		}
		j.terms, j.progress.Terms = &terms, &terms
		b.markChanged(j)
	}
}
