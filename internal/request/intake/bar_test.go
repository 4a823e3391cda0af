package intake

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a job that starts after its cancellation was answered: the write of its
// submission got no answer, and took effect later (review case 8).
func TestLateSubmissionOfACancelledJobHasNoEffect(t *testing.T) {
	layouts := map[string]shard.Layout{
		"one shard":   shard.Solo(),
		"four shards": fourShards,
	}
	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) {
			memory := standin.NewMemory(time.Now)
			intake := testIntake(memory)
			intake.config.Layout = layout
			memory.SetFault(func(call string) error {
				if call == "commit" {
					return store.ErrUnknown
				}
				return nil
			}, true)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			require.Equal(t, Unknown.String(), intake.Submit(ctx, Access{}, testJob()).String())
			memory.SetFault(func(string) error { return nil }, false)
			require.Equal(t, NoSuchJob.String(), intake.Cancel(t.Context(), Access{}, "a").String())
			memory.ApplyDelayed()
			_, _, err := intake.find(t.Context(), "a")
			require.ErrorIs(t, err, store.ErrAbsent, "the late write took effect")
			_, outcome := intake.State(t.Context(), Access{}, "a")
			assert.Equal(t, NoSuchJob.String(), outcome.String(), "a job that was never accepted is not shown")
			assert.Equal(t, CancelledBefore.String(), intake.Submit(t.Context(), Access{}, testJob()).String())
			assert.Equal(t, NoSuchJob.String(), intake.Cancel(t.Context(), Access{}, "a").String(), "once more")
		})
	}
}

// Guards against callers that make a host write without a limit.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	intake, now := testIntake(standin.NewMemory(time.Now)), time.Now()
	intake.config.Clock = func() time.Time { return now }
	for n := range barBurst {
		require.Equal(t, NoSuchJob, intake.Cancel(t.Context(), Access{}, fmt.Sprintf("job-%d", n)))
	}
	assert.Equal(t, NotAccepted, intake.Cancel(t.Context(), Access{}, "one more"))
	now = now.Add(time.Second)
	assert.Equal(t, NoSuchJob, intake.Cancel(t.Context(), Access{}, "one more"))
}

// cancellations plays hosts that submit and cancel one job, of several organisations, beside a
// store that loses answers and applies writes late, and leaders that move the job.
type cancellations struct {
	t      *rapid.T
	memory *standin.Memory
	intake *Intake
	layout shard.Layout
	// cancelled holds the callers whose cancellation was answered.
	cancelled []Access
}

func (c *cancellations) event() {
	accesses := []Access{{}}
	if rapid.Bool().Draw(c.t, "restricted") {
		accesses = []Access{paper, glass, keyless}
	}
	access := rapid.SampledFrom(accesses).Draw(c.t, "caller")
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	switch rapid.SampledFrom([]string{"submit", "submit", "cancel", "cancel", "late writes", "faults", "no faults", "move"}).Draw(c.t, "event") {
	case "submit":
		job := jobOf(access.Organisation)
		if rapid.Bool().Draw(c.t, "has data on a rack") {
			job.Steps[0].Rack = "r1"
		}
		c.intake.Submit(ctx, access, job)
	case "cancel":
		if outcome := c.intake.Cancel(ctx, access, "a"); outcome == Accepted || outcome == NoSuchJob {
			c.cancelled = append(c.cancelled, access)
		}
	case "late writes":
		c.memory.ApplyDelayed()
	case "faults":
		late := rapid.Bool().Draw(c.t, "late")
		c.memory.SetFault(func(call string) error {
			if call == "commit" {
				return store.ErrUnknown
			}
			return nil
		}, late)
	case "no faults":
		c.memory.SetFault(func(string) error { return nil }, false)
	case "move":
		c.move(rapid.IntRange(0, c.layout.Shards-1).Draw(c.t, "shard"))
	}
}

// move moves the job as a leader does: not beside a cancellation.
func (c *cancellations) move(to int) {
	c.memory.SetFault(func(string) error { return nil }, false)
	item, at, err := c.intake.find(context.Background(), "a")
	if err != nil || to == at.shard {
		return
	}
	_, _ = c.memory.Client().Commit(context.Background(), store.Commit{
		If: []store.Condition{
			{
				Key:      item.Key,
				Revision: item.Revision,
			},
			{
				Key: at.keys.Cancel("a"),
			},
		},
		Set: []store.Write{
			{
				Key:   leader.KeysOf(to, c.layout.Shards).Job("a"),
				Value: item.Value,
			},
			{
				Key:   leader.MovedKey("a"),
				Value: fmt.Append(nil, to),
			},
		},
		Delete: []string{item.Key},
	})
}

// check checks that a job is cancelled if one of those who may was answered so.
func (c *cancellations) check() {
	c.memory.SetFault(func(string) error { return nil }, false)
	item, at, err := c.intake.find(context.Background(), "a")
	if err != nil {
		return
	}
	job, err := work.DecodeJob(item.Value)
	require.NoError(c.t, err)
	for _, access := range c.cancelled {
		if !access.permits(job.Organisation) {
			continue
		}
		_, err := c.memory.Client().Get(context.Background(), at.keys.Cancel("a"))
		require.NoError(c.t, err, "the job of %q goes on after %+v has cancelled it", job.Organisation, access)
	}
}

// Guards against the same over random sequences: a cancellation is answered 2xx or 410
// only when nothing that was sent before can make the job run, and never by barring the
// job of another organisation.
func TestCancelledJobsDoNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cancellations{
			t:      t,
			memory: standin.NewMemory(time.Now),
			layout: rapid.SampledFrom([]shard.Layout{shard.Solo(), fourShards}).Draw(t, "layout"),
		}
		c.intake = testIntake(c.memory)
		c.intake.config.Layout = c.layout
		for range 25 {
			c.event()
		}
		c.memory.SetFault(func(string) error { return nil }, false)
		c.memory.ApplyDelayed()
		c.check()
		for _, access := range []Access{paper, glass} {
			job := jobOf(access.Organisation)
			if outcome := c.intake.Submit(context.Background(), access, job); outcome == CancelledBefore {
				require.True(t, c.mayHaveCancelled(access), "%+v never cancelled it", access)
			}
		}
	})
}

// mayHaveCancelled reports whether an answered cancellation applies to a caller's jobs.
// Those without an answer may apply too, so that any of the caller's own counts.
func (c *cancellations) mayHaveCancelled(access Access) bool {
	item, err := c.memory.Client().Get(context.Background(), leader.KeysOf(c.layout.OfJob("a"), c.layout.Shards).Cancel("a"))
	if err != nil {
		return false
	}
	bar, err := work.DecodeBar(item.Value)
	return err == nil && bar.Covers(access.Organisation)
}

func TestMain(m *testing.M) {
	const cases = 300
	golden.Main(m, cases)
}
