package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// explainer finds the reasons of jobs at one time. It keeps what jobs have in
// common: there are many more waiting tasks than distinct requests.
type explainer struct {
	board    *Board
	now      time.Time
	pools    map[poolKey]*poolView
	searches map[request]cause
	rooms    map[request]int
	orders   *dueOrders
	// elsewhere holds the loads of the other shards by service, and otherRooms how often
	// a request fits there.
	elsewhere  map[string][]shard.Load
	otherRooms map[request]int
	// down holds the long-running tasks that were found to be down.
	down []downTask
	// takeovers holds the workers that are not accounted for, valid if counted is
	// set.
	takeovers []UnsettledWorker
	counted   bool
}

// poolView is the pool of a service with the workers that are not in it.
type poolView struct {
	workers []*workerState
	// excluded counts all workers of the service.
	excluded Exclusions
	// until is when the first worker that is excluded for a time may be used.
	until time.Time
}

// request is what a search for a worker depends on, if it does not depend on where
// other tasks of the step run.
type request struct {
	pool         poolKey
	size         worker.Size
	label, image string
	filler       bool
	// starving and longDown are set if the job or the task may use more.
	starving, longDown bool
}

func newExplainer(b *Board, now time.Time) *explainer {
	return &explainer{
		board:      b,
		now:        now,
		pools:      map[poolKey]*poolView{},
		searches:   map[request]cause{},
		rooms:      map[request]int{},
		otherRooms: map[request]int{},
	}
}

// poolView returns the workers that may be given tasks, and why others may not.
func (e *explainer) poolView(key poolKey) *poolView {
	if view := e.pools[key]; view != nil {
		return view
	}
	view := &poolView{
		workers: e.board.pool(key, e.now),
	}
	for _, w := range e.board.workers {
		if w.Service != key.service {
			continue
		}
		cause := e.board.poolExclusion(key, w, e.now)
		view.excluded[cause]++
		switch cause {
		case Refusing:
			view.endsAt(w.blockedUntil)
		case Failing:
			view.endsAt(w.health.until)
		}
	}
	e.pools[key] = view
	return view
}

func (e *explainer) requestOf(j *job, step *stepState, t *task) request {
	return request{
		pool:     e.board.poolOf(j, e.board.serviceOf(j), e.now),
		size:     step.spec.Size,
		label:    step.spec.Label,
		image:    step.spec.Image,
		filler:   step.spec.Filler,
		starving: step.spec.Filler && e.board.starving(j.work.ID, step.spec),
		longDown: e.board.longDown(step, t, e.now),
	}
}

// hasRoom reports whether the workers of the service that are listed and stay have
// free capacity for a task twice, or for all of its step if it is a gang.
func (e *explainer) hasRoom(j *job, task work.TaskKey) bool {
	_, step, _ := j.find(task)
	return e.room(j, step) >= twice(step)
}

// twice is how many tasks of the step there must be room for to have room twice.
func twice(step *stepState) int {
	const factor = 2
	if step.spec.Gang {
		return factor * len(step.tasks)
	}
	return factor
}

// roomKey returns what the room for a task of a step depends on.
func (e *explainer) roomKey(j *job, step *stepState) request {
	key := e.requestOf(j, step, step.tasks[0])
	key.starving, key.longDown = false, false
	return key
}

// room returns how many tasks of a step fit on the workers of the service that are
// listed and stay.
func (e *explainer) room(j *job, step *stepState) int {
	key := e.roomKey(j, step)
	room, ok := e.rooms[key]
	if !ok {
		for _, w := range e.board.workers {
			if w.Service != key.pool.service || !w.listed || w.Draining || e.board.evacuated[w.Zone] || w.lacksLabel(step.spec) {
				continue
			}
			free := w.Capacity.Sub(w.used)
			if key.filler {
				free.MilliCores = w.idle
			}
			room += fitting(key.size, free)
		}
		e.rooms[key] = room
	}
	return room
}

// unsettled returns the workers that delay inherited jobs.
func (e *explainer) unsettled() []UnsettledWorker {
	if !e.counted {
		e.takeovers, e.counted = e.board.Unsettled(e.now), true
	}
	return e.takeovers
}
