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

// Guards against the start of cancelled jobs: a host that loaded its state for six
// seconds listed the cancellations before the jobs, and started what had been
// submitted and cancelled in between.
func TestAcquisitionKnowsWhatCameWhileItLoaded(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(first, "a")
	first.Resign(t.Context())
	config := s.leaderConfig("olinda-1")
	config.Keys = soloKeys
	page := config.Store.Page
	config.Store.Page = func(ctx context.Context, prefix, after string) (store.Page, error) {
		read, err := page(ctx, prefix, after)
		if prefix == soloKeys.work && after == "" {
			s.submit("late")
			s.put(soloKeys.Cancel("late"), nil)
		}
		return read, err
	}
	attempt := &acquisition{
		leader: New(config),
	}
	result, err := attempt.acquire(t.Context())
	require.NoError(t, err)
	assert.Len(t, result.jobs, 2)
	assert.Equal(t, []string{"late"}, result.cancels)
}

// Guards against a term that begins after it has been lost while it was loaded.
func TestAcquisitionThatWasOvertakenFails(t *testing.T) {
	result := &acquisitionResult{
		token: 7,
	}
	require.ErrorIs(t, result.addChanges(&soloKeys, store.Changes{
		Events: []store.Event{
			{
				Item: store.Item{
					Key:      soloKeys.Lead,
					Revision: 9,
				},
				Removed: true,
			},
		},
		Revision: 9,
	}), store.ErrNoLease)
}
