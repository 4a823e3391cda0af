package leader

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
)

// loadKey is the key of a shard's load.
func loadKey(number int) string {
	return prefixLoads + strconv.Itoa(number)
}

// publishedLoad is the load of a shard and when it was read.
type publishedLoad struct {
	services map[string]shard.Load
	readAt   time.Time
}

// observeLoads updates the loads of other shards from a view.
func (m *moves) observeLoads(view store.View, now time.Time) {
	for _, item := range view.Items {
		m.observeLoad(item, now)
	}
	for _, event := range view.Events {
		if event.Removed {
			if number, err := strconv.Atoi(strings.TrimPrefix(event.Key, prefixLoads)); err == nil {
				m.loadRemoved(number, now)
			}
			continue
		}
		m.observeLoad(event.Item, now)
	}
}

func (m *moves) loadRemoved(number int, now time.Time) {
	delete(m.loads, number)
	m.rounds.Removed(number)
	if number != m.term.leader.config.Shard {
		m.otherEndedAt = now
	}
}

// otherDelay returns how late the latest leader of another shard is, as far as
// recent loads say.
func (m *moves) otherDelay(now time.Time) time.Duration {
	worst := time.Duration(0)
	for number, published := range m.loads {
		if number == m.term.leader.config.Shard || now.Sub(published.readAt) > loadAge {
			continue
		}
		for _, load := range published.services {
			worst = max(worst, load.Late)
		}
	}
	return worst
}

func (m *moves) observeLoad(item store.Item, now time.Time) {
	number, err := strconv.Atoi(strings.TrimPrefix(item.Key, prefixLoads))
	var services map[string]shard.Load
	if err == nil {
		err = cbor.Unmarshal(item.Value, &services)
	}
	if err != nil {
		klog.ErrorS(err, "load of a shard cannot be read", "key", item.Key, "revision", item.Revision)
		return
	}
	m.loads[number] = publishedLoad{
		services: services,
		readAt:   now,
	}
	m.rounds.Received(number, now)
}

// byService returns the loads that are recent enough, with what was sent there
// since, by service and shard.
func (m *moves) byService(own map[string]shard.Load, now time.Time) map[string]map[int]shard.Load {
	out := map[string]map[int]shard.Load{}
	add := func(number int, services map[string]shard.Load) {
		for service, load := range services {
			if out[service] == nil {
				out[service] = map[int]shard.Load{}
			}
			out[service][number] = m.rounds.AddSent(number, service, load)
		}
	}
	for number, published := range m.loads {
		if now.Sub(published.readAt) <= loadAge {
			add(number, published.services)
		}
	}
	add(m.term.leader.config.Shard, own)
	return out
}

// skew returns the greatest difference between the shares of two shards' capacity that
// long-running work of a service takes, as the recent loads have it.
func (m *moves) skew(now time.Time) float64 {
	skew := 0.0
	for _, loads := range m.byService(m.loads[m.term.leader.config.Shard].services, now) {
		skew = max(skew, shard.Skew(loads, func(load shard.Load) int64 { return load.LongRunning }))
	}
	return skew
}

// publishLate publishes the load of a leader that has begun to be late. Others
// have to know before they are late for long enough to resign themselves.
func (m *moves) publishLate(now time.Time) {
	if m.term.leader.config.Shards > 1 {
		m.publish(m.term.leader.board.Loads(now))
	}
}

// elsewhere returns the loads of the other shards that are recent enough, by service.
func (t *term) elsewhere(now time.Time) map[string][]shard.Load {
	out := map[string][]shard.Load{}
	for number, published := range t.moves.loads {
		if number == t.leader.config.Shard || now.Sub(published.readAt) > loadAge {
			continue
		}
		for service, load := range published.services {
			out[service] = append(out[service], load)
		}
	}
	return out
}

// publish writes the load under the lease of the lead key, so that it disappears
// with the leadership. It is advisory: no condition and no retry.
func (m *moves) publish(own map[string]shard.Load) {
	if m.publishing {
		return
	}
	late := m.term.leader.lag.late()
	for service, load := range own {
		load.Late = late
		own[service] = load
	}
	value, err := cbor.Marshal(own)
	if err != nil {
		klog.ErrorS(err, "load cannot be encoded")
		return
	}
	m.publishing = true
	call := &publication{
		moves: m,
		commit: store.Commit{
			Set: []store.Write{
				{
					Key:   loadKey(m.term.leader.config.Shard),
					Value: value,
					Lease: m.term.lease,
				},
			},
		},
	}
	go call.run(m.term.ctx)
}

// publication is one write of the load in flight.
type publication struct {
	moves  *moves
	commit store.Commit
}

func (p *publication) run(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.moves.term.leader.config.Store.Commit(limited, p.commit)
	if err != nil {
		klog.V(1).InfoS("load not published", "err", err)
	}
	p.moves.term.post(func(time.Time) { p.moves.publishing = false })
}
