package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// initialRoom is what a host may accept before it has asked a leader, and while
// there is none: some hundred ordinary jobs.
const initialRoom = 1 << 20

// rooms is the memory that the leaders have granted this host for jobs that it
// accepts, by shard. It is safe for concurrent use.
type rooms struct {
	mu sync.Mutex
	// shards is keyed by shard.
	shards map[int]*shardRoom
	// fullUntil is until when a leader that had no room is taken to have none.
	fullUntil time.Time
}

type shardRoom struct {
	// left is what is granted and not used, granted what was left after the last
	// grant.
	left, granted int64
	// asking is set while more is asked for in the background.
	asking bool
}

func newRooms() *rooms {
	return &rooms{
		shards: map[int]*shardRoom{},
	}
}

// of returns the room of a shard.
func (r *rooms) of(number int) *shardRoom {
	room := r.shards[number]
	if room == nil {
		room = &shardRoom{
			left: initialRoom,
		}
		r.shards[number] = room
	}
	return room
}

// use uses granted memory. It returns false if there is not enough, and low if
// more should be asked for; the caller then asks and calls add.
func (r *rooms) use(number int, bytes int64) (ok, low bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.of(number)
	if room.left < bytes {
		return false, false
	}
	room.left -= bytes
	low = room.left < max(room.granted, initialRoom)/2 && !room.asking
	room.asking = room.asking || low
	return true, low
}

// add adds granted memory, of which used is used already.
func (r *rooms) add(number int, granted, used int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.of(number)
	room.left += granted - used
	room.granted = room.left
}

func (r *rooms) setFull(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fullUntil = until
}

// Full reports whether a leader had no room a short time ago, so that decoding a
// large job is likely to be in vain.
func (i *Intake) Full() bool {
	i.rooms.mu.Lock()
	defer i.rooms.mu.Unlock()
	return i.config.Clock().Before(i.rooms.fullUntil)
}

func (r *rooms) endAsking(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(number).asking = false
}

// roomRequest asks the leader of a shard for more memory in the background.
type roomRequest struct {
	intake *Intake
	shard  int
}

func (r *roomRequest) run() {
	defer r.intake.rooms.endAsking(r.shard)
	answer := r.intake.config.Ask(context.Background(), leader.Question{
		Room:  1,
		Shard: r.shard,
	})
	if answer.Known {
		r.intake.rooms.add(r.shard, answer.Room, 0)
	}
}

// reserve reserves memory of the leader for a job. It returns Accepted if there is
// enough or if the job is stored already, and NoRoom if the job is certainly not.
func (i *Intake) reserve(ctx context.Context, access Access, job *work.Job) (outcome Outcome, stored bool) {
	number, bytes := i.shardFor(job), job.Bytes()
	ok, low := i.rooms.use(number, bytes)
	if low {
		request := &roomRequest{
			intake: i,
			shard:  number,
		}
		go request.run()
	}
	if ok {
		return Accepted, false
	}
	answer := i.config.Ask(ctx, leader.Question{
		Room:  bytes,
		Shard: number,
	})
	if answer.Known && answer.Room >= bytes {
		i.rooms.add(number, answer.Room, bytes)
		return Accepted, false
	}
	if answer.Known {
		i.rooms.setFull(i.config.Clock().Add(RetryAfter))
	}
	outcome = i.Existing(ctx, access, job.ID)
	return outcome, outcome == Accepted
}

// Existing returns Accepted if a job of the caller with that id is stored, and
// NoRoom if there is none: a submission that was not passed on may be refused then.
func (i *Intake) Existing(ctx context.Context, access Access, id string) Outcome {
	item, _, err := i.find(ctx, id)
	switch {
	case errors.Is(err, store.ErrAbsent):
		return NoRoom
	case err != nil:
		return Unknown
	}
	outcome := i.accessTo(item, access, id)
	if outcome == NoSuchJob {
		return IDInUse
	}
	return outcome
}
