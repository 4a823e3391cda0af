package quota

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/golden"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

func TestMain(m *testing.M) {
	const cases = 500
	golden.Main(m, cases)
}

func drawSize(t *rapid.T, label string, most int64) worker.Size {
	return worker.Size{
		MilliCores:   rapid.Int64Range(0, most).Draw(t, label+" cores"),
		MemoryBytes:  rapid.Int64Range(0, most).Draw(t, label+" memory"),
		Accelerators: rapid.Int64Range(0, most).Draw(t, label+" accelerators"),
	}
}

func withLimit(book *Book, limit worker.Size) *Account {
	book.SetOrganisations(1, map[string]catalog.Organisation{
		"mill": {
			Name:   "mill",
			Weight: 1,
			Limit:  limit,
		},
	})
	return book.Account("mill")
}

func within(used, limit int64) bool {
	return limit == 0 || used <= limit
}

// Guards against a count of tasks that exceeds a limit in any resource, and
// against one that leaves room for another task.
func TestMayStartIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawSize(t, "limit", 50)
		account := withLimit(NewBook(0, 1), limit)
		account.Add(drawSize(t, "running", 40))
		account.AddPossible(drawSize(t, "possible", 10), rapid.IntRange(0, 3).Draw(t, "possible"))
		size := drawSize(t, "size", 10)
		count := account.MayStart(size)
		require.Equal(t, count > 0, account.Admits(size))
		const many = 60
		for range min(count, many) {
			require.True(t, account.Admits(size))
			account.Add(size)
			require.True(t, account.StillAdmits(size))
		}
		if count < many {
			require.False(t, account.Admits(size))
		}
		running, possible := account.Use()
		used := running.Add(possible)
		if count > 0 {
			require.True(t, size.MilliCores == 0 || within(used.MilliCores, limit.MilliCores))
			require.True(t, size.MemoryBytes == 0 || within(used.MemoryBytes, limit.MemoryBytes))
			require.True(t, size.Accelerators == 0 || within(used.Accelerators, limit.Accelerators))
		}
	})
}

// Work without an organisation has no limit and no account.
func TestWorkWithoutOrganisationIsNotLimited(t *testing.T) {
	account := NewBook(0, 1).Account("")
	size := worker.Size{
		MilliCores: 1,
	}
	account.Add(size)
	assert.Equal(t, math.MaxInt, account.MayStart(size))
	assert.True(t, account.Admits(size))
}
