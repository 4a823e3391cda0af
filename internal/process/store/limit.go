package store

import "context"

// Limited returns a client with at most calls reads and commits in progress. Others
// wait for their turn, and fail with ErrUnavailable, without any effect, when their
// context ends first. Load pattern: a crowd of callers. Without the limit each of
// their requests opens a connection to the store, and the descriptors for the
// leadership's own calls are used up.
func (c Client) Limited(calls int) Client {
	limited, turns := c, make(chan struct{}, calls)
	limited.Get = func(ctx context.Context, key string) (Item, error) {
		return inTurn(ctx, turns, func() (Item, error) { return c.Get(ctx, key) })
	}
	limited.Page = func(ctx context.Context, prefix, after string) (Page, error) {
		return inTurn(ctx, turns, func() (Page, error) { return c.Page(ctx, prefix, after) })
	}
	limited.Commit = func(ctx context.Context, commit Commit) (int64, error) {
		return inTurn(ctx, turns, func() (int64, error) { return c.Commit(ctx, commit) })
	}
	return limited
}

func inTurn[T any](ctx context.Context, turns chan struct{}, call func() (T, error)) (result T, err error) {
	select {
	case turns <- struct{}{}:
	case <-ctx.Done():
		return result, ErrUnavailable
	}
	defer func() { <-turns }()
	return call()
}
