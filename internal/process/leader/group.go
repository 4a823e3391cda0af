package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// maxPreferenceDelay spreads the attempts of equal hosts to acquire the
// leaderships of several shards: each host tries another shard first. It is
// shorter than what a few tenths of a core count in AcquireDelay.
const maxPreferenceDelay = 60 * time.Millisecond

// GroupConfig configures a Group.
type GroupConfig struct {
	// Leader is the configuration that the Leaders of all shards share; its
	// JobBytes is for all of them. Shard, Shards, Keys, Duties, Owns and
	// LeaderChanged are set by the Group.
	Leader Config
	Layout shard.Layout
	// LeaderChanged is called with the new leader of a shard when it changes;
	// the zero Member means that nobody leads.
	LeaderChanged func(number int, member Member)
}

// Group competes for the leadership of each shard of the fleet. One watch of the
// lead keys serves all of them.
type Group struct {
	config  GroupConfig
	leaders []*Leader
}

// NewGroup returns a Group; Run starts it.
func NewGroup(config GroupConfig) *Group {
	group := &Group{
		config: config,
	}
	duties := &Duties{}
	group.config.Leader.reports = newHostReports()
	group.config.Leader.advice = newAdviceTurns()
	for number := range config.Layout.Shards {
		each := group.config.Leader
		each.Shard, each.Shards = number, config.Layout.Shards
		each.UsualShard = config.Layout.OfJob
		each.JobBytes = group.config.Leader.JobBytes / int64(config.Layout.Shards)
		each.Keys = KeysOf(number, config.Layout.Shards)
		each.Board.HoldsLongRunning = config.Layout.Shards > 1
		each.Board.Shard, each.Board.Shards = number, config.Layout.Shards
		each.Duties = duties
		each.Owns = func(listing schedule.Listing) bool {
			return config.Layout.OfWorker(listing.ID, listing.Rack) == number
		}
		each.LeaderChanged = func(member Member) { config.LeaderChanged(number, member) }
		if config.Layout.Shards > 1 {
			each.AcquireDelay += preferenceDelay(each.Self.Host, each.Keys.Lead)
		}
		group.leaders = append(group.leaders, New(each))
	}
	return group
}

func preferenceDelay(host, leadKey string) time.Duration {
	return time.Duration(xxhash.Sum64String(host+leadKey) % uint64(maxPreferenceDelay))
}

// Run runs the leaders until the context ends.
func (g *Group) Run(ctx context.Context) {
	watcher := store.NewWatcher(store.WatcherConfig{
		Client:  g.config.Leader.Store,
		Prefix:  leadsPrefix(g.config.Layout.Shards),
		Wait:    leadWatchWait,
		Timeout: callTimeout,
		Clock:   g.config.Leader.Clock,
		OnView:  g.observeLeadKeys,
	})
	go watcher.Run(ctx)
	running := sync.WaitGroup{}
	for _, each := range g.leaders {
		running.Go(func() { each.Run(ctx) })
	}
	running.Wait()
}

// observeLeadKeys passes a view to the leaders whose key it concerns.
func (g *Group) observeLeadKeys(view store.View) {
	for _, each := range g.leaders {
		if view.Err != nil || view.Snapshot || each.concerns(view.Events) {
			each.post(func(now time.Time) { each.observeLeadKey(view, now) })
		}
	}
}

func (l *Leader) concerns(events []store.Event) bool {
	for _, event := range events {
		if event.Key == l.config.Keys.Lead {
			return true
		}
	}
	return false
}

// SetCatalog puts a configuration version in force.
func (g *Group) SetCatalog(newest *catalog.Catalog) {
	for _, each := range g.leaders {
		each.SetCatalog(newest)
	}
}

// Evacuate sets the zones in which no task is started.
func (g *Group) Evacuate(zones map[string]bool) {
	for _, each := range g.leaders {
		each.Evacuate(zones)
	}
}

// Ask answers a question if this host leads the shard that it is for. It calls
// reply once, with the zero Answer otherwise.
func (g *Group) Ask(question Question, reply func(answer Answer)) {
	if question.Shard < 0 || question.Shard >= len(g.leaders) {
		reply(Answer{})
		return
	}
	g.leaders[question.Shard].Ask(question, reply)
}

// Report notes what another host has reported.
func (g *Group) Report(host string, report HostReport) {
	g.config.Leader.reports.add(host, report, g.config.Leader.Clock())
}

// Resign gives up all leaderships for good. It waits for the removal of the lead
// keys until the context ends.
func (g *Group) Resign(ctx context.Context) {
	resigning := sync.WaitGroup{}
	for _, each := range g.leaders {
		resigning.Go(func() { each.Resign(ctx) })
	}
	resigning.Wait()
}
