package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
)

// fill stores keys under "work/" and returns their number.
func fill(t *testing.T, memory *standin.Memory) int {
	t.Helper()
	const keys = 25
	for i := range keys {
		_, err := memory.Client().Commit(context.Background(), store.Commit{
			Set: []store.Write{{
				Key: fmt.Sprintf("work/%02d", i),
			}},
		})
		require.NoError(t, err)
	}
	return keys
}

// Load pattern: a slow link to the store, on which only two pages can be read
// before a call fails. The reader continues where it stopped.
func TestReaderContinuesAfterFailure(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	memory.SetPageSize(3)
	keys := fill(t, memory)
	calls := 0
	memory.SetFault(func(call string) error {
		if calls++; call == "page" && calls%3 == 0 {
			return store.ErrUnavailable
		}
		return nil
	}, false)
	reader := store.NewReader(memory.Client(), "work/")
	var listing store.Listing
	err := store.ErrUnavailable
	for range 10 {
		if listing, err = reader.Read(context.Background()); err == nil {
			break
		}
	}
	require.NoError(t, err)
	assert.Len(t, listing.Items, keys)
}

// Load pattern: the same after the store has dropped its history. The watch has
// to come back, and report what was written meanwhile.
func TestWatcherIsRegainedThroughFailingPages(t *testing.T) {
	memory := standin.NewMemory(time.Now)
	memory.SetPageSize(3)
	keys := fill(t, memory)
	calls := 0
	memory.SetFault(func(call string) error {
		if call != "page" {
			return nil
		}
		if calls++; calls%3 == 0 {
			return store.ErrUnavailable
		}
		return nil
	}, false)
	views := make(chan store.View, 1000)
	watcher := store.NewWatcher(store.WatcherConfig{
		Client:  memory.Client(),
		Prefix:  "work/",
		Wait:    50 * time.Millisecond,
		Timeout: time.Second,
		Clock:   time.Now,
		OnView:  func(view store.View) { views <- view },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.Run(ctx)
	timeout := time.After(10 * time.Second)
	for {
		select {
		case view := <-views:
			if view.Snapshot {
				assert.Len(t, view.Items, keys)
				return
			}
		case <-timeout:
			t.Fatal("the keys were never read as a whole")
		}
	}
}

// Guards against a list that is taken for complete when a page was cut off: what
// it leaves out would count as removed.
func TestReaderRefusesAnEmptyPageBeforeTheEnd(t *testing.T) {
	pages := []store.Page{
		{
			More:     true,
			Revision: 7,
		},
		{
			Items: []store.Item{
				{
					Key: "work/00",
				},
			},
			Revision: 8,
		},
	}
	reader := store.NewReader(store.Client{
		Page: func(context.Context, string, string) (store.Page, error) {
			page := pages[0]
			pages = pages[1:]
			return page, nil
		},
	}, "work/")
	_, err := reader.Read(context.Background())
	require.ErrorIs(t, err, store.ErrUnavailable)
	listing, err := reader.Read(context.Background())
	require.NoError(t, err)
	assert.Len(t, listing.Items, 1)
	assert.Equal(t, int64(8), listing.Revision, "a watch continues from the first page that is used")
}
