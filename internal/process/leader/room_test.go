package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoom(1000)
	assert.EqualValues(t, 100+900/sparePart, r.grant("a", 100, 0, now), "what is asked for and a part of the rest")
	assert.Zero(t, r.grant("b", 700, 0, now), "not free while it is granted to another host")
	assert.EqualValues(t, 600+75/(2*sparePart), r.grant("b", 600, 0, now), "the rest is shared by the hosts")
	r.seen(325)
	assert.Zero(t, r.grant("a", 100, 325, now), "a job that was seen needs the room that was granted for it")
	now = now.Add(roomTerm)
	assert.NotZero(t, r.grant("a", 100, 325, now), "grants that are not used expire")
	unlimited := newRoom(0)
	assert.EqualValues(t, 1<<40, unlimited.grant("a", 1<<40, 0, now), "no limit")
}

// Whatever hosts ask for and however late their jobs are seen, within roomTerm the
// jobs of all grants together stay within the limit.
func TestRoomIsNotGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		now, r := time.Unix(1000, 0), newRoom(limit)
		credit, unseen, used := map[string]int64{}, []int64{}, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "host"))
			bytes := rapid.Int64Range(1, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				credit[host] += r.grant(host, bytes, used, now)
			case 1:
				if bytes <= credit[host] {
					credit[host] -= bytes
					unseen = append(unseen, bytes)
				}
			case 2:
				if len(unseen) > 0 {
					r.seen(unseen[0])
					used += unseen[0]
					unseen = unseen[1:]
				}
			}
			sum := used
			for _, each := range unseen {
				sum += each
			}
			for _, each := range credit {
				sum += each
			}
			if sum > limit {
				t.Fatalf("%d of %d granted", sum, limit)
			}
		}
	})
}
