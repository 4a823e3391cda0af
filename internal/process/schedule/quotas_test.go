package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// withLimit returns the test configuration with one organisation, mill.
func withLimit(limit worker.Size) *catalog.Catalog {
	out := testCatalog()
	out.Organisations = map[string]catalog.Organisation{
		"mill": {
			Name:   "mill",
			Weight: 1,
			Limit:  limit,
		},
	}
	return out
}

func millJob(id, queue string, steps ...work.Step) *work.Job {
	job := testJob(id, queue, steps...)
	job.Organisation = "mill"
	return job
}

// Guards against starts above a limit of any resource, and against a gang that
// starts in part.
func TestStartsStayWithinLimit(t *testing.T) {
	gang := tasks(4, 1000)
	gang.Gang = true
	filler := tasks(6, 1000)
	filler.Filler = true
	large := tasks(6, 500)
	large.Size.MemoryBytes = 100
	tests := map[string]struct {
		limit worker.Size
		step  work.Step
		want  int
	}{
		"no limit": {
			step: tasks(6, 1000),
			want: 6,
		},
		"cores": {
			limit: worker.Size{
				MilliCores: 3500,
			},
			step: tasks(6, 1000),
			want: 3,
		},
		"memory": {
			limit: worker.Size{
				MemoryBytes: 250,
			},
			step: large,
			want: 2,
		},
		"fillers count with what they ask for": {
			limit: worker.Size{
				MilliCores: 2000,
			},
			step: filler,
			want: 2,
		},
		"gang that fits": {
			limit: worker.Size{
				MilliCores: 4000,
			},
			step: gang,
			want: 4,
		},
		"gang that does not fit": {
			limit: worker.Size{
				MilliCores: 3999,
			},
			step: gang,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1")
			board.SetCatalog(withLimit(tt.limit))
			board.AddJob(millJob("a", "plans", tt.step), nil, false, testStart, testStart)
			assert.Len(t, board.Decide(testStart, true).Starts, tt.want)
		})
	}
}

// A quick job that its organisation's limit holds back must not preempt others.
func TestQuotaCausesNoPreemption(t *testing.T) {
	board := testBoard("w0")
	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 500,
	}))
	board.AddJob(testJob("full", "plans", tasks(8, 1000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	board.AddJob(millJob("a", "quotes", tasks(1, 1000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart.Add(time.Millisecond), true)
	assert.Empty(t, effects.Starts)
	assert.Empty(t, effects.Stops)
}

// Guards against work that ends under a reduced limit, and against an
// organisation whose limit is not known.
func TestLimitOfConfigurationVersions(t *testing.T) {
	board := testBoard("w0", "w1")
	board.AddJob(millJob("a", "plans", tasks(6, 1000)), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts, "its limit is not known")

	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 4000,
	}))
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 4)
	accept(board, effects, testStart)

	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 2000,
	}))
	effects = board.Decide(testStart, true)
	assert.Empty(t, effects.Starts)
	assert.Empty(t, effects.Stops, "a reduced limit ends no run")

	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 5000,
	}))
	assert.Len(t, board.Decide(testStart, true).Starts, 1)

	board.SetCatalog(testCatalog())
	board.AddJob(millJob("b", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	assert.Empty(t, board.Decide(testStart, true).Starts, "the last limit stays")

	successor := testBoard("w2")
	successor.RestoreLearned(board.Learned(), testStart)
	successor.AddJob(millJob("c", "plans", tasks(6, 1000)), nil, false, testStart, testStart)
	assert.Len(t, successor.Decide(testStart, true).Starts, 5, "and the next leader knows it")
}

// Guards against starts of a new leader beside runs that it does not know: what
// an inherited job may have running counts until every worker has reported.
func TestUnreportedRunsCountAfterTakeover(t *testing.T) {
	tests := map[string]struct {
		cancelled bool
		handover  *Handover
		want      int
	}{
		"open": {},
		"cancelled before": {
			cancelled: true,
		},
		"handed over, elsewhere": {
			handover: &Handover{},
			want:     4,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			board.SetCatalog(withLimit(worker.Size{
				MilliCores: 4000,
			}))
			addUnreachable(board, "w1")
			progress := &work.Progress{
				Started: true,
			}
			if tt.cancelled {
				progress.State = work.Cancelled
			}
			waits := tasks(4, 1000)
			board.AddJob(millJob("old", "plans", waits), progress, true, testStart, testStart)
			if tt.handover != nil {
				board.ApplyHandover(*tt.handover)
			}
			board.AddJob(millJob("new", "quotes", waits), nil, false, testStart, testStart)
			assert.Len(t, board.Decide(testStart, true).Starts, tt.want)
			settled := board.earlierLeaseEnd().Add(time.Millisecond)
			poll(board, "w0", settled)
			assert.Len(t, board.Decide(settled, true).Starts, 4-tt.want)
		})
	}
}

// The end of one member completes a gang while the others may still be running:
// they count until their workers no longer list them.
func TestMembersOfCompletedGangCountUntilTheirEnd(t *testing.T) {
	board := testBoard("w0", "w1")
	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 10_000,
	}))
	gang := tasks(2, 5000)
	gang.Gang = true
	board.AddJob(millJob("a", "plans", gang), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 2)
	accept(board, effects, testStart)
	now := testStart.Add(time.Second)
	ended, remains := effects.Starts[0], effects.Starts[1]
	board.ApplyReport(ended.Worker, Inventory{
		Born: testBorn,
		Ended: []EndedTask{{
			Number: 1,
			Key:    ended.Key,
			Run:    ended.Run,
			Ending: EndedDone,
		}},
		Sent: now,
	}, now)
	board.AddJob(millJob("b", "plans", tasks(2, 5000)), nil, false, now, now)
	assert.Len(t, board.Decide(now, true).Starts, 1, "the other member may be running")
	board.ApplyReport(remains.Worker, Inventory{
		Born: testBorn,
		Sent: now,
	}, now)
	assert.Len(t, board.Decide(now, true).Starts, 1)
}

// Two starts without an answer must not hold back an organisation for ever after
// its limit is reduced below them. Found by TestOrganisationsWorkEnds with seed
// 15063939679163237944.
func TestUnansweredStartsUnderReducedLimitAreBarred(t *testing.T) {
	board := testBoard("w0", "w1")
	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 4000,
	}))
	board.AddJob(millJob("a", "plans", tasks(2, 2000)), nil, false, testStart, testStart)
	effects := board.Decide(testStart, true)
	require.Len(t, effects.Starts, 2)
	for _, start := range effects.Starts {
		board.StartReplied(start, Unknown, testStart)
	}
	board.SetCatalog(withLimit(worker.Size{
		MilliCores: 2000,
	}))
	effects = board.Decide(testStart, true)
	assert.Empty(t, effects.Starts)
	assert.Empty(t, effects.Stops, "they may have begun")

	now := testStart.Add(2 * testStopGrace)
	for _, id := range []string{"w0", "w1"} {
		report(board, id, testBorn, now)
	}
	effects = board.Decide(now, true)
	require.NotEmpty(t, effects.Stops, "the workers do not list them")
	for _, stop := range effects.Stops {
		board.StopReplied(stop, Accepted, now)
	}
	now = now.Add(2 * testStopGrace)
	for _, id := range []string{"w0", "w1"} {
		report(board, id, testBorn, now)
	}
	assert.Len(t, board.Decide(now, true).Starts, 1)
}
