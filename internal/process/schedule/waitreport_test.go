package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var followNone = WaitRequest{
	FollowsJob: func(string) bool { return false },
}

// Guards against a line about a job that waits for want of capacity, and against
// more than one of each organisation.
func TestLongestWaitsHaveRoom(t *testing.T) {
	board := testBoard("w0", "w1")
	board.Evacuate(map[string]bool{})
	for i, id := range []string{"a", "b", "c", "d"} {
		size := int64(1000)
		if id == "d" {
			size = 9000 // larger than any worker
		}
		job := testJob(id, "plans", tasks(1, size))
		board.AddJob(job, nil, false, testStart.Add(time.Duration(i)*time.Second), testStart)
	}
	now := testStart.Add(10 * time.Second)
	board.Decide(now, false)
	report := board.WaitReport(WaitRequest{
		FollowsJob: func(id string) bool { return id == "d" },
	}, now)
	require.Len(t, report.Longest, 1)
	assert.Equal(t, "a", report.Longest[0].Job)
	assert.Equal(t, testStart, report.Longest[0].Since)
	assert.Equal(t, Reasons{LeadershipInDoubt: 4}, report.Tasks)
	require.Contains(t, report.Followed, "d")
	assert.Len(t, report.Followed, 1)
}

// Guards against tasks that are counted more than once or not at all: what waits is
// counted by reason, and what runs is not.
func TestTasksAreCountedByReason(t *testing.T) {
	board := testBoard("w0")
	board.AddJob(testJob("a", "plans", tasks(12, 1000)), nil, false, testStart, testStart)
	accept(board, board.Decide(testStart, true), testStart)
	report := board.WaitReport(followNone, testStart)
	assert.Equal(t, Reasons{NoCapacity: 4}, report.Tasks)
	assert.Empty(t, report.Longest, "the job has runs")
}

// BenchmarkWaitReport times the summary of a second, in which some 16,000 tasks wait.
func BenchmarkWaitReport(b *testing.B) {
	for name, organisations := range map[string]int{
		"350 workers":                    0,
		"350 workers, 380 organisations": 380,
	} {
		b.Run(name, func(b *testing.B) {
			board := overloadedBoard(350, 1450, organisations)
			b.ReportAllocs()
			for b.Loop() {
				board.WaitReport(followNone, testStart)
			}
		})
	}
}
