package leader

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// twoShards puts each of the two workers of a test into a shard of its own.
var twoShards = shard.Layout{
	Shards: 2,
	Racks: map[string]int{
		"r0": 0,
		"r1": 1,
	},
}

// groupState returns a host's answer about a job of a shard.
func groupState(group *Group, number int, id string) Answer {
	answers := make(chan Answer, 1)
	group.Ask(Question{
		Job:   id,
		Shard: number,
	}, func(answer Answer) { answers <- answer })
	return <-answers
}

// waitCompletedIn returns once one of the hosts reports the job as completed.
func (s *site) waitCompletedIn(groups []*Group, number int, id string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, group := range groups {
			answer := groupState(group, number, id)
			if answer.Known && answer.State == work.Completed {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
}

func leads(group *Group) int {
	count := 0
	for _, each := range group.leaders {
		if each.leading.Load() {
			count++
		}
	}
	return count
}

// Leaderships spread over the hosts, and each leader uses the workers of its
// shard only.
func TestShardsHaveLeadersOfTheirOwn(t *testing.T) {
	s := newSite(t)
	first := s.startGroup(t.Context(), "recife-1", twoShards)
	second := s.startGroup(t.Context(), "olinda-1", twoShards)
	require.Eventually(t, func() bool { return leads(first) == 1 && leads(second) == 1 }, waitTimeout, 5*time.Millisecond)
	for number, worker := range []string{"w0", "w1"} {
		id := "job-" + worker
		s.submitTo(KeysOf(number, 2), id)
		s.waitCompletedIn([]*Group{first, second}, number, id)
		key := work.TaskKey{
			Job: id,
		}
		assert.Equal(t, 1, s.workers.started(key))
		s.workers.mu.Lock()
		assert.Equal(t, worker, s.workers.startedAt[key])
		s.workers.mu.Unlock()
	}
}

// A host that is left alone leads all shards, and runs no task again that its
// predecessor has finished.
func TestLastHostLeadsAllShards(t *testing.T) {
	s := newSite(t)
	ctx, stop := context.WithCancel(t.Context())
	first := s.startGroup(ctx, "recife-1", twoShards)
	require.Eventually(t, func() bool { return leads(first) == 2 }, waitTimeout, 5*time.Millisecond)
	s.submitTo(KeysOf(0, 2), "a")
	s.submitTo(KeysOf(1, 2), "b")
	s.waitCompletedIn([]*Group{first}, 0, "a")
	s.waitCompletedIn([]*Group{first}, 1, "b")
	stop()
	second := s.startGroup(t.Context(), "olinda-1", twoShards)
	s.waitCompletedIn([]*Group{second}, 0, "a")
	s.waitCompletedIn([]*Group{second}, 1, "b")
	for _, id := range []string{"a", "b"} {
		assert.Equal(t, 1, s.workers.started(work.TaskKey{
			Job: id,
		}))
	}
}

// The status that operators see names the leaders and their loads.
func TestReadShards(t *testing.T) {
	s := newSite(t)
	_, err := ReadShards(t.Context(), s.store.Client())
	require.ErrorIs(t, err, store.ErrAbsent)
	value, err := cbor.Marshal(twoShards)
	require.NoError(t, err)
	s.put(keyLayout, value)
	group := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool {
		status, err := ReadShards(t.Context(), s.store.Client())
		return err == nil && status[0].Loads["workshop"].Capacity == 4000 && status[1].Loads["workshop"].Capacity == 4000
	}, waitTimeout, 20*time.Millisecond)
	status, err := ReadShards(t.Context(), s.store.Client())
	require.NoError(t, err)
	assert.Equal(t, "recife-1", status[1].Host)
	assert.Positive(t, status[1].Token)
	group.Resign(t.Context())
	status, err = ReadShards(t.Context(), s.store.Client())
	require.NoError(t, err)
	assert.Empty(t, status[1].Host)
}

// Resigning hands over every shard.
func TestGroupResignsAllShards(t *testing.T) {
	s := newSite(t)
	first := s.startGroup(t.Context(), "recife-1", twoShards)
	require.Eventually(t, func() bool { return leads(first) == 2 }, waitTimeout, 5*time.Millisecond)
	second := s.startGroup(t.Context(), "olinda-1", twoShards)
	first.Resign(t.Context())
	require.Eventually(t, func() bool { return leads(second) == 2 }, leaseTTL, 5*time.Millisecond)
	assert.Zero(t, leads(first))
}

// Load pattern: thousands of records and a slow link, so that a new leader needs
// longer than its lease to read them. It used to lose the leadership each time,
// and the next host after it.
func TestLeaderKeepsItsLeaseWhileItReads(t *testing.T) {
	s := newSite(t)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.submit(id)
	}
	s.store.SetPageSize(1)
	s.store.SetFault(func(call string) error {
		if call == "page" {
			time.Sleep(leaseTTL / 4)
		}
		return nil
	}, false)
	leading, _ := s.startLeader("recife-1")
	require.Eventually(t, func() bool { return state(leading, "f").Known }, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, "1", leading.config.Counts.Get("leadership_taken").String())
	assert.Nil(t, leading.config.Counts.Get("leadership_lost"))
}
