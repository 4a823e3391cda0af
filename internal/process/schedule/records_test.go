package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against ends that are never acknowledged: the store refused the record of
// one job, which was too large, and with it those of all jobs that were written
// along.
func TestRefusedRecordHoldsBackNoOthers(t *testing.T) {
	board := testBoard("w0")
	for _, id := range []string{"a", "b", "c"} {
		step := tasks(1, 1000)
		step.Checkpoints = true
		board.AddJob(testJob(id, "quotes", step), nil, false, testStart, testStart)
		board.jobs[id].occurrences[0].steps[0].tasks[0].checkpoint = "0000"
		board.markChanged(board.jobs[id])
	}
	// The store refuses b with its checkpoint.
	write := func(now time.Time) {
		board.now = now
		records := board.Records(true, 10)
		ids := make([]string, 0, len(records))
		refused := false
		for _, record := range records {
			ids = append(ids, record.Job)
			refused = refused || record.Job == "b" && len(record.Progress.SavedCheckpoints) > 0
		}
		if refused {
			board.Refused(ids, now)
			return
		}
		for _, record := range records {
			board.Written(record.Job, record.Version, true)
		}
	}
	now := testStart
	for range 4 {
		write(now)
	}
	for id, saved := range map[string]bool{"a": true, "b": false, "c": true} {
		assert.Equal(t, saved, board.jobs[id].durable == board.jobs[id].version, id)
	}
	now = now.Add(refusedRecordDelay)
	write(now)
	j := board.jobs["b"]
	require.Equal(t, j.version, j.durable, "written without its checkpoints")
	board.markChanged(j)
	board.markChanged(board.jobs["a"])
	assert.Len(t, board.Records(true, 10), 2, "records are written together again")
}
