package schedule

import (
	"cmp"
	"slices"

	"mustardreach.example/mustardreach/internal/process/shard"
)

// largestPieces returns what is free on the workers with the most free cores, the
// largest first. Workers without free cores have no piece.
func largestPieces(workers []*workerState) []shard.Piece {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, c *workerState) int {
		return cmp.Or(
			cmp.Compare(c.free().MilliCores, a.free().MilliCores),
			cmp.Compare(c.free().MemoryBytes, a.free().MemoryBytes),
			cmp.Compare(a.ID, c.ID),
		)
	})
	var out []shard.Piece
	for _, w := range sorted[:min(len(sorted), shard.MaxPieces)] {
		if w.free().MilliCores <= 0 {
			break
		}
		out = append(out, shard.Piece{
			Size:   w.free(),
			Labels: w.Labels,
		})
	}
	return out
}
