package leader

import "time"

// roomTerm is how long granted room is kept for a host that does not use it. It is
// longer than a submission and the time until the leader sees its job.
const roomTerm = 15 * time.Second

// sparePart is the part of the free room that all hosts together get beyond what
// they ask for, so that they need not ask for each job.
const sparePart = 4

// room grants hosts memory of this leader for the jobs that they accept, so that
// no crowd of callers, through whatever hosts, fills it. Decisions only; the loop
// of the leader owns it.
type room struct {
	// limit is the memory for all jobs; zero or less means no limit.
	limit int64
	// grants are those whose jobs have not been seen, in order of time.
	grants []roomGrant
	// asked is when each host asked last.
	asked map[string]time.Time
}

type roomGrant struct {
	bytes int64
	until time.Time
}

func newRoom(limit int64) room {
	return room{
		limit: limit,
		asked: map[string]time.Time{},
	}
}

// grant grants a host at least the bytes, or nothing if they are not free. used is
// what the known jobs need.
func (r *room) grant(host string, bytes, used int64, now time.Time) int64 {
	if r.limit <= 0 {
		return bytes
	}
	r.expire(now)
	r.asked[host] = now
	free := r.limit - used - bytes
	for _, each := range r.grants {
		free -= each.bytes
	}
	if free < 0 {
		return 0
	}
	granted := bytes + free/int64(sparePart*len(r.asked))
	r.grants = append(r.grants, roomGrant{
		bytes: granted,
		until: now.Add(roomTerm),
	})
	return granted
}

// expire forgets old grants, and hosts that have not asked for a while.
func (r *room) expire(now time.Time) {
	for len(r.grants) > 0 && !r.grants[0].until.After(now) {
		r.grants = r.grants[1:]
	}
	for host, at := range r.asked {
		if now.Sub(at) > roomTerm {
			delete(r.asked, host)
		}
	}
}

// seen notes that a job has been added, which uses the oldest grants.
func (r *room) seen(bytes int64) {
	for bytes > 0 && len(r.grants) > 0 {
		used := min(bytes, r.grants[0].bytes)
		bytes -= used
		if r.grants[0].bytes -= used; r.grants[0].bytes == 0 {
			r.grants = r.grants[1:]
		}
	}
}
