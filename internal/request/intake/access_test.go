package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

var (
	paper = Access{
		Restricted:   true,
		Organisation: "paper",
	}
	glass = Access{
		Restricted:   true,
		Organisation: "glass",
	}
	keyless = Access{
		Restricted: true,
	}
)

func jobOf(organisation string) *work.Job {
	job := testJob()
	job.Organisation = organisation
	return job
}

// submitted returns a store with one job of an organisation, and an Intake whose
// leader gives the answer.
func submitted(t *testing.T, layout shard.Layout, organisation string, answer leader.Answer) (*standin.Memory, *Intake) {
	t.Helper()
	memory := standin.NewMemory(time.Now)
	intake := testIntake(memory)
	intake.config.Layout = layout
	intake.config.Ask = func(context.Context, leader.Question) leader.Answer { return answer }
	require.Equal(t, Accepted, intake.Submit(t.Context(), Access{
		Restricted:   true,
		Organisation: organisation,
	}, jobOf(organisation)))
	return memory, intake
}

// A caller sees the jobs of its organisation and those of none, whoever answers:
// the leader, one of an earlier release that does not tell the owner, or the
// store.
func TestAccessToJobs(t *testing.T) {
	answers := map[string]func(organisation string) leader.Answer{
		"leader": func(organisation string) leader.Answer {
			return leader.Answer{
				Known:        true,
				OwnerKnown:   true,
				Organisation: organisation,
			}
		},
		"leader of an earlier release": func(string) leader.Answer {
			return leader.Answer{
				Known: true,
			}
		},
		"store": func(string) leader.Answer {
			return leader.Answer{}
		},
	}
	tests := map[string]struct {
		owner  string
		access Access
		want   Outcome
		// repeated is the outcome of a submission with the same id.
		repeated Outcome
	}{
		"own": {
			owner:  "paper",
			access: paper,
		},
		"another organisation's": {
			owner:    "paper",
			access:   glass,
			want:     NoSuchJob,
			repeated: IDInUse,
		},
		"an organisation's, without a key": {
			owner:    "paper",
			access:   keyless,
			want:     NoSuchJob,
			repeated: IDInUse,
		},
		"of no organisation": {
			access: paper,
		},
		"of no organisation, without a key": {
			access: keyless,
		},
		"deployment without organisations": {
			owner: "paper",
		},
	}
	for source, answer := range answers {
		for name, tt := range tests {
			for _, layout := range []shard.Layout{shard.Solo(), fourShards} {
				t.Run(source+", "+name, func(t *testing.T) {
					memory, intake := submitted(t, layout, tt.owner, answer(tt.owner))
					if layout.Shards > 1 {
						usual := layout.OfJob("a")
						move(t, memory, usual, (usual+1)%layout.Shards)
					}
					_, outcome := intake.State(t.Context(), tt.access, "a")
					assert.Equal(t, tt.want.String(), outcome.String())
					assert.Equal(t, tt.repeated.String(), intake.Submit(t.Context(), tt.access, jobOf(tt.access.Organisation)).String())
					assert.Equal(t, tt.want.String(), intake.Cancel(t.Context(), tt.access, "a").String())
				})
			}
		}
	}
}

// Guards against 410 for a caller's own job: an owner that cannot be read is not
// another organisation. A submission that meets such a record may have met its
// own earlier attempt, so it must not be reported as not accepted.
func TestOwnerThatCannotBeDetermined(t *testing.T) {
	unavailable := func(memory *standin.Memory) {
		memory.SetFault(func(call string) error {
			if call == "get" {
				return store.ErrUnavailable
			}
			return nil
		}, false)
	}
	tests := map[string]struct {
		answer  leader.Answer
		layout  shard.Layout
		disturb func(memory *standin.Memory)
		// wantSubmit is the outcome of a repeated submission.
		wantSubmit Outcome
	}{
		"store unavailable": {
			layout:     shard.Solo(),
			disturb:    unavailable,
			wantSubmit: Accepted, // the conflict has the record
		},
		"store unavailable, leader of an earlier release": {
			answer: leader.Answer{
				Known: true,
			},
			layout:     shard.Solo(),
			disturb:    unavailable,
			wantSubmit: Accepted,
		},
		"store unavailable, job moved": {
			layout:     fourShards,
			disturb:    unavailable,
			wantSubmit: Unknown,
		},
		"record cannot be decoded": {
			layout: shard.Solo(),
			disturb: func(memory *standin.Memory) {
				_, _ = memory.Client().Commit(context.Background(), store.Commit{
					Set: []store.Write{
						{
							Key:   leader.KeysOf(0, 1).Job("a"),
							Value: []byte{0xff},
						},
					},
				})
			},
			wantSubmit: Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memory, intake := submitted(t, tt.layout, "paper", tt.answer)
			if tt.layout.Shards > 1 {
				usual := tt.layout.OfJob("a")
				move(t, memory, usual, (usual+1)%tt.layout.Shards)
			}
			tt.disturb(memory)
			_, outcome := intake.State(t.Context(), paper, "a")
			assert.Equal(t, Unknown.String(), outcome.String())
			assert.Equal(t, NotAccepted.String(), intake.Cancel(t.Context(), paper, "a").String(), "a cancellation had no effect")
			assert.Equal(t, tt.wantSubmit.String(), intake.Submit(t.Context(), paper, jobOf("paper")).String())
		})
	}
}

// Without organisations a query makes no call to the store that it did not make
// before: none if the leader answers, and not the job's record if its state is
// known without.
func TestUnrestrictedAccessReadsNoOwner(t *testing.T) {
	tests := map[string]struct {
		answer leader.Answer
		access Access
		want   int
	}{
		"leader": {
			answer: leader.Answer{
				Known: true,
			},
		},
		"leader that tells the owner": {
			answer: leader.Answer{
				Known:        true,
				OwnerKnown:   true,
				Organisation: "paper",
			},
			access: paper,
		},
		"store, job cancelled": {
			want: 2,
		},
		"store, job cancelled, restricted": {
			access: paper,
			want:   3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memory, intake := submitted(t, shard.Solo(), "paper", tt.answer)
			require.Equal(t, Accepted, intake.Cancel(t.Context(), paper, "a"))
			reads := 0
			memory.SetFault(func(string) error {
				reads++
				return nil
			}, false)
			_, outcome := intake.State(t.Context(), tt.access, "a")
			assert.Equal(t, Accepted, outcome)
			assert.Equal(t, tt.want, reads)
		})
	}
}

// The condition of a cancellation is the record whose owner was checked, so that
// a job which replaces it under the same id is not cancelled by a stranger.
func TestCancellationIsForTheCheckedJob(t *testing.T) {
	memory, intake := submitted(t, shard.Solo(), "paper", leader.Answer{})
	replaced := false
	memory.SetFault(func(call string) error {
		if call == "commit" && !replaced {
			replaced = true
			value, err := work.EncodeJob(jobOf("glass"))
			if err != nil {
				return err
			}
			_, err = memory.Client().Commit(context.Background(), store.Commit{
				Set: []store.Write{
					{
						Key:   leader.KeysOf(0, 1).Job("a"),
						Value: value,
					},
				},
			})
			return err
		}
		return nil
	}, false)
	assert.Equal(t, NoSuchJob, intake.Cancel(t.Context(), paper, "a"))
	_, err := memory.Client().Get(t.Context(), leader.KeysOf(0, 1).Cancel("a"))
	assert.True(t, errors.Is(err, store.ErrAbsent))
}
