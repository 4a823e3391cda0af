package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/request/work"
)

// sentPiece is what a transferred task claims in another shard.
type sentPiece struct {
	service string
	shard   int
	spec    *work.Step
	at      time.Time
}

// sentMemory is how long a transfer is taken off the load of the other shard: until
// the load that counts it has been published and read.
const sentMemory = 2 * time.Second

// sent notes a transfer for the rounds that follow.
func (b *Board) sent(service string, to int, spec *work.Step, now time.Time) {
	b.sentPieces = append(b.sentPieces, sentPiece{
		service: service,
		shard:   to,
		spec:    spec,
		at:      now,
	})
}

// freePieces holds what is free on single workers of other shards, by service and
// shard.
type freePieces map[string]map[int][]shard.Piece

// freePieces returns the free pieces of the other shards, without those that transfers
// under way will claim.
func (b *Board) freePieces(own int, loads map[string]map[int]shard.Load, now time.Time) freePieces {
	out := freePieces{}
	for service, shards := range loads {
		out[service] = map[int][]shard.Piece{}
		for number, load := range shards {
			if number != own {
				out[service][number] = slices.Clone(load.Pieces)
			}
		}
	}
	b.sentPieces = slices.DeleteFunc(b.sentPieces, func(sent sentPiece) bool { return now.Sub(sent.at) > sentMemory })
	for _, sent := range b.sentPieces {
		takePiece(out[sent.service][sent.shard], sent.spec)
	}
	return out
}

// take takes a piece for a task of the step. It returns the shard with the largest
// free piece, which is the least likely to be full when the task arrives.
func (f freePieces) take(service string, spec *work.Step) (int, bool) {
	numbers := slices.Collect(maps.Keys(f[service]))
	slices.SortFunc(numbers, func(a, c int) int {
		return cmp.Or(cmp.Compare(largestCores(f[service][c]), largestCores(f[service][a])), cmp.Compare(a, c))
	})
	for _, number := range numbers {
		if takePiece(f[service][number], spec) {
			return number, true
		}
	}
	return 0, false
}

func largestCores(pieces []shard.Piece) int64 {
	largest := int64(0)
	for _, piece := range pieces {
		largest = max(largest, piece.Size.MilliCores)
	}
	return largest
}

// takePiece takes a task of the step off the smallest piece that it fits into. It reports
// whether there was one.
func takePiece(pieces []shard.Piece, spec *work.Step) bool {
	best := -1
	size := spec.Size // a filler needs unused cores too
	for i, piece := range pieces {
		if !size.FitsIn(piece.Size) || spec.Label != "" && !slices.Contains(piece.Labels, spec.Label) {
			continue
		}
		if best < 0 || piece.Size.MilliCores < pieces[best].Size.MilliCores {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	pieces[best].Size = pieces[best].Size.Sub(size)
	return true
}
