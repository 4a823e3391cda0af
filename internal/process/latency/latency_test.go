package latency

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLatencies checks the quantiles of 1 to 100 ms, and that an hour counts as
// the maximum of the range, 60 s.
func TestLatencies(t *testing.T) {
	latencies := NewLatencies()
	assert.Equal(t, "{}", latencies.String())
	for i := range 100 {
		latencies.Record("start", time.Duration(i+1)*time.Millisecond)
	}
	latencies.Record("start", time.Hour)
	var got map[string]Summary
	require.NoError(t, json.Unmarshal([]byte(latencies.String()), &got))
	assert.Equal(t, int64(101), got["start"].Count)
	assert.InDelta(t, 51, got["start"].P50MS, 1)
	assert.InDelta(t, 60000, got["start"].MaxMS, 600)
}
