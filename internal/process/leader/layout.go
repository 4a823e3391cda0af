package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
)

const (
	keyLayout = prefixRoot + "layout"
	// layoutReadGap is how long the list of workers must stay the same, and the
	// longest wait for another host's layout between two attempts.
	layoutReadGap = 400 * time.Millisecond
	// emptyWait is how long a new fleet waits for its first worker to be listed
	// before it is taken for a small one, growthWait how long for the list to
	// stop growing.
	emptyWait  = 5 * time.Second
	growthWait = 10 * time.Second
	// maxGrowth is the growth of the list between two reads, as a share, below
	// which it counts as whole.
	maxGrowth = 0.01
)

// LayoutConfig configures FetchLayout.
type LayoutConfig struct {
	Store         store.Client
	WorkersPrefix string
	Worker        func(item store.Item) (schedule.Listing, error)
	// Delay is how long this host waits for another one to make the layout.
	Delay time.Duration
	// MaxWorkers is the most workers of a shard in a layout that this host makes;
	// zero means shard.DefaultMaxWorkers.
	MaxWorkers int
	Clock      func() time.Time
}

// FetchLayout returns the stored layout of the fleet. In a new fleet one host
// makes it, once the list of workers has stopped growing. A fleet that ran
// before there were layouts has one shard.
func FetchLayout(ctx context.Context, config LayoutConfig) (shard.Layout, error) {
	started, workers, logged := config.Clock(), -1, false
	for {
		layout, revision, err := readLayout(ctx, config.Store)
		if err == nil && layout.Shards > 0 {
			return layout, nil
		}
		waited := config.Clock().Sub(started)
		if err == nil && waited >= config.Delay {
			var listed []shard.Worker
			listed, err = listWorkers(ctx, config)
			if err == nil && listIsWhole(len(listed), workers, waited) {
				if err = createLayout(ctx, config.Store, shard.Plan(listed, cmp.Or(config.MaxWorkers, shard.DefaultMaxWorkers))); err == nil {
					continue
				}
			}
			workers = len(listed)
		}
		if !logged {
			klog.InfoS("waiting for the layout", "err", err)
			logged = true
		}
		if ctx.Err() != nil {
			return shard.Layout{}, fmt.Errorf("store key %s: %w", keyLayout, ctx.Err())
		}
		awaitLayout(ctx, config.Store, revision)
	}
}

// listIsWhole reports whether a list of workers that had before entries at the
// last read, or -1 without one, can be divided. Load pattern: a new fleet, whose
// workers register over several seconds.
func listIsWhole(entries, before int, waited time.Duration) bool {
	if entries == 0 {
		return waited >= emptyWait
	}
	return before >= 0 && float64(entries-before) <= maxGrowth*float64(entries) || waited >= growthWait
}

// readLayout returns the layout, without shards if there is none, and the
// store's revision.
func readLayout(ctx context.Context, client store.Client) (shard.Layout, int64, error) {
	listing, err := store.NewReader(client, keyLayout).Read(ctx)
	layout := shard.Layout{}
	if err != nil || len(listing.Items) == 0 {
		return layout, listing.Revision, err
	}
	item := listing.Items[0]
	if err := cbor.Unmarshal(item.Value, &layout); err != nil || layout.Shards < 1 {
		return shard.Layout{}, listing.Revision, fmt.Errorf("layout of %d shards at revision %d is unusable: %v", layout.Shards, item.Revision, err)
	}
	return layout, listing.Revision, nil
}

// awaitLayout waits until the layout is stored, layoutReadGap at most. A watch
// that fails or is answered early is waited out.
func awaitLayout(ctx context.Context, client store.Client, revision int64) {
	limited, cancel := context.WithTimeout(ctx, layoutReadGap)
	defer cancel()
	if revision > 0 {
		changes, err := client.Watch(limited, keyLayout, revision, layoutReadGap)
		if err == nil && len(changes.Events) > 0 {
			return
		}
	}
	<-limited.Done()
}

func listWorkers(ctx context.Context, config LayoutConfig) ([]shard.Worker, error) {
	listing, err := store.NewReader(config.Store, config.WorkersPrefix).Read(ctx)
	if err != nil {
		return nil, err
	}
	workers := make([]shard.Worker, 0, len(listing.Items))
	for _, item := range listing.Items {
		worker, err := config.Worker(item)
		if err != nil {
			klog.InfoS("worker entry cannot be used", "key", item.Key, "revision", item.Revision, "err", err)
			continue
		}
		workers = append(workers, shard.Worker{
			ID:         worker.ID,
			Zone:       worker.Zone,
			Rack:       worker.Rack,
			MilliCores: worker.Capacity.MilliCores,
		})
	}
	return workers, nil
}

// createLayout stores a layout unless there is one. A conflict is no error: the
// caller reads what is stored. Records of a single leader keep the fleet whole.
func createLayout(ctx context.Context, client store.Client, layout shard.Layout) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.Get(limited, KeysOf(0, 1).Epoch); err == nil {
		layout = shard.Solo()
	} else if !errors.Is(err, store.ErrAbsent) {
		return err
	}
	value, err := cbor.Marshal(layout)
	if err != nil {
		return err
	}
	revision, err := client.Commit(limited, store.Commit{
		If: []store.Condition{
			{
				Key: keyLayout,
			},
		},
		Set: []store.Write{
			{
				Key:   keyLayout,
				Value: value,
			},
		},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	klog.InfoS("layout made", "shards", layout.Shards, "racks", len(layout.Racks), "revision", revision, "err", err)
	return err
}
