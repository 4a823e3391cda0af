package host

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Keys in the platform's store. The keys of job records and claims are defined
// in their own packages.
const (
	currentKey    = "mustardreach/release/current"
	versionKey    = "mustardreach/release/version"
	historyPrefix = "mustardreach/release/history/"
	notePrefix    = "mustardreach/release/notes/"
	rightsPrefix  = "mustardreach/rights/"
	fencePrefix   = "mustardreach/fences/"
	listPrefix    = "list/"
)

// dispatchRight is the right to place a zone's jobs on workers.
const dispatchRight = "dispatch"

// lenderShards is the number of shards that a zone's runners are split into.
// The slots of each shard are lent by the holder of that shard's right.
const lenderShards = 4

// rightName returns the full name of a zone's right of a kind.
func rightName(zone, kind string) string {
	return zone + "/" + kind
}

// lenderName returns the name of the right to lend the slots of a shard, which
// is also the name of its lender.
func lenderName(zone string, shard int) string {
	return rightName(zone, "steward-"+strconv.Itoa(shard))
}

// shardOf returns the shard of a runner, from a hash of its ID.
func shardOf(runner string) int {
	return int(xxhash.Sum64String(runner) % lenderShards)
}

func rightKey(name string) string {
	return rightsPrefix + name
}

func fenceKey(name string) string {
	return fencePrefix + name
}
