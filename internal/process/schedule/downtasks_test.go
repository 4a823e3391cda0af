package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// otherShard returns the load of one other shard with pieces of a label, the largest
// first.
func otherShard(label string, pieces ...int64) map[string][]shard.Load {
	load := shard.Load{
		Capacity: 1000000,
	}
	for _, milliCores := range pieces {
		load.Free += milliCores
		load.Pieces = append(load.Pieces, shard.Piece{
			Size: worker.Size{
				MilliCores:  milliCores,
				MemoryBytes: 1 << 20,
			},
			Labels: []string{label},
		})
	}
	return map[string][]shard.Load{
		"workshop": {load},
	}
}

// failedBoard has three workers and a long-running job a with tasks of 6 cores, of which
// the first runs on w0. The run of the second has failed on w1 at testStart.
func failedBoard(t *testing.T) *Board {
	board := testBoard("w0", "w1", "w2")
	board.AddJob(testJob("a", "plans", running(2, 6000)), nil, false, testStart, testStart)
	for i := range 2 {
		j := board.jobs["a"]
		held := board.claim(board.workers[fmt.Sprintf("w%d", i)], j, j.occurrences[0].steps[0], j.occurrences[0].steps[0].tasks[i], board.nextRun(), testStart)
		held.confirmed = true
	}
	board.release(board.workers["w1"], taskKey("a", 1), testStart)
	require.Equal(t, 1, board.jobs["a"].claims)
	return board
}

func taskKey(job string, index int) work.TaskKey {
	return work.TaskKey{
		Job:   job,
		Index: index,
	}
}

// fill claims cores of a worker.
func fill(board *Board, id string, milliCores int64) {
	board.workers[id].used = board.workers[id].used.Add(worker.Size{
		MilliCores: milliCores,
	})
}

// keepFor keeps cores of a worker for a job that may not start yet.
func keepFor(board *Board, id, on string, milliCores int64, now time.Time) {
	board.AddJob(testJob(id, "plans", tasks(1, milliCores)), nil, false, testStart, testStart)
	board.jobs[id].occurrences[0].steps[0].tasks[0].notBefore = now.Add(time.Hour)
	board.keep(taskKey(id, 0), board.workers[on], worker.Size{
		MilliCores: milliCores,
	}, now)
}

// Guards against a log that does not tell apart why a long-running task is down while
// another task of its job runs: this shard is full and another one is not, room is kept
// from it, all that is free is in small pieces, or a report is incomplete.
func TestDownTaskTellsWhatIsFree(t *testing.T) {
	now := testStart.Add(takesReservedAfter - time.Second/2) // capacity may be kept from the task until then
	tests := map[string]struct {
		prepare   func(board *Board)
		label     string
		elsewhere map[string][]shard.Load
		want      DownTask
		reason    Reason
	}{
		"the shard is full, and another is not": {
			prepare: func(board *Board) {
				fill(board, "w1", 7000)
				fill(board, "w2", 8000)
			},
			elsewhere: otherShard("", 8000, 7000, 2000),
			reason:    NoCapacity,
			want: DownTask{
				Free:               3000,
				LargestFree:        2000,
				ServiceFree:        20000,
				ServiceLargestFree: 8000,
				ServiceRoom:        true,
				Shards:             1,
			},
		},
		"capacity is kept for others": {
			prepare: func(board *Board) {
				keepFor(board, "b", "w1", 4000, now)
				keepFor(board, "c", "w2", 4000, now)
			},
			elsewhere: otherShard("", 1000),
			reason:    ReservedForOthers,
			want: DownTask{
				Free:               10000,
				LargestFree:        4000,
				ServiceFree:        11000,
				ServiceLargestFree: 4000,
				ServiceRoom:        true,
				Shards:             1,
			},
		},
		"what is free is in small pieces": {
			prepare: func(board *Board) {
				fill(board, "w1", 3000)
				fill(board, "w2", 3000)
			},
			elsewhere: otherShard("", 5000, 5000, 5000),
			reason:    NoCapacity,
			want: DownTask{
				Free:               12000,
				LargestFree:        5000,
				ServiceFree:        27000,
				ServiceLargestFree: 5000,
				Shards:             1,
			},
		},
		"the pieces lack its label": {
			prepare: func(board *Board) {
				for _, w := range board.workers {
					w.Labels = []string{"rack"}
				}
				fill(board, "w1", 8000)
				fill(board, "w2", 8000)
			},
			label:     "rack",
			elsewhere: otherShard("other", 8000, 8000),
			reason:    NoCapacity,
			want: DownTask{
				Free:               2000,
				LargestFree:        2000,
				ServiceFree:        18000,
				ServiceLargestFree: 2000,
				Shards:             1,
			},
		},
		"no other shard is known": {
			prepare: func(board *Board) {
				fill(board, "w1", 8000)
				fill(board, "w2", 8000)
			},
			reason: NoCapacity,
			want: DownTask{
				Free:               2000,
				LargestFree:        2000,
				ServiceFree:        2000,
				ServiceLargestFree: 2000,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			board := failedBoard(t)
			test.prepare(board)
			board.jobs["a"].occurrences[0].steps[0].spec.Label = test.label
			for id := range board.workers {
				poll(board, id, now)
			}
			board.Decide(now, true)
			report := board.WaitReport(WaitRequest{
				FollowsJob: followNone.FollowsJob,
				MaxDown:    10,
				Elsewhere:  test.elsewhere,
			}, now)
			require.Len(t, report.LongestDown, 1, "one task of the job runs")
			got := report.LongestDown[0]
			assert.Equal(t, taskKey("a", 1), got.Task)
			assert.Equal(t, test.reason, got.Reason)
			assert.Equal(t, testStart, got.Since)
			assert.Equal(t, test.reason == ReservedForOthers, got.Room)
			got.Waiting, got.Size = Waiting{}, worker.Size{}
			assert.Equal(t, test.want, got)
			assert.Equal(t, 1, report.Down[test.reason])
			_, waits := board.Waiting("a", now)
			assert.False(t, waits, "a task of the job runs")
		})
	}
}

// Guards against a run that has ended without the leader's knowledge and is taken to
// go on: the report lacks it, and may lack its end too.
func TestUnlistedRunIsAReason(t *testing.T) {
	board := failedBoard(t)
	fill(board, "w1", 8000)
	fill(board, "w2", 8000)
	var now time.Time
	for i := range 3 {
		now = testStart.Add(time.Duration(1+i) * time.Second)
		board.ApplyReport("w0", Inventory{
			Born:        testBorn,
			EndsOmitted: true,
			Sent:        now,
			Received:    now,
		}, now)
	}
	report := board.WaitReport(WaitRequest{
		FollowsJob:  followNone.FollowsJob,
		FollowsTask: func(key work.TaskKey) bool { return key.Index == 0 },
	}, now)
	assert.Equal(t, 1, report.Down[RunUnlisted])
	require.Contains(t, report.FollowedDown, "a.0.0.0")
	unlisted := report.FollowedDown["a.0.0.0"]
	assert.Equal(t, "w0", unlisted.Worker)
	assert.Equal(t, testStart, unlisted.Since)
	assert.True(t, unlisted.Ends())
}

// Guards against a task that is down without a line in any log: it has come back from
// another shard, and the commit that takes it back has no effect yet (issue 42).
func TestReturnedTaskIsDownUntilItIsTakenBack(t *testing.T) {
	board := failedBoard(t)
	now := testStart.Add(2 * transferAfter)
	fill(board, "w1", 8000)
	fill(board, "w2", 8000)
	transfers := board.Transfers(0, loadsOf(now, board, testBoard("w3")), now)
	require.Len(t, transfers, 1)
	board.TransferDone(transfers[0])
	reported := func() Reasons {
		board.now = now
		report := board.WaitReport(WaitRequest{
			FollowsJob: followNone.FollowsJob,
			MaxDown:    10,
		}, now)
		for _, down := range report.LongestDown {
			assert.Equal(t, now.Add(-time.Second), down.Since)
		}
		return report.Down
	}
	assert.Zero(t, reported(), "the task is in another shard")
	location := &work.Location{
		Key:  taskKey("a", 1),
		Down: time.Second,
	}
	board.Returned(location, now)
	assert.Equal(t, Reasons{Departing: 1}, reported())
	returned, ok := board.Returning(location, now)
	require.True(t, ok)
	assert.Equal(t, Reasons{Departing: 1}, reported(), "the commit is in flight")
	board.TakenBack(returned, false, now)
	assert.Equal(t, Reasons{Departing: 1}, reported(), "it had no effect")
	returned, ok = board.Returning(location, now)
	require.True(t, ok)
	board.TakenBack(returned, true, now)
	assert.Zero(t, reported()[Departing], "the task waits here")
	assert.NotZero(t, reported())
}

// Guards against a task of which the log says that it is about to start, while each
// decision ends its search for the step at a task before it.
func TestTaskBehindAnEarlierOneIsPassedOver(t *testing.T) {
	board := testBoard("w0", "left")
	board.workers["left"].Draining = true
	board.AddJob(testJob("a", "plans", running(2, 8000)), nil, false, testStart, testStart)
	j := board.jobs["a"]
	step := j.occurrences[0].steps[0]
	j.everClaimed = true
	now := testStart.Add(returnAfter + takesReservedAfter)
	step.tasks[0].endedAt, step.tasks[1].endedAt = now.Add(-time.Second), testStart
	for _, preempted := range step.tasks {
		preempted.preemptedAt = testStart
		board.urgentCapacity.preempted[preempted.key] = "left"
	}
	keepFor(board, "b", "w0", 1000, now)
	poll(board, "w0", now)
	board.Decide(now, true)
	require.Equal(t, waiting, step.tasks[1].phase)
	report := board.WaitReport(WaitRequest{
		FollowsJob: followNone.FollowsJob,
		MaxDown:    2,
	}, now)
	assert.Equal(t, Reasons{ReservedForOthers: 1, PassedOver: 1}, report.Down)
	for _, down := range report.LongestDown {
		if down.Reason == PassedOver {
			assert.Equal(t, now.Add(returnAfter+takesReservedAfter-time.Second), down.Until, "the earlier task may use the capacity then")
		}
	}
}

// Guards against lines that grow with the number of tasks that are down, short waits
// that hide long ones, and tasks that could run behind those that could not.
func TestLongestDownTasksAreFew(t *testing.T) {
	board := testBoard("w0")
	fill(board, "w0", 8000)
	for i := range 40 {
		board.AddJob(testJob(fmt.Sprintf("j%02d", i), "plans", running(3, 6000)), nil, false, testStart, testStart)
	}
	small := testJob("small", "plans", running(2, 500))
	board.AddJob(small, nil, false, testStart, testStart)
	for id, j := range board.jobs {
		j.everClaimed = true
		for i, t := range j.occurrences[0].steps[0].tasks {
			t.downSince = testStart.Add(time.Duration(i) * time.Second)
			if id == "small" {
				t.downSince = testStart.Add(time.Duration(2+3*i) * time.Second)
			}
		}
	}
	now := testStart.Add(5 * time.Second)
	report := board.WaitReport(WaitRequest{
		FollowsJob: followNone.FollowsJob,
		MaxDown:    8,
		MinDown:    time.Second,
		Elsewhere:  otherShard("", 1000),
	}, now)
	require.Len(t, report.LongestDown, 8)
	assert.Equal(t, taskKey("small", 0), report.LongestDown[0].Task, "it has room elsewhere")
	for i, down := range report.LongestDown[1:] {
		assert.Equal(t, taskKey(fmt.Sprintf("j%02d", i), 0), down.Task)
	}
	assert.Len(t, report.FollowedDown, 0)
	total := 0
	for _, count := range report.Down {
		total += count
	}
	assert.Equal(t, 122, total)
}

// Guards against lines about long-running jobs that were never started, whose tasks the
// lines about jobs cover.
func TestTasksOfAJobThatWasNeverStartedAreNotDown(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", running(1, 9000)), nil, false, testStart, testStart)
	board.Decide(testStart, true)
	report := board.WaitReport(followNone, testStart.Add(time.Minute))
	assert.Equal(t, Reasons{}, report.Down)
	assert.Equal(t, Reasons{NoCapacity: 1}, report.Tasks)
}

// BenchmarkWaitReportDown times the summary of a second in which 2,400 long-running
// tasks of 200 sizes are down too.
func BenchmarkWaitReportDown(b *testing.B) {
	board := overloadedBoard(350, 1450, 0)
	for i := range 200 {
		id := fmt.Sprintf("j%03d", i)
		board.AddJob(testJob(id, "plans", running(12, 8001+int64(i))), nil, false, testStart, testStart)
		board.jobs[id].everClaimed = true
	}
	b.ReportAllocs()
	for b.Loop() {
		board.WaitReport(WaitRequest{
			FollowsJob: followNone.FollowsJob,
			MaxDown:    8,
			Elsewhere:  otherShard("", 8000, 7000, 6000),
		}, testStart)
	}
}
