package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against pieces that no task could start on: of a worker that may not be given
// tasks, claimed, or reserved.
func TestPiecesAreFreeOnUsableWorkers(t *testing.T) {
	const whole = 8000
	tests := map[string]struct {
		prepare func(board *Board)
		want    []int64
	}{
		"all are free": {
			prepare: func(*Board) {},
			want:    []int64{whole, whole, whole},
		},
		"one has a run": {
			prepare: func(board *Board) {
				board.AddJob(testJob("a", "plans", tasks(1, 3000)), nil, false, testStart, testStart)
				board.Decide(testStart, true)
			},
			want: []int64{whole, whole, 5000},
		},
		"one is reserved": {
			prepare: func(board *Board) {
				board.keep(work.TaskKey{
					Job: "b",
				}, board.workers["w1"], worker.Size{
					MilliCores: 1000,
				}, testStart)
			},
			want: []int64{whole, whole, 7000},
		},
		"one has nothing free": {
			prepare: func(board *Board) {
				board.AddJob(testJob("a", "plans", tasks(1, whole)), nil, false, testStart, testStart)
				board.Decide(testStart, true)
			},
			want: []int64{whole, whole},
		},
		"one is unreachable": {
			prepare: func(board *Board) { board.MarkUnreachable("w2", testStart) },
			want:    []int64{whole, whole},
		},
		"all zones are evacuated": {
			prepare: func(board *Board) {
				board.Evacuate(map[string]bool{
					"recife": true,
				})
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			board := testBoard("w0", "w1", "w2")
			test.prepare(board)
			var got []int64
			for _, piece := range board.Loads(testStart)["workshop"].Pieces {
				got = append(got, piece.Size.MilliCores)
			}
			assert.Equal(t, test.want, got)
		})
	}
}

// Guards against published loads that grow with the number of workers, and against
// pieces without the labels that tasks require.
func TestPiecesAreFew(t *testing.T) {
	var ids []string
	for i := range 4 * shard.MaxPieces {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	board := testBoard(ids...)
	for i, id := range ids {
		board.workers[id].Labels = []string{"class-a"}
		board.workers[id].used.MilliCores = int64(i)
	}
	loads := board.Loads(testStart)
	pieces := loads["workshop"].Pieces
	require.Len(t, pieces, shard.MaxPieces)
	for i, piece := range pieces {
		assert.Equal(t, int64(8000-i), piece.Size.MilliCores)
		assert.Equal(t, []string{"class-a"}, piece.Labels)
	}
	value, err := cbor.Marshal(loads)
	require.NoError(t, err)
	var read map[string]shard.Load
	require.NoError(t, cbor.Unmarshal(value, &read))
	assert.Equal(t, loads, read)
	t.Logf("%d bytes", len(value))
}

// Workers with fewer free cores than others have the label, the accelerator or the memory
// that a task asks for. The other shards have to know of one: a task that they do not see
// room for stays down for as long as its shard is full.
func TestPiecesHaveWhatFewWorkersHave(t *testing.T) {
	now := testStart.Add(2 * transferAfter)
	tests := map[string]struct {
		change func(w *workerState)
		ask    func(step *work.Step)
	}{
		"label": {
			change: func(w *workerState) { w.Labels = []string{"rare"} },
			ask:    func(step *work.Step) { step.Label = "rare" },
		},
		"accelerator": {
			change: func(w *workerState) { w.Capacity.Accelerators = 1 },
			ask:    func(step *work.Step) { step.Size.Accelerators = 1 },
		},
		"memory": {
			change: func(w *workerState) { w.Capacity.MemoryBytes = 2 << 30 },
			ask:    func(step *work.Step) { step.Size.MemoryBytes = 2 << 30 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := downBoard(t)
			tt.ask(&board.jobs["a"].work.Steps[0])
			ids := []string{}
			for i := range shard.MaxPieces + 1 {
				ids = append(ids, fmt.Sprintf("x%02d", i))
			}
			other := testBoard(ids...)
			rare := other.workers["x03"]
			rare.Capacity.MilliCores = 4000
			tt.change(rare)
			assert.Len(t, transfersOf(now, board, other), 1)
			pieces := other.Loads(now)["workshop"].Pieces
			assert.LessOrEqual(t, len(pieces), shard.MaxPieces)
			assert.True(t, slices.IsSortedFunc(pieces, func(a, c shard.Piece) int {
				return cmp.Compare(c.Size.MilliCores, a.Size.MilliCores)
			}), "the largest piece goes first")
		})
	}
}
