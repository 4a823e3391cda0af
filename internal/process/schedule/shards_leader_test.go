package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// shardLeader is one term of the leader of a shard.
type shardLeader struct {
	sim   *shardsSimulation
	shard int
	token int64
	board *Board
	// loads are the newest of the other shards.
	loads      map[int]shardLoads
	balancedAt time.Time
	listReadAt time.Time
	// writing is set while a commit of progress is in flight.
	writing bool
}

// shardLoads is the load of a shard and when it was read.
type shardLoads struct {
	services map[string]shard.Load
	readAt   time.Time
}

func shardsConfig(number, shards int) Config {
	config := testConfig()
	config.Shard, config.Shards, config.HoldsLongRunning = number, shards, shards > 1
	return config
}

// shardsCatalog has a queue of quick jobs, one of longer ones that may be
// preempted, and one of long-running jobs.
func shardsCatalog() *catalog.Catalog {
	out := testCatalog()
	for name, queue := range map[string]catalog.Queue{
		"quotes": {
			MaxAttempts: 3,
			Stretch:     1.5,
			Target:      250 * time.Millisecond,
		},
		"plans": {
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     2,
			Target:      time.Second,
		},
		"servers": {
			MaxAttempts: 2,
			Stretch:     2.2,
			Target:      2500 * time.Millisecond,
		},
	} {
		queue.Name, queue.Service = name, "workshop"
		out.Queues[name] = queue
	}
	return out
}

func (l *shardLeader) leads() bool {
	return l.sim.leaders[l.shard] == l
}

// observe handles a new record of a job, as leader.observeItem does.
func (l *shardLeader) observe(record *shardJob) {
	l.board.AddJob(record.spec, nil, record.created < l.token, l.sim.now, l.sim.now)
	if l.sim.layout.OfJob(record.spec.ID) != l.shard {
		l.board.Arrived(record.spec.ID)
	}
}

// commit is a commit that is conditional on the leadership.
func (l *shardLeader) commit(effect, answered func()) {
	l.sim.post(l.sim.callTime(), func() {
		if !l.leads() {
			return
		}
		effect()
		l.sim.post(l.sim.callTime(), func() {
			if l.leads() {
				answered()
			}
		})
	})
}

func (l *shardLeader) step() {
	now := l.sim.now
	if now.Sub(l.listReadAt) >= shardsListGap {
		l.readList()
	}
	for _, w := range l.sim.machines {
		if w.shard == l.shard && l.pollDue(w) && l.board.workers[w.listing.ID] != nil {
			l.poll(w)
		}
	}
	l.board.Confirmed(now)
	l.board.LimitStarts(shardsStarts)
	l.carryOut(l.board.Decide(now, true))
	l.saveProgress()
	l.saveUnreachable()
	l.balance()
}

func (l *shardLeader) readList() {
	listings := map[string]Listing{}
	for _, w := range l.sim.machines {
		if w.shard == l.shard && w.listed {
			listings[w.listing.ID] = w.listing
		}
	}
	l.board.SetWorkers(listings, true, l.sim.now)
	l.listReadAt = l.sim.now
	l.sim.store.shards[l.shard].roster = l.board.Roster()
}

// pollDue reports whether a worker answers a poll now: at intervals, and soon after
// a run has ended.
func (l *shardLeader) pollDue(w *shardWorker) bool {
	since := l.sim.now.Sub(w.polledAt)
	return since >= shardsPollWait || w.polledBy != l.token || w.number > w.reported && since >= shardsPollGap
}

func (l *shardLeader) poll(w *shardWorker) {
	id, now := w.listing.ID, l.sim.now
	w.polledAt, w.polledBy = now, l.token
	if w.cutOff {
		l.board.MarkUnreachable(id, now)
		return
	}
	w.token, w.reported = max(w.token, l.token), w.number
	seen, _ := l.board.LastSeen(id)
	w.forget(seen)
	if l.board.MayRequestLease(id) {
		w.until = later(w.until, now.Add(testLeaseTerm))
		l.board.LeaseExtended(id, now)
	}
	l.board.ApplyReport(id, w.inventory(now), now)
}

func (l *shardLeader) carryOut(effects Effects) {
	for _, stop := range effects.Stops {
		w := l.sim.byID[stop.Worker]
		if w.cutOff {
			l.board.StopReplied(stop, Unknown, l.sim.now)
			continue
		}
		l.sim.stop(w, stop)
		l.board.StopReplied(stop, Accepted, l.sim.now)
	}
	for _, start := range effects.Starts {
		w := l.sim.byID[start.Worker]
		l.board.LeaseExtended(start.Worker, l.sim.now)
		verdict := Unknown
		if !w.cutOff {
			verdict = l.sim.start(w, l.token, start)
		}
		l.board.StartReplied(start, verdict, l.sim.now)
	}
}

// saveProgress writes progress records, one commit at a time.
func (l *shardLeader) saveProgress() {
	if l.writing {
		return
	}
	const perCommit = 20
	records := l.board.Records(true, perCommit)
	if len(records) == 0 {
		return
	}
	l.writing = true
	l.commit(func() {
		for _, record := range records {
			stored := l.sim.store.jobs[record.Job]
			if stored.shard == l.shard {
				stored.progress = &record.Progress
			} else {
				stored.places.progress[l.shard] = &record.Progress
			}
			for _, number := range record.Shards {
				l.sim.cancelIn(stored, number)
			}
		}
	}, func() {
		l.writing = false
		for _, record := range records {
			l.board.Written(record.Job, record.Version, true)
		}
	})
}

func (l *shardLeader) saveUnreachable() {
	waits, due := l.board.UnreachableWorkers(l.sim.now)
	if due {
		l.sim.store.shards[l.shard].unreachable = waits
		l.board.UnreachableWritten(waits, true)
	}
}

// balance publishes the load and passes work to other shards, as leader.balance
// does.
func (l *shardLeader) balance() {
	if l.sim.plan.shards <= 1 || l.sim.now.Sub(l.balancedAt) < shardsBalance {
		return
	}
	l.balancedAt = l.sim.now
	own := l.board.Loads(l.sim.now)
	l.publish(own)
	for _, exchange := range l.sim.exchanges {
		exchange(l, l.byService(own))
	}
}

// byService returns the loads that are recent enough, by service and shard.
func (l *shardLeader) byService(own map[string]shard.Load) map[string]map[int]shard.Load {
	all := map[int]map[string]shard.Load{
		l.shard: own,
	}
	for number, published := range l.loads {
		if l.sim.now.Sub(published.readAt) <= shardsLoadAge {
			all[number] = published.services
		}
	}
	out := map[string]map[int]shard.Load{}
	for number, services := range all {
		for service, load := range services {
			if out[service] == nil {
				out[service] = map[int]shard.Load{}
			}
			out[service][number] = load
		}
	}
	return out
}

// ownsOpenTask reports whether a board has a job and neither gives it away nor
// has seen the task's end.
func ownsOpenTask(board *Board, key work.TaskKey) bool {
	j := board.open[key.Job]
	if j == nil {
		return false
	}
	_, _, t := j.find(key)
	return t != nil && t.phase != done && t.phase != elsewhere
}
