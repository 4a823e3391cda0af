package schedule

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Guards against figures that hide why an organisation's work waits.
func TestOrganisationsShowUse(t *testing.T) {
	board := testBoard("w0", "w1")
	assert.Empty(t, board.Organisations(testStart))
	limit := worker.Size{
		MilliCores: 5000,
	}
	board.SetCatalog(withLimit(limit))
	addUnreachable(board, "w2")
	board.AddJob(millJob("old", "plans", tasks(1, 1000)), nil, true, testStart, testStart)
	board.AddJob(millJob("a", "plans", tasks(6, 1000)), nil, false, testStart, testStart)
	lost := millJob("b", "plans", tasks(3, 1000))
	lost.Organisation = "lost"
	board.AddJob(lost, nil, false, testStart, testStart)
	require.Len(t, board.Decide(testStart, true).Starts, 4)
	assert.Equal(t, []Organisation{
		{
			Name:    "lost",
			Weight:  1,
			Waiting: 3,
			Held:    3,
		},
		{
			Name:   "mill",
			Limit:  limit,
			Weight: 1,
			Listed: true,
			Known:  true,
			Use: worker.Size{
				MilliCores: 4000,
			},
			Possible: worker.Size{
				MilliCores: 1000,
			},
			Share:   5.0 / 16,
			Waiting: 3,
			Held:    3,
		},
	}, board.Organisations(testStart))
}
