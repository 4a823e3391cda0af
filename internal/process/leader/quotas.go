package leader

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/process/store"
)

// quotas moves parts of the organisations' limits between the shards. All parts
// are in one record, written on the condition that nobody else has changed it.
type quotas struct {
	term *term
	// newest is the newest record read, valid if known is set; an absent one has
	// revision zero.
	newest     quota.Parts
	newestRead int64
	known      bool
	// revision is that of the record in force. verified is set once a commit has
	// shown that this shard's part in it is the newest: at the start of a term, and
	// after each commit without an answer, an earlier write may lower it.
	revision int64
	verified bool
	// busy is set while a commit of the record is in flight.
	busy, watching bool
	// changed is set if the record or what others want has changed since
	// revisedAt.
	changed   bool
	revisedAt time.Time
	// others holds what other shards want.
	others map[int]quota.Wants
	wants  wantsPublisher
}

func newQuotas(t *term) quotas {
	return quotas{
		term:   t,
		others: map[int]quota.Wants{},
		wants: wantsPublisher{
			term: t,
		},
	}
}

// watch begins to watch the record, once there are organisations.
func (q *quotas) watch() {
	if q.watching {
		return
	}
	q.watching = true
	config := &q.term.leader.config
	watcher := store.NewWatcher(store.WatcherConfig{
		Client:  config.Store,
		Prefix:  prefixQuota,
		Wait:    workWatchWait,
		Gap:     quotaReadGap,
		Timeout: callTimeout,
		Clock:   config.Clock,
		OnView:  func(view store.View) { q.term.post(func(time.Time) { q.observe(view) }) },
	})
	go watcher.Run(q.term.ctx)
}

// observe applies a view of the record and of what other shards want.
func (q *quotas) observe(view store.View) {
	if view.Err != nil {
		return
	}
	if view.Snapshot {
		q.known = true
	}
	for _, item := range view.Items {
		q.observeItem(item)
	}
	for _, event := range view.Events {
		if number, ok := strings.CutPrefix(event.Key, prefixQuotaWants); ok && event.Removed {
			if shard, err := strconv.Atoi(number); err == nil {
				delete(q.others, shard)
			}
			continue
		}
		if !event.Removed {
			q.observeItem(event.Item)
		}
	}
	q.useNewest()
	q.changed = q.changed || len(view.Items)+len(view.Events) > 0
}

func (q *quotas) observeItem(item store.Item) {
	var err error
	number, wants := strings.CutPrefix(item.Key, prefixQuotaWants)
	switch {
	case wants:
		var shard int
		var wanted quota.Wants
		if shard, err = strconv.Atoi(number); err == nil {
			wanted, err = decodeWants(item.Value)
		}
		if err == nil && shard != q.term.leader.config.Shard {
			q.others[shard] = wanted
		}
	case item.Key == keyQuotaParts && item.Revision > q.newestRead:
		var parts quota.Parts
		if err = cbor.Unmarshal(item.Value, &parts); err == nil {
			q.newest, q.newestRead = parts, item.Revision
		}
	}
	if err != nil {
		klog.ErrorS(err, "record of quotas cannot be read", "key", item.Key, "revision", item.Revision)
	}
}

// useNewest puts the newest record into force if no commit of this leader may
// follow it.
func (q *quotas) useNewest() {
	if q.verified && !q.busy && q.newestRead > q.revision {
		q.revision = q.newestRead
		q.term.leader.board.SetQuotaParts(q.newest)
	}
}

// revise verifies the record, or changes this shard's part and those that it gives
// to. It also publishes what the shard wants.
func (q *quotas) revise(now time.Time) {
	config := &q.term.leader.config
	board := q.term.leader.board
	interval := quotaInterval
	if q.changed {
		interval = quotaGap
	}
	if config.Shards <= 1 || q.term.unoccupied || !board.SharesQuotas() || now.Sub(q.revisedAt) < interval {
		return
	}
	q.revisedAt, q.changed = now, false
	q.watch()
	if !q.known || q.busy || !now.Before(q.term.actUntil) {
		return
	}
	if !q.verified {
		q.verify()
		return
	}
	q.wants.publish(board.QuotaWants(now))
	next, changed := board.ReviseQuotaParts(q.others, now)
	if !changed {
		return
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		klog.ErrorS(err, "record of quotas cannot be encoded")
		board.QuotaPartsRefused()
		return
	}
	q.commit(q.revision, []store.Write{
		{
			Key:   keyQuotaParts,
			Value: value,
		},
	}, next)
}

// verify shows by a commit without a change of the record that it is the newest,
// and that no earlier commit of this shard can take effect any more.
func (q *quotas) verify() {
	q.commit(q.newestRead, nil, q.newest)
}

// commit writes on the condition that the record is unchanged since a revision,
// and puts parts into force if that succeeds.
func (q *quotas) commit(revision int64, writes []store.Write, parts quota.Parts) {
	q.busy = true
	q.term.writer.add(&pendingCommit{
		commit: store.Commit{
			If: []store.Condition{
				{
					Key:      keyQuotaParts,
					Revision: revision,
				},
			},
			Set: writes,
		},
		done: func(err error, _ time.Time) {
			q.busy = false
			if len(writes) > 0 {
				klog.InfoS("quota parts written", "shard", q.term.leader.config.Shard, "token", q.term.token, "revision", revision, "err", err)
				q.term.leader.config.Counts.Add("quota_parts_written", 1)
			}
			if err != nil {
				q.failed(err)
				return
			}
			if q.revision = revision; len(writes) > 0 {
				q.revision = q.term.writer.sequence // the commit's own revision
			}
			q.verified = true
			q.term.leader.board.SetQuotaParts(parts)
			q.useNewest()
		},
	})
}

// failed handles a commit that failed. Without an answer it may have taken effect;
// after any other failure it had none, but a commit before it may have.
func (q *quotas) failed(err error) {
	q.changed = true
	if errors.Is(err, store.ErrUnknown) || !q.verified {
		q.verified = false
		return
	}
	q.term.leader.board.QuotaPartsRefused()
	q.useNewest()
}
