package leader

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/quota"
)

// Guards against wants that a leader of another release can't read during a rolling
// upgrade: the earlier record holds the part only.
func TestWantsAreReadAcrossReleases(t *testing.T) {
	wants := quota.Wants{
		"mill": {
			Part: quota.Amount{6000, 7, 1},
			Used: quota.Amount{5000, 6, 0},
			Unit: quota.Amount{1000, 1, 1},
		},
	}
	value, err := encodeWants(wants)
	require.NoError(t, err)
	same, err := decodeWants(value)
	require.NoError(t, err)
	assert.Equal(t, wants, same)

	var earlier map[string]quota.Amount
	require.NoError(t, cbor.Unmarshal(value, &earlier))
	assert.Equal(t, wants["mill"].Part, earlier["mill"])
	value, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	read, err := decodeWants(value)
	require.NoError(t, err)
	assert.Equal(t, quota.Wants{
		"mill": {
			Part: wants["mill"].Part,
			Used: wants["mill"].Part,
		},
	}, read)
}
