package leader

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

// observeLeadKey updates the current leader from a view of the lead key.
func (l *Leader) observeLeadKey(view store.View, now time.Time) {
	if view.Err != nil {
		return
	}
	if view.Snapshot {
		lead := store.Item{}
		for _, item := range view.Items {
			if item.Key == l.config.Keys.Lead {
				lead = item
			}
		}
		if lead.Revision != l.leadKeyRevision || lead.Revision == 0 {
			l.setCurrentLeader(lead.Value, lead.Revision, now)
		}
		return
	}
	for _, event := range view.Events {
		if event.Key != l.config.Keys.Lead {
			continue
		}
		if event.Removed {
			l.setCurrentLeader(nil, 0, now)
		} else {
			l.setCurrentLeader(event.Value, event.Revision, now)
		}
	}
}

func (l *Leader) setCurrentLeader(value []byte, revision int64, now time.Time) {
	l.currentLeader, l.leadKeyRevision = Member{}, revision
	if revision == 0 {
		l.acquireAt = now.Add(l.config.AcquireDelay)
		if l.yielding {
			l.yielding, l.yieldUntil = false, now.Add(resignDelay)
		}
	} else if err := cbor.Unmarshal(value, &l.currentLeader); err != nil {
		klog.ErrorS(err, "lead key cannot be read", "revision", revision)
	}
	if l.term != nil {
		l.term.observeLeadKey(l.currentLeader, revision, now)
	}
	l.config.LeaderChanged(l.currentLeader)
	klog.InfoS("leader changed", "shard", l.config.Shard, "host", l.currentLeader.Host, "token", revision)
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
	unoccupied := l.leadKeyRevision == 0 && !l.acquireAt.IsZero() && !now.Before(l.acquireDue())
	if l.acquiring || l.stopping || l.catalog.Version == 0 || (!unoccupied && !formerIncarnation) {
		return
	}
	if !l.reserveDuty(others) {
		return // the delay has changed
	}
	l.acquiring = true
	attempt := &acquisition{
		leader:  l,
		replace: l.leadKeyRevision,
	}
	if l.term != nil {
		attempt.formerToken = l.term.token
	}
	go attempt.run(ctx)
}

// formerIncarnationLeads reports whether the lead key names an earlier process
// of this host, which no longer exists.
func (l *Leader) formerIncarnationLeads() bool {
	return l.currentLeader.Host == l.config.Self.Host && l.currentLeader.Incarnation != l.config.Self.Incarnation
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
		klog.InfoS("leadership not taken", "shard", l.config.Shard, "err", err)
		l.acquireAt = now.Add(l.config.AcquireDelay + renewInterval/2)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && l.term != nil && l.term.unoccupied {
			l.stepDown("another host acquired the leadership first")
		}
		return
	}
	l.config.Counts.Add("leadership_taken", 1)
	klog.InfoS("leadership taken", "shard", l.config.Shard, "token", result.token, "resumed", result.resumed, "jobs", len(result.jobs))
	if result.resumed && l.term != nil {
		l.term.resume(result)
		l.board.Begin(result.token, now)
		return
	}
	if l.term != nil {
		l.stepDown("replaced by a new term")
	}
	l.begin(ctx, result, now)
}
