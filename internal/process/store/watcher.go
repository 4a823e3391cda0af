package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"
)

// View is what a Watcher has seen: either the whole or what has changed.
type View struct {
	// Whole says that Items is everything under the prefix; else Events holds
	// the changes since the last view.
	Whole    bool
	Items    []Item
	Events   []Event
	Revision int64
	// Seen is when the call that brought the view was sent, by Clock.
	Seen time.Time
	// Err is set if the store did not answer; the rest is then empty.
	Err error
}

// WatcherConfig sets up a Watcher.
type WatcherConfig struct {
	Client Client
	Prefix string
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Gap is the pause between calls, so that changes are told in batches.
	Gap time.Duration
	// Timeout bounds a call beyond Wait.
	Timeout time.Duration
	Clock   func() time.Time
	// View receives views in order, from the watcher's goroutine.
	View func(view View)
}

// Watcher follows a prefix.
type Watcher struct {
	config   WatcherConfig
	revision int64
	whole    bool
}

// NewWatcher returns a watcher that reads all first.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{
		config: config,
	}
}

// Pauses between calls to a store that does not answer: short enough that the
// bounds on configuration hold after an outage, and few calls during one.
const (
	firstRetry   = 50 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Run follows the prefix until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	pace := backoff.NewExponentialBackOff()
	pace.InitialInterval = firstRetry
	pace.MaxInterval = longestRetry
	failed := false
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failed {
				klog.InfoS("store watch regained", "prefix", w.config.Prefix, "revision", w.revision)
			}
			failed = false
			pace.Reset()
			w.sleep(ctx, w.config.Gap)
			continue
		case errors.Is(err, ErrCompacted):
			klog.InfoS("store history gone, reading all again", "prefix", w.config.Prefix, "revision", w.revision)
			w.whole = false
			continue
		}
		if !failed {
			klog.InfoS("store watch lost", "prefix", w.config.Prefix, "revision", w.revision, "err", err)
		}
		failed = true
		w.config.View(View{
			Seen: w.config.Clock(),
			Err:  err,
		})
		w.sleep(ctx, pace.NextBackOff())
	}
}

func (w *Watcher) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) step(ctx context.Context) error {
	sent := w.config.Clock()
	if !w.whole {
		limited, cancel := context.WithTimeout(ctx, w.config.Timeout)
		defer cancel()
		listing, err := w.config.Client.List(limited, w.config.Prefix)
		if err != nil {
			return err
		}
		w.whole, w.revision = true, listing.Revision
		w.config.View(View{
			Whole:    true,
			Items:    listing.Items,
			Revision: listing.Revision,
			Seen:     sent,
		})
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, w.config.Wait+w.config.Timeout)
	defer cancel()
	changes, err := w.config.Client.Watch(limited, w.config.Prefix, w.revision, w.config.Wait)
	if err != nil {
		return err
	}
	if changes.Revision < w.revision {
		return nil // an older answer than one already seen says nothing new
	}
	w.revision = changes.Revision
	w.config.View(View{
		Events:   changes.Events,
		Revision: changes.Revision,
		Seen:     sent,
	})
	return nil
}

// From makes the watcher go on from a revision instead of reading all first.
func (w *Watcher) From(revision int64) {
	w.whole, w.revision = true, revision
}
