package shard

import "time"

// Times of the rounds in which leaders compare their loads.
const (
	// RoundInterval is the time between two rounds.
	RoundInterval = 500 * time.Millisecond
	// loadDelay is how long before its arrival here a load may have been computed: a
	// write, and the pause between two reads of the loads. The target of a move needs
	// about as long to see it.
	loadDelay = 200 * time.Millisecond
)

// Rounds says when a leader publishes its load and when it decides on moves. Load
// pattern: hundreds of long-running jobs arrive within 1.5 s. A leader that compares
// its newest load with loads of others that are up to half a second old finds a
// surplus in its shard, as all others do, and the moves cross each other. So all
// leaders publish at about the same time: each follows the first one of a round. A
// leader decides once it has the loads of the round, with its own load as published.
type Rounds struct {
	// Own is the number of this shard, of Shards.
	Own, Shards int
	// publishedAt is when this round began here, with the load published; zero before
	// the first one.
	publishedAt time.Time
	published   map[string]Load
	decided     bool
	// receivedAt is when the newest load of each other shard came.
	receivedAt map[int]time.Time
	// sent is the work on its way.
	sent []*Transit
}

// Transit is work that is passed to another shard, whose load may not have it yet.
type Transit struct {
	To      int
	Service string
	// MilliCores is what its waiting tasks ask for. One of Filler and LongRunning may
	// be set.
	MilliCores          int64
	Filler, LongRunning bool
	// arrivedAt is when it belonged to the other shard, zero before.
	arrivedAt time.Time
}

// PublishDue reports whether a round begins: the interval has passed, or another
// leader has begun one.
func (r *Rounds) PublishDue(now time.Time) bool {
	if now.Sub(r.publishedAt) >= RoundInterval {
		return true
	}
	for _, at := range r.receivedAt {
		if at.Sub(r.publishedAt) >= RoundInterval/2 {
			return true
		}
	}
	return false
}

// Published notes that a round begins with the load of this shard.
func (r *Rounds) Published(own map[string]Load, now time.Time) {
	r.published, r.publishedAt, r.decided = own, now, false
}

// Received notes that a load of a shard has come.
func (r *Rounds) Received(number int, now time.Time) {
	if number == r.Own {
		return
	}
	if r.receivedAt == nil {
		r.receivedAt = map[int]time.Time{}
	}
	r.receivedAt[number] = now
	kept := r.sent[:0]
	for _, sent := range r.sent {
		if sent.To != number || sent.arrivedAt.IsZero() || now.Sub(sent.arrivedAt) < 2*loadDelay {
			kept = append(kept, sent)
		}
	}
	r.sent = kept
}

// Removed notes that a shard has no leader.
func (r *Rounds) Removed(number int) {
	delete(r.receivedAt, number)
}

// DecideDue reports whether moves are to be decided on: all loads of the round are
// known, or half of the interval has passed.
func (r *Rounds) DecideDue(now time.Time) bool {
	if r.decided || r.publishedAt.IsZero() {
		return false
	}
	if now.Sub(r.publishedAt) >= RoundInterval/2 {
		return true
	}
	current := 0
	for _, at := range r.receivedAt {
		if r.publishedAt.Sub(at) < RoundInterval/2 {
			current++
		}
	}
	return current >= r.Shards-1
}

// Decide ends the round. It returns this shard's load as published, and the time
// since when a job must be known here for the loads of all shards to be newer than
// its arrival; it is zero while the load of a shard is missing.
func (r *Rounds) Decide() (own map[string]Load, since time.Time) {
	r.decided = true
	if len(r.receivedAt) < r.Shards-1 {
		return r.published, time.Time{}
	}
	since = r.publishedAt
	for _, at := range r.receivedAt {
		if computed := at.Add(-loadDelay); computed.Before(since) {
			since = computed
		}
	}
	return r.published, since
}

// Sent notes work that is passed to another shard.
func (r *Rounds) Sent(sent *Transit) {
	r.sent = append(r.sent, sent)
}

// Arrived notes that work belongs to the other shard.
func (r *Rounds) Arrived(sent *Transit, now time.Time) {
	sent.arrivedAt = now
}

// Returned notes that work stays in this shard.
func (r *Rounds) Returned(sent *Transit) {
	for index, each := range r.sent {
		if each == sent {
			r.sent = append(r.sent[:index], r.sent[index+1:]...)
			return
		}
	}
}

// AddSent adds the work on its way to a shard's published load of a service.
func (r *Rounds) AddSent(number int, service string, load Load) Load {
	for _, sent := range r.sent {
		if sent.To != number || sent.Service != service {
			continue
		}
		if sent.Filler {
			load.WaitingFillers += sent.MilliCores
		} else {
			load.Waiting += sent.MilliCores
		}
		if sent.LongRunning {
			load.LongRunning += sent.MilliCores
		}
	}
	return load
}
