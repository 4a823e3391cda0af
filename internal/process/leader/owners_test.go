package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/request/work"
)

// submitOwned submits a job that only a worker labelled r1 can run.
func (s *site) submitOwned(keys Keys, id, organisation string) {
	value, err := work.EncodeJob(&work.Job{
		ID:           id,
		Queue:        "quotes",
		Service:      "workshop",
		Organisation: organisation,
		Steps: []work.Step{
			{
				Count: 1,
				Label: "r1",
			},
		},
		Accepted: time.Now(),
	})
	require.NoError(s.t, err)
	s.put(keys.Job(id), value)
}

// A wrong owner in an answer would show a job to another organisation, or hide it
// from its own. The owner comes with the job's record: when it is submitted, and
// when a successor takes over.
func TestAnswerHasOwner(t *testing.T) {
	s := newSite(t)
	first, _ := s.startLeader("recife-1")
	s.submitOwned(soloKeys, "a", "paper")
	s.submitOwned(soloKeys, "b", "")
	requireOwners := func(leading *Leader) {
		require.Eventually(t, func() bool { return state(leading, "a").Known && state(leading, "b").Known }, waitTimeout, time.Millisecond)
		owned, unowned := state(leading, "a"), state(leading, "b")
		assert.True(t, owned.OwnerKnown)
		assert.True(t, unowned.OwnerKnown)
		assert.Equal(t, "paper", owned.Organisation)
		assert.Empty(t, unowned.Organisation)
		assert.False(t, state(leading, "c").OwnerKnown, "of a job that the leader does not know")
	}
	requireOwners(first)
	second, _ := s.startLeader("olinda-1")
	first.Resign(t.Context())
	requireOwners(second)
}

// The owner goes with a job to another shard, and nothing of it stays behind.
func TestOwnerMovesWithJob(t *testing.T) {
	s := newSite(t)
	group := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool { return leads(group) == 2 }, waitTimeout, 5*time.Millisecond)
	group.SetCatalog(limitedCatalog())
	s.submitOwned(KeysOf(0, 2), "a", "mill")
	s.waitCompletedIn([]*Group{group}, 1, "a")
	assert.Equal(t, "mill", groupState(group, 1, "a").Organisation)
	left := make(chan int, 1)
	for _, each := range group.leaders {
		require.Eventually(t, func() bool {
			each.post(func(now time.Time) {
				each.term.oldJobs.delete(now.Add(time.Hour))
				left <- len(each.term.owners)
			})
			return <-left == 0
		}, waitTimeout, 5*time.Millisecond)
	}
}

// Guards against the owner of a deleted job that is taken for the owner of a job
// of none which uses the id again.
func TestOwnerOfReusedID(t *testing.T) {
	known := owners{}
	for _, organisation := range []string{"paper", "glass", ""} {
		known.add(&work.Job{
			ID:           "a",
			Organisation: organisation,
		})
		assert.Equal(t, organisation, known["a"])
	}
	assert.Empty(t, known, "a deployment without organisations keeps nothing")
}
