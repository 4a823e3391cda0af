package leader

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

func (s *site) bar(id string, bar *work.Bar) {
	value, err := work.EncodeBar(bar)
	require.NoError(s.t, err)
	s.put(soloKeys.Cancel(id), value)
}

// Guards against a job that runs although it was cancelled before its submission took
// effect: a host of an earlier release does not make that conditional (review case 8).
// Another organisation's cancellation does not concern it.
func TestJobBehindABarIsCancelled(t *testing.T) {
	tests := map[string]struct {
		bar  *work.Bar
		want work.State
		// successor is set if a later leader finds both.
		successor bool
	}{
		"cancelled by anyone": {
			bar: &work.Bar{
				Everyone: true,
			},
			want: work.Cancelled,
		},
		"cancelled by its organisation": {
			bar: &work.Bar{
				Organisations: []string{"glass", "paper"},
			},
			want: work.Cancelled,
		},
		"cancelled by another organisation": {
			bar: &work.Bar{
				Organisations: []string{"glass"},
			},
			want: work.Queued, // no configuration has its organisation
		},
		"found by a successor": {
			bar: &work.Bar{
				Everyone: true,
			},
			want:      work.Cancelled,
			successor: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			leading := (*Leader)(nil)
			if !test.successor {
				leading, _ = s.startLeader("recife-1")
				s.submit("b")
				s.waitCompleted(leading, "b")
			}
			s.bar("a", test.bar)
			value, err := work.EncodeJob(&work.Job{
				ID:           "a",
				Queue:        "quotes",
				Service:      "workshop",
				Organisation: "paper",
				Steps: []work.Step{{
					Count: 1,
				}},
				Accepted: time.Now(),
			})
			require.NoError(t, err)
			s.put(soloKeys.Job("a"), value)
			if test.successor {
				leading, _ = s.startLeader("recife-1")
			}
			require.Eventually(t, func() bool {
				answer := state(leading, "a")
				return answer.Known && answer.State == test.want
			}, waitTimeout, 5*time.Millisecond)
			s.submit("c")
			s.waitCompleted(leading, "c")
			assert.Equal(t, test.want, state(leading, "a").State, "it stays so")
			if test.want == work.Cancelled {
				assert.Zero(t, s.workers.started(work.TaskKey{
					Job: "a",
				}))
			}
		})
	}
}

// Guards against cancellations of unknown jobs that stay in the store for ever, and
// against one that is deleted although it was written again.
func TestBarsAreDeletedOnceTheyAreOld(t *testing.T) {
	s := newSite(t)
	s.bar("old", &work.Bar{
		Everyone: true,
	})
	s.bar("again", &work.Bar{
		Everyone: true,
	})
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	aged := make(chan struct{})
	leading.post(func(now time.Time) {
		for id, stored := range leading.term.bars {
			stored.seenAt = now.Add(-barAge)
			if id == "again" {
				stored.revision-- // as before it was written again
			}
			leading.term.bars[id] = stored
		}
		close(aged)
	})
	<-aged
	absent := func(id string) bool {
		_, err := s.store.Client().Get(context.Background(), soloKeys.Cancel(id))
		return errors.Is(err, store.ErrAbsent)
	}
	require.Eventually(t, func() bool { return absent("old") }, waitTimeout, 5*time.Millisecond)
	assert.False(t, absent("again"))
}
