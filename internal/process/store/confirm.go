package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// confirmTimeout bounds one attempt of Confirm. It is many times the store's
// usual response time.
const confirmTimeout = 700 * time.Millisecond

// Confirm returns the current item of a key that was read before: the given item
// if it is still current, and otherwise the one that replaced it. A read may be
// answered late or from a replica that lags behind; a conditional commit is
// decided on the current state. The commit also writes mark, because a store may
// refuse a commit without writes. Failed attempts are repeated until the context
// ends. Errors: ErrAbsent if the key no longer exists, ErrRefused, and the
// store's last error once the context has ended.
func Confirm(ctx context.Context, client Client, read Item, mark Write) (Item, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = initialRetryDelay
	retryDelay.MaxInterval = maxRetryDelay
	for {
		limited, cancel := context.WithTimeout(ctx, confirmTimeout)
		_, err := client.Commit(limited, Commit{
			If: []Condition{
				{
					Key:      read.Key,
					Revision: read.Revision,
				},
			},
			Set: []Write{
				mark,
			},
		})
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			return read, nil
		case errors.As(err, &conflict):
			if len(conflict.Items) == 0 {
				return Item{}, ErrAbsent
			}
			return conflict.Items[0], nil
		case errors.Is(err, ErrRefused):
			return Item{}, err
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-ctx.Done():
			return Item{}, err
		}
	}
}
