package quota

import (
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

// Amount is an amount of each resource: millicores, bytes of memory and
// accelerators.
type Amount [3]int64

func amountOf(size worker.Size) Amount {
	return Amount{size.MilliCores, size.MemoryBytes, size.Accelerators}
}

// Parts divides the limits among the shards. It is one record in the store. A
// shard never has more in use than its part. Only its own leader lowers a part,
// once the use fits; a part is raised only while the sum of all parts stays
// within the limit. An organisation that is missing starts nothing.
type Parts struct {
	// Version is the newest configuration version of a leader that has written the
	// record: leaders with an older one raise no part.
	Version int64 `cbor:"1,keyasint"`
	// Organisations holds the parts of each organisation by shard.
	Organisations map[string][]Amount `cbor:"2,keyasint,omitempty"`
}

// openPart is the part of each shard in a resource without a limit. It is above
// all real amounts. Once a limit is set, nothing starts until every shard has
// lowered its part to its use.
const openPart = 1 << 50

// equalParts divides a limit equally, rounded down.
func equalParts(limit Amount, shards int) []Amount {
	each := Amount{}
	for r := range limit {
		each[r] = limit[r] / int64(shards)
		if limit[r] == 0 {
			each[r] = openPart
		}
	}
	return slices.Repeat([]Amount{each}, shards)
}

// sum adds up one resource of the parts.
func sum(parts []Amount, resource int) int64 {
	total := int64(0)
	for _, part := range parts {
		total += part[resource]
	}
	return total
}

// boundOfPart returns what a shard may have in use: its part, and nothing while
// the sum of the parts exceeds a reduced limit.
func boundOfPart(parts []Amount, own Amount, limit Amount) worker.Size {
	bound := Amount{}
	for r := range limit {
		if limit[r] == 0 || sum(parts, r) <= limit[r] {
			bound[r] = own[r]
		}
	}
	return worker.Size{
		MilliCores:   bound[0],
		MemoryBytes:  bound[1],
		Accelerators: bound[2],
	}
}

// headroomPart is the part of its use that a shard keeps or asks for ahead of
// need, as a divisor: parts move in about a second.
const headroomPart = 8

// wanted is the part that a shard needs for its use and its waiting tasks.
func wanted(used, waiting Amount) Amount {
	out := Amount{}
	for r := range out {
		out[r] = used[r] + waiting[r] + used[r]/headroomPart
	}
	return out
}

// reviseResource returns the parts of one resource after the changes that shard
// own makes: it raises its part from what is not given out, gives what it does
// not want to shards that want more, and lowers its part to its use under a
// reduced limit. wants holds the wanted amounts by shard. mayRaise is false for a
// leader with an old configuration.
func reviseResource(parts []int64, own int, limit, used int64, wants []int64, mayRaise bool) {
	if limit == 0 {
		if mayRaise {
			parts[own] = openPart
		}
		return
	}
	free := limit
	for _, part := range parts {
		free -= part
	}
	if free < 0 {
		parts[own] = min(parts[own], used)
		return
	}
	if missing := wants[own] - parts[own]; missing > 0 && mayRaise {
		parts[own] += min(missing, free)
	}
	spare, asked := parts[own]-max(used, wants[own]), int64(0)
	for shard, want := range wants {
		if shard != own {
			asked += max(0, want-parts[shard])
		}
	}
	if spare <= 0 || asked == 0 {
		return
	}
	for shard, want := range wants {
		if missing := min(want, limit) - parts[shard]; shard != own && missing > 0 {
			given := min(missing, spare, int64(float64(missing)*min(1, float64(spare)/float64(asked)))+1)
			parts[shard] += given
			parts[own] -= given
			spare -= given
		}
	}
}
