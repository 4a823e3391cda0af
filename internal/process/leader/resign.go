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
	leaving := &resignation{
		store: l.config.Store,
		keys:  l.config.Keys,
		done:  make(chan struct{}),
	}
	led := l.term != nil
	if led {
		leaving = l.newResignation(now)
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

// newResignation returns the resignation of the current term. Orders that have
// not left this host are taken back, so that the successor waits for no worker
// because of them.
func (l *Leader) newResignation(now time.Time) *resignation {
	for _, queued := range l.term.waiting {
		if queued.start != nil {
			l.board.StartReplied(*queued.start, schedule.NotSent, now)
		}
	}
	l.term.waiting = nil
	leaving := &resignation{
		store:    l.config.Store,
		keys:     l.config.Keys,
		revision: l.term.token,
		handover: &handoverRecord{
			Handover:     l.board.Handover(now),
			Resignations: l.lag.judge.past(now),
		},
		done: make(chan struct{}),
	}
	if l.term.unoccupied {
		leaving.revision = 0
	}
	return leaving
}

// mustGiveUp reports whether an acquired leadership cannot be used: this host
// resigns, or it would resume a term that has ended.
func (l *Leader) mustGiveUp(result *acquisitionResult) bool {
	return l.stopping || l.leaving != nil || result.resumed && l.term == nil
}

// giveUp gives up a leadership that was just acquired. Nothing was done in it, so
// that a handover of the term that it resumes holds.
func (l *Leader) giveUp(ctx context.Context, result *acquisitionResult, now time.Time) {
	if l.term != nil {
		l.leaving = l.newResignation(now)
		l.stepDown("gives up")
	}
	leaving := l.leaving
	if leaving == nil {
		leaving = &resignation{
			store: l.config.Store,
			keys:  l.config.Keys,
			done:  make(chan struct{}),
		}
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
