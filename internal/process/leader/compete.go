package leader

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// observeLeadKey updates the state of the lead key from a view.
func (l *Leader) observeLeadKey(view store.View, now time.Time) {
	if view.Err != nil {
		l.watchFailedAt = view.Seen
		return
	}
	if view.Snapshot {
		l.observeLeadItems(view.Items, view.Revision, now)
		return
	}
	for _, event := range view.Events {
		if event.Key == l.config.Keys.Lead {
			l.observeLeadEvent(event, now)
		}
	}
}

// observeLeadItems updates the state of the lead key from a listing that began at
// a revision. What happened since then is in the events after it.
func (l *Leader) observeLeadItems(items []store.Item, revision int64, now time.Time) {
	for _, item := range items {
		if item.Key == l.config.Keys.Lead {
			l.leadKeySet(decodeMember(item), item.Revision)
			return
		}
	}
	l.leadKeyRemoved(revision, now)
}

func (l *Leader) observeLeadEvent(event store.Event, now time.Time) {
	if event.Removed {
		l.leadKeyRemoved(event.Revision, now)
		return
	}
	l.leadKeySet(decodeMember(event.Item), event.Revision)
}

// decodeMember returns the leader that a value of the lead key or the epoch names.
func decodeMember(item store.Item) Member {
	var member Member
	if err := cbor.Unmarshal(item.Value, &member); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "key", item.Key, "revision", item.Revision)
	}
	return member
}

// leadKeySet handles a write of the lead key. A newer key that names this process
// was written by an acquisition whose answer is still outstanding.
func (l *Leader) leadKeySet(member Member, revision int64) {
	if !l.leadKey.set(member, revision) {
		return
	}
	l.leaderChanged()
	if l.term != nil && revision > l.term.token && member.Incarnation != l.config.Self.Incarnation {
		l.stepDown("another host leads")
	}
}

// leadKeyRemoved handles that there was no lead key at a revision.
func (l *Leader) leadKeyRemoved(revision int64, now time.Time) {
	former := l.leadKey
	if !l.leadKey.remove(revision) {
		return
	}
	l.vacatedBy, l.vacantSince = former.revision, now
	l.acquireAt = now.Add(l.config.AcquireDelay)
	if now.Sub(l.watchFailedAt) < resumeTime && l.mayResume(former.member.Host) {
		l.acquireAt = now.Add(resumeTime + outageDelayFactor*l.config.AcquireDelay)
	}
	if l.yielding {
		l.yielding, l.yieldUntil = false, now.Add(resignDelay)
	}
	l.leaderChanged()
	if l.term != nil {
		l.term.lapse(now)
		l.acquireAt = now
	}
}

// mayResume reports whether the former leader may acquire its leadership again, by
// its host; the host is empty if this host has not heard of it.
func (l *Leader) mayResume(host string) bool {
	if host == "" {
		return true
	}
	return host != l.config.Self.Host && (l.config.Answers == nil || l.config.Answers(host))
}

func (l *Leader) leaderChanged() {
	l.config.LeaderChanged(l.leadKey.member)
	klog.InfoS("leader changed", "shard", l.config.Shard, "host", l.leadKey.member.Host, "token", l.leadKey.revision)
}

// compete tries to acquire the leadership when nobody holds it, or when an
// earlier incarnation of this host does.
func (l *Leader) compete(ctx context.Context, now time.Time) {
	if l.term != nil {
		if l.board.Fenced() {
			l.stepDown("fenced by a worker")
		}
		if l.term == nil || !l.term.unoccupied {
			return
		}
	}
	formerIncarnation := l.formerIncarnationLeads()
	others := l.otherDuties()
	unoccupied := l.leadKey.revision == 0 && !l.acquireAt.IsZero() && !now.Before(l.acquireDue())
	if l.acquiring || l.stopping || l.catalog.Version == 0 || (!unoccupied && !formerIncarnation) {
		return
	}
	if !l.reserveDuty(others) {
		return // the delay has changed
	}
	l.acquiring = true
	attempt := &acquisition{
		leader:      l,
		replace:     l.leadKey.revision,
		vacatedBy:   l.vacatedBy,
		vacantSince: l.vacantSince,
	}
	if l.term != nil {
		attempt.formerToken = l.term.token
	}
	l.spawn(func() { attempt.run(ctx) })
}

// formerIncarnationLeads reports whether the lead key names an earlier process
// of this host, which no longer exists.
func (l *Leader) formerIncarnationLeads() bool {
	return l.leadKey.member.Host == l.config.Self.Host && l.leadKey.member.Incarnation != l.config.Self.Incarnation
}

// stepDown ends the term and drops its state.
func (l *Leader) stepDown(reason string) {
	l.dropDuty()
	l.config.Counts.Add("leadership_lost", 1)
	klog.InfoS("leadership lost", "shard", l.config.Shard, "token", l.term.token, "reason", reason)
	l.term.end()
	l.term, l.board = nil, nil
	l.leading.Store(false)
}

// finishAcquisition begins or resumes the term, or schedules the next attempt
// if the acquisition failed.
func (l *Leader) finishAcquisition(ctx context.Context, result *acquisitionResult, err error, now time.Time) {
	l.acquiring = false
	if err != nil {
		if l.term == nil {
			l.dropDuty()
		}
		if leaving := l.leaving; leaving != nil {
			l.leaving = nil
			l.spawn(func() { leaving.run(ctx) })
		}
		klog.InfoS("leadership not taken", "shard", l.config.Shard, "err", err)
		l.acquireAt = now.Add(l.config.AcquireDelay + renewInterval/2)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && l.term != nil && l.term.unoccupied {
			l.stepDown("another host acquired the leadership first")
		}
		return
	}
	if l.mustGiveUp(result) {
		l.giveUp(ctx, result)
		return
	}
	l.config.Counts.Add("leadership_taken", 1)
	klog.InfoS("leadership taken", "shard", l.config.Shard, "token", result.token, "resumed", result.resumed, "jobs", len(result.jobs))
	switch {
	case result.resumed && l.term != nil:
		l.term.resume(result)
		l.board.Begin(result.token, now)
		l.board.WithholdLeases(result.unreachable)
	case l.term != nil:
		l.stepDown("replaced by a new term")
		l.begin(ctx, result, now)
	default:
		l.begin(ctx, result, now)
	}
	l.leadKeySet(l.config.Self, result.token)
	switch l.leadKey.revision {
	case result.token:
	case 0:
		l.term.lapse(now)
	default:
		l.stepDown("another host leads")
	}
}
