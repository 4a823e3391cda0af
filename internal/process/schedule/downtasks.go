package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// DownTask says why a long-running task does not run, whatever else of its job does.
// Cores are in millicores.
type DownTask struct {
	// Since is when its last run ended or, if this leader knows of none, when its step
	// became ready or this leader heard of the job. Room is that of this shard.
	Waiting
	// Size is what the task asks for.
	Size worker.Size
	// Free sums the free cores of the workers of this shard that may be given the
	// service's tasks. LargestFree is the most on one of them which has the label
	// and the rest of what the task asks for.
	Free, LargestFree int64
	// ServiceFree and ServiceLargestFree are the same for the whole service: this
	// shard, and the loads and pieces that the others have published.
	ServiceFree, ServiceLargestFree int64
	// ServiceRoom is set if the whole service has free capacity for the task twice.
	ServiceRoom bool
	// Shards is the number of other shards whose loads are known.
	Shards int
}

// downTask is a long-running task that was found to be down.
type downTask struct {
	job   *job
	step  *stepState
	task  *task
	cause cause
	since time.Time
	// room is set if this shard has room for the task twice, serviceRoom if the
	// service has.
	room, serviceRoom bool
}

// noteDown notes a task that does not run if it is down: it is long-running, and its
// job has been started.
func (e *explainer) noteDown(j *job, occ *occurrence, step *stepState, t *task, why cause) {
	if !step.spec.LongRunning || !j.everClaimed && !j.progress.Started {
		return
	}
	e.down = append(e.down, downTask{
		job:   j,
		step:  step,
		task:  t,
		cause: why,
		since: e.board.downSince(j, occ, step, t),
	})
}

// ClaimedOn returns the worker of the task's claim, empty if it has none.
func (b *Board) ClaimedOn(key work.TaskKey) string {
	if j := b.open[key.Job]; j != nil {
		if _, _, t := j.find(key); t != nil && t.phase == claimed {
			return t.worker
		}
	}
	return ""
}

// downSince is since when a long-running task is not known to run.
func (b *Board) downSince(j *job, occ *occurrence, step *stepState, t *task) time.Time {
	since := t.downSince
	if since.IsZero() {
		since = latestOf(occ.readySince(step, &task{}), j.seen)
	}
	w := b.workers[t.worker]
	if t.phase != claimed || w == nil {
		return since
	}
	if held := w.claims[t.key]; held != nil && held.run == t.run && held.confirmed {
		since = latestOf(since, latestOf(held.started, held.confirmedAt))
	}
	return since
}

// reportDown adds the tasks that are down. Those with room in the service go first, as
// they should not wait; among them those that have been down for longest.
func (e *explainer) reportDown(out *WaitReport, asked WaitRequest) {
	for i := range e.down {
		found := &e.down[i]
		out.Down[found.cause.reason]++
		if asked.FollowsTask != nil && asked.FollowsTask(found.task.key) {
			if out.FollowedDown == nil {
				out.FollowedDown = map[string]Waiting{}
			}
			out.FollowedDown[found.task.key.String()] = e.waiting(found.job, found.task, found.cause, found.since)
		}
	}
	long := slices.DeleteFunc(e.down, func(found downTask) bool { return e.now.Sub(found.since) < asked.MinDown })
	for i := range long {
		found := &long[i]
		room, needed := e.room(found.job, found.step), twice(found.step)
		found.room = room >= needed
		found.serviceRoom = found.room || room+e.otherRoom(found.job, found.step) >= needed
	}
	slices.SortFunc(long, compareDown)
	for i := range long[:min(len(long), asked.MaxDown)] {
		out.LongestDown = append(out.LongestDown, e.describeDown(&long[i]))
	}
}

func compareDown(a, c downTask) int {
	if a.serviceRoom != c.serviceRoom {
		if a.serviceRoom {
			return -1
		}
		return 1
	}
	return cmp.Or(a.since.Compare(c.since), compareKeys(a.task.key, c.task.key))
}

// otherRoom returns how many tasks of a step fit into the published pieces of the other
// shards. These are their largest: smaller ones are left out.
func (e *explainer) otherRoom(j *job, step *stepState) int {
	key := e.roomKey(j, step)
	room, ok := e.otherRooms[key]
	if !ok {
		for _, load := range e.elsewhere[key.pool.service] {
			for _, piece := range load.Pieces {
				if key.label == "" || slices.Contains(piece.Labels, key.label) {
					room += fitting(key.size, piece.Size)
				}
			}
		}
		e.otherRooms[key] = room
	}
	return room
}

// describeDown adds what is free to what is known of a task that is down.
func (e *explainer) describeDown(found *downTask) DownTask {
	spec := found.step.spec
	out := DownTask{
		Waiting:     e.waiting(found.job, found.task, found.cause, found.since),
		Size:        spec.Size,
		ServiceRoom: found.serviceRoom,
	}
	out.Room = found.room
	for _, w := range e.poolView(e.roomKey(found.job, found.step).pool).workers {
		free := w.free()
		out.Free += max(0, free.MilliCores)
		if !w.lacksLabel(spec) && fitsBesidesCores(spec.Size, free) {
			out.LargestFree = max(out.LargestFree, free.MilliCores)
		}
	}
	out.ServiceFree, out.ServiceLargestFree = out.Free, out.LargestFree
	for _, load := range e.elsewhere[out.Service] {
		out.Shards++
		out.ServiceFree += load.Free
		out.ServiceLargestFree = max(out.ServiceLargestFree, largestPiece(load.Pieces, spec.Label, spec.Size))
	}
	return out
}

// fitsBesidesCores reports whether a size fits into what is free but for the cores.
func fitsBesidesCores(size, free worker.Size) bool {
	size.MilliCores = min(size.MilliCores, free.MilliCores)
	return size.FitsIn(free)
}

// largestPiece returns the cores of the largest piece that has the label and the
// rest of what a task asks for.
func largestPiece(pieces []shard.Piece, label string, size worker.Size) int64 {
	for _, piece := range pieces {
		if (label == "" || slices.Contains(piece.Labels, label)) && fitsBesidesCores(size, piece.Size) {
			return piece.Size.MilliCores
		}
	}
	return 0
}
