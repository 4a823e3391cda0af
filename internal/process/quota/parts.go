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
	// Turns holds the shard whose claim is served first, where that is not shard 0.
	Turns map[string]int `cbor:"3,keyasint,omitempty"`
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

// revision is what a shard knows of one resource when it revises the parts.
type revision struct {
	own         int
	limit, used int64
	// kept is what the shard keeps of its part beside a claim elsewhere; it is at least
	// used.
	kept int64
	// wants holds the wanted amounts by shard.
	wants []int64
	// claimant is the shard whose claim is served, -1 if there is none, and claimed the
	// part that it needs.
	claimant int
	claimed  int64
	// mayRaise is false for a leader with an old configuration.
	mayRaise bool
}

// revise makes the changes of one shard to the parts of one resource. It lowers its part
// to its use under a reduced limit. It gives the claimant what is not given out and what
// it does not keep. Once the claim is served, it raises its own part from what is not
// given out, and gives what it does not want to shards that want more.
func (v *revision) revise(parts []int64) {
	if v.limit == 0 {
		if v.mayRaise {
			parts[v.own] = openPart
		}
		return
	}
	free := v.limit
	for _, part := range parts {
		free -= part
	}
	if free < 0 {
		parts[v.own] = min(parts[v.own], v.used)
		return
	}
	free, served := v.serveClaim(parts, free)
	if !served {
		return
	}
	if missing := v.wants[v.own] - parts[v.own]; missing > 0 && v.mayRaise {
		parts[v.own] += min(missing, free)
	}
	spare, asked := parts[v.own]-max(v.used, v.wants[v.own]), int64(0)
	if v.own == v.claimant {
		spare = min(spare, parts[v.own]-v.claimed)
	}
	for shard, want := range v.wants {
		if shard != v.own {
			asked += max(0, want-parts[shard])
		}
	}
	if spare <= 0 || asked == 0 {
		return
	}
	for shard, want := range v.wants {
		if missing := min(want, v.limit) - parts[shard]; shard != v.own && missing > 0 {
			given := min(missing, spare, int64(float64(missing)*min(1, float64(spare)/float64(asked)))+1)
			parts[shard] += given
			parts[v.own] -= given
			spare -= given
		}
	}
}

// serveClaim raises the claimant's part. It returns what is not given out after that,
// and false while the claim is open: all else waits for it.
func (v *revision) serveClaim(parts []int64, free int64) (int64, bool) {
	if v.claimant < 0 {
		return free, true
	}
	missing := max(0, v.claimed-parts[v.claimant])
	if v.mayRaise {
		given := min(missing, free)
		parts[v.claimant] += given
		missing, free = missing-given, free-given
	}
	if v.claimant != v.own {
		given := min(missing, max(0, parts[v.own]-v.kept))
		parts[v.claimant] += given
		parts[v.own] -= given
		missing -= given
	}
	return free, missing == 0
}
