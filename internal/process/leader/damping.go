package leader

import "time"

// The minimum time between resignations.
const (
	// minResignGap is the minimum time between two resignations for the same
	// cause. A change of the leader stops the starts for about a second: a tenth
	// of this time, which is the share that callers may lose to a slow leader.
	minResignGap = 10 * time.Second
	// maxGapDoublings limits how often minResignGap is doubled while
	// resignations do not help: the load is then the cause, and not the host.
	maxGapDoublings = 4
)

// pastResignation is the last resignation for a cause, as it is handed over.
type pastResignation struct {
	// Age is how long ago it was when the record was written.
	Age time.Duration `cbor:"1,keyasint,omitempty"`
	// Count is the number of resignations in a row that did not help.
	Count int `cbor:"2,keyasint"`
}

// lastResignation is the same on this host's clock.
type lastResignation struct {
	at    time.Time
	count int
}

// nextAt is the earliest time of another resignation for the cause.
func (r lastResignation) nextAt() time.Time {
	return r.at.Add(minResignGap << min(max(r.count-1, 0), maxGapDoublings))
}

// resigned notes a resignation. It counts as one in a row unless twice the
// minimum time has passed since the last.
func (j *lagJudge) resigned(cause resignCause, now time.Time) {
	last, ok := j.last[cause]
	count := 1
	if ok && now.Sub(last.at) < 2*last.nextAt().Sub(last.at) {
		count = min(last.count+1, maxGapDoublings+1)
	}
	j.note(cause, lastResignation{
		at:    now,
		count: count,
	})
	j.reset()
}

func (j *lagJudge) note(cause resignCause, last lastResignation) {
	if j.last == nil {
		j.last = map[resignCause]lastResignation{}
	}
	j.last[cause] = last
}

// past returns the resignations that a successor must know.
func (j *lagJudge) past(now time.Time) map[resignCause]pastResignation {
	past := map[resignCause]pastResignation{}
	for cause, last := range j.last {
		past[cause] = pastResignation{
			Age:   max(0, now.Sub(last.at)),
			Count: last.count,
		}
	}
	return past
}

// restore adds the resignations in a record of an earlier leader. How old the
// record is, is not known; it counts as written now, so that the minimum time
// is never cut short.
func (j *lagJudge) restore(past map[resignCause]pastResignation, now time.Time) {
	for cause, each := range past {
		at := now.Add(-max(0, each.Age))
		if last, ok := j.last[cause]; ok && last.at.After(at) {
			continue
		}
		j.note(cause, lastResignation{
			at:    at,
			count: min(max(each.Count, 1), maxGapDoublings+1),
		})
	}
}
