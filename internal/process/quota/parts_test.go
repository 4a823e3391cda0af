package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Guards against shards that together exceed a limit: commits without an answer,
// stale reads, new leaders beside former ones, moved tasks and changed limits.
func TestShardsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDivision(t)
		for range 600 {
			d.step()
		}
	})
}

// Guards against parts that stay where they are not needed: within the rounds of
// two seconds, one shard can use 90 % of a limit.
func TestPartsMoveTowardsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rounds, limit, enough = 4, 1000, 900
		d := newDivision(t)
		d.limits = []worker.Size{
			{
				MilliCores: limit,
			},
		}
		for _, s := range d.shards {
			d.configure(s.book, 0)
		}
		busy := d.shards[rapid.IntRange(0, len(d.shards)-1).Draw(t, "busy")]
		round := func() {
			for number, s := range d.shards {
				d.read(s, len(d.record)-1)
				d.revise(number, "ok")
			}
			for _, s := range d.shards {
				d.read(s, len(d.record)-1)
			}
		}
		round()
		busy.waiting = []*dividedTask{
			{
				size: worker.Size{
					MilliCores: limit,
				},
			},
		}
		for range rounds {
			round()
		}
		require.GreaterOrEqual(t, busy.book.Account("mill").MayStart(worker.Size{
			MilliCores: 1,
		}), enough)
	})
}
