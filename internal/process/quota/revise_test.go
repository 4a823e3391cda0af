package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// sharedBook returns the book of one of two shards and the first record.
func sharedBook(t *testing.T, shard int, limit worker.Size) (*Book, *Account) {
	t.Helper()
	book := NewBook(shard, 2)
	setSharedLimit(book, 1, limit)
	require.False(t, book.Account("mill").Admits(cores(1)), "the record is not read")
	return book, book.Account("mill")
}

func setSharedLimit(book *Book, version int64, limit worker.Size) {
	book.SetOrganisations(version, map[string]catalog.Organisation{
		"mill": {
			Name:   "mill",
			Weight: 1,
			Limit:  limit,
		},
	})
}

// A part whose transfer got no answer counts as given away by the giver, and as
// not received by the receiver, until the record is read back.
func TestPartWithoutAnswerIsUsedByNobody(t *testing.T) {
	giver, given := sharedBook(t, 0, cores(10))
	receiver, received := sharedBook(t, 1, cores(10))
	giver.SetParts(Parts{})
	first, changed := giver.Revise(nil, nil)
	require.True(t, changed)
	giver.SetParts(first)
	receiver.SetParts(first)
	require.Equal(t, 5, given.MayStart(cores(1)))
	require.Equal(t, 5, received.MayStart(cores(1)))

	wants := receiver.Wants(map[string]worker.Size{"mill": cores(9)})
	next, changed := giver.Revise(nil, map[int]Wants{1: wants})
	require.True(t, changed)
	assert.Equal(t, 1, given.MayStart(cores(1)), "given away at once")
	assert.Equal(t, 5, received.MayStart(cores(1)), "and not received")
	_, changed = giver.Revise(nil, nil)
	assert.False(t, changed, "nothing else changes before the outcome is known")

	giver.SetParts(first)
	assert.Equal(t, 5, given.MayStart(cores(1)), "the transfer had no effect")
	_, changed = giver.Revise(nil, map[int]Wants{1: wants})
	require.True(t, changed)
	giver.SetParts(next)
	receiver.SetParts(next)
	assert.Equal(t, 1, given.MayStart(cores(1)))
	assert.Equal(t, 9, received.MayStart(cores(1)))
}

// A leader that has skipped a version with a higher limit must not use a record
// from before it: another shard may have raised its part. Found by
// TestShardsStayWithinLimit with seed 4717320576600899569.
func TestRecordOfEarlierVersionIsNotUsed(t *testing.T) {
	book, account := sharedBook(t, 0, cores(10))
	book.SetParts(Parts{})
	first, _ := book.Revise(nil, nil)
	book.SetParts(first)
	setSharedLimit(book, 3, cores(10))
	assert.Zero(t, account.MayStart(cores(1)))
	next, changed := book.Revise(nil, nil)
	require.True(t, changed, "the version is written to the record")
	book.SetParts(next)
	assert.Equal(t, 5, account.MayStart(cores(1)))
}

// Guards against shards that wait for each other for good: each holds a part that is
// too small for one of its waiting tasks, and gives nothing away because it wants more.
// The limit admits either task while nothing runs.
func TestWideTasksOfTwoShardsDoNotHoldEachOtherBack(t *testing.T) {
	waiting := map[string]worker.Size{"mill": cores(6)}
	books, accounts := make([]*Book, 2), make([]*Account, 2)
	for shard := range books {
		books[shard], accounts[shard] = sharedBook(t, shard, cores(10))
		books[shard].SetParts(Parts{})
	}
	for range 100 {
		for shard, book := range books {
			next, changed := book.Revise(waiting, map[int]Wants{1 - shard: books[1-shard].Wants(waiting)})
			if !changed {
				continue
			}
			for _, each := range books {
				each.SetParts(next)
			}
		}
	}
	assert.True(t, accounts[0].Admits(cores(6)) || accounts[1].Admits(cores(6)))
}
