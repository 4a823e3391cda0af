package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/store"
)

// A read that failed once while a new leader loaded its state ended the
// acquisition: nobody led until the lead key that it had written expired.
func TestAcquisitionReadsAgainAfterAFailure(t *testing.T) {
	for _, key := range []string{soloKeys.Roster, soloKeys.Sequence, soloKeys.Learned, soloKeys.Handover} {
		t.Run(key, func(t *testing.T) {
			s := newSite(t)
			first, _ := s.startLeader("recife-1")
			s.submit("a")
			s.waitCompleted(first, "a")
			first.Resign(t.Context())
			config := s.leaderConfig("olinda-1")
			config.Keys = soloKeys
			read, failures := config.Store.Get, 0
			config.Store.Get = func(ctx context.Context, name string) (store.Item, error) {
				if name == key && failures == 0 {
					failures++
					return store.Item{}, fmt.Errorf("%w: status 503", store.ErrUnavailable)
				}
				return read(ctx, name)
			}
			attempt := &acquisition{
				leader: New(config),
			}
			began := time.Now()
			result, err := attempt.acquire(t.Context())
			require.NoError(t, err)
			assert.Positive(t, failures)
			assert.Len(t, result.jobs, 1)
			assert.Less(t, time.Since(began), leaseTTL)
		})
	}
}
