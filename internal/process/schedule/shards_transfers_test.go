package schedule

import (
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// shardPlaces are the records of a job's transferred tasks.
type shardPlaces struct {
	tasks map[work.TaskKey]*shardPlace
	// progress is, by shard, that of the job in a shard that is not its own, and
	// cancelled are the shards to which its end was passed on.
	progress  map[int]*work.Progress
	cancelled map[int]bool
}

// shardPlace says where a task is that was transferred: in a shard, or on its way back
// if location is set.
type shardPlace struct {
	shard     int
	created   int64
	changedAt time.Time
	task      *work.TransferredTask
	location  *work.Location
}

func newShardPlaces() shardPlaces {
	return shardPlaces{
		tasks:     map[work.TaskKey]*shardPlace{},
		progress:  map[int]*work.Progress{},
		cancelled: map[int]bool{},
	}
}

// keys returns the transferred tasks in order.
func (p *shardPlaces) keys() []work.TaskKey {
	return slices.SortedFunc(maps.Keys(p.tasks), compareKeys)
}

// passTasks transfers tasks to other shards and takes back those that were returned, as
// leader.transfers does.
func (sim *shardsSimulation) passTasks(leader *shardLeader, loads map[string]map[int]shard.Load) {
	for _, id := range sim.store.ids() {
		record := sim.store.jobs[id]
		for _, key := range record.places.keys() {
			if place := record.places.tasks[key]; record.shard == leader.shard && place.location != nil {
				leader.takeBack(record, place)
			}
		}
	}
	for _, transfer := range leader.board.Transfers(leader.shard, loads, sim.now) {
		record, done := sim.store.jobs[transfer.Task.Key.Job], false
		leader.commit(func() { done = sim.applyTransfer(leader.shard, record, transfer) }, func() {
			if done {
				leader.board.TransferDone(transfer)
			} else {
				leader.board.TransferFailed(transfer)
			}
		})
	}
}

// applyTransfer carries out the commit of a transfer or a return if its conditions hold.
func (sim *shardsSimulation) applyTransfer(from int, record *shardJob, transfer Transfer) bool {
	key, places := transfer.Task.Key, &record.places
	place := &shardPlace{
		shard:     transfer.To,
		created:   sim.store.next(),
		changedAt: sim.now,
	}
	if record.shard == from {
		if !record.cancelledAt.IsZero() || places.tasks[key] != nil {
			return false
		}
		place.task, record.progress = &transfer.Task, &transfer.Progress
	} else {
		if known := places.tasks[key]; places.cancelled[from] || known == nil || known.task == nil || known.shard != from {
			return false
		}
		place.location = &work.Location{
			Key:        key,
			Shard:      transfer.To,
			Checkpoint: transfer.Task.Checkpoint,
			Crashes:    transfer.Task.Crashes,
			Down:       transfer.Task.Down,
			LastRun:    transfer.Task.LastRun,
		}
		places.progress[from] = &transfer.Progress
		if transfer.Last {
			delete(places.progress, from)
		}
	}
	places.tasks[key] = place
	sim.transferred++
	sim.announcePlace(record, place)
	return true
}

// announcePlace tells the leader of a shard that a task has come there.
func (sim *shardsSimulation) announcePlace(record *shardJob, place *shardPlace) {
	leader := sim.leaders[place.shard]
	if leader == nil {
		return // the next one reads it
	}
	sim.post(sim.callTime(), func() {
		switch {
		case !leader.leads():
		case place.location != nil:
			leader.takeBack(record, place)
		default:
			leader.board.AddTransferred(place.task, nil, place.created < leader.token, sim.now, sim.now)
		}
	})
}

// takeBack takes back a task that was returned.
func (l *shardLeader) takeBack(record *shardJob, place *shardPlace) {
	returned, ok := l.board.Returning(place.location, l.sim.now)
	if !ok {
		return
	}
	key, done := place.location.Key, false
	l.commit(func() {
		if done = record.places.tasks[key] == place; done {
			delete(record.places.tasks, key)
			record.progress = &returned.Progress
		}
	}, func() { l.board.TakenBack(returned, done, l.sim.now) })
}

// cancelIn passes the end of a job on to a shard that has tasks of it.
func (sim *shardsSimulation) cancelIn(record *shardJob, number int) {
	record.places.cancelled[number] = true
	leader := sim.leaders[number]
	if leader == nil {
		return
	}
	sim.post(sim.callTime(), func() {
		if leader.leads() {
			leader.board.Cancel(record.spec.ID, sim.now)
		}
	})
}

// restoreTransferred adds the transferred tasks of a job to a new leader's board, as
// leader.transfers.restore does.
func (l *shardLeader) restoreTransferred(record *shardJob) {
	for _, key := range record.places.keys() {
		place := record.places.tasks[key]
		switch {
		case record.shard == l.shard:
			l.board.Locate(&work.Location{
				Key:   key,
				Shard: place.shard,
			})
		case place.shard == l.shard:
			l.board.AddTransferred(place.task, record.places.progress[l.shard], true, l.sim.now, l.sim.now)
		}
	}
}

// isInTransfer reports whether a task is on its way to another shard.
func (sim *shardsSimulation) isInTransfer(key work.TaskKey) bool {
	place := sim.store.jobs[key.Job].places.tasks[key]
	if place != nil && (place.location != nil || sim.now.Sub(place.changedAt) < time.Second) {
		return true
	}
	return slices.ContainsFunc(sim.leaders, func(leader *shardLeader) bool {
		j := leader.board.jobs[key.Job]
		if j == nil {
			return false
		}
		_, _, t := j.find(key)
		return t != nil && t.departing
	})
}
