package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/request/work"
)

// running returns a step of long-running tasks.
func running(count int, milliCores int64) work.Step {
	step := tasks(count, milliCores)
	step.LongRunning = true
	return step
}

// downBoard returns a board with one worker of 8 cores, where the only task of job "a"
// has been down since testStart and another job has taken its capacity.
func downBoard(t *testing.T) *Board {
	t.Helper()
	board := testBoard("w0")
	board.AddJob(testJob("a", "quotes", running(1, 4000)), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	w := board.workers["w0"]
	require.Len(t, w.claims, 1, "the task runs")
	board.release(w, firstTask("a"), testStart)
	w.Draining = true
	return board
}

// transfersOf returns what the first board transfers, by task.
func transfersOf(now time.Time, boards ...*Board) []Transfer {
	return boards[0].Transfers(0, loadsOf(now, boards...), now)
}

// A long-running task that is down leaves for a shard that has room, and no other does:
// one that leaves although it may run here gains nothing, and one that may have a run
// would run twice.
func TestOnlyTasksThatAreDownWithoutRoomAreTransferred(t *testing.T) {
	later := testStart.Add(2 * transferAfter)
	tests := map[string]struct {
		prepare func(board *Board)
		at      time.Time
		want    int
	}{
		"has no room here": {
			at:   later,
			want: 1,
		},
		"has just ended": {
			at: testStart.Add(transferAfter / 2),
		},
		"has room here": {
			prepare: func(board *Board) { board.workers["w0"].Draining = false },
			at:      later,
		},
		"is cancelled": {
			prepare: func(board *Board) { board.Cancel("a", testStart) },
			at:      later,
		},
		"may not start before a confirmation": {
			prepare: func(board *Board) {
				_, _, t := board.jobs["a"].find(firstTask("a"))
				t.confirmAfter = later
			},
			at: later,
		},
		"may run on a worker that is not accounted for": {
			prepare: func(board *Board) {
				addUnreachable(board, "w9")
				_, _, t := board.jobs["a"].find(firstTask("a"))
				board.jobs["a"].inherited, t.located, t.lastWorkers = board.token, true, []string{"w9"}
			},
			at: later,
		},
		"is on its way already": {
			prepare: func(board *Board) {
				require.Len(t, transfersOf(later, board, testBoard("w1")), 1)
			},
			at: later.Add(transferAfter),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := downBoard(t)
			if tt.prepare != nil {
				tt.prepare(board)
			}
			assert.Len(t, transfersOf(tt.at, board, testBoard("w1")), tt.want)
		})
	}
}

// A task goes only where a single worker has room for it: it would be down there too
// beside free capacity in pieces.
func TestTaskIsTransferredToAWholePiece(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	pieces, whole := testBoard("w1", "w2"), testBoard("w3")
	pieces.AddJob(testJob("b", "quotes", running(2, 5000)), nil, false, testStart, testStart)
	accept(pieces, decideAndSave(pieces, testStart), testStart)
	transfers := transfersOf(now, downBoard(t), pieces, whole)
	require.Len(t, transfers, 1)
	assert.Equal(t, 2, transfers[0].To)
}

// Transfers of two rounds do not claim the same piece: loads are published twice a
// second.
func TestTransfersCountWhatIsOnItsWay(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board, other := testBoard("w0", "w1"), testBoard("w2")
	for _, id := range []string{"a", "b"} {
		board.AddJob(testJob(id, "quotes", running(1, 5000)), nil, false, testStart, testStart)
	}
	accept(board, decideAndSave(board, testStart), testStart)
	for _, w := range board.workers {
		for key := range w.claims {
			board.release(w, key, testStart)
		}
		w.Draining = true
	}
	loads := loadsOf(now, board, other)
	assert.Len(t, board.Transfers(0, loads, now), 1)
	assert.Empty(t, board.Transfers(0, loads, now.Add(time.Second/2)))
}

// transferred moves the task that is down from the first board to the second.
func transferred(t *testing.T, from, to *Board, now time.Time) Transfer {
	t.Helper()
	transfers := transfersOf(now, from, to)
	require.Len(t, transfers, 1)
	from.TransferDone(transfers[0])
	to.AddTransferred(&transfers[0].Task, nil, false, now, now)
	return transfers[0]
}

// The new shard starts the task with a run number above those of the shard before, whose
// token may be higher: a worker refuses runs that do not rise.
func TestRunNumbersOfATransferredTaskRise(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	from.token = to.token + 1000
	from.workers["w0"].reportedToken = from.token
	last := from.newestRun()
	transferred(t, from, to, now)
	starts := decideAndSave(to, now).Starts
	require.Len(t, starts, 1)
	assert.Greater(t, starts[0].Run, last)
	assert.Empty(t, decideAndSave(from, now).Starts, "the task is started in both shards")
}

// The end of a job reaches the shards that have its tasks, by the commit that saves it.
func TestEndOfAJobNamesTheShardsOfItsTasks(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transferred(t, from, to, now)
	from.Cancel("a", now)
	records := from.Records(false, 10)
	require.Len(t, records, 1)
	assert.Equal(t, []int{1}, records[0].Shards)
	accept(to, decideAndSave(to, now), now)
	to.Cancel("a", now)
	assert.Len(t, to.Decide(now, true).Stops, 1)
}

// A successor in either shard finds the task where it was transferred to, and no other.
func TestSuccessorsFindATransferredTask(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transfer := transferred(t, from, to, now)
	accept(to, to.Decide(now, true), now)
	records := save(to)
	require.Len(t, records, 1, "the placement is saved before the start")

	home := testBoard("w0")
	home.AddJob(transfer.Task.Job, &transfer.Progress, true, now, now)
	home.Locate(&work.Location{
		Key:   firstTask("a"),
		Shard: 1,
	})
	home.TrustPlacements()
	assert.Empty(t, home.Decide(now.Add(time.Second), true).Starts, "the task of the other shard is started here")

	successor := testBoard("w2")
	addUnreachable(successor, "w1")
	successor.AddTransferred(&transfer.Task, &records[0].Progress, true, now, now)
	successor.TrustPlacements()
	assert.Empty(t, successor.Decide(now.Add(time.Second), true).Starts, "the task may run on the worker of its placement")
	poll(successor, "w1", now.Add(time.Second))
	assert.Len(t, decideAndSave(successor, now.Add(time.Second)).Starts, 1)
}

// A task that may have crashed three workers goes back: only the shard of its job ends
// the job.
func TestTransferredTaskThatCrashesWorkersGoesBack(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transferred(t, from, to, now)
	_, _, task := to.jobs["a"].find(firstTask("a"))
	task.crashes = []int64{1, 2, 3}
	assert.Empty(t, decideAndSave(to, now).Starts)
	transfers := to.Transfers(1, loadsOf(now, from, to), now)
	require.Len(t, transfers, 1)
	assert.True(t, transfers[0].Returns())
	assert.True(t, transfers[0].Last)
	to.TransferDone(transfers[0])
	assert.Empty(t, to.jobs)
	returned, ok := from.Returning(&work.Location{
		Key:     firstTask("a"),
		Crashes: transfers[0].Task.Crashes,
	}, now)
	require.True(t, ok)
	from.TakenBack(returned, true, now)
	assert.False(t, from.IsOpen("a"), "the job goes on with a task that crashes its workers")
}

// A worker that refuses a task again and again does not keep it from another shard: the
// time that it is down goes on.
func TestRefusedStartsDoNotDelayATransfer(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board := downBoard(t)
	_, _, down := board.jobs["a"].find(firstTask("a"))
	down.downSince, down.endedAt = testStart, now.Add(-time.Millisecond)
	transfers := transfersOf(now, board, testBoard("w1"))
	require.Len(t, transfers, 1)
	assert.Equal(t, 2*transferAfter, transfers[0].Task.Down)
}

// A leader of an earlier release does not read where tasks are: the progress record keeps
// it from starting a second run of one that is in another shard.
func TestEarlierReleaseDoesNotStartATransferredTask(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	transfers := transfersOf(now, downBoard(t), testBoard("w1"))
	require.Len(t, transfers, 1)
	assert.Equal(t, []byte{1}, transfers[0].Progress.Done)
}

// A progress record without a location of the task, which no commit leaves behind, must
// not keep the task from running for good.
func TestTaskWithoutALocationStartsInItsShard(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	transfers := transfersOf(now, downBoard(t), testBoard("w1"))
	require.Len(t, transfers, 1)
	successor := testBoard("w0")
	successor.AddJob(transfers[0].Task.Job, &transfers[0].Progress, true, now, now)
	successor.LocationsKnown()
	successor.TrustPlacements()
	assert.Len(t, decideAndSave(successor, now).Starts, 1)
}

// divide makes the boards those of shards that divide the limit of organisation "mill".
func divide(limit int64, boards ...*Board) {
	for number, board := range boards {
		board.config.Shard, board.config.Shards = number, len(boards)
		board.quotas = quota.NewBook(number, len(boards))
		changed := *testCatalog()
		changed.Version++
		changed.Organisations = withLimit(worker.Size{
			MilliCores: limit,
		}).Organisations
		board.SetCatalog(&changed)
		board.SetQuotaParts(quota.Parts{})
	}
}

// reviseParts lets each board revise the parts once.
func reviseParts(boards []*Board, now time.Time) {
	for number, board := range boards {
		others := map[int]quota.Wants{}
		for other, each := range boards {
			if other != number {
				others[other] = each.QuotaWants(now)
			}
		}
		if next, changed := board.ReviseQuotaParts(others, now); changed {
			for _, each := range boards {
				each.SetQuotaParts(next)
			}
		}
	}
}

// A transferred task waits for the limit in its new shard if the part of the organisation
// stays in the shard that it left, where other work of the organisation waits for a
// worker: it would be down there too, beside room and an idle part.
func TestPartOfALimitFollowsATransferredTask(t *testing.T) {
	tests := map[string]struct {
		limit int64
		// waiting is the size of what waits in the shard that the task leaves, and
		// waitingThere in the one that it goes to. No worker has room for it.
		waiting, waitingThere int64
	}{
		"nothing else waits": {
			limit: 4000,
		},
		"a task of the same size waits": {
			limit:   4000,
			waiting: 4000,
		},
		"a wider task waits": {
			limit:   6000,
			waiting: 6000,
		},
		"a wider task waits in the other shard": {
			limit:        9000,
			waitingThere: 9000,
		},
		"wider tasks wait in both shards": {
			limit:        9000,
			waiting:      8500,
			waitingThere: 9000,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const most = 3 * time.Second // from the end of the run
			from, to := testBoard("w0"), testBoard("w1")
			boards := []*Board{from, to}
			divide(tt.limit, boards...)
			from.AddJob(millJob("a", "quotes", running(1, 4000)), nil, false, testStart, testStart)
			now := testStart
			for range 8 {
				reviseParts(boards, now)
			}
			accept(from, decideAndSave(from, now), now)
			require.Len(t, from.workers["w0"].claims, 1, "the task runs")
			from.release(from.workers["w0"], firstTask("a"), now)
			from.workers["w0"].Draining = true
			if tt.waiting > 0 {
				from.AddJob(millJob("b", "quotes", running(1, tt.waiting)), nil, false, now, now)
			}
			if tt.waitingThere > 0 {
				to.AddJob(millJob("c", "quotes", running(1, tt.waitingThere)), nil, false, now, now)
			}
			ended, left := now, false
			for ; now.Sub(ended) <= most; now = now.Add(250 * time.Millisecond) {
				if !left {
					for _, transfer := range transfersOf(now, from, to) {
						if transfer.Task.Key == firstTask("a") {
							from.TransferDone(transfer)
							to.AddTransferred(&transfer.Task, nil, false, now, now)
							left = true
						}
					}
				}
				reviseParts(boards, now)
				from.Decide(now, true)
				if starts := decideAndSave(to, now).Starts; len(starts) > 0 {
					t.Logf("starts %s after its end", now.Sub(ended))
					return
				}
			}
			t.Fatalf("not started, transferred %t, reason %+v", left, to.Organisations(now))
		})
	}
}

// A shard that has a task of another shard's job does not answer for the job: a host asks
// the shard that the layout names first, which may be this one if the job has moved. It
// would show a job that has failed as cancelled.
func TestOnlyTheShardOfAJobKnowsItsState(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transferred(t, from, to, now)
	_, known := to.State("a")
	assert.False(t, known, "the state of a job that is open")
	from.end(from.jobs["a"], work.Failed, now)
	save(from)
	to.Cancel("a", now)
	save(to)
	_, known = to.State("a")
	assert.False(t, known, "the state of a job that has ended")
	state, known := from.State("a")
	assert.True(t, known)
	assert.Equal(t, work.Failed, state)
}

// A task on its way to another shard is not started from capacity that is kept for it
// after a preemption, and a run that its worker lists is not taken over: both would go on
// beside the run in the other shard.
func TestDepartingTaskIsNotStartedHere(t *testing.T) {
	tests := map[string]func(board *Board, now time.Time){
		"capacity is returned": func(board *Board, now time.Time) {
			report(board, "w0", testBorn, now)
		},
		"an earlier copy of a start arrives": func(board *Board, now time.Time) {
			board.ApplyReport("w0", Inventory{
				Born:     testBorn,
				Sent:     now,
				Received: now,
				Running: []RunningTask{{
					Key: firstTask("long"),
					Run: board.newestRun(),
				}},
			}, now)
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			from, now := preemptedBoard(t)
			now = now.Add(returnAfter - time.Second/10)
			report(from, "w0", testBorn, now)
			from.workers["w0"].blockedUntil = now
			transfers := transfersOf(now, from, testBoard("w1"))
			require.Len(t, transfers, 1)
			now = now.Add(time.Second / 5)
			happens(from, now)
			effects := decideAndSave(from, now)
			from.TransferDone(transfers[0])
			effects.Starts = append(effects.Starts, decideAndSave(from, now).Starts...)
			assert.Empty(t, effects.Starts, "the task is started in both shards")
			for _, held := range from.workers["w0"].claims {
				assert.True(t, held.orphaned, "a run goes on beside the one in the other shard")
			}
			assert.Zero(t, from.jobs["long"].claims)
		})
	}
}

// twoDownBoard returns a board of two workers without room, where both tasks of job "a"
// have been down since testStart, with a checkpoint each.
func twoDownBoard(t *testing.T) *Board {
	t.Helper()
	board := testBoard("w0", "w1")
	board.AddJob(testJob("a", "quotes", running(2, 4000)), nil, false, testStart, testStart)
	accept(board, decideAndSave(board, testStart), testStart)
	for _, task := range board.jobs["a"].occurrences[0].steps[0].tasks {
		task.checkpoint = "of " + task.key.String()
		board.release(board.workers[task.worker], task.key, testStart)
	}
	for _, w := range board.workers {
		w.Draining = true
	}
	return board
}

// The commits of one round that take back a task and transfer another one of the same
// job follow each other. The later one must not undo what the earlier one has saved:
// a successor would start the returned task without its checkpoint.
func TestCheckpointOfAReturnedTaskIsKeptByTheNextTransfer(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board, other := twoDownBoard(t), testBoard("w2")
	transfers := transfersOf(now, board, other)
	require.Len(t, transfers, 2)
	board.TransferDone(transfers[0])
	board.TransferFailed(transfers[1])
	back, leaving := transfers[0].Task, transfers[1].Task.Key
	returned, ok := board.Returning(&work.Location{
		Key:        back.Key,
		Checkpoint: "newest",
		LastRun:    back.LastRun,
	}, now)
	require.True(t, ok)
	now = now.Add(2 * sentMemory)
	transfers = transfersOf(now, board, other)
	require.Len(t, transfers, 1)
	require.Equal(t, leaving, transfers[0].Task.Key)
	board.TakenBack(returned, true, now)
	board.TransferDone(transfers[0])

	successor := testBoard("w0", "w1")
	successor.AddJob(transfers[0].Task.Job, &transfers[0].Progress, true, now, now)
	successor.Locate(&work.Location{
		Key:   leaving,
		Shard: 1,
	})
	successor.LocationsKnown()
	successor.TrustPlacements()
	starts := decideAndSave(successor, now).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, back.Key, starts[0].Key)
	assert.Equal(t, "newest", starts[0].Checkpoint)
}

// Two tasks of a job that leave in one round are both kept from a leader of an earlier
// release: the second commit writes the job's progress without knowing whether the first
// one has taken effect.
func TestEarlierReleaseDoesNotStartTasksTransferredTogether(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board := twoDownBoard(t)
	transfers := transfersOf(now, board, testBoard("w2"))
	require.Len(t, transfers, 2)
	for _, transfer := range transfers {
		board.TransferDone(transfer)
	}
	records := save(board)
	require.Len(t, records, 1)
	assert.Equal(t, []byte{3}, records[0].Progress.Done)
}

// A task beside others that may as well have crashed three workers goes on until a fourth
// crash. It is not transferred: it would be returned at once, and its job be given up.
func TestTaskInDoubtAfterThreeCrashesStaysInItsShard(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board := downBoard(t)
	_, _, down := board.jobs["a"].find(firstTask("a"))
	down.crashes = []int64{1, 2, 3}
	assert.Empty(t, transfersOf(now, board, testBoard("w1")))
}

// A task that was returned, as its own shard or a third one had room, and finds its own
// shard full does not wait there anew: with two waits before, it would be down for more
// than 3 s beside room in the service.
func TestReturnedTaskLeavesAFullShardAtOnce(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transfer := transferred(t, from, to, now)
	now = now.Add(transferAfter)
	returned, ok := from.Returning(&work.Location{
		Key:     transfer.Task.Key,
		Down:    3 * transferAfter,
		LastRun: transfer.Task.LastRun,
	}, now)
	require.True(t, ok)
	from.TakenBack(returned, true, now)
	from.sentPieces = nil
	assert.Len(t, transfersOf(now, from, testBoard("w2")), 1)
}

// An end that a worker listed before the last task of its job left the shard is
// acknowledged, although another task of the job has come since: a worker keeps the ends
// that are not for good.
func TestEndsOfAJobThatCameAgainAreAcknowledged(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	from, to := downBoard(t), testBoard("w1")
	transfer := transferred(t, from, to, now)
	accept(to, decideAndSave(to, now), now)
	run := to.workers["w1"].claims[transfer.Task.Key].run
	now = now.Add(time.Second)
	to.ApplyReport("w1", Inventory{
		Born:     testBorn,
		Sent:     now,
		Received: now,
		Ended: []EndedTask{{
			Number:     1,
			Key:        transfer.Task.Key,
			Run:        run,
			Ending:     EndedStopped,
			Checkpoint: "newest",
		}},
	}, now)
	to.workers["w1"].Draining = true
	now = now.Add(transferAfter)
	transfers := to.Transfers(1, loadsOf(now, testBoard("w0"), to), now)
	require.Len(t, transfers, 1)
	require.Equal(t, "newest", transfers[0].Task.Checkpoint)
	to.TransferDone(transfers[0])
	to.AddTransferred(&transfer.Task, nil, false, now, now)
	number, _ := to.LastSeen("w1")
	assert.Equal(t, int64(1), number)
}

// A filler claims no cores, so that a worker whose cores are all in use seems to have room
// for it. It is not transferred there: it would be returned and transferred again without
// end, with two commits each time.
func TestFillerIsNotTransferredToAShardWithoutUnusedCores(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	board, other := downBoard(t), testBoard("w1")
	board.jobs["a"].work.Steps[0].Filler = true
	other.AddJob(testJob("b", "quotes", running(1, 7000)), nil, false, testStart, testStart)
	accept(other, decideAndSave(other, testStart), testStart)
	require.Nil(t, other.chooseWorker(board.jobs["a"].occurrences[0].steps[0], board.jobs["a"].occurrences[0].steps[0].tasks[0], other.pool(poolKey{
		service:     "workshop",
		longRunning: true,
		excluded:    true,
	}, now)), "the other shard has room")
	assert.Empty(t, transfersOf(now, board, other))
}
