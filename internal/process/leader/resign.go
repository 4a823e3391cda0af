package leader

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// resign ends the term, if there is one, and gives the leadership up in the
// background; an acquisition in flight is given up once it has ended. done is
// closed after that.
func (l *Leader) resign(ctx context.Context, reason string, now time.Time) (done <-chan struct{}) {
	if l.term == nil && l.leaving != nil {
		return l.leaving.done
	}
	leaving, led := l.newResignation(), l.term != nil
	if led {
		l.handOver(leaving, now)
		l.stepDown(reason)
	}
	switch {
	case l.acquiring:
		l.leaving = leaving
	case led:
		l.spawn(func() { leaving.run(ctx) })
	default:
		close(leaving.done)
	}
	return leaving.done
}

// newResignation returns a resignation without a lead key and without a handover.
func (l *Leader) newResignation() *resignation {
	leaving := &resignation{
		store: l.config.Store,
		keys:  l.config.Keys,
		done:  make(chan struct{}),
	}
	if l.config.Shards > 1 {
		leaving.load = loadKey(l.config.Shard)
	}
	return leaving
}

// handOver adds the lead key and the handover of the current term. Orders that have
// not left this host are taken back, so that the successor waits for no worker
// because of them.
func (l *Leader) handOver(leaving *resignation, now time.Time) {
	for _, queued := range l.term.waiting {
		if queued.start != nil {
			l.board.StartReplied(*queued.start, schedule.NotSent, now)
		}
	}
	l.term.waiting = nil
	leaving.handover = &handoverRecord{
		Handover:     l.board.Handover(now),
		Resignations: l.lag.judge.past(now),
	}
	if !l.term.unoccupied {
		leaving.revision = l.term.token
	}
}

// mustGiveUp reports whether an acquired leadership cannot be used: this host has
// resigned meanwhile, or it would resume a term that has ended. There is no term
// then.
func (l *Leader) mustGiveUp(result *acquisitionResult) bool {
	return l.leaving != nil || result.resumed && l.term == nil
}

// giveUp gives up a leadership that was just acquired. Nothing was done in it, so
// that a handover of the term that it resumes holds.
func (l *Leader) giveUp(ctx context.Context, result *acquisitionResult) {
	leaving := l.leaving
	if leaving == nil {
		leaving = l.newResignation()
	}
	l.leaving = nil
	leaving.revision = result.token
	if !result.resumed {
		leaving.handover = nil
	} else if leaving.handover != nil {
		leaving.handover.Token = result.token
	}
	klog.InfoS("leadership given up", "shard", l.config.Shard, "token", result.token, "resumed", result.resumed, "stopping", l.stopping)
	l.dropDuty()
	l.leadKeySet(l.config.Self, result.token)
	l.spawn(func() { leaving.run(ctx) })
}
