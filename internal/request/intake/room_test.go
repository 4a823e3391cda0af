package intake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// largeJob needs more than initialRoom.
func largeJob() *work.Job {
	job := testJob()
	job.Steps[0].Count = 1 + initialRoom/work.TaskBytes
	return job
}

func TestRoomForJobs(t *testing.T) {
	large := largeJob().Bytes()
	tests := map[string]struct {
		job    *work.Job
		answer leader.Answer
		// stored is set if an earlier attempt has stored the job, and down if the
		// store fails.
		stored, down bool
		want         Outcome
		wantAsked    int
	}{
		"an ordinary job needs no leader": {
			job:  testJob(),
			want: Accepted,
		},
		"large job, room": {
			job: largeJob(),
			answer: leader.Answer{
				Known: true,
				Room:  large,
			},
			want:      Accepted,
			wantAsked: 1,
		},
		"large job, no room": {
			job: largeJob(),
			answer: leader.Answer{
				Known: true,
			},
			want:      NoRoom,
			wantAsked: 1,
		},
		"large job, no leader": {
			job:       largeJob(),
			want:      NoRoom,
			wantAsked: 1,
		},
		"stored by an earlier attempt, no room": {
			job: largeJob(),
			answer: leader.Answer{
				Known: true,
			},
			stored:    true,
			want:      Accepted,
			wantAsked: 1,
		},
		"no room, and not known whether it is stored": {
			job:       largeJob(),
			down:      true,
			want:      Unknown,
			wantAsked: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memory := standin.NewMemory(time.Now)
			if tt.stored {
				assert.Equal(t, Accepted, testIntake(memory).Submit(context.Background(), Access{}, testJobOf(tt.job.ID)))
			}
			if tt.down {
				memory.SetFault(func(string) error { return store.ErrUnavailable }, false)
			}
			asked := 0
			taker := testIntake(memory)
			taker.config.Ask = func(_ context.Context, question leader.Question) leader.Answer {
				if question.Room > 0 {
					asked++
				}
				return tt.answer
			}
			assert.Equal(t, tt.want, taker.Submit(context.Background(), Access{}, tt.job))
			assert.Equal(t, tt.wantAsked, asked)
			assert.Equal(t, tt.answer.Known && tt.answer.Room == 0, taker.Full())
			stored, err := memory.Client().Get(context.Background(), taker.homeOf(0).keys.Job(tt.job.ID))
			assert.Equal(t, tt.want == Accepted, err == nil && stored.Revision != 0, "what is refused is not stored")
		})
	}
}

func testJobOf(id string) *work.Job {
	job := testJob()
	job.ID = id
	return job
}

// A host asks for more before its room is used up, and once at a time.
func TestRoomIsAskedForInTime(t *testing.T) {
	r := newRooms()
	ok, low := r.use(0, initialRoom/2)
	assert.True(t, ok)
	assert.False(t, low)
	ok, low = r.use(0, 1)
	assert.True(t, ok)
	assert.True(t, low)
	ok, low = r.use(0, 1)
	assert.True(t, ok)
	assert.False(t, low, "asked already")
	r.add(0, 2*initialRoom, 0)
	r.endAsking(0)
	ok, low = r.use(0, 1)
	assert.True(t, ok)
	assert.False(t, low)
	ok, _ = r.use(0, 3*initialRoom)
	assert.False(t, ok)
}
