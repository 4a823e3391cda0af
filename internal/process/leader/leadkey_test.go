package leader

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a state of the lead key that depends on the order in which a
// host hears of it: changes are delivered twice, late or not at all, in events and
// snapshots, beside the answers to the host's own writes.
func TestLeadKeyFollowsTheNewestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The key's history: revision i+1 sets the key, or removes it.
		history := rapid.SliceOfN(rapid.Bool(), 1, 8).Draw(t, "history")
		state := leadKey{}
		newest := 0
		for range 20 {
			index := rapid.IntRange(0, len(history)-1).Draw(t, "change")
			before, revision := state, int64(index+1)
			news := false
			if history[index] {
				news = state.set(Member{
					Host: "recife-1",
				}, revision)
			} else {
				news = state.remove(revision)
			}
			newest = max(newest, index)
			require.Equal(t, int64(newest+1), state.known)
			require.Equal(t, history[newest], state.revision != 0)
			if history[newest] {
				require.Equal(t, state.known, state.revision)
			}
			require.Equal(t, news, state.revision != before.revision || before.known == 0)
		}
	})
}

// Guards against a key that is taken for present after its lease has ended.
func TestLapsedLeadKeyIsGone(t *testing.T) {
	state := leadKey{}
	state.set(Member{}, 7)
	state.lapse()
	assert.Zero(t, state.revision)
	assert.False(t, state.set(Member{}, 7), "the write of the lapsed key, once more")
	assert.Zero(t, state.revision)
	assert.True(t, state.set(Member{}, 9))
}
