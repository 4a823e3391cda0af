package schedule

import (
	"cmp"
	"slices"

	"mustardreach.example/mustardreach/internal/process/shard"
)

// largestPieces returns what is free on the workers with the most free cores, the
// largest first. Some of them give way to workers with what these lack. Workers without
// free cores have no piece.
func largestPieces(workers []*workerState) []shard.Piece {
	sorted := slices.DeleteFunc(slices.Clone(workers), func(w *workerState) bool { return w.free().MilliCores <= 0 })
	slices.SortFunc(sorted, compareFree)
	if len(sorted) > shard.MaxPieces {
		largest := sorted[:shard.MaxPieces/2]
		rest := sorted[len(largest):]
		picked := append(slices.Clone(largest), rareWorkers(largest, rest, shard.MaxPieces-len(largest))...)
		for _, w := range rest {
			if len(picked) < shard.MaxPieces && !slices.Contains(picked, w) {
				picked = append(picked, w)
			}
		}
		slices.SortFunc(picked, compareFree)
		sorted = picked
	}
	var out []shard.Piece
	for _, w := range sorted {
		out = append(out, shard.Piece{
			Size:   w.free(),
			Labels: w.Labels,
		})
	}
	return out
}

// compareFree orders workers by their free cores, the most first.
func compareFree(a, c *workerState) int {
	return cmp.Or(
		cmp.Compare(c.free().MilliCores, a.free().MilliCores),
		cmp.Compare(c.free().MemoryBytes, a.free().MemoryBytes),
		cmp.Compare(a.ID, c.ID),
	)
}

// rareWorkers returns up to limit workers of others that have more accelerators or memory
// free than the known ones, or a label that none of these has. Load pattern: the few
// workers of a kind have fewer cores than most, and the other shards see no room for a
// task that asks for that kind.
func rareWorkers(known, others []*workerState, limit int) []*workerState {
	accelerators, memory, labels := int64(0), int64(0), map[string]bool{}
	for _, w := range known {
		accelerators, memory = max(accelerators, w.free().Accelerators), max(memory, w.free().MemoryBytes)
		for _, label := range w.Labels {
			labels[label] = true
		}
	}
	var out []*workerState
	add := func(w *workerState) {
		if len(out) < limit && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	if w := slices.MaxFunc(others, func(a, c *workerState) int { return cmp.Compare(a.free().Accelerators, c.free().Accelerators) }); w.free().Accelerators > accelerators {
		add(w)
	}
	if w := slices.MaxFunc(others, func(a, c *workerState) int { return cmp.Compare(a.free().MemoryBytes, c.free().MemoryBytes) }); w.free().MemoryBytes > memory {
		add(w)
	}
	for _, w := range others {
		for _, label := range w.Labels {
			if !labels[label] {
				labels[label] = true
				add(w)
			}
		}
	}
	return out
}
