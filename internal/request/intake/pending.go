package intake

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/leader"
)

// pendingAge is how long a leader's count stands in for an answer that does not
// come: a change of leader and the read of its jobs.
const pendingAge = 10 * time.Second

// pendingCounts holds the newest count of each shard by queue. It is safe for
// concurrent use.
type pendingCounts struct {
	mu sync.Mutex
	// shards is indexed by shard.
	shards []map[string]pendingCount
}

type pendingCount struct {
	count int
	at    time.Time
}

func newPendingCounts(shards int) *pendingCounts {
	counts := &pendingCounts{
		shards: make([]map[string]pendingCount, shards),
	}
	for number := range counts.shards {
		counts.shards[number] = map[string]pendingCount{}
	}
	return counts
}

func (p *pendingCounts) set(number int, queue string, count int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shards[number][queue] = pendingCount{
		count: count,
		at:    now,
	}
}

func (p *pendingCounts) get(number int, queue string, now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.shards[number][queue]
	return known.count, ok && now.Sub(known.at) <= pendingAge
}

// Pending returns the number of a queue's accepted jobs of which no task has
// started, as the sum over all shards. It returns false if a leader can neither
// be asked nor was asked a short time ago.
func (i *Intake) Pending(ctx context.Context, queue string) (int, bool) {
	answers := make([]leader.Answer, i.config.Layout.Shards)
	asking := sync.WaitGroup{}
	for number := range answers {
		asking.Go(func() {
			answers[number] = i.config.Ask(ctx, leader.Question{
				Queue: queue,
				Shard: number,
			})
		})
	}
	asking.Wait()
	sum, known, now := 0, true, i.config.Clock()
	for number, answer := range answers {
		count := answer.Pending
		if answer.Known {
			i.pending.set(number, queue, count, now)
		} else {
			earlier, ok := i.pending.get(number, queue, now)
			count, known = earlier, known && ok && i.config.Layout.Shards > 1
		}
		sum += count
	}
	i.config.Counts.Add("pending", 1)
	klog.V(1).InfoS("pending count reported", "queue", queue, "pending", sum, "known", known)
	return sum, known
}
