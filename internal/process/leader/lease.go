package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"mustardreach.example/mustardreach/internal/process/store"
)

// leaseKeeper renews the lease of the lead key while a new leader reads its
// state, which takes longer than the lease if there are many records or the
// link to the store is slow.
type leaseKeeper struct {
	store store.Client
	clock func() time.Time
	lease int64

	mu sync.Mutex
	// renewed is when the newest successful renewal was sent.
	renewed time.Time
}

func (k *leaseKeeper) lastRenewal() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.renewed
}

// run renews until the context ends. It calls lapsed if the lease has expired,
// or may have.
func (k *leaseKeeper) run(ctx context.Context, lapsed func()) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent := k.clock()
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.store.Renew(limited, k.lease)
		cancel()
		switch {
		case err == nil:
			k.mu.Lock()
			k.renewed = sent
			k.mu.Unlock()
		case errors.Is(err, store.ErrNoLease) || k.clock().Sub(k.lastRenewal()) > ActTerm:
			lapsed()
			return
		}
	}
}
