package schedule

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/request/work"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// withoutQueue returns a configuration that lacks a queue.
func withoutQueue(from *catalog.Catalog, name string) *catalog.Catalog {
	out := *from
	out.Version++
	out.Queues = maps.Clone(from.Queues)
	delete(out.Queues, name)
	return &out
}

// withQueue returns a configuration with another form of a queue.
func withQueue(from *catalog.Catalog, queue catalog.Queue) *catalog.Catalog {
	out := withoutQueue(from, queue.Name)
	out.Queues[queue.Name] = queue
	return out
}

// acceptedJob returns job "a", which was accepted under the terms of its queue.
func acceptedJob(queue catalog.Queue, steps ...work.Step) *work.Job {
	job := testJob("a", queue.Name, steps...)
	terms := queue.Terms()
	job.Terms = &terms
	return job
}

// Guards against a failing task that is started without a limit: its queue was removed,
// and the leader that took over did not know how often it may fail.
func TestAttemptsOutliveTheirQueueAndLeader(t *testing.T) {
	tests := map[string]struct {
		// changed is the limit of the queue after the job's acceptance, zero if it did
		// not change.
		changed int
		// successor is set if another leader takes over before the first failure.
		successor bool
		want      int
	}{
		"same leader": {
			want: 2,
		},
		"successor": {
			successor: true,
			want:      2,
		},
		"changed before the removal": {
			changed: 3,
			want:    3,
		},
		"changed before the removal, successor": {
			changed:   3,
			successor: true,
			want:      3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0")
			config := testCatalog()
			queue := config.Queues["plans"]
			queue.MaxAttempts = 2
			config = withQueue(config, queue)
			board.SetCatalog(config)
			spec := acceptedJob(queue, tasks(1, 1000))
			board.AddJob(spec, nil, false, testStart, testStart)
			if test.changed != 0 {
				queue.MaxAttempts = test.changed
				config = withQueue(config, queue)
				board.SetCatalog(config)
			}
			config = withoutQueue(config, "plans")
			board.SetCatalog(config)
			if test.successor {
				var progress *work.Progress
				for _, record := range save(board) {
					progress = &record.Progress
				}
				board = testBoard("w0")
				board.SetCatalog(config)
				board.AddJob(spec, progress, false, testStart, testStart)
			}
			starts, now := 0, testStart
			for range 200 {
				now = now.Add(simulationStep)
				poll(board, "w0", now)
				for _, start := range board.Decide(now, true).Starts {
					starts++
					board.StartReplied(start, Accepted, now)
					board.ApplyReport("w0", Inventory{
						Born: testBorn,
						Ended: []EndedTask{{
							Number: int64(starts),
							Key:    start.Key,
							Run:    start.Run,
							Ending: EndedFailed,
						}},
						Sent: now,
					}, now)
				}
			}
			assert.Equal(t, test.want, starts)
			assert.False(t, board.IsOpen("a"))
		})
	}
}

// Guards against jobs whose terms are forgotten with their queue, or that keep those of
// their acceptance although the queue has changed: over random changes of the
// configuration and of the leader, a job has the terms that its queue had last.
func TestJobsKeepTheLastTermsOfTheirQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, queue := testCatalog(), testCatalog().Queues["plans"]
		board := testBoard("w0")
		draw := func() {
			queue.MaxAttempts = rapid.IntRange(0, 4).Draw(t, "attempts")
			queue.Stretch = float64(rapid.IntRange(1, 4).Draw(t, "stretch"))
			queue.RequiresTicket = rapid.Bool().Draw(t, "ticket")
			queue.MinTicketTerm = time.Duration(rapid.IntRange(0, 3).Draw(t, "term")) * time.Second
			queue.Service = rapid.SampledFrom([]string{"workshop", "office"}).Draw(t, "service")
			config = withQueue(config, queue)
			board.SetCatalog(config)
		}
		draw()
		spec := acceptedJob(queue, tasks(1, 1000))
		board.AddJob(spec, nil, false, testStart, testStart)
		var progress *work.Progress
		for range 12 {
			switch rapid.SampledFrom([]string{"change", "remove", "remove", "another leader"}).Draw(t, "event") {
			case "change":
				draw()
			case "remove":
				config = withoutQueue(config, "plans")
				board.SetCatalog(config)
			case "another leader":
				for _, record := range save(board) {
					progress = &record.Progress
				}
				board = testBoard("w0")
				board.SetCatalog(config)
				board.AddJob(spec, progress, true, testStart, testStart)
			}
			terms, known := board.termsOf(board.jobs["a"])
			require.True(t, known)
			require.Equal(t, queue.Terms(), terms)
		}
	})
}

// A job that an earlier release has accepted is read as by that release.
func TestJobWithoutTermsIsRead(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	assert.Equal(t, testCatalog().Queues["plans"].MaxAttempts, board.attemptsOf(board.jobs["a"]))
	board = testBoard("w0")
	board.SetCatalog(withoutQueue(testCatalog(), "plans"))
	board.AddJob(testJob("a", "plans", tasks(1, 1000)), nil, false, testStart, testStart)
	assert.Zero(t, board.attemptsOf(board.jobs["a"]))
	assert.Equal(t, "workshop", board.serviceOf(board.jobs["a"]))
}

// Guards against a step that is refused for want of a ticket for ever: its queue with
// advice was removed between two steps of its job.
func TestTicketsAreNeededAfterTheirQueueIsRemoved(t *testing.T) {
	for name, successor := range map[string]bool{
		"same leader": false,
		"successor":   true,
	} {
		t.Run(name, func(t *testing.T) {
			board := advisedBoard()
			config := board.catalog
			second := tasks(1, 1000)
			second.After = []int{0}
			spec := acceptedJob(config.Queues["plans"], tasks(1, 1000), second)
			board.AddJob(spec, nil, false, testStart, testStart)
			now, starts := testStart, 0
			for range 100 {
				now = now.Add(simulationStep)
				poll(board, "w0", now)
				poll(board, "w1", now)
				effects := board.Decide(now, true)
				for _, request := range effects.TicketRequests {
					board.TicketsReplied(request, map[string]string{"w0": "t0"}, time.Second, true, now)
				}
				for _, start := range effects.Starts {
					require.Equal(t, "t0", start.Ticket, "start of %s", start.Key)
					starts++
					board.StartReplied(start, Accepted, now)
					board.ApplyReport("w0", Inventory{
						Born: testBorn,
						Ended: []EndedTask{{
							Number: int64(starts),
							Key:    start.Key,
							Run:    start.Run,
							Ending: EndedDone,
						}},
						Sent: now,
					}, now)
					if starts > 1 {
						continue
					}
					config = withoutQueue(config, "plans")
					board.SetCatalog(config)
					if successor {
						records := save(board)
						board = testBoard("w0", "w1")
						board.SetCatalog(config)
						board.AddJob(spec, &records[0].Progress, false, now, now)
					}
				}
			}
			assert.Equal(t, 2, starts)
			assert.True(t, board.Ended("a"))
		})
	}
}

// Guards against workers that are not used because no configuration in force names their
// service: jobs that were accepted before still need them.
func TestServicesOfJobsAreKnown(t *testing.T) {
	board := NewBoard(testConfig())
	queue := testCatalog().Queues["plans"]
	spec := acceptedJob(queue, tasks(1, 1000))
	spec.Service = "accepted"
	terms := queue.Terms()
	terms.Service = "moved"
	assert.False(t, board.KnowsService("accepted"))
	board.AddJob(spec, &work.Progress{
		Terms: &terms,
	}, false, testStart, testStart)
	assert.True(t, board.KnowsService("accepted"))
	assert.True(t, board.KnowsService("moved"))
	assert.False(t, board.KnowsService("inventory"))
}
