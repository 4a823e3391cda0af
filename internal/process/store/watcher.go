package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"
)

// View is one report of a Watcher: a full listing of the prefix, the changes
// since the last view, or an error.
type View struct {
	// Snapshot means that Items lists everything under the prefix. Otherwise
	// Events holds the changes since the last view.
	Snapshot bool
	Items    []Item
	Events   []Event
	Revision int64
	// Seen is the time, by Clock, at which the call that returned the view was
	// sent. A view with Err has the time of the failure instead.
	Seen time.Time
	// Err is set if the call failed; then only Seen is set besides it.
	Err error
}

// WatcherConfig sets up a Watcher.
type WatcherConfig struct {
	Client Client
	Prefix string
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Gap is the pause between calls; it lets changes arrive in batches. There is
	// none after a large batch.
	Gap time.Duration
	// Timeout bounds a call that waits for changes beyond Wait.
	Timeout time.Duration
	Clock   func() time.Time
	// OnView is called with each view in order, from the watcher's goroutine.
	OnView func(view View)
}

// Watcher lists the keys under a prefix and then follows their changes.
type Watcher struct {
	config   WatcherConfig
	revision int64
	// listed is false until all keys have been read and after a compaction.
	listed bool
	// reader holds the keys read so far while listed is false.
	reader *Reader
	// events is the number of changes in the newest answer.
	events int
}

// NewWatcher returns a watcher that begins by reading all keys.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{
		config: config,
	}
}

// Delays between calls to a store that does not answer. The maximum is short
// enough to meet the bounds on applying a configuration after an outage, and
// long enough to keep calls during an outage few.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// largeBatch is the number of changes from which an answer may have been cut
// short: stores limit the changes of an answer.
const largeBatch = 200

// Run follows the prefix until the context ends. A failed call is retried with
// exponential backoff; after a compaction all keys are listed again.
func (w *Watcher) Run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = initialRetryDelay
	retryDelay.MaxInterval = maxRetryDelay
	failed := false
	for ctx.Err() == nil {
		err := w.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failed {
				klog.InfoS("store watch regained", "prefix", w.config.Prefix, "revision", w.revision)
			}
			failed = false
			retryDelay.Reset()
			if w.events < largeBatch {
				w.sleep(ctx, w.config.Gap)
			}
			continue
		case errors.Is(err, ErrCompacted):
			klog.InfoS("store history gone, reading all again", "prefix", w.config.Prefix, "revision", w.revision)
			w.listed = false
			continue
		}
		if !failed {
			klog.InfoS("store watch lost", "prefix", w.config.Prefix, "revision", w.revision, "err", err)
		}
		failed = true
		w.config.OnView(View{
			Seen: w.config.Clock(),
			Err:  err,
		})
		w.sleep(ctx, retryDelay.NextBackOff())
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

// poll lists the keys, or waits once for changes, and reports the view.
func (w *Watcher) poll(ctx context.Context) error {
	sentAt := w.config.Clock()
	w.events = 0
	if !w.listed {
		if w.reader == nil {
			w.reader = NewReader(w.config.Client, w.config.Prefix)
		}
		listing, err := w.reader.Read(ctx)
		if err != nil {
			return err
		}
		w.listed, w.revision, w.reader = true, listing.Revision, nil
		w.config.OnView(View{
			Snapshot: true,
			Items:    listing.Items,
			Revision: listing.Revision,
			Seen:     sentAt,
		})
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, w.config.Wait+w.config.Timeout)
	defer cancel()
	changes, err := w.config.Client.Watch(callCtx, w.config.Prefix, w.revision, w.config.Wait)
	if err != nil {
		return err
	}
	if changes.Revision < w.revision {
		return nil // an answer older than the last one has nothing new
	}
	w.revision, w.events = changes.Revision, len(changes.Events)
	w.config.OnView(View{
		Events:   changes.Events,
		Revision: changes.Revision,
		Seen:     sentAt,
	})
	return nil
}

// ResumeFrom makes the watcher follow changes after the revision instead of
// reading all keys first. It must be called before Run.
func (w *Watcher) ResumeFrom(revision int64) {
	w.listed, w.revision = true, revision
}
