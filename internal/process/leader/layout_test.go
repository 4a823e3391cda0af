package leader

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/schedule"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
)

// addWorkers lists workers in racks of eight, the first of them with the given
// number.
func (s *site) addWorkers(from, to int) {
	for i := from; i < to; i++ {
		value, err := cbor.Marshal(schedule.Listing{
			ID:      fmt.Sprintf("w%04d", i),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Zone:    fmt.Sprintf("zone%d", i/8%5),
			Rack:    fmt.Sprintf("r%d", i/8),
			Service: "workshop",
			Capacity: worker.Size{
				MilliCores: 32000,
			},
		})
		require.NoError(s.t, err)
		s.put(fmt.Sprintf("workers/w%04d", i), value)
	}
}

func (s *site) layoutConfig() LayoutConfig {
	return LayoutConfig{
		Store:         s.store.Client(),
		WorkersPrefix: "workers/",
		Worker: func(item store.Item) (schedule.Listing, error) {
			var listing schedule.Listing
			return listing, cbor.Unmarshal(item.Value, &listing)
		},
		Clock: time.Now,
	}
}

func emptySite(t *testing.T) *site {
	return &site{
		t:       t,
		store:   standin.NewMemory(time.Now),
		workers: newFakeWorkers(),
	}
}

// All hosts of a new fleet get the same layout, although each may have counted
// another number of workers.
func TestHostsAgreeOnOneLayout(t *testing.T) {
	s := emptySite(t)
	s.addWorkers(0, 1100)
	layouts := make(chan shard.Layout, 3)
	for range cap(layouts) {
		go func() {
			layout, err := FetchLayout(t.Context(), s.layoutConfig())
			assert.NoError(t, err)
			layouts <- layout
		}()
	}
	first := <-layouts
	assert.Equal(t, 3, first.Shards)
	assert.Equal(t, first, <-layouts)
	assert.Equal(t, first, <-layouts)
}

// The list grows while the fleet starts: the layout waits until it is whole.
func TestLayoutWaitsForTheList(t *testing.T) {
	s := emptySite(t)
	s.addWorkers(0, 100)
	go func() {
		time.Sleep(layoutReadGap / 2)
		s.addWorkers(100, 500)
	}()
	layout, err := FetchLayout(t.Context(), s.layoutConfig())
	require.NoError(t, err)
	assert.Equal(t, 2, layout.Shards)
}

// Guards against hosts of a fleet that divide it anew: the stored layout holds for
// those with another setting too.
func TestLayoutStaysWithAnotherSetting(t *testing.T) {
	s := emptySite(t)
	s.addWorkers(0, 48)
	config := s.layoutConfig()
	config.MaxWorkers = 24
	made, err := FetchLayout(t.Context(), config)
	require.NoError(t, err)
	assert.Equal(t, 2, made.Shards)
	config.MaxWorkers = 16
	read, err := FetchLayout(t.Context(), config)
	require.NoError(t, err)
	assert.Equal(t, made, read)
}

func TestListIsWhole(t *testing.T) {
	for name, test := range map[string]struct {
		entries, before int
		waited          time.Duration
		want            bool
	}{
		"first read": {
			entries: 1100,
			before:  -1,
		},
		"grows": {
			entries: 1100,
			before:  900,
			waited:  6 * time.Second,
		},
		"hardly grows": {
			entries: 1100,
			before:  1095,
			want:    true,
		},
		"the same": {
			entries: 48,
			before:  48,
			want:    true,
		},
		"grows for too long": {
			entries: 1100,
			before:  900,
			waited:  growthWait,
			want:    true,
		},
		"empty at first": {
			before: 0,
			waited: time.Second,
		},
		"empty for a long time": {
			before: 0,
			waited: emptyWait,
			want:   true,
		},
		"small, one more worker": {
			entries: 49,
			before:  48,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, listIsWhole(test.entries, test.before, test.waited))
		})
	}
}

// A fleet that was started by a release without layouts has records under the
// keys of one leader: it must stay whole, or its jobs would be lost.
func TestEarlierFleetKeepsOneLeader(t *testing.T) {
	s := emptySite(t)
	s.addWorkers(0, 1100)
	s.put(soloKeys.Epoch, nil)
	layout, err := FetchLayout(t.Context(), s.layoutConfig())
	require.NoError(t, err)
	assert.Equal(t, shard.Solo(), layout)
}

// A host must not serve with a layout that it made up because it could not read
// the stored one.
func TestNoLayoutWithoutTheStore(t *testing.T) {
	s := emptySite(t)
	s.addWorkers(0, 10)
	s.store.SetFault(func(string) error { return store.ErrUnavailable }, false)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := FetchLayout(ctx, s.layoutConfig())
	assert.Error(t, err)
	s.store.SetFault(func(string) error { return nil }, false)
	s.put(keyLayout, []byte("not cbor"))
	ctx, cancel = context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = FetchLayout(ctx, s.layoutConfig())
	assert.Error(t, err)
}
