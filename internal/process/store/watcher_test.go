package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/store"
)

// Load pattern: 3,000 workers write 2,000 entries a second, and the store limits
// its answers to 500 changes. The watcher paused after each answer, fell behind
// without end, and draining workers were given tasks 9 s after they had announced
// it.
func TestWatcherCatchesUpWithoutPauses(t *testing.T) {
	const (
		backlog   = 5000
		maxAnswer = 500
	)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	caughtUp := make(chan int, backlog/maxAnswer+1)
	watcher := store.NewWatcher(store.WatcherConfig{
		Client: store.Client{
			Watch: func(ctx context.Context, _ string, after int64, _ time.Duration) (store.Changes, error) {
				count := min(maxAnswer, backlog-after)
				if count == 0 {
					<-ctx.Done()
					return store.Changes{}, ctx.Err()
				}
				return store.Changes{
					Events:   make([]store.Event, count),
					Revision: after + count,
				}, nil
			},
		},
		Prefix:  "workers/",
		Wait:    time.Second,
		Gap:     time.Hour,
		Timeout: time.Second,
		Clock:   time.Now,
		OnView:  func(view store.View) { caughtUp <- int(view.Revision) },
	})
	watcher.ResumeFrom(0)
	go watcher.Run(ctx)
	for {
		select {
		case revision := <-caughtUp:
			if revision == backlog {
				return
			}
		case <-ctx.Done():
			require.Fail(t, "the watcher pauses although there are more changes")
		}
	}
}
