package store

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Calls beyond the limit are not sent, and fail without any effect.
func TestLimitedCalls(t *testing.T) {
	sent, entered, leave := atomic.Int64{}, make(chan struct{}), make(chan struct{})
	client := Client{
		Get: func(context.Context, string) (Item, error) {
			sent.Add(1)
			entered <- struct{}{}
			<-leave
			return Item{}, nil
		},
		Commit: func(context.Context, Commit) (int64, error) {
			sent.Add(1)
			return 1, nil
		},
	}.Limited(1)
	answered := make(chan error)
	go func() {
		_, err := client.Get(context.Background(), "a")
		answered <- err
	}()
	<-entered
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Commit(ended, Commit{})
	require.ErrorIs(t, err, ErrUnavailable)
	assert.EqualValues(t, 1, sent.Load(), "the commit was not sent")
	close(leave)
	require.NoError(t, <-answered)
	_, err = client.Commit(context.Background(), Commit{})
	require.NoError(t, err, "the turn is given back")
}
